#include "core/rollout/rollout_manager.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/worker_sessions/machine_health.h"

namespace oxbow {
namespace {

std::string_view NameOf(RolloutStep step) {
  constexpr std::array<std::string_view, kRolloutSteps> kNames = {
      "declared",     "advancing", "baking",      "watching", "paused",
      "rolling back", "done",      "rolled back", "failed"};
  return kNames[static_cast<size_t>(step)];
}

// Number of reviews of each rollout per heartbeat interval.
constexpr double kReviewsPerHeartbeat = 4;
// CPU time that is budgeted for one check: twice what a check takes, as a
// margin.
constexpr double kCheckCostSeconds = 1e-4;
// A compact record keeps this many bytes of the reason.
constexpr size_t kMaxCompactReason = 64;

// Returns the id of the job that ends together with the rollout: the old job of
// a rollout that is done, the new job of one that was rolled back. Null if no
// job ends with this step.
const std::string* JobEndedBy(RolloutStep step, const RolloutSpec& spec) {
  if (step == RolloutStep::kDone) return &spec.from;
  if (step == RolloutStep::kRolledBack) return &spec.to;
  return nullptr;
}

// Records a step of a rollout and, if a job ends with it, the end of that job.
class RolloutStepOperation : public StoreOperation {
 public:
  RolloutStepOperation(RolloutManager& rollout_manager, RolloutStepWrite step)
      : StoreOperation(step.name),
        rollout_manager_(rollout_manager),
        step_(std::move(step)) {}

  std::string_view kind() const override { return "record rollout step"; }
  // While the store does not answer, a later step may replace a queued one.
  bool ReplacesQueued() const override { return true; }

  BuildResult Build(CompareAndSwap* txn) const override {
    return rollout_manager_.BuildRolloutStep(Step(), txn)
               ? BuildResult::kAdded
               : BuildResult::kNothingToDo;
  }

  void OnRecorded(uint64_t revision, Time now) override {
    rollout_manager_.OnRolloutStepRecorded(Step(), revision, now);
  }

 private:
  RolloutStepWrite Step() const {
    RolloutStepWrite step = step_;
    step.compact = compact();
    return step;
  }

