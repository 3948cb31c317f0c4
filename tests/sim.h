// Fakes of the key-value store, the cloud and the workers that drive the real
// core in virtual time. They follow the protocol, not the core's expectations,
// and record every violated rule.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/leader/leader.h"
#include "core/priority_tiers/tier_set.h"

namespace oxbow::test {

struct SimTask {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
  Time ready_at = 0;  // image there, save finished
  double progress = 0;
  Time running_since = 0;  // of a gang that waits: since when
  // Of a running gang: since when a mate is missing or its machine hangs.
  std::optional<Time> mate_missing_since;
};

struct SimWorker {
  std::string host;
  std::string type;
  std::string zone;
  bool spot = false;
  Time up_at = 0;
  bool dead = false;
  Time died_at = 0;
  bool hung = false;
  Time hangs_until = 0;         // as if hung, until then
  bool heartbeats_cut = false;  // its heartbeats don't arrive
  bool commands_cut = false;    // nothing sent to its address arrives
  bool answers_cut = false;     // no answer to its heartbeats arrives
  double retry_seconds =
      5.25;               // then, until its next heartbeat comes to the leader
  double copy_after = 0;  // each heartbeat comes again so much later; 0: none
  bool faulty = false;    // every task errs
  bool refuses_starts = false;  // every start is refused for want of capacity
  bool kept = false;            // another controller answers, without commands
  std::string by_way;           // its heartbeats come by way of that controller
  std::optional<double> notice;
  uint64_t incarnation = 1;
  uint64_t seq = 0;
  uint64_t token = 0;
  Time lease_from = 0;  // when the last answered heartbeat was sent
  Time next_heartbeat = 0;
  Time waits_until = 0;           // for the answer to its heartbeat
  uint64_t seen_incarnation = 0;  // by this leader; 0: none
  bool risen = false;             // it saw an incarnation end
  bool unproven = false;    // it saw another end, and no answer arrived since
  uint64_t heard_from = 0;  // the leadership whose answer arrived last
  uint64_t heartbeats = 0;  // sent
  Time reachable_from = 0;  // by a controller that can be asked
  std::set<std::string> images;
  std::map<std::string, SimTask> tasks;  // by "job/task#attempt"
  std::set<std::string> forgotten;  // attempts of this incarnation, likewise

  bool Hangs(Time now) const { return hung || now < hangs_until; }
  // Alive, with every message to and from it getting through.
  bool Sound(Time now) const {
    return !dead && now >= up_at && !Hangs(now) && !heartbeats_cut &&
           !commands_cut && !answers_cut && !faulty && !notice;
  }
};

// Messages between the leader and the workers take their time, overtake each
// other, are held for long or lost, all from a seed; a stalled leader finds
// them later. Shares are of all messages.
struct RandomFaults {
  std::mt19937_64 random;
  double lost = 0;
  double held = 0;
  double refused = 0;  // of connections for commands
  double longest_seconds = 0;
  double copied = 0;  // of heartbeats
  double latest_copy_seconds = 0;

  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random);
  }
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  }
  // How long a message is under way; nothing: it never arrives.
  std::optional<double> Travel();
};

// How the instances of a job answer their health checks.
struct Illness {
  Time sick_from = 1e18;     // on the clock
  double sick_after = 1e18;  // s of running, each for itself
  double flap_seconds = 0;   // well and sick in turn, for so long each
  bool mute = false;         // sick ones do not answer at all
};

// One controller's place in the network. The leader is one of them.
struct SimController {
  std::string zone;  // its own; empty: none
  std::optional<DelegatedLease> lease;
  Time next_ask = 0;              // for the right to keep its zone's workers
  Time recorded_until = 0;        // that right, in the key-value store
  bool gone = false;              // its process is not there
  bool refused = false;           // the other controllers don't reach it
  bool no_state = false;          // it doesn't reach the key-value store
  double wall_off = 0;            // its wall clock, s ahead of true time
  bool dies_on_offer = false;     // it agrees to lead and is gone
  bool in_cut = false;            // no worker's heartbeat gets to it
  bool out_cut = false;           // nothing it sends gets to a worker
  std::set<std::string> unheard;  // these workers, both ways

