#include "core/leader/leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oxbow {
namespace {

// For how long what was asked for shapes the measure of fragmentation, in
// worker leases: some waves of work, not the whole day.
constexpr double kMixLeases = 15;

using enum ScaleOutState;

constexpr std::array kScaleOutTransitions = {
    std::pair{kRecording, kRequesting},
    std::pair{kRequesting, kSettled},
};

}  // namespace

void Leader::ScaleOutRequest::Change(ScaleOutState next) {
  CheckedChange(state, next, kScaleOutTransitions, "rental");
}

Leader::Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
               uint64_t revision, Time now, double wall_minus_steady,
               uint64_t seed,
               const std::optional<std::set<std::string>>& delegates)
    : settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      revision_(revision),
      term_(TermOf(catalog.epoch(), revision)),
      started_(now),
      wall_minus_steady_(wall_minus_steady),
      timeouts_(SilenceTimeouts::From(settings.workers, tuning)),
      numbers_(term_),
      fragmentation_(kMixLeases * settings.workers.lease_seconds,
                     settings.workers.heartbeat_interval_seconds),
      placer_(tuning, seed),
      queue_ranking_(settings, tuning),
      dependency_graph_(*this),
      writes_(settings, LeadershipPreconditions(catalog, revision), *this,
              actions_),
      liveness_(settings, tuning, timeouts_, machines_, now, seed, actions_),
      zones_(settings, now, delegates),
      tiers_(settings, tuning.tiers > 0),
      calendar_(settings.workers.lease_seconds, settings.clock_off_ms / 1000) {
  if (tuning.fragmentation_weight > 0) {
    placer_.SetFragmentation(&fragmentation_);
  }
  for (const TeamQuota& team : settings.teams)
    quotas_.push_back({team, {}, {}, {}});
  for (const auto& [host, record] : catalog.machines()) {
    Machine& machine = AddMachine(host, record);
    machine.incarnation.Change(IncarnationEvent::kFailover, 0, now);
    machine.recorded_up = !record.endpoint.empty();
    machine.requested_at =
        std::min(now, record.requested_wall - wall_minus_steady);
    if (machine.recorded_up) actions_.push_back(Probe{host, machine.endpoint});
  }
  for (const auto& [id, record] : catalog.jobs()) AddJob(record, now);
  std::vector<std::string> waiting;
  for (const auto& [id, record] : catalog.waiting()) waiting.push_back(id);
  for (const std::string& id : waiting) OnWaitingRecord(id, now);
  for (const auto& [name, record] : catalog.scale_outs()) {
    // Asked for by an earlier leader, perhaps: repeating the request under its
    // own name gets the same answer, or rents now what will be used.
    ScaleOutRequest& scale_out = scale_outs_[name];
    scale_out.record = record;
    scale_out.Change(kRequesting);
  }
  std::vector<std::pair<uint64_t, std::string>> rollouts;
  for (const auto& [id, record] : catalog.rollouts()) {
    rollouts.emplace_back(record.mod_revision, id);
  }
  std::sort(rollouts.begin(), rollouts.end());
  for (const auto& [mod_revision, id] : rollouts) OnRolloutRecord(id, now);
  Log("leading under revision " + std::to_string(revision) + ": " +
      std::to_string(jobs_.size()) + " jobs, " +
      std::to_string(machines_.size()) + " machines, " +
      std::to_string(scale_outs_.size()) + " open rentals");
}

void Leader::OnTypes(const std::vector<MachineType>& types) {
  for (const MachineType& type : types) types_[type.name] = type;
  for (auto& machine : machines_) {
    const auto it = types_.find(machine->type_name);
    machine->type = it == types_.end() ? nullptr : &it->second;
  }
  dirty_ = true;
}