  RolloutManager& rollout_manager_;
  const RolloutStepWrite step_;
};

}  // namespace

RolloutManager::RolloutManager(LeaderContext& context, const Modules& modules)
    : context_(context),
      settings_(context.settings),
      tuning_(context.tuning),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      machine_health_(modules.machine_health),
      dispatcher_(modules.dispatcher),
      job_lifecycle_(modules.job_lifecycle) {}

const Rollout* RolloutManager::FindRollout(const std::string& id) const {
  const auto it = rollouts_.find(id);
  return it == rollouts_.end() ? nullptr : &it->second;
}

const Rollout* RolloutManager::RolloutOf(const Job& job) const {
  if (rollout_of_job_.empty()) return nullptr;
  const auto it = rollout_of_job_.find(job.id());
  return it == rollout_of_job_.end() ? nullptr : FindRollout(it->second);
}

uint32_t RolloutManager::StartableTasks(const Job& job) const {
  const Rollout* rollout = RolloutOf(job);
  if (rollout == nullptr) return job.unplaced();
  const uint32_t most = rollout->spec().to == job.id()
                            ? rollout->MaxNewReplicas()
                            : rollout->MaxOldReplicas();
  const uint32_t left = most > job.placed() ? most - job.placed() : 0;
  return std::min(job.unplaced(), left);
}

bool RolloutManager::DisruptionAllowed(const TaskAttemptKey& key,
                                       const Job& job, Time now) const {
  const Rollout* rollout = RolloutOf(job);
  return rollout == nullptr || !job.live() || rollout->MayStop(key, now);
}

// A controller that accepts a job notifies the leader directly, ahead of the
// watch. A rollout that was declared before the job reaches the leader only
// through the watch, so until the watch has caught up with the job's record,
// the job could start without the rollout's restrictions.
bool RolloutManager::MayHaveUnseenRollout(const Job& job) const {
  if (tuning_.rollouts_at_once < 1 || job.spec().kind != JobKind::kService) {
    return false;
  }
  const JobRecord* record = catalog_.FindJob(job.id());
  return record != nullptr &&
         record->mod_revision > catalog_.watched_revision();
}

void RolloutManager::OnRolloutRecord(const std::string& id, Time now) {
  const auto entry = catalog_.rollouts().find(id);
  if (entry == catalog_.rollouts().end()) return;
  const RolloutRecord& record = entry->second;
  const RolloutSpec& spec = *record.spec;
  const auto it = rollouts_.find(id);
  if (it != rollouts_.end()) {
    it->second.OnRecord(record, now);
  } else if (rollout_of_job_.contains(spec.from) ||
             rollout_of_job_.contains(spec.to)) {
    // Two rollouts of one job were declared through two controllers at the same
    // time.
    QueueStep({id, RolloutStep::kFailed,
               "one of its jobs is part of another rollout",
               RolloutRequest::kNone});
  } else if (!Ended(record.step)) {
    AddRollout(id, record, now);
  }
  cluster_.MarkChanged();
}

void RolloutManager::AddRollout(const std::string& id,
                                const RolloutRecord& record, Time now) {
  const RolloutSpec& spec = *record.spec;
  rollouts_.emplace(id, Rollout(record, now));
  rollout_of_job_[spec.from] = id;
  rollout_of_job_[spec.to] = id;
  context_.Log("tracking rollout", {{"rollout", id},
                                    {"from", spec.from},
                                    {"to", spec.to},
                                    {"step", NameOf(record.step)}});
}

void RolloutManager::OnHealthCheckResult(const std::string& rollout,
                                         const TaskAttemptKey& key,
                                         const CheckOutcome& outcome,
                                         Time now) {
  --checks_in_flight_;
  const auto it = rollouts_.find(rollout);
  if (it != rollouts_.end()) it->second.OnCheck(key, outcome, now);
}

RolloutObservation RolloutManager::Observe(const Rollout& rollout,
                                           Time now) const {
  RolloutObservation observation;
  const RolloutSpec& spec = rollout.spec();
  if (const Job* from = cluster_.FindJob(spec.from)) {
    observation.from_live = from->live();
    observation.from_tasks = from->size();
    ObserveReplicas(*from, false, now, observation.replicas);
  }
  if (const Job* to = cluster_.FindJob(spec.to)) {
    observation.to_known = true;
    observation.to_live = to->live();
    observation.to_tasks = to->size();
    ObserveReplicas(*to, true, now, observation.replicas);
  } else {
    observation.to_known =
        catalog_.FindTerminalState(spec.to) != TerminalState::kNone;
  }
  return observation;
}

void RolloutManager::ObserveReplicas(
    const Job& job, bool is_new, Time now,
    std::vector<ReplicaObservation>& replicas) const {
  for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
    const TaskAttempt& attempt = machine->task_attempts.at(key);
    if (attempt.phase == TaskPhase::kExited ||
        !ClusterState::IsCurrent(*machine, attempt)) {
      continue;
    }
    ReplicaObservation observed;
    observed.key = key;
    observed.is_new = is_new;
    observed.running = attempt.phase == TaskPhase::kRunning;
    observed.stopping = attempt.stopping;
    observed.reachable = !machine_health_.Suspect(*machine, now);
    observed.last_heartbeat = machine->last_heard;
    observed.machine_draining = machine->state() != MachineState::kUp;
    observed.zone = machine->zone;
    replicas.push_back(std::move(observed));
  }
}

void RolloutManager::TickRollouts(Time now) {
  if (rollouts_.empty() || now < next_review_) return;
  next_review_ =
      now + settings_.workers.heartbeat_interval_seconds / kReviewsPerHeartbeat;
  // Until each machine has sent a heartbeat or is known to be lost, replicas on
  // the others would count as missing.
  if (!cluster_.AllMachinesAccountedFor()) return;
  for (auto& [id, rollout] : rollouts_) ReviewRollout(id, rollout, now);
  BeginChecks(now);
}

void RolloutManager::ReviewRollout(const std::string& id, Rollout& rollout,
                                   Time now) {
  const uint32_t old_before = rollout.MaxOldReplicas();
  const uint32_t new_before = rollout.MaxNewReplicas();
  const RolloutPlan plan = rollout.Review(Observe(rollout, now), now);
  if (plan.next) {
    QueueStep({id, *plan.next, plan.reason, rollout.record().request});
  }
  for (const TaskAttemptKey& key : plan.stop) StopReplica(id, key, now);
  if (rollout.MaxOldReplicas() != old_before ||
      rollout.MaxNewReplicas() != new_before) {
    cluster_.MarkChanged();
    cluster_.MarkUrgentChange();
  }
}