  bool Hears(const std::string& host) const {
    return !in_cut && !unheard.contains(host);
  }
  bool Sends(const std::string& host) const {
    return !out_cut && !unheard.contains(host);
  }
};

// What happens to the next direct command to a worker.
enum class Fate { kNormal, kLostAnswer, kLate, kRefusedConnection };

// Transactions of the leader that get no answer and are carried out late, after
// newer ones, and those that are carried out once more.
struct LateWrites {
  std::mt19937_64 random;
  double unanswered = 0;   // share
  double answer_lost = 0;  // share, of those carried out at once
  double copied = 0;       // share, also of those without an answer
  double least_seconds = 2;
  double longest_seconds = 12;
};

// Direct commands that were carried out and answered, and that arrive at the
// worker once more.
struct RepeatedCommands {
  std::mt19937_64 random;
  double share = 0;  // of the answered commands, and of their copies
  double least_seconds = 2;
  double longest_seconds = 0;
};

// Faults of users and of heartbeats, drawn from a seed.
struct Troubles {
  std::mt19937_64 random;
  double heartbeats_for_next = 0;  // share of heartbeats: KeepForNext
  double cancel_at_end = 0;        // share of jobs: CancelAtEnd
  double odd_requests = 0;         // a second: RequestOddly

  bool Happens(double share) {
    return share > 0 && std::bernoulli_distribution(share)(random);
  }
};

class Sim {
 public:
  Sim();

  Settings settings;
  Tuning tuning;
  std::map<std::string, MachineType> types;
  std::map<std::string, int> capacity;  // per type; absent: no limit
  bool never_boot = false;
  double rent_seconds = 0.2;  // until the cloud answers
  bool state_down = false;
  size_t state_takes = SIZE_MAX;  // changes in a transaction; more: refused
  bool by_promises = false;       // leader leases rest on peers' promises
  // With random faults: without a leader in an outage, the other controllers
  // answer any worker that reaches them, without commands.
  bool delegated = false;
  std::optional<RandomFaults> faults;
  std::optional<LateWrites> late_writes;
  std::optional<RepeatedCommands> repeated_commands;
  Troubles troubles;
  Fate next_write = Fate::kNormal;
  double next_write_late_seconds = 30;  // if its fate is kLate
  double next_write_again_seconds =
      0;  // carried out once more so much later; 0: not