void Leader::AddJob(const JobRecord& record, Time now) {
  const auto team = std::find_if(
      quotas_.begin(), quotas_.end(), [&](const QuotaUsage& quota) {
        return quota.settings.name == record.spec->team;
      });
  const int index =
      team == quotas_.end() ? -1 : static_cast<int>(team - quotas_.begin());
  const Time submitted =
      std::min(now, record.submitted_wall - wall_minus_steady_);
  const Time queued_since =
      record.released_wall > 0
          ? std::min(now, record.released_wall - wall_minus_steady_)
          : submitted;
  auto job = std::make_unique<Job>(record, index, submitted, queued_since);
  if (record.terminal_state == TerminalState::kDone) {
    job->Change(JobState::kDone);
  }
  if (record.terminal_state == TerminalState::kAborted) {
    job->Change(JobState::kAborted);
  }
  // What is written back gets a new stamp, but is as old as it was.
  job->from_before = record.mod_revision <= revision_;
  job->tier = tiers_.Classify(job->spec());
  Job& added = *job;
  added.inherit(dependency_graph_.InheritedBy(added.id()));
  jobs_[record.spec->id] = std::move(job);
  // A worker may have told of the job before its record was read here.
  for (auto& machine : machines_) {
    for (auto it = machine->task_attempts.lower_bound({added.id(), 0, 0});
         it != machine->task_attempts.end() && it->first.job_id == added.id();
         ++it) {
      TaskAttempt& attempt = it->second;
      if (attempt.job != nullptr || attempt.task >= added.size()) continue;
      const bool there = attempt.phase != TaskPhase::kExited;
      if (IsOrphaned(attempt)) --machine->orphaned_tasks;
      attempt.job = &added;
      added.ChangePresence(machine->index(), 0, 1);
      if (there) ChargeQuota(*machine, attempt);
      // It has run on since its record was lost: it is the job's task, not a
      // second copy of it.
      if (RecoveryEnabled() && there && !attempt.stopping)
        AssignTask(added, *machine, attempt, there);
    }
  }
  if (!added.live()) {
    RetireIfClear(added);
    OnTerminalStateKnown(added.id(), record.terminal_state, now);
  }
  quiet_since_ = now;
  queue_ranking_.Seen(added.spec());
  fragmentation_.Note(added.spec(), added.queued_since());
  Resources& shape = accelerator_shape_;
  const Resources& need = added.spec().need;
  if (need.gpus > 0) {
    shape = {std::max(shape.cpus, need.cpus), std::max(shape.gpus, need.gpus),
             std::max(shape.memory_gb, need.memory_gb)};
  }
  dirty_ = true;
  if (added.spec().priority == Priority::kProduction) urgent_dirty_ = true;
}

void Leader::OnJobRecord(const std::string& id, Time now) {
  const JobRecord* record = catalog_.FindJob(id);
  if (record == nullptr) return;
  const bool cancelled = StopWaiting(id);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    AddJob(*record, now);
    // Not sent from here: this may follow from a write that is being built.
    const auto added = jobs_.find(id);
    if (cancelled && added->second->live()) {
      FinishJob(*added->second, TerminalState::kAborted);
    }
    ScheduleIfNeeded(now);
  } else if (record->terminal_state != TerminalState::kNone) {
    OnTerminalStateRecorded(id, record->terminal_state, now);
  }
}

void Leader::OnOperatorRecord(const std::string& name, Time now) {
  OnMoveRecord(name, now);
  dirty_ = true;
  ScheduleIfNeeded(now);
}

bool Leader::Cancel(const std::string& id, Time now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    if (CancelWaiting(id, now)) return true;
    const TerminalState known = catalog_.FindTerminalState(id);
    if (known == TerminalState::kNone) return false;
    actions_.push_back(JobTerminated{id, known});
    return true;
  }
  Job& job = *it->second;
  if (job.live()) {
    Log("cancel " + id + ": asked by its user");
    FinishJob(job, TerminalState::kAborted);
    writes_.Flush(now);
  } else if (job.state() == JobState::kDone) {
    actions_.push_back(JobTerminated{id, TerminalState::kDone});
  } else if (CancellationStands(job)) {
    actions_.push_back(JobTerminated{id, TerminalState::kAborted});
  }
  return true;
}

// The record comes first. Nobody is told, and no task stopped, before it
// stands: a leader that crashes in between must not leave a half-ended job.
void Leader::FinishJob(Job& job, TerminalState state) {
  job.Change(state == TerminalState::kDone ? JobState::kRecordingDone
                                           : JobState::kRecordingAbort);
  writes_.Queue({WriteKind::kFinish, job.id(), state, {}});
}

void Leader::OnTerminalStateRecorded(const std::string& id, TerminalState state,
                                     Time now) {
  OnTerminalStateKnown(id, state, now);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = *it->second;
  if (job.ended_by_record()) return;
  job.Change(state == TerminalState::kDone ? JobState::kDone
                                           : JobState::kAborted);
  job.ended = now;
  Log("job " + id + (state == TerminalState::kDone ? " done" : " cancelled") +
      ", recorded");
  // That it is cancelled is told once nothing is left of it (Done, kRetire).
  if (state == TerminalState::kDone)
    actions_.push_back(JobTerminated{id, state});
  StopJob(job, now);
  DropReservation(&job, nullptr);
  RetireIfClear(job);
  dirty_ = true;
}

// The record moves to the terminal states once no task of the job can be on any
// machine: until then a new leader needs what its tasks hold. The user of a
// cancelled job waits for that.
void Leader::RetireIfClear(Job& job) {
  if (!job.ended_by_record() || job.holding() > 0) return;
  // A machine not heard yet may hold tasks that a former leader has started.
  if (!AllAccounted()) return;
  writes_.Queue({WriteKind::kRetire, job.id(), TerminalState::kNone, {}},
                /*lazy=*/job.state() == JobState::kDone);
}

bool Leader::CancellationStands(const Job& job) const {
  return job.state() == JobState::kAborted &&
         catalog_.FindTerminalState(job.id()) == TerminalState::kAborted;
}

