// Leads the cluster: events and the time go in, actions come out. Passes events
// to the modules (leader_modules.h) and decides nothing itself. There is one
// per leadership, so no state of an earlier leadership can leak into a later
// one.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader_modules.h"

namespace oxbow {

// Called by the shell, from one thread. Times are of the steady clock, s.
class Leader {
 public:
  // `revision`: of the leader key, in the catalog's epoch. `delegates`: the
  // controllers that may hold a delegated lease (DelegatedLeases). `settings`,
  // `tuning` and `catalog` must outlive the leader.
  Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
         uint64_t revision, Time now, double wall_minus_steady, uint64_t seed,
         const std::optional<std::set<std::string>>& delegates = {});

  // --- configuration
  void OnTypes(const std::vector<MachineType>& types);
  // The tiers in force, at the beginning and whenever they change. Running
  // tasks change their tier with their job.
  void SetTiers(std::shared_ptr<const TierSet> set);
  // Lets replicas be moved, as far as the operators' settings allow. Takes up
  // the claims that a former leader has recorded; before the first Tick.
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

  // --- events: answers of the store
  void OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                     const std::vector<std::string>& failed, Time now);
  // To ReadKeys; the catalog holds what was read.
  void OnReadAnswer(uint64_t id, bool succeeded, Time now);
  void OnFenceRead(uint64_t number, FenceReadResult result, Time now);
  // To ReadTerminalState; likewise.
  void OnTerminalStateRead(const std::string& id, Time now);
  // Job ends that the store has lost. `complete`: every controller that may
  // have accepted a job has contributed what it remembers.
  void OnUnrecordedTerminalStates(std::vector<UnrecordedTerminalState> states,
                                  bool complete);

  // --- events: workers and the cloud
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  void OnCommandResponse(const std::string& host, uint64_t batch,
                         CommandOutcome outcome, const Heartbeat* heartbeat,
                         Time now);
  void OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  void OnHealthCheckResult(const std::string& rollout,
                           const TaskAttemptKey& key,
                           const CheckOutcome& outcome, Time now);
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool succeeded,
                      Time now);
  // A complete listing of the cloud's machines, asked for at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);

  // --- events: other controllers
  // Which machines each controller reaches, this one's answer first.
  void OnReachabilityAnswers(uint64_t round,
                             std::vector<ReachabilityAnswer> answers, Time now);
  // Another controller has agreed to lead: this leadership ends.
  void OnTransferAccepted();
  // It has not, or there were too many leadership transfers lately.
  void OnTransferRejected(const std::string& why, Time now);
  // A controller asks for a delegated lease for the workers of its zone.
  // `age`: of its process, s. Returns whether it gets one.
  bool OnDelegationRequested(const std::string& peer,
                             const std::string& process_incarnation, double age,
                             Time now);
  // A controller that was asked at `sent` yields its delegated lease. Ages as
  // of its answer, s; `renewed_ago` is negative if it has never renewed.
  void OnLeaseYielded(const std::string& peer,
                      const std::string& process_incarnation, double age,
                      double renewed_ago, Time sent, Time now);
  void OnDelegatesRead(const std::set<std::string>& recorded, Time sent,
                       Time now);

  // --- events: users and time
  // Asks for the job to be cancelled; a JobTerminated follows. False: no such
  // job.
  bool Cancel(const std::string& id, Time now);
  // The clocks, read before every other event and after the message that it
  // brings, and when all live records had last been read.
  void OnClockReading(const WallReading& reading, Time confirmed, Time now);
  // `by_lease`: the right to lead rests on the lease of the leader key. While
  // it rests on promises of others instead, somebody who does not know of them
  // may keep workers alive, so no worker incarnation is taken to be over.
  void Tick(Time now, bool by_lease = true);
  // What the shell is to do; each is returned once.
  std::vector<Action> TakeActions();

  // --- queries
  // The number of this leadership. Unlike the leader key's revision it never
  // occurs again, even if the key-value store has lost data.
  uint64_t revision() const { return modules_.context.term; }
  // Fills in `out` unless the job is unseen.
  JobObservation View(const std::string& id, JobView* out) const;
  // Whether every machine has shown what runs on it.
  bool AllMachinesAccountedFor() const;
  // Whether nothing is in a zone that must be gone before a delegated lease for
  // its workers could expire.
  bool ZoneMayBeDelegated(const std::string& zone, Time now) const;
  // Whether maintenance windows delay the job, why and until when; empty for an
  // unknown job.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;
  // Conditions that operators should know of; a line each.
  std::vector<std::string> Alarms() const;
  // Which jobs wait for which others; a line each, limited in number.
  std::vector<std::string> DescribeWaitingJobs() const;
  const Rollout* FindRollout(const std::string& id) const;
  const TierPolicy& tiers() const { return modules_.tiers; }
  const HeartbeatsReceived& heartbeats_received() const;
  // Leases that have expired of workers that then sent a heartbeat again.
  uint64_t expired_leases() const {
    return modules_.worker_sessions.expired_leases();
  }
  const SchedulingCounters& scheduling() const {
    return modules_.scheduler.counters();
  }
  const ClusterState::Jobs& jobs() const { return modules_.cluster.jobs(); }
  const ClusterState::Machines& machines() const;
  // Null unless the operators' settings allow replicas to be moved.
  const Rebalancer* rebalancer() const;

 private:
  JobObservation ViewOfJob(const Job& job, JobView* out) const;
  // Takes up what earlier leaders have recorded.
  void TakeUpRecords(Time now);
  // The part of a tick that is due once per heartbeat interval.
  void TickSlowly(Time now);
  // After an event: starts tasks and writes records as it has made possible.
  void Settle(Time now);
  void LogFragmentation(Time now);

  LeaderModules modules_;
  Time next_fragmentation_log_ = 0;
};

}  // namespace oxbow