  void AddWorker(const std::string& host, const std::string& type,
                 const std::string& zone, bool spot);
  SimWorker& worker(const std::string& host) { return workers_.at(host); }
  void SetFate(const std::string& host, Fate fate, double late_seconds);
  // The last answered direct batch with a command of that kind arrives at the
  // worker once more, so many seconds from now.
  void RepeatCommands(const std::string& host, CommandKind kind, double after);
  // Repeated batches that the worker carried out, and those that it refused.
  int repeats_executed() const { return repeats_executed_; }
  int repeats_refused() const { return repeats_refused_; }
  // Starts a leader; the one before is gone.
  void Lead() { Lead(leading_); }
  void Lead(const std::string& name);
  // The other controllers, beside "a". Without them nobody can be asked.
  void AddController(const std::string& name);
  SimController& controller(const std::string& name) {
    return controllers_[name];
  }
  // Who leads, or led last; and how often one handed over to another.
  const std::string& leading() const { return leading_; }
  // Transactions that were carried out late, or once more; and how many keys
  // with that prefix were changed by those that passed their conditions.
  int transactions() const { return transactions_; }
  int late_writes_tried() const { return late_writes_tried_; }
  int CountLateChanges(const std::string& prefix) const;
  // The key-value store's data get an epoch; and they are all lost, the leader
  // with them: the next one remembers what this one knew, in a new epoch.
  void OpenEpoch();
  void LoseRecords();
  // Keys with that prefix in the key-value store.
  int CountRecords(const std::string& prefix) const;
  int leadership_transfers() const { return leadership_transfers_; }
  // Machines deleted although they lived with tasks on them and some
  // controller had reached them for longer than it takes to ask.
  int lost_alive() const { return lost_alive_; }
  // For how long the leader has reached nobody, while another controller that
  // could lead reached four machines and more, and leadership transfers were
  // left.
  double unfit_for() const { return now_ - fit_at_; }
  // The leader's process crashes.
  void Crash() { leader_.reset(); }
  // The leader's process gets no processor time; it answers nothing, notices
  // nothing, and finds later what has arrived meanwhile.
  void Stall(double seconds) { stalled_until_ = now_ + seconds; }
  // Delivers a heartbeat once more, to the leader of that moment; nobody waits
  // for the answer.
  void Copy(const Heartbeat& heartbeat, double after);
  void NoteWithheld(const SimWorker& worker);
  // A copy of the heartbeat reaches the next leader just as it begins.
  void KeepForNext(const Heartbeat& heartbeat) { kept_.push_back(heartbeat); }
  // The last heartbeat that the worker has sent.
  const Heartbeat& LastHeartbeat(const std::string& host) {
    return sent_.at(host);
  }
  // Tasks started on workers that have received no answer since this leader
  // observed the end of an incarnation of theirs.
  int starts_on_deaf() const { return starts_on_deaf_; }
  // Dead machines on which the leader still counts tasks, so many s after they
  // died, it took office, and it heard the last that was news of them.
  std::vector<std::string> HeldByTheDead(double bound) const;
  // Tasks that run on workers but are missing from the leader's state of
  // machines that have sent a heartbeat.
  std::vector<std::string> WronglyGone() const;
  std::map<std::string, SimWorker>& workers() { return workers_; }
  void Submit(const JobSpec& spec);
  void CancelJob(const std::string& id);
  // Users cancel so many jobs that run, within 0.2 s; up to eight of the
  // machines of these jobs hang for so long.
  void CancelBurst(int count, double hang_seconds);
  // Its user cancels the job at the moment at which its last task ends.
  void CancelAtEnd(const std::string& id) { cancel_at_end_.insert(id); }
  // Users repeat the submissions of jobs that live, and cancel jobs that have
  // ended.
  void RequestOddly();
  void Run(double seconds);
  // For how long a task of the job (of a gang: all its tasks) has run nowhere
  // although a matching machine had free capacity and its team was below its
  // quota, computed from the machines' own tasks. Empty id: the job that waited
  // longest.
  double WaitedWithRoom(const std::string& id) const;
  // Tasks that the leader counts as present where there is none.
  std::vector<std::string> Phantoms() const;

  // The record of the priority tiers, as operators write it to the key-value
  // store; absent: there is none.
  struct TiersRecord {
    std::string text;
    bool withdrawn = false;
    uint64_t version = 0;
  };
  void RecordTiers(std::optional<TiersRecord> record);
  const TiersInForce& tiers_in_force() { return tiers_in_force_[leading_]; }

  // A user declares a rollout, or asks for something about it.
  void Declare(const RolloutSpec& spec);
  void RequestRollout(const std::string& id, RolloutRequest request);

  // Operators book, or cancel. A leader learns of it as it does of records; one
  // that does not reach the key-value store keeps what it knew.
  void Book(const MaintenanceWindow& booking);
  void CancelBooking(const std::string& id);
  // The key-value store has lost its bookings. Until they are written back, by
  // what the controllers know, nobody takes its word for any.
  void LoseBookings(double seconds) {
    bookings_.clear();
    rebuilt_at_ = now_ + seconds;
  }
  bool rebuilding() const { return now_ < rebuilt_at_; }
  // True time, s since 1970.
  double true_wall() const { return now_ + kEpochOffset; }
  // Why a task must not start at this moment of true time; empty: it may. Set
  // by tests, independent of the core.
  std::function<std::string(const JobSpec& spec, double wall)> forbidden;

  std::map<std::string, Illness> illness;  // by job
  std::set<std::string> unchecked_zones;   // checks do not get there
  // Instances of these jobs that are well never number less; 0: not watched.
  std::vector<std::string> floor_jobs;
  int floor = 0;
  int CountWell() const;
  // The step that is recorded, live or ended; nothing if unknown.
  std::optional<RolloutRecord> RolloutOf(const std::string& id) const;

