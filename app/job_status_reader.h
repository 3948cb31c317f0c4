// Determines the status of a job from this controller's memory, by asking the
// leader, or by fresh reads of the key-value store. DecideStatus()
// (core/read_consistency) decides which status the evidence allows. The reader
// changes no job; it applies the records that it reads to the catalog.
//
// Coroutines hold `this` and copies of their arguments, so the reader must live
// as long as the event loop runs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "api/api.h"
#include "app/dependency_admission.h"
#include "app/request_context.h"
#include "core/read_consistency/read_consistency_gate.h"
#include "net/task.h"

namespace oxbow::app {

// A status together with the decision that it follows from. The status is
// kUnknown unless the decision is kTerminalState, kLive or kNoSuchJob.
struct ResolvedStatus {
  StatusDecision decision = StatusDecision::kTryAgain;
  api::JobStatus status;
};

// Reads and resolves the status of jobs; one per controller.
class JobStatusReader {
 public:
  // What the leader has answered about a job before a fresh read.
  enum class LeaderAnswer : uint8_t { kNone, kJobUnknown };

  explicit JobStatusReader(const RequestContext& context) : context_(context) {}

  // Returns the job's status from memory; failing that, from the leader;
  // failing that, by a fresh read.
  net::Task<api::JobStatus> Read(std::string id);
  // Returns the job's status by reads of the key-value store that begin after
  // the call.
  net::Task<api::JobStatus> ReadFresh(
      std::string id, LeaderAnswer leader_answer = LeaderAnswer::kNone);
  // Determines by a fresh read whether the job was accepted.
  net::Task<RecordPresence> ReadAcceptance(std::string id);

  // Decides what this controller may answer about the job from what it knows.
  // `read` is the result of a read that began after the question arrived.
  ResolvedStatus Resolve(const std::string& id, RecordRead read);
  // The status of the job if its terminal state is known here.
  std::optional<api::JobStatus> TerminalStatus(const std::string& id) const;

  // Whether this controller leads, has received heartbeats of all machines, and
  // knows nothing of the job.
  bool IsUnknownToLeaderHere(const std::string& id);
  // Whether this controller leads and observes only tasks of the job, but no
  // record.
  bool IsObservedWithoutRecord(const std::string& id);

  // Whether a user's request may wait for the key-value store. If not, this
  // probes the store at intervals, so that requests use it again once it
  // answers.
  bool MayWaitForStore();

 private:
  // What this controller observes of the job as the leader; kUnseen if it does
  // not lead. Fills `view` with the job's current state.
  JobObservation ObservationOf(const std::string& id, JobView* view);
  // The status with the terminal state but without the number of tasks.
  std::optional<api::JobStatus> TerminalStatusWithoutCounts(
      const std::string& id) const;
  // The status from Resolve().
  api::JobStatus StatusAfter(const std::string& id, RecordRead read);
  // The status if it can be determined without a conclusive read; otherwise an
  // unknown status withheld for `reason`.
  api::JobStatus Withhold(const std::string& id, WithheldReason reason);
  api::JobStatus StatusOfLiveRecord(const std::string& id,
                                    const clients::KeyValue& item);
  struct WaitingRead {
    RecordPresence presence = RecordPresence::kUnknown;
    WithheldReason reason =
        WithheldReason::kReadFailed;  // if presence is kUnknown
  };
  net::Task<WaitingRead> ReadWaitingRecord(std::string id);
  net::Task<api::JobStatus> ReadTerminalRecord(std::string id,
                                               LeaderAnswer leader_answer);
  net::Task<api::JobStatus> StatusWithoutRecord(std::string id,
                                                LeaderAnswer leader_answer);
  net::Task<void> ProbeStore();

  const RequestContext& context_;
  bool probing_ = false;
  net::Time next_probe_ = 0;
};

// Makes a message about the job for another controller.
clients::PeerMessage MakeJobMessage(clients::PeerKind kind, std::string id);
// Converts another controller's answer about a job to the job's status.
api::JobStatus StatusFromPeer(const clients::PeerMessage& answer);

}  // namespace oxbow::app
