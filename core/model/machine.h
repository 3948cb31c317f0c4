// The leader's view of a machine: its record, the state of the communication
// with its worker, the task attempts on it and the images in its cache.
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

// A machine type that the cloud offers, with the prices and times that the
// cloud announces.
struct MachineType {
  std::string name;
  Resources total;
  double cache_gb = 0;
  double fetch_gb_per_second = 1;
  double price = 0;
  double spot_price = 0;
  double boot_seconds = 0;  // nominal boot time
  std::vector<std::string> zones;
};

// The stored record of a machine. Tasks are placed only on machines whose
// record names an endpoint.
struct MachineRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  std::string endpoint;       // empty while booting
  double requested_wall = 0;  // s since 1970
  uint64_t mod_revision = 0;
};

// The state of a scale-out request.
enum class ScaleOutState : uint8_t {
  kRecording,   // its record is being written
  kRequesting,  // sent to the cloud, or possibly sent
  kSettled,     // granted or refused; its record is being removed
};

// The stored record of a scale-out request. Its name is never reused.
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
  kDraining,  // gets no new tasks because of a spot notice, fault or scale-in
  kDeleting,  // the deletion has been requested from the cloud
  kDeleted,   // the cloud has confirmed the deletion
};

// The state of the start command of a task attempt.
enum class StartProgress : uint8_t {
  kQueued,   // not sent: the attempt is certainly not on the machine
  kSent,     // in flight or unanswered: the attempt may be on the machine
  kSettled,  // the next newer message shows whether the attempt is there
};

// A task attempt that is, or may be, on a machine, or whose exit the worker
// still reports. Once the attempt has been added to the ClusterState, only that
// changes `job`, `phase`, `reason`, `need`, `charged` and `stopping`.
struct TaskAttempt {
  Job* job = nullptr;  // null if the job is unknown
  std::string job_id;
  uint32_t task = 0;
  uint64_t attempt = 0;
  StartProgress start_progress = StartProgress::kSettled;
  uint64_t last_seq = 0;  // number of the latest message that listed it
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason reason = ExitReason::kNone;
  Resources need;  // the capacity that it occupies; zero once it has exited
  bool charged = false;  // whether `need` is charged to machine, team and job
  Time started = 0;
  Time running_since = 0;
  // Whether the attempt was backfilled: started although the team's quota was
  // reserved for another job, because both fit. Only the leader that started
  // the attempt knows this.
  bool backfilled = false;
  bool stopping = false;  // the leader has decided to stop it
  double stop_grace = 0;  // time to save its state before it is killed, s
  Time stop_sent = 0;
  bool forgetting = false;  // the worker is told to stop reporting its exit
  // The highest token under which this leader may have sent the start command
  // to the worker's address; 0 if it has not.
  FencingToken start_token = 0;
};

// Identifies an attempt among those on its machine.
struct TaskAttemptKey {
  std::string job_id;
  uint32_t task;
  uint64_t attempt;
  auto operator<=>(const TaskAttemptKey&) const = default;
};

inline TaskAttemptKey KeyOf(const TaskAttempt& attempt) {
  return {attempt.job_id, attempt.task, attempt.attempt};
}

// Commands in flight to a worker. Only one batch is in flight at a time, so
// that every message of the worker was either sent before the batch arrived or
// shows its effect.
struct Batch {
  uint64_t id = 0;
  std::vector<WorkerCommand> commands;
  // Sent in the response to a heartbeat; the next heartbeat acknowledges it.
  bool in_response = false;
};

// Capacity on a machine that is reserved for a waiting job.
struct Reservation {
  Job* job = nullptr;
  Resources need;
  Priority priority = Priority::kNormal;
  Time until = 0;
  // The reservation is for a job that can't start yet. Tasks of lower priority
  // may use the capacity meanwhile, since the job preempts them when it starts.
  bool partial = false;
};

// The leader's view of a machine. Owned by ClusterState, which alone changes
// the capacity accounting and the set of task attempts. The comments on the
// other fields name the modules that change them.
class Machine {
 public:
  Machine(std::string host, const MachineRecord& record, int32_t index,
          FencingToken initial_token);

  const std::string& host() const { return host_; }
  int32_t index() const { return index_; }
  MachineState state() const { return state_; }
  // Changes the state. Throws IllegalTransition if the change is not allowed.
  void Change(MachineState next);