  Time now() const { return now_; }
  Leader* leader() { return leader_.get(); }
  Catalog& catalog() { return catalog_; }
  int CountRunning(const std::string& job) const;
  int CountPresent(const std::string& job) const;
  int CountOn(const std::string& host) const;
  int CountUp() const;
  // "pending", "running", "done", "aborted", "in-doubt" or "unknown".
  std::string JobStatus(const std::string& id);
  // By its record: "waiting", "live", "done", "aborted" or "none".
  std::string RecordedAs(const std::string& id) const;
  // The next leaders are of a version that passes over jobs that wait.
  bool old_version = false;
  const std::vector<std::string>& broken() const { return broken_; }
  int starts() const { return starts_; }
  int deletions() const { return deletions_; }

 private:
  static constexpr double kEpochOffset = 1e6;
  struct SimBooking {
    MaintenanceWindow booking;
    uint64_t version = 0;
    bool withdrawn = false;
  };
  // The bookings as a controller knows them.
  struct BookingView {
    std::map<std::string, SimBooking> bookings;
    Time read = -1e9;
  };
  struct Later {
    Time at;
    std::function<void()> what;
  };
  struct StoredJob {
    JobSpec spec;
    // Since when some controller may have answered its user that it is
    // cancelled.
    std::optional<Time> cancelled_seen_at;
    bool recorded_as_aborted = false;
    std::string end;             // the terminal status its user has seen
    Time capacity_since = 1e18;  // a task of it could have run
    // Since when the user of a direct or indirect dependency has seen that the
    // dependency is cancelled.
    std::optional<Time> dependency_cancelled_at;
    Time submitted = 0;
  };

  void Step();
  void ExecuteActions();
  void DeliverCommands(const SendCommands& commands);
  void DeliverCommandsWithFaults(const SendCommands& commands);
  // Carries out the commands if the worker still accepts their token and
  // incarnation, and returns whether it does.
  bool ExecuteDirect(SimWorker& worker, const SendCommands& commands);
  // The leader receives the response to commands that were carried out.
  void OnCommandsAnswered(const SendCommands& commands);
  void DeliverAgain(const SendCommands& commands, double after);
  void SendHeartbeatWithFaults(SimWorker& worker);
  void AcceptReply(SimWorker& worker, const HeartbeatResponse& reply,
                   uint64_t incarnation, Time sent);
  // Controllers in zones request delegated leases for their workers.
  void RequestDelegations();
  // Whether a controller of its zone renews the worker's lease by delegation.
  bool RenewedInZone(const SimWorker& worker);
  std::set<std::string> RecordedDelegates() const;
  // Runs on the leader once it has the processor, if it still leads then.
  void OnLeader(uint64_t revision, std::function<void()> what);
  // Runs on the worker once it does not hang any more, if it is still there.
  void OnWorker(const std::string& host, std::function<void(SimWorker&)> what);
  void Execute(SimWorker& worker, const std::vector<WorkerCommand>& commands);
  void StartTask(SimWorker& worker, const WorkerCommand& command);
  void AdvanceWorker(SimWorker& worker);
  void SendHeartbeat(SimWorker& worker);
  Heartbeat HeartbeatOf(SimWorker& worker);
  void Write(const CompareAndSwap& txn);
  // Revision of the change; 0 with the failed keys when a condition fails.
  uint64_t Apply(const CompareAndSwap& txn, std::vector<std::string>* failed);
  void CheckChange(const Mutation& change);
  void CheckScaleOutRecorded(const CompareAndSwap& txn);
  uint64_t ApplyLate(const CompareAndSwap& txn);
  void ScaleOut(const RequestScaleOut& rent);
  void After(double seconds, std::function<void()> what);
  // Delivers changes of the key-value store to the leader.
  void Watch();
  void ReadBookings();
  void PublishMaintenanceWindows();
  void PublishClocks();
  void Check(const RunHealthCheck& check);
  // Whether the machine answers a probe of that controller.
  bool Reaches(const SimController& controller, const SimWorker& worker) const;
  void TrackReachability();
  void AnswerReach(const AskReach& ask);
  void AnswerTransferOffer(const OfferLeadershipTransfer& offer);
  // Elects the controller that acquires the leader key first.
  void Succeed(const std::string& name);
  SimController& LeaderNode() { return controllers_[leading_]; }
  // Every controller that reaches the key-value store follows the record.
  void FollowTiers();
  bool IsHealthy(const SimTask& task) const;
  void RecordCancellations();
  // The status that a controller answers by the records alone.
  std::string RecordedStatus(const std::string& id) const;
  // Users poll all controllers after every step: no answer is older than what
  // the leader has answered before.
  void CheckStatusNeverGoesBack();
  void RecordFreeCapacity();
  bool HasCapacityFor(const StoredJob& job,
                      const std::map<std::string, Resources>& teams) const;
  // How many tasks of the job fit on the sound machines of a zone.
  uint32_t FreeCapacityIn(const JobSpec& spec, const std::string& zone) const;
  void EndTask(const SimTask& task);
  // A gang's tasks start together, complete together, and notice when one of
  // them is missing. Returns whether the task's phase has changed.
  bool AdvanceGangTask(SimTask& task);
  // The tasks of that attempt that wait or run on machines that don't hang.
  std::vector<SimTask*> GangMates(const SimTask& task);
  void CheckRules();
  void CheckAnswers();
  // Dependencies are done before a job starts.
  void CheckChainStart(const JobSpec& spec);
  void CheckOrphanedTasks();
  // Which worker incarnations the leader has observed.
  void RecordIncarnations();
  // Compares the leader's indices with a full recount.
  void CheckIndices();
  void RecordViolation(const std::string& what);

