#include "core/job_lifecycle/job_lifecycle.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/command_dispatch/command_dispatcher.h"
#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_record_operations.h"

namespace oxbow {

JobLifecycle::JobLifecycle(LeaderContext& context, const Modules& modules)
    : context_(context),
      catalog_(context.catalog),
      cluster_(context.cluster),
      writes_(context.writes),
      actions_(context.actions),
      tiers_(context.tiers),
      fragmentation_(context.fragmentation),
      queue_ranking_(context.queue_ranking),
      dispatcher_(modules.dispatcher),
      dependencies_(modules.dependencies),
      consistency_gate_(modules.consistency_gate) {}

void JobLifecycle::AddJob(const JobRecord& record, Time now) {
  const int team = cluster_.FindQuota(record.spec->team);
  const Time submitted =
      std::min(now, record.submitted_wall - context_.wall_minus_steady);
  const Time queued_since =
      record.released_wall > 0
          ? std::min(now, record.released_wall - context_.wall_minus_steady)
          : submitted;
  auto job = std::make_unique<Job>(record, team, submitted, queued_since);
  if (record.terminal_state == TerminalState::kDone) {
    job->Change(JobState::kDone);
  }
  if (record.terminal_state == TerminalState::kAborted) {
    job->Change(JobState::kAborted);
  }
  // A record that was written back has a new mod revision, but is as old as it
  // was.
  job->accepted_before_leadership = record.mod_revision <= context_.revision;
  job->tier = tiers_.Classify(job->spec());
  job->set_inherited(dependencies_.InheritedBy(job->id()));
  Job& added = cluster_.AddJob(std::move(job));
  if (!added.live()) {
    RetireIfClear(added);
    dependencies_.OnTerminalStateKnown(added.id(), record.terminal_state, now);
  }
  cluster_.NoteDemand(now);
  queue_ranking_.OnJobAdded(added.spec());
  fragmentation_.AddJobToMix(added.spec(), added.queued_since());
  cluster_.MarkChanged();
  if (added.spec().priority == Priority::kProduction)
    cluster_.MarkUrgentChange();
}

void JobLifecycle::OnJobRecord(const std::string& id, Time now) {
  const JobRecord* record = catalog_.FindJob(id);
  if (record == nullptr) return;
  const bool cancelled = dependencies_.OnDependentReleased(id);
  const auto it = cluster_.jobs().find(id);
  if (it == cluster_.jobs().end()) {
    AddJob(*record, now);
    // No flush here: this may be called while a transaction is being built.
    const auto added = cluster_.jobs().find(id);
    if (cancelled && added->second->live()) {
      FinishJob(*added->second, TerminalState::kAborted);
    }
    context_.schedule_if_needed(now);
  } else if (record->terminal_state != TerminalState::kNone) {
    OnTerminalStateRecorded(id, record->terminal_state, now);
  }
}

bool JobLifecycle::Cancel(const std::string& id, Time now) {
  const auto it = cluster_.jobs().find(id);
  if (it == cluster_.jobs().end()) {
    if (dependencies_.CancelWaiting(id, now)) return true;
    const TerminalState known = catalog_.FindTerminalState(id);
    if (known == TerminalState::kNone) return false;
    actions_.push_back(JobTerminated{id, known});
    return true;
  }
  Job& job = *it->second;
  if (job.live()) {
    context_.Log("job cancellation requested", {{"job", id}});
    FinishJob(job, TerminalState::kAborted);
    writes_.Flush(now);
  } else if (job.state() == JobState::kDone) {
    actions_.push_back(JobTerminated{id, TerminalState::kDone});
  } else if (CancellationCompleted(job)) {
    actions_.push_back(JobTerminated{id, TerminalState::kAborted});
  }
  return true;
}

// The record comes first. No user gets an answer, and no task is stopped,
// before it is written: a leader that crashes in between must not leave a job
// that has ended in part.
void JobLifecycle::FinishJob(Job& job, TerminalState state) {
  job.Change(state == TerminalState::kDone ? JobState::kRecordingDone
                                           : JobState::kRecordingAbort);
  writes_.Enqueue(std::make_unique<FinishJobOperation>(
      context_, consistency_gate_, *this, job.id(), state));
}

void JobLifecycle::OnTerminalStateRecorded(const std::string& id,
                                           TerminalState state, Time now) {
  dependencies_.OnTerminalStateKnown(id, state, now);
  const auto it = cluster_.jobs().find(id);
  if (it == cluster_.jobs().end()) return;
  Job& job = *it->second;
  if (job.terminal_state_recorded()) return;
  job.Change(state == TerminalState::kDone ? JobState::kDone
                                           : JobState::kAborted);
  job.ended_at = now;
  context_.Log(
      "job ended",
      {{"job", id},
       {"state", state == TerminalState::kDone ? "done" : "cancelled"}});
  // A cancellation is answered once nothing is left of the job; see
  // RetireJobOperation.
  if (state == TerminalState::kDone)
    actions_.push_back(JobTerminated{id, state});
  dispatcher_.StopJob(job, now);
  cluster_.DropAllReservations(job);
  RetireIfClear(job);
  cluster_.MarkChanged();
}

// The record moves to the terminal records once no task of the job can be on
// any machine: until then a new leader needs to know what its tasks occupy. The
// user of a cancelled job waits for that.
void JobLifecycle::RetireIfClear(Job& job) {
  if (!job.terminal_state_recorded() || job.charged_attempts() > 0) return;
  // A machine that has sent no heartbeat yet may run tasks that a former leader
  // has started.
  if (!cluster_.AllMachinesAccountedFor()) return;
  writes_.Enqueue(std::make_unique<RetireJobOperation>(
                      context_, consistency_gate_, job.id()),
                  job.state() == JobState::kDone ? WritePriority::kBackground
                                                 : WritePriority::kUrgent);
}

bool JobLifecycle::CancellationCompleted(const Job& job) const {
  return job.state() == JobState::kAborted &&
         catalog_.FindTerminalState(job.id()) == TerminalState::kAborted;
}

}  // namespace oxbow
