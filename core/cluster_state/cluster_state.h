// The leader's view of the cluster: machines, jobs, the task attempts that tie
// them together, and what each team uses of its quota. Owns all four and the
// indices between them; there is one function for each change, so the indices
// can't disagree. Everybody may read. Rebuilt from heartbeats and records by
// each new leader; nothing of it is stored.
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

// What one team uses of its quota.
struct QuotaUsage {
  TeamQuota quota;
  Resources used;  // by attempts that are, or may be, on a machine
  // Within one scheduling pass:
  Resources reserved_for_waiting;  // for jobs that wait for the quota
  // Of `used`, what is released before those jobs can start: with this much
  // less in use, what is held must fit.
  Resources released_before_reserved_use;
  // Jobs that wait for the quota and come before those it is held for. They
  // hold nothing of it: their tasks take turns.
  std::vector<const Job*> round_robin_jobs;
  // What is held can't be used any sooner, as far as those turns tell; s.
  double seconds_until_reserved_use = 0;
  Resources orphaned_tasks;  // what tasks without a known job may use

  bool has_maximum() const { return quota.cpus_max > 0 || quota.gpus_max > 0; }
  bool has_reserved_quota() const {
    return reserved_for_waiting.cpus > 0 || reserved_for_waiting.gpus > 0;
  }
  // Whether the team may use so much in all.
  bool WithinMaximum(const Resources& total) const;
  // Whether the job is estimated to end before what is held can be used.
  bool EndsBeforeReservedUse(const JobSpec& spec) const;
};

// An attempt and the machine that it is on. `machine` is never null.
struct PlacedAttempt {
  Machine* machine = nullptr;
  TaskAttemptKey key;
};

// One per leadership. Not thread-safe. The references that it hands out stay
// valid until the object is removed by the function that says so.
class ClusterState {
 public:
  // Modules with indices of their own over the attempts. Called within the
  // change, after the state itself is consistent for that attempt.
  class Observer {
   public:
    virtual ~Observer() = default;
    // An attempt of the job occupies its capacity from now on; or no longer.
    virtual void OnCapacityCharged(const Job& job, const Resources& need) = 0;
    virtual void OnCapacityReleased(const Job& job, const Resources& need) = 0;
    // A stop of the attempt has been decided.
    virtual void OnAttemptStopping(const TaskAttempt& attempt) = 0;
    // An attempt of the job is gone from its machine.
    virtual void OnAttemptRemoved(Job& job) = 0;
  };
  using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;
  using Machines = std::vector<std::unique_ptr<Machine>>;
  using MachineTypes = std::map<std::string, MachineType>;

  // `first_token`: the lowest fencing token of this leadership.
  // `keeps_unknown_tasks`: a running task of no known job counts as orphaned
  // until its job is known; else it does not count.
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
  // Null if there is no such machine, or if it is deleted.
  Machine* FindMachine(const std::string& host) const;
  Machine& AddMachine(const std::string& host, const MachineRecord& record);
  // The cloud has confirmed the deletion. The object stays, as kDeleted; its
  // host is never used again.
  void MarkDeleted(Machine& machine);
  bool IsDeleted(const std::string& host) const {
    return deleted_hosts_.contains(host);
  }
  // Whether every recorded machine has reported to this leader or is gone.
  bool AllMachinesAccountedFor() const;

  // --- jobs
  const Jobs& jobs() const { return jobs_; }
  Job* FindJob(const std::string& id) const;
  // Attempts of the job that were reported before its record was read become
  // its attempts.
  Job& AddJob(std::unique_ptr<Job> job);
  // Its attempts stay, as those of no known job; its reservations go.
  void RemoveJob(const std::string& id);

  // --- task attempts
  // Enters an attempt. `present`: it occupies its capacity.
  TaskAttempt& AddAttempt(Machine& machine, TaskAttempt attempt, bool present);
  // It is surely not on the machine (any more). No such attempt: nothing.
  void RemoveAttempt(Machine& machine, const TaskAttemptKey& key);
  // Nothing that was on the machine or was sent to it can be there any more:
  // its incarnation has changed or expired, or it is deleted.
  void MarkAllLost(Machine& machine);
  // Gives back what the attempt occupies; a second time: nothing.
  void ReleaseCapacity(Machine& machine, TaskAttempt& attempt);
  // A heartbeat shows that the attempt has ended. Its exit stays listed.
  void MarkExited(Machine& machine, TaskAttempt& attempt, ExitReason reason);
  void SetStopping(Machine& machine, TaskAttempt& attempt, bool stopping);
  // Makes the attempt the current one of its task, if the task has none or an
  // older one on a machine that has not reported to this leader.
  void AssignTask(Job& job, Machine& machine, const TaskAttempt& attempt,
                  bool present);
  // Whether the attempt is the current one of its task.
  static bool IsCurrent(const Machine& machine, const TaskAttempt& attempt);
  // Whether it runs though its job is not known.
  bool IsOrphaned(const TaskAttempt& attempt) const {
    return keeps_unknown_tasks_ && attempt.job == nullptr &&
           attempt.phase != TaskPhase::kExited;
  }
  std::vector<PlacedAttempt> AttemptsOf(const Job& job) const;
  // Whether an attempt of the job with a higher number is known.
  bool HasLaterAttempt(const Job& job, uint64_t attempt) const;
  // How many attempts of the job are, or may be, on the machine.
  static int CountOn(const Job& job, const Machine& machine);
  // Where the job's attempts are, for `spread` and `one_zone`.
  ZoneSpread ZoneSpreadOf(const Job& job) const;

  // --- quotas
  std::vector<QuotaUsage>& quotas() { return quotas_; }
  // `team`: Job::team(), not negative.
  QuotaUsage& quota(int team) { return quotas_[static_cast<size_t>(team)]; }
  const QuotaUsage& quota(int team) const {
    return quotas_[static_cast<size_t>(team)];
  }
  // The index of the team's quota; -1 if it has none.
  int FindQuota(const std::string& team) const;
  // Whether the team's maximum allows so many more tasks of the job.
  bool QuotaAllows(const Job& job, double tasks) const;
  // The most that tasks of no known job can use of any quota.
  Resources OrphanedTasksUpperBound() const;

  // --- reservations
  // Capacity reserved for the job on the machine.
  static Resources ReservedFor(const Job& job, const Machine& machine);
  // Drops one reservation of the job on the machine.
  static void DropReservation(const Job& job, Machine& machine);
  void DropAllReservations(const Job& job);

  // --- demand
  // A job was submitted, or waits for capacity.
  void NoteDemand(Time now) { last_demand_ = now; }
  // When that was last; before the first time, never quiescent.
  Time last_demand() const { return last_demand_; }
  // The largest amounts that tasks with accelerators have asked for; zero when
  // there was none.
  const Resources& largest_accelerator_task() const {
    return largest_accelerator_task_;
  }

  // --- what the scheduler has not seen yet
  void MarkChanged() { changed_ = true; }
  // Capacity for a live service is concerned: no batching.
  void MarkUrgentChange() { urgent_ = true; }
  bool changed() const { return changed_; }
  bool urgent() const { return urgent_; }
  void ClearChanges() { changed_ = urgent_ = false; }

 private:
  // Charges what the attempt occupies to its machine, team and job.
  void ChargeCapacity(Machine& machine, TaskAttempt& attempt);
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
