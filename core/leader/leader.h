// Leads the cluster: events and the time go in, actions come out. Composes the
// modules and passes events to them; decides nothing itself. One exists
// per leadership; a new leader starts with a new one, so nothing that an
// earlier one believed can leak in.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/autoscaler/autoscaler.h"
#include "core/cluster_state/cluster_state.h"
#include "core/command_dispatch/command_dispatcher.h"
#include "core/dependencies/dependency_coordinator.h"
#include "core/job_lifecycle/job_lifecycle.h"
#include "core/leader_context/actions.h"
#include "core/leader_context/leader_context.h"
#include "core/maintenance/maintenance_manager.h"
#include "core/priority_tiers/tier_manager.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "core/rebalancing/rebalancing_manager.h"
#include "core/reconciliation/reconciler.h"
#include "core/rollout/rollout_manager.h"
#include "core/scheduler/scheduler.h"
#include "core/store_writes/store_operations.h"
#include "core/worker_sessions/machine_health.h"
#include "core/worker_sessions/machine_lifecycle.h"
#include "core/worker_sessions/worker_sessions.h"

namespace oxbow {

class Leader : private ClusterState::Observer {
 public:
  // `revision`: of the leader key, in the catalog's epoch. `delegates`: who may
  // hold a right to keep the workers of its zone (DelegatedLeases).
  Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
         uint64_t revision, Time now, double wall_minus_steady, uint64_t seed,
         const std::optional<std::set<std::string>>& delegates = {});

