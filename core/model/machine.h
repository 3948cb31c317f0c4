// Machines as their leader sees them: their records, the exchange with their
// worker, the task attempts on them and the images they are known to have.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/model/fencing_token.h"
#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/reachability.h"
#include "core/model/settings.h"
#include "core/model/state_machine.h"
#include "core/model/worker_incarnation.h"

namespace oxbow {

// A type that the cloud offers, with the prices and times that it announces.
struct MachineType {
  std::string name;
  Resources total;
  double cache_gb = 0;
  double fetch_gb_per_second = 1;
  double price = 0;
  double spot_price = 0;
  double boot_seconds = 0;
  std::vector<std::string> zones;
};

// A machine as the key-value store holds it. Tasks go only to machines whose
// record names an endpoint.
struct MachineRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  std::string endpoint;  // empty while booting
  double requested_wall = 0;
  uint64_t mod_revision = 0;
};

// How far a scale-out request has got.
enum class ScaleOutState : uint8_t {
  kRecording,   // the name is being written down
  kRequesting,  // the cloud has been, or may have been, asked
  kSettled,     // granted or refused, the record is being removed
};

// A scale-out request as the key-value store holds it; its name is used once.
struct ScaleOutRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  uint64_t mod_revision = 0;
};

// The life of a machine, from request to deletion.
enum class MachineState : uint8_t {
  kBooting,
  kUp,
  kDraining,  // gets nothing new: spot notice, fault, or scale-in
  kDeleting,  // the cloud has been asked to delete it
  kDeleted,   // the cloud has confirmed
};

// How far the start command of a task attempt has got.
enum class StartProgress : uint8_t {
  kQueued,   // not sent: certainly not there
  kSent,     // in flight or unanswered: may be there
  kSettled,  // the next newer message shows whether it is there
};

// A task that is, or may be, on the machine, or whose exit is still reported.
// `job`, `phase`, `reason`, `need`, `charged` and `stopping` are changed by
// ClusterState, or right before the attempt is added to it.
struct TaskAttempt {
  Job* job = nullptr;  // null: of a job that is no longer known
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  StartProgress start_progress = StartProgress::kSettled;
  uint64_t last_seq = 0;  // of the latest message that listed it
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  Resources need;        // what it occupies of the machine; zero once exited
  bool charged = false;  // its need is charged to machine, team and job
  Time started = 0;
  Time running_since = 0;
  // Started although the team's quota was held for another job: it fits beside
  // that job. Known to the leader that started it alone.
  bool backfilled = false;
  bool stopping = false;
  double stop_grace = 0;
  Time stop_sent = 0;
  bool forgetting = false;
};

// Identifies an attempt on its machine.
struct TaskAttemptKey {
  std::string job_id;
  uint32_t task;
  uint64_t attempt;
  auto operator<=>(const TaskAttemptKey&) const = default;
};

inline TaskAttemptKey KeyOf(const TaskAttempt& attempt) {
  return {attempt.job_id, attempt.task, attempt.attempt};
}

// Commands in flight to a worker. One batch at a time: then every message of
// the worker either came before the batch or shows its effect.
struct Batch {
  uint64_t id = 0;
  std::vector<WorkerCommand> commands;
  // In the response to a heartbeat: acknowledged by the next heartbeat.
  bool in_response = false;
};

// Capacity reserved for a job that waits for a machine to be drained.
struct Reservation {
  Job* job = nullptr;
  Resources need;
  Priority priority = Priority::kNormal;
  Time until = 0;
  // For a job that can't start yet. Work of lower priority may use the capacity
  // meanwhile, since it is preempted when the time comes.
  bool partial = false;
};

// A machine as the leader sees it. Belongs to ClusterState, which alone changes
// the capacity accounting and the task attempts; the other fields belong to the
// modules that are named at them.
class Machine {
 public:
  Machine(std::string host, const MachineRecord& record, int32_t index,
          FencingToken initial_token);