  Resources total() const { return type ? type->total : Resources{}; }
  Resources free() const { return total() - used; }
  // Free capacity for a job of this priority, less what is reserved for others.
  Resources CapacityFor(const Job* job, Priority priority) const;
  // Whether the worker has shown the token that it has to confirm. Then it no
  // longer executes commands with an older one, from this leader or another.
  bool confirmed() const { return seen_fencing_token >= token_to_confirm; }

  // Images. An image is queued from the time when the start of a task that
  // needs it is sent until it is known to be in the worker's cache.
  // The amount to download before a task with this image can run, of an image
  // of `gb` GB: zero if the image is cached or queued.
  double GbToFetch(const std::string& image, double gb) const;
  void QueueImage(const std::string& image, double gb, Time now);
  void MarkImageCached(const std::string& image, double gb, Time now);
  void DropQueuedImage(const std::string& image);
  // Whether the image is in the worker's cache.
  bool HasImage(const std::string& image) const;
  double image_gb_cached() const;
  double image_gb_queued() const;

  // Fields from the machine's record.
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string endpoint;
  bool recorded_up = false;  // the stored record has an endpoint
  const MachineType* type = nullptr;
  Time requested_at = 0;

  // Communication with the worker. Changed by WorkerSessions, CommandDispatcher
  // and LivenessMonitor.
  WorkerIncarnation incarnation;
  Reachability reachability;
  uint64_t seq = 0;    // number of the latest message
  FencingToken token;  // the one this leader uses for it
  // The token from which on no command of unknown outcome can be executed, at
  // most `token`.
  FencingToken token_to_confirm;
  // The highest token under which this leader has sent a start command to the
  // worker's address; 0 if it has not.
  FencingToken last_start_token = 0;
  FencingToken seen_fencing_token = 0;  // the highest the worker has shown
  Time last_heard = -1e9;               // when the last message arrived
  // When the last heartbeat arrived; only heartbeats renew the worker's lease.
  Time last_heartbeat = -1e9;
  bool forwarded = false;    // another controller forwarded that heartbeat
  Time first_answer = -1e9;  // when this leader first answered a heartbeat
  Time last_answer = -1e9;   // when this leader last answered a heartbeat
  // When the other controllers were last asked whether they reach the silent
  // machine, when one of them last reached it, and when last none of them did.
  Time peers_last_asked = -1e9;
  Time last_reached_by_peer = -1e9;
  Time last_unreached_by_peers = -1e9;
  bool reported = false;  // has sent its tasks to this leader
  // The machine has no record and has shown no token of this leader: its
  // message may be a delayed duplicate from a machine that has been deleted.
  bool unverified = false;
  std::optional<Batch> batch;
  // A batch got no response: its commands may still be executed until the
  // worker shows the current token.
  bool batch_lost = false;
  std::deque<WorkerCommand> queue;  // commands to be sent
  // Until then commands are sent only in responses to heartbeats, because
  // connections to the worker have failed.
  Time direct_commands_disabled_until = 0;
  uint32_t direct_failures = 0;  // consecutive failed connections
  // When the cloud reclaims the machine, if it has announced that.
  std::optional<Time> notice_until;

  // The task attempts and the sums over them. Only ClusterState may add or
  // remove attempts or change these sums; it keeps them consistent. Every
  // module may read them.
  std::map<TaskAttemptKey, TaskAttempt> task_attempts;
  // The number of tasks on the machine whose job is unknown. The capacity that
  // they occupy is unknown, too, so nothing is placed on the machine meanwhile.
  int orphaned_tasks = 0;
  Resources used;  // by attempts that are, or may be, on the machine
  Resources used_by_services;  // the part of `used` that services use
  Resources
      used_by_long_running;  // the part of `used` that services and gangs use
  Resources
      used_by_stopping;  // the part of `used` whose attempts are being stopped
  std::array<Resources, kPriorities> used_by;  // `used` by priority

  std::vector<Reservation> reservations;
  std::vector<std::string> failed_jobs;  // distinct jobs that failed here
  Time cordoned_until = 0;               // cordoned until then
  Time idle_since = 0;
  Time delete_sent = -1e9;
  bool deleted_for_silence =
      false;  // its deletion was requested because it was silent
  Time next_review = 0;
  bool missing_in_list = false;
  double bandwidth = 0;  // average of measured downloads, GB/s; 0 before

 private:
  struct Image {
    double gb = 0;
    bool cached = false;
    Time queued_at = 0;
    Time used_at = 0;  // when a task last needed it
  };
  std::string host_;
  int32_t index_;
  MachineState state_;
  std::map<std::string, Image> images_;
};

}  // namespace oxbow
