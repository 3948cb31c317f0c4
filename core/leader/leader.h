// The entry point to the leader's logic, which does no I/O: the caller passes
// in events and the time, and carries out the actions that TakeActions returns.
// The Leader only forwards events to the modules (leader_modules.h). One object
// exists per leadership, so that no state of an earlier leadership can leak
// into a later one.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader_modules.h"

namespace oxbow {

// Not thread-safe: the application calls it from its event loop. Times are in
// seconds on the steady clock unless stated otherwise.
class Leader {
 public:
  // `revision`: the mod revision of the leader key, in the catalog's epoch.
  // `wall_minus_steady`: the wall clock minus the steady clock, s. `delegates`:
  // the controllers that may hold a delegated lease (DelegatedLeases).
  // `settings`, `tuning` and `catalog` must outlive the leader.
  Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
         uint64_t revision, Time now, double wall_minus_steady, uint64_t seed,
         const std::optional<std::set<std::string>>& delegates = {});

  // --- configuration
  void OnTypes(const std::vector<MachineType>& types);
  // Sets the priority tiers in force. Called at the beginning of the leadership
  // and whenever they change. A job's tier also applies to its running tasks.
  void SetTiers(std::shared_ptr<const TierSet> set);
  // Enables moves of replicas, within the limits of the operators' settings,
  // and continues the moves that a previous leader has recorded. To be called
  // before the first Tick.
  void EnableReplicaMoves(const MoveCodec& codec, Time now);
  void set_log_detail(bool on) { modules_.context.log_detail = on; }

  // --- events: records that are new or have changed in the catalog
  void OnJobRecord(const std::string& id, Time now);
  void OnWaitingRecord(const std::string& id, Time now);
  void OnRolloutRecord(const std::string& id, Time now);
  void OnOperatorRecord(const std::string& name, Time now);
  void OnMaintenanceWindow(const MaintenanceWindow& booking, uint64_t version,
                           Time now);
  void OnMaintenanceWindowWithdrawn(const std::string& id, uint64_t version,
                                    Time now);