  // --- events
  void OnTypes(const std::vector<MachineType>& types) {
    cluster_.SetMachineTypes(types);
  }
  void OnJobRecord(const std::string& id, Time now) {
    job_lifecycle_.OnJobRecord(id, now);
  }
  // A job that waits for others is recorded.
  void OnWaitingRecord(const std::string& id, Time now) {
    dependencies_.OnWaitingRecord(id, now);
  }
  // The answer to ReadTerminalState; what was found has been taken into the
  // catalog.
  void OnTerminalStateRead(const std::string& id, Time now) {
    dependencies_.OnTerminalStateRead(id, now);
  }
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  void OnCommandResponse(const std::string& host, uint64_t batch,
                         CommandOutcome outcome, const Heartbeat* heartbeat,
                         Time now);
  void OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  void OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                     const std::vector<std::string>& failed, Time now);
  // The keys asked for by ReadKeys; the catalog has been brought up to date.
  void OnReadAnswer(uint64_t id, bool ok, Time now) {
    writes_.OnRead(id, ok, now);
  }
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now) {
    autoscaler_.OnScaleOutResponse(name, outcome, hosts, now);
  }
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok,
                      Time now) {
    machine_lifecycle_.OnDeleteAnswer(hosts, ok, now);
  }
  // A whole listing of the cloud's machines, asked for at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now) {
    machine_lifecycle_.OnMachineList(list, asked, now);
  }
  void OnRolloutRecord(const std::string& id, Time now) {
    rollout_manager_.OnRolloutRecord(id, now);
  }
  // A record of the operators has changed, or one of this leader's own stands.
  void OnOperatorRecord(const std::string& name, Time now);
  // The tiers in force, at the beginning and whenever they change. Running
  // work moves to its new tier as it is.
  void UseTiers(std::shared_ptr<const TierSet> set) {
    tier_manager_.UseTiers(std::move(set));
  }
  // A look at the clocks, before every other event and later than the message
  // it brings, and when all live records had last been read.
  void OnClocks(const WallReading& reading, Time confirmed, Time now) {
    maintenance_.OnClocks(reading, confirmed, now);
  }
  void OnMaintenanceWindow(const MaintenanceWindow& window, uint64_t version,
                           Time now) {
    maintenance_.OnMaintenanceWindow(window, version, now);
  }
  void OnMaintenanceWindowWithdrawn(const std::string& id, uint64_t version, Time now) {
    maintenance_.OnMaintenanceWindowWithdrawn(id, version, now);
  }
  void OnHealth(const std::string& rollout, const TaskAttemptKey& key,
                const CheckOutcome& outcome, Time now) {
    rollout_manager_.OnHealth(rollout, key, outcome, now);
  }
  // What each controller reaches, this one's answer first.
  void OnReach(uint64_t round, std::vector<Reach> answers, Time now);
  // The other has agreed to lead: no more commands, this leadership ends.
  void OnTransferAccepted();
  // It did not, or too many leadership transfers were lately.
  void OnTransferRejected(const std::string& why, Time now) {
    liveness_.OnTransferRejected(why, now);
  }
  // A controller asks for the right to keep the workers of its zone, should it
  // be cut off. `life`, `age`: of its process, s.
  bool OnDelegationAsked(const std::string& peer,
                         const std::string& process_incarnation, double age,
                         Time now) {
    return worker_sessions_.OnDelegationAsked(peer, process_incarnation, age,
                                              now);
  }
  // One that was asked at `sent` stands back. Ages as of its answer, s;
  // `renewed_ago` is negative if it never kept.
  void OnLeaseYielded(const std::string& peer,
                      const std::string& process_incarnation, double age,
                      double renewed_ago, Time sent, Time now) {
    worker_sessions_.delegated_leases().LeaseYielded(
        peer, process_incarnation, age, renewed_ago, sent, now);
  }
  void OnDelegatesRead(const std::set<std::string>& recorded, Time sent,
                       Time now) {
    worker_sessions_.delegated_leases().RecordsRead(recorded, sent, now);
  }
  // Whether nothing is in a zone that must be gone before a right to keep its
  // workers could run out.
  bool ZoneSettled(const std::string& zone, Time now) const {
    return worker_sessions_.ZoneSettled(zone, now);
  }
  // Asks for the job to be cancelled; a JobTerminated follows. False: unknown
  // job.
  bool Cancel(const std::string& id, Time now) {
    return job_lifecycle_.Cancel(id, now);
  }
  // How jobs ended that the key-value store does not hold any more.
  // `whole`: everybody who may have accepted a job was there to tell.
  void OnUnrecordedTerminalStates(
      std::vector<std::pair<std::string, TerminalState>> ends, bool whole) {
    reconciler_.OnUnrecordedTerminalStates(std::move(ends), whole);
  }
  // `by_lease`: the right to lead rests on the lease of the key at this moment.
  // While it rests on promises somebody who does not know of them may keep
  // workers alive, so no incarnation is taken for over.
  void Tick(Time now, bool by_lease = true);
  // Runs a placement pass now if anything has changed since the last.
  void ScheduleIfNeeded(Time now) { scheduler_.ScheduleIfNeeded(now); }

  std::vector<Action> TakeActions();

  // Lets replicas be moved, as far as the operators' settings do. Takes up the
  // claims that a former leader has recorded; before the first Tick.
  void UseMoves(const MoveCodec& codec, Time now) {
    rebalancing_.UseMoves(codec, now);
  }

  // Whether details are logged.
  void set_log_detail(bool on) { context_.log_detail = on; }

  // --- questions
  // Which leadership this is. Unlike the leader key's revision it never comes
  // again, even if the key-value store has lost data.
  uint64_t revision() const { return context_.term; }
  // `out` is set unless the job is unseen.
  JobObservation View(const std::string& id, JobView* out) const;
  bool AllAccounted() const { return cluster_.AllMachinesAccountedFor(); }
  const Rollout* FindRollout(const std::string& id) const {
    return rollout_manager_.FindRollout(id);
  }
  const TierPolicy& tiers() const { return tiers_; }
  // Whether the calendar holds the job back, why and until when; nothing if the
  // job is not known.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const {
    return maintenance_.CalendarAdmission(id, now);
  }
  const MaintenanceCalendar& calendar() const {
    return maintenance_.calendar();
  }
  LeaderHealthState leader_health() const { return liveness_.leader_health(); }
  const HeartbeatsReceived& heartbeats_received() const {
    return liveness_.heartbeats_received();
  }
  // What the leader keeps from doing at this moment, for whoever asks; a line
  // each.
  std::vector<std::string> Alarms() const;
  // Which jobs wait for which others, for people; a line each, not all of many.
  std::vector<std::string> WaitingLines() const {
    return dependencies_.WaitingLines();
  }
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const {
    return cluster_.jobs();
  }
  const std::vector<std::unique_ptr<Machine>>& machines() const {
    return cluster_.machines();
  }
  // Moves of replicas, where the operators have them turned on; null if not.
  const Rebalancer* rebalancer() const { return rebalancing_.rebalancer(); }
  // Fragmentation of accelerators, over all machines.
  FragmentationCount CountFragmentation() const {
    return fragmentation_.Count(cluster_.machines());
  }

 private:
  // Takes up what earlier leaders have recorded.
  void TakeUpRecords(Time now);
  // The part of a tick that is due once per heartbeat interval.
  void TickSlowly(Time now);
  // After every event: starts and writes what it has made possible.
  void Settle(Time now);
  // Once a minute, where the operators have the packing turned on.
  void LogFragmentation(Time now);

  // ClusterState::Observer
  void OnCapacityCharged(const Job& job, const Resources& need) override;
  void OnCapacityReleased(const Job& job, const Resources& need) override;
  void OnAttemptStopping(const TaskAttempt& attempt) override;
  void OnAttemptRemoved(Job& job) override;

  std::vector<Action> actions_;
  LeaderContext context_;
  ReadConsistencyGate consistency_gate_;
  StoreOperations store_operations_;
  WriteQueue writes_;
  ClusterState cluster_;
  LivenessMonitor liveness_;
  FragmentationIndex fragmentation_;
  TierPolicy tiers_;
  QueueRanking queue_ranking_;
  RunTimeEstimates run_times_;

  MachineHealth machine_health_;
  CommandDispatcher dispatcher_;
  DependencyCoordinator dependencies_;
  JobLifecycle job_lifecycle_;
  RolloutManager rollout_manager_;
  MaintenanceManager maintenance_;
  TierManager tier_manager_;
  Reconciler reconciler_;
  MachineLifecycle machine_lifecycle_;
  WorkerSessions worker_sessions_;
  RebalancingManager rebalancing_;
  Autoscaler autoscaler_;
  Scheduler scheduler_;
  Time next_fragmentation_log_ = 0;
};

}  // namespace oxbow