void RolloutManager::StopReplica(const std::string& id,
                                 const TaskAttemptKey& key, Time now) {
  Machine* machine = MachineOf(key);
  if (machine == nullptr) return;
  const auto it = machine->task_attempts.find(key);
  if (it == machine->task_attempts.end() || it->second.stopping) return;
  context_.LogDetail([&] {
    return LogEvent{"rollout stops a replica",
                    {{"rollout", id},
                     {"job", key.job_id},
                     {"task", key.task},
                     {"host", machine->host()}}};
  });
  dispatcher_.QueueStop(*machine, it->second, 0, now);
}

Machine* RolloutManager::MachineOf(const TaskAttemptKey& key) const {
  const Job* job = cluster_.FindJob(key.job_id);
  if (job == nullptr) return nullptr;
  const int32_t index = job->task(key.task).machine;
  return index < 0 ? nullptr : &cluster_.machine(index);
}

// A check costs the leader a connection and some CPU time. Without a limit, the
// checks of thousands of replicas would take the CPU time that renewing the
// leader's lease and answering workers' heartbeats need. The limit affects all
// replicas equally: each is checked less often, and a check result stays valid
// for longer.
int RolloutManager::ChecksAllowed(Time now) {
  const double share = settings_.limits.cpu_share * tuning_.rollout_cpu_share;
  const int most =
      std::max(1, static_cast<int>(tuning_.rollout_check_share *
                                   settings_.limits.max_connections));
  if (share <= 0) return most - checks_in_flight_;
  const double checks_per_second = share / kCheckCostSeconds;
  size_t replicas = 0;
  for (const auto& [id, rollout] : rollouts_) replicas += rollout.replicas();
  for (auto& [id, rollout] : rollouts_) {
    rollout.SetMinCheckInterval(static_cast<double>(replicas) /
                                checks_per_second);
  }
  // The budget accumulates for at most half a heartbeat interval, but always
  // allows one check.
  const double burst =
      std::max(1.0, checks_per_second *
                        settings_.workers.heartbeat_interval_seconds / 2);
  check_budget_ = std::min(
      burst, check_budget_ +
                 checks_per_second * std::max(0.0, now - check_budget_at_));
  check_budget_at_ = now;
  return std::min(most - checks_in_flight_, static_cast<int>(check_budget_));
}

void RolloutManager::BeginChecks(Time now) {
  int allowed = ChecksAllowed(now);
  std::vector<Rollout*> rollouts;
  for (auto& [id, rollout] : rollouts_) rollouts.push_back(&rollout);
  if (rollouts.empty()) return;
  // The rollouts take turns in going first, so that none starves.
  std::rotate(
      rollouts.begin(),
      rollouts.begin() + static_cast<long>(check_rotation_++ % rollouts.size()),
      rollouts.end());
  for (Rollout* rollout : rollouts) {
    if (allowed <= 0) return;
    for (const TaskAttemptKey& key :
         rollout->TakeDueChecks(static_cast<size_t>(allowed), now)) {
      --allowed;
      BeginCheck(*rollout, key, now);
    }
  }
}

void RolloutManager::BeginCheck(Rollout& rollout, const TaskAttemptKey& key,
                                Time now) {
  const Machine* machine = MachineOf(key);
  if (machine == nullptr) {
    rollout.OnCheck(key, {}, now);
    return;
  }
  ++checks_in_flight_;
  check_budget_ -= 1;
  actions_.push_back(RunHealthCheck{rollout.spec().id, key, machine->endpoint,
                                    rollout.record().spec});
}

void RolloutManager::QueueStep(RolloutStepWrite step) {
  writes_.Enqueue(
      std::make_unique<RolloutStepOperation>(*this, std::move(step)));
}

RolloutRecord RolloutManager::RecordAfter(const RolloutRecord& record,
                                          const RolloutStepWrite& write) {
  RolloutRecord next = record;
  if (write.step == RolloutStep::kPaused) next.paused_in = next.step;
  next.step = write.step;
  next.reason = write.reason;
  if (write.compact) {
    next.reason.resize(std::min(next.reason.size(), kMaxCompactReason));
  }
  // A rollout that has ended does not need its check parameters any more.
  if (write.compact && Ended(write.step)) {
    auto spec = std::make_shared<RolloutSpec>(*record.spec);
    spec->check.path = HealthCheck().path;
    spec->check.expression = HealthCheck().expression;
    next.spec = std::move(spec);
  }
  // A different request that arrived while the step was being written is kept.
  if (next.request == write.request) next.request = RolloutRequest::kNone;
  return next;
}