JobObservation Leader::View(const std::string& id, JobView* out) const {
  const auto it = jobs_.find(id);
  const DependentJob* chain = dependency_graph_.Find(id);
  if (it == jobs_.end() && chain != nullptr &&
      catalog_.FindWaiting(id) != nullptr) {
    *out = {"pending", 0, 0};
    // The write that ends it may have left, and been read elsewhere.
    return chain->state == DependencyState::kCancelling
               ? JobObservation::kInDoubt
               : JobObservation::kLive;
  }
  if (it == jobs_.end()) {
    return ViewOrphanedTasks(id, out) ? JobObservation::kUnrecorded
                                      : JobObservation::kUnseen;
  }
  const Job& job = *it->second;
  out->done = job.done();
  out->running = job.running();
  if (job.state() == JobState::kDone) {
    out->status = "done";
    out->done = job.size();
    out->running = 0;
    return JobObservation::kEnded;
  }
  if (CancellationStands(job)) {
    out->status = "aborted";
    return JobObservation::kEnded;
  }
  out->status = job.running() > 0 ? "running" : "pending";
  // Another controller may have read the end by now, and told it: see
  // went-back-done-told-elsewhere.txt.
  const JobRecord* record = catalog_.FindJob(id);
  const uint64_t mod_revision = record == nullptr ? 0 : record->mod_revision;
  return consistency_gate_.InDoubt(id, mod_revision) ? JobObservation::kInDoubt
                                                     : JobObservation::kLive;
}

bool Leader::AllAccounted() const {
  return std::all_of(machines_.begin(), machines_.end(), [](const auto& m) {
    return !m->recorded_up || m->reported || m->state() == MachineState::kGone;
  });
}

void Leader::OnReach(uint64_t round, std::vector<Reach> answers, Time now) {
  if (!liveness_.OnReach(round, std::move(answers), now)) resigned_ = true;
}

void Leader::OnTransferAccepted() {
  resigned_ = true;
  liveness_.OnTransferAccepted();
}

uint64_t Leader::NextNumber() {
  const auto number = numbers_.Next();
  if (number) return *number;
  if (!resigned_) {
    resigned_ = true;
    actions_.push_back(Resign{"numbers of this revision are used up"});
  }
  // Above the range there is nothing safe to give; the caller checks.
  return 0;
}

void Leader::Log(std::string text) {
  actions_.push_back(LogEvent{std::move(text), false});
}

void Leader::LogFragmentation(Time now) {
  if (tuning_.fragmentation_weight <= 0 || now < next_fragmentation_log_) {
    return;
  }
  constexpr double kEvery = 60;  // s: for people, whatever the lease
  next_fragmentation_log_ = now + kEvery;
  const FragmentationCount n = CountFragmentation();
  if (n.accelerators <= 0) return;
  const auto whole = [](double x) {
    return std::to_string(static_cast<int64_t>(std::llround(x)));
  };
  Log("fragmentation: of " + whole(n.accelerators) + " accelerators " +
      whole(n.free) + " free, " + whole(n.useless) +
      " of these of no use to what is asked " + "for; " +
      std::to_string(n.whole) + " machines whole, " +
      std::to_string(n.fragmented) + " fragmented" +
      (rebalancer_
           ? "; moves settled " + std::to_string(rebalancer_->settled()) +
                 ", given up " + std::to_string(rebalancer_->given_up())
           : ""));
}

void Leader::Tick(Time now, bool by_lease) {
  liveness_.Count(now);
  incarnations_unsettled_ = false;
  for (auto& machine : machines_) TickMachine(*machine, now, by_lease);
  if (incarnations_unsettled_ && now >= next_delegates_read_) {
    next_delegates_read_ = now + LeaseYieldSeconds(settings_.workers);
    actions_.push_back(ReadDelegates{});
  }
  liveness_.Ask(now);
  for (auto& [name, scale_out] : scale_outs_) {
    if (scale_out.state == kRequesting && now >= scale_out.next_try) {
      Request(name, now);
    }
    if (scale_out.state == kSettled) SettleScaleOut(name);
  }
  TickRollouts(now);
  TickMoves(now);
  TickReconciliation(now);
  std::erase_if(refused_until_,
                [now](const auto& e) { return e.second <= now; });
  if (now >= next_autoscaler_run_) {
    SurveyTiers();
    PollDependencies(now);
    RunAutoscaler(now);
    next_autoscaler_run_ = now + settings_.workers.heartbeat_interval_seconds;
    TickCalendar(now);
    for (auto& [id, job] : jobs_) RetireIfClear(*job);
    LogFragmentation(now);
    // Backed-off jobs, expired reservations, machines no longer suspect.
    dirty_ = true;
  }
  Settle(now);
}

void Leader::Settle(Time now) {
  ScheduleIfNeeded(now);
  writes_.Flush(now);
}

}  // namespace oxbow
