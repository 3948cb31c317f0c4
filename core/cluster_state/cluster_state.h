// The leader's in-memory view of the cluster: machines, jobs, the task attempts
// that link jobs to machines, and each team's quota usage. ClusterState owns
// all four and the indices between them. Every kind of change goes through one
// function, so that the indices stay consistent. Every module may read it. A
// new leader rebuilds it from the stored records and from heartbeats; the view
// itself is never stored.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/model/fencing_token.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/placement/placement.h"

namespace oxbow {

// How much of its quota one team uses, and how much of it the current
// scheduling pass reserves for the team's waiting jobs.
struct QuotaUsage {
  TeamQuota quota;
  Resources used;  // by attempts that are, or may be, on a machine

  // The following fields are valid within one scheduling pass.
  // Quota reserved for jobs that wait until enough of it is free.
  Resources reserved_for_waiting;
  // The part of `used` that is released before those jobs can start. The
  // reserved quota has to fit once this much less is in use.
  Resources released_before_reserved_use;
  // Jobs that wait for the quota and rank before those it is reserved for. No
  // quota is reserved for them: their tasks share it in turn.
  std::vector<const Job*> round_robin_jobs;
  // Lower bound of the time until the reserved quota can be used, estimated
  // from the jobs in `round_robin_jobs`; s.
  double seconds_until_reserved_use = 0;
  // Upper bound of what running tasks whose job is unknown use.
  Resources orphaned_tasks;

  bool has_maximum() const { return quota.cpus_max > 0 || quota.gpus_max > 0; }
  bool has_reserved_quota() const {
    return reserved_for_waiting.cpus > 0 || reserved_for_waiting.gpus > 0;
  }
  // Whether a total use of `total` is within the team's maximum.
  bool WithinMaximum(const Resources& total) const;
  // Whether the job is estimated to end before the reserved quota can be used,
  // so that it may use that quota meanwhile (backfilling).
  bool EndsBeforeReservedUse(const JobSpec& spec) const;
};

// Identifies an attempt together with its machine, which is never null.
struct PlacedAttempt {
  Machine* machine = nullptr;
  TaskAttemptKey key;
};

// One exists per leadership. Not thread-safe. A returned reference stays valid
// until the object is removed with RemoveJob, RemoveAttempt or MarkAllLost;
// machines are never removed.
class ClusterState {
 public:
  // Lets other modules maintain their own indices over the attempts. Called
  // during a change, when ClusterState is already consistent for the attempt.
  class Observer {
   public:
    virtual ~Observer() = default;
    // An attempt of the job starts, or ceases, to occupy capacity.
    virtual void OnCapacityCharged(const Job& job, const Resources& need) = 0;
    virtual void OnCapacityReleased(const Job& job, const Resources& need) = 0;
    // The leader has decided to stop the attempt.
    virtual void OnAttemptStopping(const TaskAttempt& attempt) = 0;
    // An attempt of the job has been removed from its machine.
    virtual void OnAttemptRemoved(Job& job) = 0;
  };
  using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;
  using Machines = std::vector<std::unique_ptr<Machine>>;
  using MachineTypes = std::map<std::string, MachineType>;

  // `first_token`: the lowest fencing token of this leadership.
  // `keeps_unknown_tasks`: whether running tasks whose job is unknown are
  // counted as orphaned until the job's record has been read. If false, they
  // are not counted, and their job starts new attempts.
  ClusterState(const Settings& settings, FencingToken first_token,
               bool keeps_unknown_tasks, Observer& observer);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // --- machines
  void SetMachineTypes(const std::vector<MachineType>& types);
  const MachineTypes& types() const { return types_; }
  const Machines& machines() const { return machines_; }
  Machine& machine(int32_t index) const {
    return *machines_[static_cast<size_t>(index)];
  }
  // Null if there is no such machine, or if it has been deleted.
  Machine* FindMachine(const std::string& host) const;
  Machine& AddMachine(const std::string& host, const MachineRecord& record);
  // To be called when the cloud has confirmed the deletion. The object stays,
  // in state kDeleted, and its host name is never used again.
  void MarkDeleted(Machine& machine);
  bool IsDeleted(const std::string& host) const {
    return deleted_hosts_.contains(host);
  }
  // Whether every machine that is recorded as up has reported to this leader or
  // has been deleted.
  bool AllMachinesAccountedFor() const;

  // --- jobs
  const Jobs& jobs() const { return jobs_; }
  Job* FindJob(const std::string& id) const;
  // Adds a job. Attempts that workers reported before the job's record was read
  // are assigned to it.
  Job& AddJob(std::unique_ptr<Job> job);
  // Removes the job and its reservations. Its attempts stay, without a job.
  void RemoveJob(const std::string& id);