  // --- events: responses of the key-value store
  // The outcome of a CompareAndSwap. `revision`: the store revision at which it
  // was applied. `failed`: the keys of the preconditions that did not hold.
  void OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                     const std::vector<std::string>& failed, Time now);
  // The response to ReadKeys; the catalog already contains the values.
  void OnReadAnswer(uint64_t id, bool succeeded, Time now);
  // The response to ReadFence.
  void OnFenceRead(uint64_t number, FenceReadResult result, Time now);
  // The response to ReadTerminalState; the catalog already contains the values.
  void OnTerminalStateRead(const std::string& id, Time now);
  // Terminal states of jobs that the store has lost. `complete`: every
  // controller that may have accepted a job has contributed those it retains.
  void OnUnrecordedTerminalStates(std::vector<UnrecordedTerminalState> states,
                                  bool complete);

  // --- events: workers and the cloud
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  // The outcome of SendCommands. `heartbeat`: the contents of the worker's
  // response; null if there was none.
  void OnCommandResponse(const std::string& host, uint64_t batch,
                         CommandOutcome outcome, const Heartbeat* heartbeat,
                         Time now);
  // The response to a Probe.
  void OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  // The outcome of a RunHealthCheck.
  void OnHealthCheckResult(const std::string& rollout,
                           const TaskAttemptKey& key,
                           const CheckOutcome& outcome, Time now);
  // The outcome of RequestScaleOut. `hosts`: the machines that were granted.
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  // The outcome of DeleteMachines.
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool succeeded,
                      Time now);
  // A complete list of the cloud's machines, requested at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);

  // --- events: other controllers
  // Which machines each controller reaches, in response to the AskReach of the
  // same round. The answer of this controller comes first.
  void OnReachabilityAnswers(uint64_t round,
                             std::vector<ReachabilityAnswer> answers, Time now);
  // Another controller has accepted the leadership transfer: this leadership
  // ends.
  void OnTransferAccepted();
  // The other controller has rejected the leadership transfer, or there have
  // been too many transfers recently.
  void OnTransferRejected(const std::string& why, Time now);
  // A controller requests a delegated lease to renew the leases of the workers
  // of its zone. `age`: how long its process has been running, s. Returns
  // whether the lease is granted.
  bool OnDelegationRequested(const std::string& peer,
                             const std::string& process_incarnation, double age,
                             Time now);
  // A controller yields its delegated lease in response to a request that was
  // sent at `sent`. `age` (of its process) and `renewed_ago` (since it last
  // renewed a worker's lease; negative if never) are as of its response, s.
  void OnLeaseYielded(const std::string& peer,
                      const std::string& process_incarnation, double age,
                      double renewed_ago, Time sent, Time now);
  // The response to ReadDelegates: the controllers that have a recorded
  // delegated lease. `sent`: when the request was sent.
  void OnDelegatesRead(const std::set<std::string>& recorded, Time sent,
                       Time now);

  // --- events: users and time
  // Requests the cancellation of the job; a JobTerminated action follows.
  // Returns false if there is no such job.
  bool Cancel(const std::string& id, Time now);
  // A reading of the clocks. Called before every other event; the clocks are
  // read after the message of that event has arrived. `confirmed`: when all
  // live records were last read completely.
  void OnClockReading(const WallReading& reading, Time confirmed, Time now);
  // Performs whatever is due. `by_lease`: the right to lead rests on the lease
  // of the leader key. In an outage of the store it may rest on promises of
  // other controllers instead. A controller that does not know of these
  // promises may then renew workers' leases, so no worker incarnation is
  // considered expired meanwhile.
  void Tick(Time now, bool by_lease = true);
  // The actions that the caller has to carry out. Each is returned once.
  std::vector<Action> TakeActions();

  // --- queries
  // The term of this leadership. Unlike the revision of the leader key it never
  // occurs again, even if the key-value store has lost data.
  uint64_t revision() const { return modules_.context.term; }
  // What is known of the job. Fills in `out` unless the result is kUnseen.
  JobObservation View(const std::string& id, JobView* out) const;
  // Whether every machine that is recorded as up has reported its tasks to this
  // leader or has been deleted.
  bool AllMachinesAccountedFor() const;
  // Whether a delegated lease may be granted for the workers of the zone: all
  // its machines have reported, and no task in it belongs to a job that was
  // cancelled so long ago that the task has to end before that lease could
  // expire.
  bool ZoneMayBeDelegated(const std::string& zone, Time now) const;
  // Whether maintenance windows delay the start of the job, why and until when;
  // empty if the job is unknown.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;
  // Conditions that operators should know of, one line each.
  std::vector<std::string> Alarms() const;
  // Which jobs wait for which others, one line each; limited in number.
  std::vector<std::string> DescribeWaitingJobs() const;
  const Rollout* FindRollout(const std::string& id) const;
  const TierPolicy& tiers() const { return modules_.tiers; }
  const HeartbeatsReceived& heartbeats_received() const;
  // The number of expired leases whose workers sent a heartbeat afterwards.
  uint64_t expired_leases() const {
    return modules_.worker_leases.expired_leases();
  }
  const CommandCounters& command_counters() const {
    return modules_.context.counters;
  }
  const SchedulingCounters& scheduling() const {
    return modules_.scheduler.counters();
  }
  const ClusterState::Jobs& jobs() const { return modules_.cluster.jobs(); }
  const ClusterState::Machines& machines() const;
  // Null unless the operators' settings allow moves of replicas.
  const Rebalancer* rebalancer() const;

 private:
  JobObservation ViewOfJob(const Job& job, JobView* out) const;
  // Initializes the modules with the records of earlier leaders.
  void LoadRecords(Time now);
  // The part of a tick that is due once per heartbeat interval.
  void RunPeriodicWork(Time now);
  // Called at the end of an event: runs a scheduling pass if one is due, and
  // sends queued writes.
  void ScheduleAndFlush(Time now);
  void LogFragmentation(Time now);

  LeaderModules modules_;
  Time next_fragmentation_log_ = 0;
};

}  // namespace oxbow
