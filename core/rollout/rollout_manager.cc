#include "core/rollout/rollout_manager.h"

#include <algorithm>
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

// Records a step of a rollout, and what it does to the jobs.
class RolloutStepOperation : public StoreOperation {
 public:
  RolloutStepOperation(RolloutManager& rollout_manager, RolloutStepWrite step)
      : StoreOperation(step.name),
        rollout_manager_(rollout_manager),
        step_(std::move(step)) {}

  std::string_view kind() const override { return "record rollout step"; }
  // The next step may change while the store does not answer.
  bool ReplacesQueued() const override { return true; }

  BuildResult Build(CompareAndSwap* txn) const override {
    return rollout_manager_.BuildRolloutOp(Step(), txn)
               ? BuildResult::kAdded
               : BuildResult::kNothingToDo;
  }

  void OnRecorded(uint64_t revision, Time now) override {
    rollout_manager_.RolloutOpDone(Step(), revision, now);
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


RolloutManager::RolloutManager(LeaderContext& context, const Modules& modules) : context_(context), settings_(context.settings), tuning_(context.tuning), catalog_(context.catalog), cluster_(context.cluster), writes_(context.writes), actions_(context.actions), machine_health_(modules.machine_health), dispatcher_(modules.dispatcher), job_lifecycle_(modules.job_lifecycle) {}

const Rollout* RolloutManager::FindRollout(const std::string& id) const {
  const auto it = rollouts_.find(id);
  return it == rollouts_.end() ? nullptr : &it->second;
}

const Rollout* RolloutManager::RolloutOf(const Job& job) const {
  if (in_rollout_.empty()) return nullptr;
  const auto it = in_rollout_.find(job.id());
  return it == in_rollout_.end() ? nullptr : FindRollout(it->second);
}

uint32_t RolloutManager::StartableTasks(const Job& job) const {
  const Rollout* rollout = RolloutOf(job);
  if (rollout == nullptr) return job.unplaced();
  const uint32_t most = rollout->spec().to == job.id() ? rollout->MostOfNew()
                                                       : rollout->MostOfOld();
  const uint32_t left = most > job.placed() ? most - job.placed() : 0;
  return std::min(job.unplaced(), left);
}

bool RolloutManager::DisruptionAllowed(const TaskAttemptKey& key, const Job& job,
                               Time now) const {
  const Rollout* rollout = RolloutOf(job);
  return rollout == nullptr || !job.live() || rollout->MayStop(key, now);
}

// A controller that has just accepted a job tells the leader of it ahead of the
// watch. The rollout that was declared before the job comes by the watch, so
// until that has caught up the job could start whole.
bool RolloutManager::MayBeRestricted(const Job& job) const {
  if (tuning_.rollouts_at_once < 1 || job.spec().kind != JobKind::kService) {
    return false;
  }
  const JobRecord* record = catalog_.FindJob(job.id());
  return record != nullptr &&
         record->mod_revision > catalog_.watched_revision();
}

void RolloutManager::OnRolloutRecord(const std::string& id, Time now) {
  const auto known = catalog_.rollouts().find(id);
  if (known == catalog_.rollouts().end()) return;
  const RolloutRecord& record = known->second;
  const auto it = rollouts_.find(id);
  if (it != rollouts_.end()) {
    it->second.OnRecord(record, now);
  } else if (in_rollout_.contains(record.spec->from) ||
             in_rollout_.contains(record.spec->to)) {
    // Two were declared for one job on two controllers at the same time.
    QueueStep({id, RolloutStep::kFailed,
               "one of its jobs is part of another roll-out",
               RolloutRequest::kNone});
  } else if (!Ended(record.step)) {
    rollouts_.emplace(id, Rollout(record, now));
    in_rollout_[record.spec->from] = id;
    in_rollout_[record.spec->to] = id;
    context_.Log("roll-out " + id + ": " + record.spec->from + " to " + record.spec->to +
        ", " + std::string(NameOf(record.step)));
  }
  cluster_.MarkChanged();
}

void RolloutManager::OnHealth(const std::string& rollout, const TaskAttemptKey& key,
                      const CheckOutcome& outcome, Time now) {
  --checks_in_flight_;
  const auto it = rollouts_.find(rollout);
  if (it != rollouts_.end()) it->second.OnCheck(key, outcome, now);
}

RolloutView RolloutManager::ViewOf(const Rollout& rollout, Time now) const {
  RolloutView view;
  const RolloutSpec& spec = rollout.spec();
  for (const bool is_new : {false, true}) {
    const std::string& id = is_new ? spec.to : spec.from;
    const auto it = cluster_.jobs().find(id);
    const bool ended = catalog_.FindTerminalState(id) != TerminalState::kNone;
    if (it == cluster_.jobs().end()) {
      if (is_new) view.to_known = ended;
      continue;
    }
    const Job& job = *it->second;
    (is_new ? view.to_live : view.from_live) = job.live();
    (is_new ? view.to_tasks : view.from_tasks) = job.size();
    if (is_new) view.to_known = true;
    for (const auto& [machine, key] : cluster_.AttemptsOf(job)) {
      const TaskAttempt& attempt = machine->task_attempts.at(key);
      if (attempt.phase == TaskPhase::kExited ||
          !cluster_.IsCurrent(*machine, attempt))
        continue;
      InstanceView seen;
      seen.key = key;
      seen.is_new = is_new;
      seen.running = attempt.phase == TaskPhase::kRunning;
      seen.stopping = attempt.stopping;
      seen.heard = !machine_health_.Suspect(*machine, now);
      seen.last_heard = machine->last_heard;
      seen.leaving = machine->state() != MachineState::kUp;
      seen.zone = machine->zone;
      view.instances.push_back(std::move(seen));
    }
  }
  return view;
}

void RolloutManager::TickRollouts(Time now) {
  if (rollouts_.empty() || now < next_rollouts_) return;
  next_rollouts_ = now + settings_.workers.heartbeat_interval_seconds / 4;
  // A picture with holes would take unheard instances for missing ones.
  if (!cluster_.AllMachinesAccountedFor()) return;
  for (auto& [id, rollout] : rollouts_) {
    const uint32_t old_before = rollout.MostOfOld();
    const uint32_t new_before = rollout.MostOfNew();
    const RolloutPlan plan = rollout.Review(ViewOf(rollout, now), now);
    if (plan.next) {
      QueueStep({id, *plan.next, plan.reason, rollout.record().request});
    }
    for (const TaskAttemptKey& key : plan.stop) {
      const auto job = cluster_.jobs().find(key.job_id);
      if (job == cluster_.jobs().end()) continue;
      const int32_t index = job->second->task(key.task).machine;
      if (index < 0) continue;
      Machine& machine = cluster_.machine(index);
      const auto it = machine.task_attempts.find(key);
      if (it == machine.task_attempts.end() || it->second.stopping) continue;
      context_.LogDetail([&, &name = id] {
        return "roll-out " + name + " stops " + key.job_id + "/" +
               std::to_string(key.task) + " on " + machine.host();
      });
      dispatcher_.QueueStop(machine, it->second, 0, now);
    }
    if (rollout.MostOfOld() != old_before ||
        rollout.MostOfNew() != new_before) {
      cluster_.MarkChanged();
      cluster_.MarkUrgentChange();
    }
  }
  BeginChecks(now);
}

// A check costs the leader a connection and some processor time. Without a
// bound, thousands of instances under check would take the time that its lease
// and the workers' heartbeats need. What the bound leaves is spread evenly:
// each instance is checked more seldom, and the belief in its health lasts
// longer.
int RolloutManager::ChecksAllowed(Time now) {
  constexpr double kCostSeconds =
      1e-4;  // of one check: twice what was measured
  const double share = settings_.limits.cpu_share * tuning_.rollout_cpu_share;
  const int most =
      std::max(1, static_cast<int>(tuning_.rollout_check_share *
                                   settings_.limits.max_connections));
  if (share <= 0) return most - checks_in_flight_;
  const double rate = share / kCostSeconds;
  size_t instances = 0;
  for (const auto& [id, rollout] : rollouts_) instances += rollout.instances();
  for (auto& [id, rollout] : rollouts_) {
    rollout.SetPace(static_cast<double>(instances) / rate);
  }
  // A burst of as much as a tick brings, at least one.
  const double burst =
      std::max(1.0, rate * settings_.workers.heartbeat_interval_seconds / 2);
  checks_allowed_ = std::min(
      burst, checks_allowed_ + rate * std::max(0.0, now - checks_counted_));
  checks_counted_ = now;
  return std::min(most - checks_in_flight_, static_cast<int>(checks_allowed_));
}

void RolloutManager::BeginChecks(Time now) {
  int room = ChecksAllowed(now);
  // Each rollout in turn gets the first pick, so that none starves.
  std::vector<Rollout*> order;
  for (auto& [id, rollout] : rollouts_) order.push_back(&rollout);
  if (order.empty()) return;
  std::rotate(
      order.begin(),
      order.begin() + static_cast<long>(first_checked_++ % order.size()),
      order.end());
  for (Rollout* rollout : order) {
    if (room <= 0) return;
    for (const TaskAttemptKey& key :
         rollout->TakeDue(static_cast<size_t>(room), now)) {
      --room;
      const auto job = cluster_.jobs().find(key.job_id);
      const int32_t index = job == cluster_.jobs().end()
                                ? -1
                                : job->second->task(key.task).machine;
      if (index < 0) {
        rollout->OnCheck(key, {}, now);
        continue;
      }
      ++checks_in_flight_;
      checks_allowed_ -= 1;
      actions_.push_back(CheckInstance{rollout->spec().id, key,
                                       cluster_.machine(index).endpoint,
                                       rollout->record().spec});
    }
  }
}

void RolloutManager::QueueStep(RolloutStepWrite step) {
  writes_.Enqueue(std::make_unique<RolloutStepOperation>(*this, std::move(step)));
}

RolloutRecord RolloutManager::AfterOp(const RolloutRecord& record, const RolloutStepWrite& op) {
  RolloutRecord next = record;
  if (op.step == RolloutStep::kPaused) next.paused_in = next.step;
  next.step = op.step;
  next.reason = op.reason;
  if (op.compact) {
    constexpr size_t kMostReason = 64;
    next.reason.resize(std::min(next.reason.size(), kMostReason));
  }
  // One that has ended checks nothing any more.
  if (op.compact && Ended(op.step)) {
    auto spec = std::make_shared<RolloutSpec>(*record.spec);
    spec->check.path = HealthCheck().path;
    spec->check.verdict = HealthCheck().verdict;
    next.spec = std::move(spec);
  }
  // A wish that came while the step was being written stands.
  if (next.request == op.request) next.request = RolloutRequest::kNone;
  return next;
}

// The end of a rollout and of the job that it replaces, or takes back, stand
// in one transaction: the declaration was made by the user of both, and nobody
// is told of one without the other.
bool RolloutManager::BuildRolloutOp(const RolloutStepWrite& op, CompareAndSwap* txn) const {
  const auto known = catalog_.rollouts().find(op.name);
  if (known == catalog_.rollouts().end() || known->second.step == op.step) {
    return false;
  }
  const RolloutRecord next = AfterOp(known->second, op);
  const std::string key = keys::Of(keys::kRollout, op.name);
  txn->preconditions.push_back({key, known->second.mod_revision});
  if (!Ended(op.step)) {
    txn->mutations.push_back({key, next});
    return true;
  }
  txn->mutations.push_back({keys::Of(keys::kRolloutEnd, op.name), next});
  txn->mutations.push_back({key, {}});
  const std::string* ends = op.step == RolloutStep::kDone ? &next.spec->from
                            : op.step == RolloutStep::kRolledBack
                                ? &next.spec->to
                                : nullptr;
  const JobRecord* job = ends ? catalog_.FindJob(*ends) : nullptr;
  if (job != nullptr && job->terminal_state == TerminalState::kNone) {
    const std::string job_key = keys::Of(keys::kJob, *ends);
    txn->preconditions.push_back({job_key, job->mod_revision});
    txn->mutations.push_back(
        {job_key, TerminatedRecord(*job, TerminalState::kAborted, op.compact)});
  }
  return true;
}

void RolloutManager::RolloutOpDone(const RolloutStepWrite& op, uint64_t revision, Time now) {
  const auto it = rollouts_.find(op.name);
  if (revision > 0) {
    const auto known = catalog_.rollouts().find(op.name);
    if (known != catalog_.rollouts().end()) {
      const RolloutRecord next = AfterOp(known->second, op);
      const std::string key = keys::Of(keys::kRollout, op.name);
      if (Ended(op.step)) {
        catalog_.Erase(key, revision);
      } else {
        catalog_.Put(key, next, revision);
        OnRolloutRecord(op.name, now);
      }
    }
  }
  context_.Log("roll-out " + op.name + ": " + std::string(NameOf(op.step)) +
      (op.reason.empty() ? "" : ", " + op.reason));
  if (!Ended(op.step) || it == rollouts_.end()) return;
  const std::string from = it->second.spec().from;
  const std::string to = it->second.spec().to;
  rollouts_.erase(it);
  in_rollout_.erase(from);
  in_rollout_.erase(to);
  const std::string& ends = op.step == RolloutStep::kDone ? from : to;
  const auto job = cluster_.jobs().find(ends);
  if (op.step != RolloutStep::kFailed && job != cluster_.jobs().end() &&
      job->second->live()) {
    if (revision > 0) {
      if (const JobRecord* record = catalog_.FindJob(ends)) {
        catalog_.Put(
            keys::Of(keys::kJob, ends),
            TerminatedRecord(*record, TerminalState::kAborted, op.compact),
            revision);
      }
    }
    job->second->Change(JobState::kRecordingAbort);
    job_lifecycle_.OnTerminalStateRecorded(ends, TerminalState::kAborted, now);
  }
  cluster_.MarkChanged();
  cluster_.MarkUrgentChange();
}

void RolloutManager::OnAttemptStopping(const TaskAttempt& attempt) {
  if (attempt.job == nullptr || in_rollout_.empty()) return;
  const auto it = in_rollout_.find(attempt.job_id);
  if (it == in_rollout_.end()) return;
  rollouts_.at(it->second).NoteStopping(KeyOf(attempt));
}

}  // namespace oxbow
