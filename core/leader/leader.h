// The leader's brain: events and the time go in, actions come out. One exists
// per leadership; a new leader starts with a new one, so nothing that an
// earlier one believed can leak in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/autoscaler/capacity_planning.h"
#include "core/dependencies/dependency_graph.h"
#include "core/leader/actions.h"
#include "core/leader/catalog.h"
#include "core/leader/liveness_monitor.h"
#include "core/leader/queue_ranking.h"
#include "core/leader/write_queue.h"
#include "core/lease/delegated_lease.h"
#include "core/lease/fencing_token.h"
#include "core/limits/loss_limiter.h"
#include "core/maintenance/maintenance_calendar.h"
#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/model/timeouts.h"
#include "core/packing/fragmentation.h"
#include "core/placement/placement.h"
#include "core/priority_tiers/tier_policy.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "core/rebalancing/rebalancer.h"
#include "core/rollout/rollout.h"

namespace oxbow {

class Leader : private WriteQueue::Owner, private DependencyGraph::Estimates {
 public:
  // `revision`: of the leader key, in the catalog's epoch. `delegates`: who may
  // hold a right to keep the workers of its zone (DelegatedLeases).
  Leader(const Settings& settings, const Tuning& tuning, Catalog& catalog,
         uint64_t revision, Time now, double wall_minus_steady, uint64_t seed,
         const std::optional<std::set<std::string>>& delegates = {});

