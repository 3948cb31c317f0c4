#include "core/scheduler/task_starter.h"

#include <utility>

#include "core/maintenance/maintenance_manager.h"

namespace oxbow {

TaskStarter::TaskStarter(LeaderContext& context,
                         MaintenanceManager& maintenance)
    : context_(context),
      cluster_(context.cluster),
      tiers_(context.tiers),
      maintenance_(maintenance) {}

void TaskStarter::StartNextTask(Job& job, Machine& machine, uint64_t attempt,
                                Time now) {
  const JobSpec& spec = job.spec();
  const auto task = static_cast<uint32_t>(job.PeekPending());
  job.PopPending();
  LogStart(job, task, machine, now);

  TaskAttempt task_attempt;
  task_attempt.job = &job;
  task_attempt.job_id = spec.id;
  task_attempt.task = task;
  task_attempt.attempt = attempt;
  task_attempt.start_progress = StartProgress::kQueued;
  task_attempt.started = now;
  task_attempt.backfilled =
      job.team() >= 0 && cluster_.quota(job.team()).has_reserved_quota();

  machine.idle_since = 0;
  tiers_.TakeCapacity(machine.zone, spec.need);
  tiers_.OnTaskStarted(job, job.tier, machine.zone, spec.need,
                       machine.GbToFetch(spec.image, spec.image_gb) > 0, now);
  machine.QueueImage(spec.image, spec.image_gb, now);
  machine.queue.push_back({CommandKind::kStart, spec.id, task, attempt, 0});
  cluster_.AddAttempt(machine, std::move(task_attempt), /*present=*/true);
  job.Place(task, machine.index(), attempt);
  maintenance_.NoteStart(job);
  job.ChangeTask(task, TaskState::kStarting);
  ClusterState::DropReservation(job, machine);
}

void TaskStarter::LogStart(const Job& job, uint32_t task,
                           const Machine& machine, Time now) {
  context_.LogDetail([&] {
    const JobSpec& spec = job.spec();
    const char* image = "queued";
    if (machine.HasImage(spec.image)) {
      image = "cached";
    } else if (machine.GbToFetch(spec.image, spec.image_gb) > 0) {
      image = "to_fetch";
    }
    return LogEvent{"starting task",
                    {{"job", spec.id},
                     {"task", task},
                     {"host", machine.host()},
                     {"image", image},
                     {"waited_seconds", now - job.queued_since()}}};
  });
}

}  // namespace oxbow