// The end of a rollout and the end of the job that it replaces or rolls back
// are written in one transaction, so that no status shows one without the
// other.
bool RolloutManager::BuildRolloutStep(const RolloutStepWrite& write,
                                      CompareAndSwap* txn) const {
  const auto entry = catalog_.rollouts().find(write.name);
  if (entry == catalog_.rollouts().end() || entry->second.step == write.step) {
    return false;
  }
  const RolloutRecord next = RecordAfter(entry->second, write);
  const std::string key = keys::Of(keys::kRollout, write.name);
  txn->preconditions.push_back({key, entry->second.mod_revision});
  if (!Ended(write.step)) {
    txn->mutations.push_back({key, next});
    return true;
  }
  txn->mutations.push_back({keys::Of(keys::kEndedRollout, write.name), next});
  txn->mutations.push_back({key, {}});
  const std::string* ended_job = JobEndedBy(write.step, *next.spec);
  const JobRecord* job = ended_job ? catalog_.FindJob(*ended_job) : nullptr;
  if (job != nullptr && job->terminal_state == TerminalState::kNone) {
    const std::string job_key = keys::Of(keys::kJob, *ended_job);
    txn->preconditions.push_back({job_key, job->mod_revision});
    txn->mutations.push_back(
        {job_key,
         TerminatedRecord(*job, TerminalState::kAborted, write.compact)});
  }
  return true;
}

void RolloutManager::OnRolloutStepRecorded(const RolloutStepWrite& write,
                                           uint64_t revision, Time now) {
  const auto it = rollouts_.find(write.name);
  if (revision > 0) UpdateCatalog(write, revision, now);
  LogFields fields = {{"rollout", write.name}, {"step", NameOf(write.step)}};
  if (!write.reason.empty()) fields.emplace_back("reason", write.reason);
  context_.Log("rollout step recorded", std::move(fields));
  if (!Ended(write.step) || it == rollouts_.end()) return;
  const RolloutSpec spec = it->second.spec();
  rollouts_.erase(it);
  rollout_of_job_.erase(spec.from);
  rollout_of_job_.erase(spec.to);
  if (const std::string* ended_job = JobEndedBy(write.step, spec)) {
    EndJob(*ended_job, write, revision, now);
  }
  cluster_.MarkChanged();
  cluster_.MarkUrgentChange();
}

void RolloutManager::UpdateCatalog(const RolloutStepWrite& write,
                                   uint64_t revision, Time now) {
  const auto entry = catalog_.rollouts().find(write.name);
  if (entry == catalog_.rollouts().end()) return;
  const RolloutRecord next = RecordAfter(entry->second, write);
  const std::string key = keys::Of(keys::kRollout, write.name);
  if (Ended(write.step)) {
    catalog_.Erase(key, revision);
  } else {
    catalog_.Put(key, next, revision);
    OnRolloutRecord(write.name, now);
  }
}

void RolloutManager::EndJob(const std::string& id,
                            const RolloutStepWrite& write, uint64_t revision,
                            Time now) {
  Job* job = cluster_.FindJob(id);
  if (job == nullptr || !job->live()) return;
  const JobRecord* record = catalog_.FindJob(id);
  if (revision > 0 && record != nullptr) {
    catalog_.Put(
        keys::Of(keys::kJob, id),
        TerminatedRecord(*record, TerminalState::kAborted, write.compact),
        revision);
  }
  job->Change(JobState::kRecordingAbort);
  job_lifecycle_.OnTerminalStateRecorded(id, TerminalState::kAborted, now);
}

void RolloutManager::OnAttemptStopping(const TaskAttempt& attempt) {
  if (attempt.job == nullptr || rollout_of_job_.empty()) return;
  const auto it = rollout_of_job_.find(attempt.job_id);
  if (it == rollout_of_job_.end()) return;
  rollouts_.at(it->second).MarkStopping(KeyOf(attempt));
}

}  // namespace oxbow