  // --- task attempts
  // Adds an attempt to a machine. `present`: whether it occupies capacity.
  TaskAttempt& AddAttempt(Machine& machine, TaskAttempt attempt, bool present);
  // To be called when the attempt is certainly not on the machine, or not any
  // more. Does nothing if there is no such attempt.
  void RemoveAttempt(Machine& machine, const TaskAttemptKey& key);
  // Removes all attempts, queued commands and the batch in flight. To be called
  // when nothing of them can be on the machine any more: the worker's
  // incarnation has changed or expired, or the machine has been deleted.
  void MarkAllLost(Machine& machine);
  // Releases the capacity that the attempt occupies, if any.
  void ReleaseCapacity(Machine& machine, TaskAttempt& attempt);
  // To be called when a heartbeat shows that the attempt has exited. Releases
  // its capacity; the attempt stays listed until RemoveAttempt.
  void MarkExited(Machine& machine, TaskAttempt& attempt, ExitReason reason);
  void SetStopping(Machine& machine, TaskAttempt& attempt, bool stopping);
  // Makes the attempt the current one of its task if the task has none, or has
  // an older one on a machine that has not reported to this leader.
  void AssignTask(Job& job, Machine& machine, const TaskAttempt& attempt,
                  bool present);
  // Whether the attempt is the current one of its task.
  static bool IsCurrent(const Machine& machine, const TaskAttempt& attempt);
  // Whether the attempt has not exited although its job is unknown. Always
  // false without `keeps_unknown_tasks`.
  bool IsOrphaned(const TaskAttempt& attempt) const {
    return keeps_unknown_tasks_ && attempt.job == nullptr &&
           attempt.phase != TaskPhase::kExited;
  }
  std::vector<PlacedAttempt> AttemptsOf(const Job& job) const;
  // Whether the job has an attempt with a number above `attempt`.
  bool HasLaterAttempt(const Job& job, uint64_t attempt) const;
  // The number of attempts of the job that are, or may be, on the machine.
  static int CountOn(const Job& job, const Machine& machine);
  // The number of the job's attempts by zone. Empty for jobs whose placement
  // does not depend on it: neither services nor `spread` nor `one_zone`.
  ZoneSpread ZoneSpreadOf(const Job& job) const;

  // --- quotas
  std::vector<QuotaUsage>& quotas() { return quotas_; }
  // `team`: the index that FindQuota returns; must not be negative.
  QuotaUsage& quota(int team) { return quotas_[static_cast<size_t>(team)]; }
  const QuotaUsage& quota(int team) const {
    return quotas_[static_cast<size_t>(team)];
  }
  // The index of the team's quota; -1 if the team has none.
  int FindQuota(const std::string& team) const;
  // Whether the team's maximum allows `tasks` more tasks of the job.
  bool QuotaAllows(const Job& job, double tasks) const;
  // The most that orphaned tasks can use of any quota: the total capacity of
  // the machines that have some.
  Resources OrphanedTasksUpperBound() const;

  // --- reservations
  // The capacity that is reserved for the job on the machine.
  static Resources ReservedFor(const Job& job, const Machine& machine);
  // Drops one reservation of the job on the machine, if there is one.
  static void DropReservation(const Job& job, Machine& machine);
  void DropAllReservations(const Job& job);

  // --- demand
  // To be called when a job was submitted or waits for capacity.
  void NoteDemand(Time now) { last_demand_ = now; }
  // The time of the last such call. Before the first one a time far in the
  // future, so that the cluster never counts as quiescent.
  Time last_demand() const { return last_demand_; }
  // For each resource, the largest amount that one task with accelerators has
  // requested; zero if there was no such task.
  const Resources& largest_accelerator_task() const {
    return largest_accelerator_task_;
  }

  // --- changes since the last scheduling pass
  void MarkChanged() { changed_ = true; }
  // The change affects production jobs or rollouts: the next scheduling pass
  // must not be delayed to batch it with other changes.
  void MarkUrgentChange() { urgent_ = true; }
  bool changed() const { return changed_; }
  bool urgent() const { return urgent_; }
  void ClearChanges() { changed_ = urgent_ = false; }

 private:
  // Charges the capacity that the attempt occupies to its machine, team and
  // job.
  void ChargeCapacity(Machine& machine, TaskAttempt& attempt);
  // Assigns the attempts that were reported before the job's record was read to
  // the job.
  void AdoptAttempts(Job& job);

  static constexpr Time kNeverQuiescent = 1e18;

  const FencingToken first_token_;
  const bool keeps_unknown_tasks_;
  Observer& observer_;
  MachineTypes types_;
  Machines machines_;
  std::unordered_map<std::string, int32_t> machine_index_;
  std::unordered_set<std::string> deleted_hosts_;
  Jobs jobs_;
  std::vector<QuotaUsage> quotas_;
  Time last_demand_ = kNeverQuiescent;
  Resources largest_accelerator_task_;
  bool changed_ = true;
  bool urgent_ = true;
};

}  // namespace oxbow