  Time now_ = 100;
  Time stalled_until_ = 0;
  std::map<std::string, std::pair<Record, uint64_t>> store_;
  uint64_t revision_ = 10;
  uint64_t epoch_ = 0;
  bool records_lost_ = false;
  bool next_leader_keeps_catalog_ = false;  // after the loss of all records
  std::vector<std::pair<std::string, uint64_t>>
      unwatched_changes_;  // key, revision
  Catalog catalog_;
  std::unique_ptr<Leader> leader_;
  std::string leading_ = "a";
  std::map<std::string, SimController> controllers_;
  std::optional<TiersRecord> tiers_record_;
  uint64_t tiers_version_ = 0;
  std::map<std::string, TiersInForce> tiers_in_force_;
  std::map<std::string, uint64_t> tiers_seen_;
  std::map<std::string, SimBooking> bookings_;
  std::map<std::string, BookingView> booking_views_;  // by controller
  Time rebuilt_at_ = 0;
  std::map<std::string, uint64_t> published_window_versions_;  // to the leader
  std::vector<Time> transferred_at_;                           // within a lease
  Time fit_at_ = 100;
  std::map<std::string, SimWorker> workers_;
  std::map<std::string, std::pair<Fate, double>> fates_;
  // The last answered direct batch with a command of that kind, by host.
  std::map<std::pair<std::string, CommandKind>, SendCommands> answered_;
  std::map<std::string, std::vector<std::string>> scaled_out_hosts_;
  std::map<std::string, StoredJob> jobs_;
  std::map<std::string, std::set<uint32_t>> completed_;
  std::map<std::string, TerminalState> reported_terminal_states_;
  std::set<std::string> cancel_asked_;
  // Jobs whose terminal state other controllers may already answer, while the
  // leader has not answered it yet.
  std::set<std::string> ends_elsewhere_;
  std::set<std::string> cancel_at_end_;
  std::vector<Heartbeat> kept_;            // for the next leader
  std::map<std::string, Heartbeat> sent_;  // the last of each worker
  std::vector<Later> later_;
  std::vector<std::string> broken_;
  int next_host_ = 1000;
  int starts_ = 0;
  int transactions_ = 0;
  Time capacity_recorded_at_ = 0;
  int late_writes_tried_ = 0;
  int repeats_executed_ = 0;
  int repeats_refused_ = 0;
  std::vector<std::string> late_changes_;  // keys
  int deletions_ = 0;
  int leadership_transfers_ = 0;
  int lost_alive_ = 0;
  int starts_on_deaf_ = 0;
  Time leads_since_ = 100;
};

}  // namespace oxbow::test