  const std::string& host() const { return host_; }
  int32_t index() const { return index_; }
  MachineState state() const { return state_; }
  // The one function for a machine's change of state.
  void Change(MachineState next);

  Resources total() const { return type ? type->total : Resources{}; }
  Resources free() const { return total() - used; }
  // Free capacity for a job of this priority, less what is reserved for others.
  Resources CapacityFor(const Job* job, Priority priority) const;
  // Whether the worker has shown the current token, so nothing sent with an
  // older one, by this leader or another, can be executed any more.
  bool confirmed() const { return seen_fencing_token >= token; }

  // Images. The queue holds those of starts sent and not yet seen cached.
  double GbToFetch(const std::string& image, double gb) const;
  void QueueImage(const std::string& image, double gb, Time now);
  void MarkImageCached(const std::string& image, double gb, Time now);
  void DropQueuedImage(const std::string& image);
  bool HasImage(const std::string& image) const;
  double image_gb_cached() const;
  double image_gb_queued() const;

  // Recorded facts.
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string endpoint;
  bool recorded_up = false;  // record with endpoint is in the key-value store
  const MachineType* type = nullptr;
  Time requested_at = 0;

  // The exchange with its worker. Changed by WorkerSessions, CommandDispatcher
  // and LivenessMonitor.
  WorkerIncarnation incarnation;
  Reachability reachability;
  uint64_t seq = 0;
  FencingToken token;                   // the one this leader uses for it
  FencingToken seen_fencing_token = 0;  // the highest the worker has shown
  Time last_heard = -1e9;
  Time last_heartbeat = -1e9;  // by which its lease is renewed
  bool forwarded = false;      // that one came by way of another controller
  Time first_answer = -1e9;    // to a heartbeat, by this leader
  Time last_answer = -1e9;
  // The other controllers, asked about a silent machine: when last, when one
  // of them last reached it, and when last nobody did.
  Time peers_last_asked = -1e9;
  Time last_reached_by_peer = -1e9;
  Time last_unreached_by_peers = -1e9;
  bool reported = false;  // under this leader
  // In no record, and it has shown no token of this leader: its message may be
  // a delayed copy of one of a machine that is deleted.
  bool unverified = false;
  std::optional<Batch> batch;
  bool batch_lost = false;  // unanswered: may be executed until token shows
  std::deque<WorkerCommand> queue;
  Time direct_commands_disabled_until =
      0;                         // commands go in responses meanwhile
  uint32_t direct_failures = 0;  // in a row
  std::optional<Time> notice_until;

  // The task attempts and the sums over them. Only ClusterState may add or
  // remove attempts or change these sums: it keeps them equal to what the
  // attempts occupy. Everybody may read.
  std::map<TaskAttemptKey, TaskAttempt> task_attempts;
  // Tasks of no known job that are there. What they occupy is not known, so
  // nothing is placed on the machine meanwhile.
  int orphaned_tasks = 0;
  Resources used;                  // by attempts that are, or may be, there
  Resources used_by_services;      // the part of it that services use
  Resources used_by_long_running;  // the part of it that all but job arrays use
  Resources used_by_stopping;      // the part of it that is being stopped
  std::array<Resources, kPriorities> used_by;  // by priority

  std::vector<Reservation> reservations;
  std::vector<std::string> failed_jobs;  // distinct jobs that failed here
  Time cordoned_until = 0;               // cordoned until then
  Time idle_since = 0;
  Time delete_sent = -1e9;
  bool deleted_for_silence = false;  // deletion was asked for its silence
  Time next_review = 0;
  bool missing_in_list = false;
  double bandwidth = 0;  // measured GB/s; 0 until a fetch was seen

 private:
  struct Image {
    double gb = 0;
    bool cached = false;
    Time queued_at = 0;
    Time used_at = 0;
  };
  std::string host_;
  int32_t index_;
  MachineState state_;
  std::map<std::string, Image> images_;
};

}  // namespace oxbow