  // --- events
  void OnTypes(const std::vector<MachineType>& types);
  void OnJobRecord(const std::string& id, Time now);
  // A job that waits for others is recorded.
  void OnWaitingRecord(const std::string& id, Time now);
  // The answer to ReadTerminalState; what was found has been taken into the
  // catalog.
  void OnTerminalStateRead(const std::string& id, Time now);
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Time now);
  void OnCommandResponse(const std::string& host, uint64_t batch,
                         CommandOutcome outcome, const Heartbeat* heartbeat,
                         Time now);
  void OnProbeAnswer(const Heartbeat& heartbeat, Time now);
  void OnWriteAnswer(uint64_t id, WriteOutcome outcome, uint64_t revision,
                     const std::vector<std::string>& failed, Time now);
  // The keys asked for by ReadKeys; the catalog has been brought up to date.
  void OnReadAnswer(uint64_t id, bool ok, Time now);
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& hosts, Time now);
  void OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok, Time now);
  // A whole listing of the cloud's machines, asked for at `asked`.
  void OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                     Time now);
  void OnRolloutRecord(const std::string& id, Time now);
  // A record of the operators has changed, or one of this leader's own stands.
  void OnOperatorRecord(const std::string& name, Time now);
  // The tiers in force, at the beginning and whenever they change. Running
  // work moves to its new tier as it is.
  void UseTiers(std::shared_ptr<const TierSet> set);
  // A look at the clocks, before every other event and later than the message
  // it brings, and when all live records had last been read.
  void OnClocks(const WallReading& reading, Time confirmed, Time now);
  void OnBooking(const MaintenanceWindow& booking, uint64_t version, Time now);
  void OnBookingWithdrawn(const std::string& id, uint64_t version, Time now);
  void OnHealth(const std::string& rollout, const TaskAttemptKey& key,
                const CheckOutcome& outcome, Time now);
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
                         Time now);
  // One that was asked at `sent` stands back. Ages as of its answer, s;
  // `renewed_ago` is negative if it never kept.
  void OnLeaseYielded(const std::string& peer,
                      const std::string& process_incarnation, double age,
                      double renewed_ago, Time sent, Time now) {
    zones_.LeaseYielded(peer, process_incarnation, age, renewed_ago, sent, now);
  }
  void OnDelegatesRead(const std::set<std::string>& recorded, Time sent,
                       Time now) {
    zones_.RecordsRead(recorded, sent, now);
  }
  // Whether nothing is in a zone that must be gone before a right to keep its
  // workers could run out.
  bool ZoneSettled(const std::string& zone, Time now) const;
  // Asks for the job to be cancelled; a JobTerminated follows. False: unknown
  // job.
  bool Cancel(const std::string& id, Time now);
  // How jobs ended that the key-value store does not hold any more.
  // `whole`: everybody who may have accepted a job was there to tell.
  void OnUnrecordedTerminalStates(
      std::vector<std::pair<std::string, TerminalState>> ends, bool whole);
  // `by_lease`: the right to lead rests on the lease of the key at this moment.
  // While it rests on promises somebody who does not know of them may keep
  // workers alive, so no incarnation is taken for over.
  void Tick(Time now, bool by_lease = true);
  // Runs a placement pass now if anything has changed since the last.
  void ScheduleIfNeeded(Time now);

  std::vector<Action> TakeActions();

  // Lets replicas be moved, as far as the operators' settings do. Takes up the
  // claims that a former leader has recorded; before the first Tick.
  void UseMoves(const MoveCodec& codec, Time now);

  // Whether details are logged.
  bool log_detail = false;

  // --- questions
  // Which leadership this is. Unlike the leader key's revision it never comes
  // again, even if the key-value store has lost data.
  uint64_t revision() const { return term_; }
  // `out` is set unless the job is unseen.
  JobObservation View(const std::string& id, JobView* out) const;
  bool AllAccounted() const;
  const Rollout* FindRollout(const std::string& id) const;
  const TierPolicy& tiers() const { return tiers_; }
  // Whether the calendar holds the job back, why and until when; nothing if the
  // job is not known.
  std::optional<AdmissionDecision> CalendarAdmission(const std::string& id,
                                                     Time now) const;
  const MaintenanceCalendar& calendar() const { return calendar_; }
  LeaderHealthState leader_health() const { return liveness_.leader_health(); }
  const HeartbeatsReceived& heartbeats_received() const {
    return liveness_.heartbeats_received();
  }
  // What the leader keeps from doing at this moment, for whoever asks; a line
  // each.
  std::vector<std::string> Alarms() const;
  // Which jobs wait for which others, for people; a line each, not all of many.
  std::vector<std::string> WaitingLines() const;
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const {
    return jobs_;
  }
  const std::vector<std::unique_ptr<Machine>>& machines() const {
    return machines_;
  }
  // Fragmentation of accelerators, over all machines.
  // Moves of replicas, where the operators have them turned on; null if not.
  const Rebalancer* rebalancer() const {
    return rebalancer_ ? &*rebalancer_ : nullptr;
  }
  FragmentationCount CountFragmentation() const {
    return fragmentation_.Count(machines_);
  }

 private:
  struct QuotaUsage {
    TeamQuota settings;
    Resources used;
    Resources held;  // in this pass, for jobs that wait for the limit
    Resources
        orphaned_tasks;  // in this pass, what tasks of no known job may use
    bool capped() const {
      return settings.cpus_max > 0 || settings.gpus_max > 0;
    }
    bool LimitAllows(const Resources& want) const;
  };
  struct ScaleOutRequest {
    ScaleOutRecord record;
    ScaleOutState state = ScaleOutState::kRecording;
    Time asked = 0;
    Time next_try = 0;
    std::vector<std::string> hosts = {};  // granted; all to be recorded
    void Change(ScaleOutState next);
  };
  struct PreemptionPlan {
    Machine* machine = nullptr;
    double cost = 0;
    std::vector<TaskAttemptKey> victims;
  };
  struct TerminalStateRead {
    Time next = -1e18;
    double pause = 0;
  };
  struct ClassStats {
    double run_seconds = 0;
    int seen = 0;
  };

  // machines.cc
  Machine* FindMachine(const std::string& host);
  Machine& AddMachine(const std::string& host, const MachineRecord& record);
  Machine& MachineForHeartbeat(const Heartbeat& heartbeat, Time now);
  bool IsNews(const Machine& machine, const Heartbeat& heartbeat,
              Time now) const;
  bool WorkerMayAwaitResponse(const Machine& machine,
                              const Heartbeat& heartbeat, Time now) const;
  bool AllowsLeaseToExpire(const Machine& machine, uint64_t shown,
                           Time now) const;
  bool LeaseExpired(const Machine& machine, Time now) const;
  void AddStopCommands(const Machine& machine, HeartbeatResponse* reply) const;
  bool MissesCommandEffects(const Machine& machine,
                            const Heartbeat& heartbeat) const;
  void LogReachabilityChange(const Machine& machine, ReachabilityState before);
  void ApplyHeartbeat(Machine& machine, const Heartbeat& heartbeat,
                      bool by_heartbeat, Time now);
  void AdoptRunningTask(Machine& machine, const TaskStatus& task, Time now);
  void UpdateAttempt(Machine& machine, TaskAttempt& attempt,
                     const TaskStatus& task, Time now);
  void OnExit(Machine& machine, TaskAttempt& attempt, const TaskStatus& task,
              Time now);
  bool IsCurrent(const Machine& machine, const TaskAttempt& attempt) const;
  void ChargeQuota(Machine& machine, TaskAttempt& attempt);
  void ReleaseQuota(Machine& machine, TaskAttempt& attempt);
  // Enters an attempt among the machine's residents; Gone takes it out.
  TaskAttempt& AddAttempt(Machine& machine, TaskAttempt attempt, bool there);
  void SetStopping(Machine& machine, TaskAttempt& attempt, bool stopping);
  std::vector<std::pair<Machine*, TaskAttemptKey>> AttemptsOf(
      const Job& job) const;
  bool HasLaterAttempt(const Job& job, uint64_t attempt) const;
  void RemoveAttempt(Machine& machine, const TaskAttemptKey& key);
  void MarkAllLost(Machine& machine, const char* why);
  void Expire(Machine& machine, Time now);
  void QueueStop(Machine& machine, TaskAttempt& attempt, double grace_seconds,
                 Time now);
  void QueueForget(Machine& machine, TaskAttempt& attempt);
  void StopTasks(Job& job, double grace_seconds, Time now);
  void StopJob(Job& job, Time now);
  void DispatchCommands(Machine& machine, Time now);
  void AcknowledgeBatch(Machine& machine);
  void OnDirectCommandFailed(Machine& machine, Time now);
  void RaiseFencingToken(Machine& machine);
  void TickMachine(Machine& machine, Time now, bool by_lease);
  // Whether the machine's incarnation is over: not while somebody in its zone
  // may have kept it alive.
  bool IncarnationExpired(const Machine& machine, Time now);
  void Drain(Machine& machine, Time now, const char* why);
  // Stops what has to leave a machine that is being drained and may now.
  void StopLeaving(Machine& machine, Time now);
  // Of its own accord: within the limits. False when they forbid it.
  bool RemoveMachine(Machine& machine, LossCause cause, Time now);
  // What is certain, or was allowed before, has no limit.
  void AskDelete(Machine& machine, Time now, const char* why);
  bool Usable(const Machine& machine, Time now) const;
  // Makes the attempt the task's current one, if it has none.
  void AssignTask(Job& job, Machine& machine, TaskAttempt& attempt, bool there);
  bool Suspect(const Machine& machine, Time now) const;

  // restore.cc
  static std::vector<Precondition> LeadershipPreconditions(
      const Catalog& catalog, uint64_t revision);
  // Whether what has no record has to be left alone.
  bool RecoveryEnabled() const { return tuning_.recovery_checks > 0; }
  // Whether a task of no known job may be stopped, its exit forgotten: the job
  // is known to have ended. Else asks, now and then, how it stands.
  bool MayStopUnknownTask(const TaskAttempt& attempt, Time now);
  bool IsOrphaned(const TaskAttempt& attempt) const {
    return attempt.job == nullptr && attempt.phase != TaskPhase::kExited &&
           RecoveryEnabled();
  }
  // Queues what is owed to the key-value store, a transaction's worth at a
  // time.
  void TickReconciliation(Time now);
  // Owed keys, the most urgent last.
  std::vector<std::string> ReconciliationOrder() const;
  bool BuildReconciliationWrite(const WriteOp& op, CompareAndSwap* txn) const;
  void OnReconciliationWritten(const WriteOp& op, uint64_t revision);
  // A job without a record, by its tasks that are seen.
  bool ViewOrphanedTasks(const std::string& id, JobView* out) const;
  // What orphans may use of a team's limit at the most.
  Resources OrphanedTasksUpperBound() const;

  // controller.cc
  void AddJob(const JobRecord& record, Time now);
  void FinishJob(Job& job, TerminalState state);
  void OnTerminalStateRecorded(const std::string& id, TerminalState state,
                               Time now);
  void RetireIfClear(Job& job);
  // Whether its user may be told that the job is cancelled: nothing is left.
  bool CancellationStands(const Job& job) const;
  uint64_t NextNumber();
  // After every event: places and writes what it has made possible.
  void Settle(Time now);
  void Log(std::string text);
  // Once a minute, where the operators have the packing turned on.
  void LogFragmentation(Time now);
  // Built only when somebody reads it: there is one for every task.
  template <typename Text>
  void LogDetail(const Text& text) {
    if (log_detail) actions_.push_back(LogEvent{text(), true});
  }

  // chains.cc
  // Chains::Estimates
  double CriticalPathSeconds(const JobSpec& spec) const override;
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const override;
  // How the job is recorded to have ended, as far as is known here.
  TerminalState TerminalStateOf(const std::string& id) const;
  void RequestTerminalState(const std::string& need, Time now);
  void OnTerminalStateKnown(const std::string& id, TerminalState end, Time now);
  // Whether jobs that others wait for have ended past every event.
  void PollDependencies(Time now);
  void QueueDependencySteps(Time now);
  bool BuildDependencyStep(const WriteOp& op, CompareAndSwap* txn) const;
  void OnDependencyStepWritten(const WriteOp& op, uint64_t revision, Time now);
  void SettleDependentJob(const std::string& id, Time now);
  bool StopWaiting(const std::string& id);
  bool CancelWaiting(const std::string& id, Time now);
  void UpdateInherited();
  Resources NextSteps(Time now) const;

  // rollouts.cc
  void TickRollouts(Time now);
  // Sets the pace of all checks and returns how many may begin now.
  int ChecksAllowed(Time now);
  void BeginChecks(Time now);
  RolloutView ViewOf(const Rollout& rollout, Time now) const;
  // The rollout that the job is a part of; null for none.
  const Rollout* RolloutOf(const Job& job) const;
  // Replicas that may be started beyond those placed.
  uint32_t StartableTasks(const Job& job) const;
  // Whether a rollout's floor lets the task be stopped. Everything that stops
  // tasks for another reason than their user's wish asks here.
  bool DisruptionAllowed(const TaskAttemptKey& key, const Job& job,
                         Time now) const;
  // The record once the op's step stands.
  static RolloutRecord AfterOp(const RolloutRecord& record, const WriteOp& op);
  bool BuildRolloutOp(const WriteOp& op, CompareAndSwap* txn) const;
  void RolloutOpDone(const WriteOp& op, uint64_t revision, Time now);
  // A rollout that restricts the job may have been recorded before it, and
  // not be known here yet.
  bool MayBeRestricted(const Job& job) const;

  // tiers.cc
  void BeginTiers(const std::vector<Job*>& order,
                  const std::vector<Machine*>& usable, bool accounted,
                  Time now);
  // Whether the job may take that room on the machine.
  bool TierAllows(const Job& job, const Machine& machine) const;
  // Whether what makes room for the job would only take kept room.
  bool UsesReservedHeadroom(const Job& job, const Machine& machine,
                            const PreemptionPlan& plan) const;
  void SurveyTiers();
  // Room that is kept is not there for those who wait.
  void ReserveTierHeadroom(AutoscalerInput& input) const;
  // calendar.cc
  std::string TierOf(const Job& job) const;
  AdmissionDecision AdmissionOf(const Job& job, Time now) const;
  // What the windows hold at the beginning of a pass.
  void CountWindows();
  // Room in every window that names the job, for so many of its tasks.
  bool WindowAllows(const Job& job, double tasks) const;
  // A start that goes in the answer to a heartbeat only: those are never late.
  bool SentInHeartbeatResponse(const WorkerCommand& order) const;
  bool HasCalendarStart(const Machine& machine) const;
  // Starts decided before, which may not be any more; they were never sent.
  void DropLateStarts(Machine& machine, Time now);
  void TickCalendar(Time now);
  void WithdrawQueuedStarts(Job& job, Time now);
  void LogAdmissionChange(const Job& job, const AdmissionDecision& verdict,
                          Time now);
  // moves.cc
  void TickMoves(Time now);
  ReplicaMoveObservation ObservationOf(const Rebalancer::Move& move, Time now);
  void StepMoves(Time now);
  void PlanMovesFor(const Job& waiting, Time now);
  // The task's record under its name has changed, or was not to be changed.
  void OnMoveRecord(const std::string& name, Time now);
  // Holds the room on the targets; in each pass.
  void ReserveMoveTargets(Time now);
  // The machine that a move holds for the service's next replica; null: none.
  Machine* ReservedByMove(const Job& job, const ZoneSpread& where, Time now);
  bool DrainedByMove(const Machine& machine) const {
    return rebalancer_ && rebalancer_->Drains(machine.host());
  }
  // Replicas that run, on machines that are heard and obey this leader alone.
  uint32_t CountConfirmedRunning(const Job& job, Time now) const;

  // schedule.cc
  void ComputeGuaranteedJobs();
  bool Placeable(const Job& job, Time now, bool accounted) const;
  bool QuotaAllows(const Job& job, double tasks) const;
  // The machine for a replica, null for none; nothing while room is being made
  // on a machine that suits it better.
  std::optional<Machine*> FindReplicaPlace(Job& job,
                                           const std::vector<Machine*>& usable,
                                           const ZoneSpread& where,
                                           double bandwidth, Time now);
  void PlaceJob(Job& job, const QueuePosition& from,
                const std::vector<Machine*>& usable, double bandwidth,
                Time now);
  void PlaceGang(Job& job, const QueuePosition& from,
                 const std::vector<Machine*>& usable, double bandwidth,
                 Time now);
  Machine* FindPlace(const Job& job, const std::vector<Machine*>& usable,
                     const ZoneSpread& where, double bandwidth);
  void Start(Job& job, uint32_t task, Machine& machine, uint64_t attempt,
             Time now);
  ZoneSpread ZoneSpreadOf(const Job& job) const;
  int CountOn(const Job& job, const Machine& machine) const;
  // The team's limit keeps the job out. What comes after it must not take what
  // the team frees, and less important work of the team makes way.
  void PreemptWithinQuota(Job& job, uint32_t tasks, Time now);
  // Stops a task so that another may run.
  void Preempt(Machine& machine, TaskAttempt& victim, const JobSpec& for_job,
               Time now);
  std::optional<PreemptionPlan> PlanPreemption(const Job& job, Machine& machine,
                                               Resources taken, Time now) const;
  void ExecutePreemption(const PreemptionPlan& plan, const JobSpec& for_job,
                         Time now);
  // Room held on the machine for the job.
  static Resources ReservedFor(const Job& job, const Machine& machine);
  // False when there is nothing that could be drained.
  bool ReserveByPreemption(Job& job, const std::vector<Machine*>& usable,
                           Time now);
  struct GangSlot {
    PreemptionPlan plan;
    bool waits = false;  // for short work to run off
  };
  bool ReserveGangByPreemption(Job& job, const std::vector<Machine*>& usable,
                               Time now);
  bool MayPreempt(const Job& job, const TaskAttempt& victim, Time now) const;
  double PreemptionCost(const TaskAttempt& victim, Time now) const;
  // One reservation on the machine; null: all of them, everywhere.
  void DropReservation(const Job* job, Machine* machine);

  // supply.cc
  void RunAutoscaler(Time now);
  // No job has come or waited for so long that room kept for the next one
  // costs more than it saves.
  bool IsQuiescent(Time now) const;
  void Consolidate(Time now);
  // Whether replicas may gather on the machine in a calm.
  bool IsConsolidationTarget(const Machine& machine) const;
  bool CanMoveAll(const Machine& from, const std::vector<Machine*>& usable,
                  double spare_cpus) const;
  void Request(const std::string& name, Time now);
  // Asks for the removal of its record when all of its machines are recorded.
  void SettleScaleOut(const std::string& name);
  MachineRecord RecordOfNewMachine(const ScaleOutRecord& scale_out,
                                   Time requested_at) const;
  double RunSeconds(const JobSpec& spec) const;

  // writes.cc
  // WriteQueue::Owner
  bool Build(const WriteOp& op, CompareAndSwap* txn) const override;
  void Done(const WriteOp& op, uint64_t revision, Time now) override;

  const Settings& settings_;
  const Tuning& tuning_;
  Catalog& catalog_;
  const uint64_t revision_;  // of the leader key
  const uint64_t term_;      // the upper part of its tokens
  const Time started_;
  const double wall_minus_steady_;
  const SilenceTimeouts timeouts_;
  NumberSource numbers_;
  FragmentationIndex fragmentation_;
  Placer placer_;
  QueueRanking queue_ranking_;
  DependencyGraph dependency_graph_;
  std::set<std::string> dependency_steps_;  // with a write on its way
  std::unordered_map<std::string, TerminalStateRead> terminal_state_reads_;
  int terminal_state_reads_in_flight_ = 0;
  bool resigned_ = false;
  std::vector<Action> actions_;
  WriteQueue writes_;
  ReadConsistencyGate consistency_gate_;
  std::vector<std::unique_ptr<Machine>> machines_;
  LivenessMonitor liveness_;

  std::map<std::string, MachineType> types_;
  std::vector<QuotaUsage> quotas_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::string, int32_t> machine_index_;
  std::unordered_set<std::string> gone_hosts_;
  std::map<std::string, ClassStats> class_stats_;
  std::map<std::string, ScaleOutRequest> scale_outs_;
  std::map<MachinePool, Time> refused_until_;
  DelegatedLeases zones_;
  // In this tick: a delegate may have renewed a silent session.
  bool incarnations_unsettled_ = false;
  Time next_delegates_read_ = 0;
  std::map<std::string, Rollout> rollouts_;                  // by id
  std::unordered_map<std::string, std::string> in_rollout_;  // by job id
  int checks_in_flight_ = 0;
  double checks_allowed_ = 0;  // by the processor's share, now
  Time checks_counted_ = 0;
  size_t first_checked_ = 0;
  Time next_rollouts_ = 0;
  Time next_autoscaler_run_ = 0;
  Time next_fragmentation_log_ = 0;
  std::optional<Rebalancer> rebalancer_;
  MoveCodec move_codec_;
  Time next_moves_ = 0;
  Time next_move_plan_ = 0;
  // Work with accelerators that the last pass left without a place, in turn.
  std::vector<std::string> large_waiting_;
  Time next_consolidation_ = 0;
  Time quiet_since_ = 1e18;  // no job has come or waited since
  uint64_t next_batch_ = 1;
  std::vector<std::string>
      reconciliation_queue_;  // owed keys, the most urgent last
  std::vector<std::pair<std::string, TerminalState>>
      unrecorded_terminal_states_;
  bool terminal_states_compared_ = false;
  bool retained_records_complete_ = false;
  std::unordered_map<std::string, Time> asked_jobs_;  // not again before
  // The largest task with accelerators seen; zero when there was none.
  Resources accelerator_shape_;

  TierPolicy tiers_;
  std::set<const Job*> over_share_;  // in this pass
  bool part_is_held_ = false;        // in this pass, for a gang
  MaintenanceCalendar calendar_;
  CalendarFreshness logged_freshness_ = CalendarFreshness::kNone;
  std::map<std::string, Resources> in_window_;  // by booking, in this pass
  Resources fleet_;                             // in this pass
  std::map<std::string, HeldBy> held_;          // by job: told in the log
  const Machine* answering_ = nullptr;  // whose report is being answered

  bool dirty_ = true;
  bool urgent_dirty_ = true;  // a live service is concerned
  Time next_schedule_ = 0;
};

}  // namespace oxbow
