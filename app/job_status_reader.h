// Answers what the status of a job is, from what this controller knows, from
// the leader, or by fresh reads of the key-value store. What may be said given
// the evidence is decided by DecideStatus() (core/read_consistency). Changes no
// job; what it reads is taken into the catalog.
//
// Coroutines hold `this` and copies of their arguments: the reader must outlive
// the event loop's run.
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

  // From memory, else from the leader, else by a fresh read.
  net::Task<api::JobStatus> Read(std::string id);
  // By reads of the key-value store that begin after the call.
  net::Task<api::JobStatus> ReadFresh(
      std::string id, LeaderAnswer leader_answer = LeaderAnswer::kNone);
  // Whether the job was accepted, by a fresh read.
  net::Task<RecordPresence> ReadAcceptance(std::string id);

  // What may be said of the job by what is known here, given what a read that
  // began after the question has found.
  ResolvedStatus Resolve(const std::string& id, RecordRead read);
  // The status of a job whose terminal state is known here.
  std::optional<api::JobStatus> TerminalStatus(const std::string& id) const;

  // Whether this controller leads, has received heartbeats of all machines, and
  // knows nothing of the job.
  bool IsUnknownToLeaderHere(const std::string& id);
  // Whether this controller leads and observes only tasks of the job, but no
  // record.
  bool IsObservedWithoutRecord(const std::string& id);

  // Whether a user's request may wait for the key-value store. If it may not,
  // probes the store now and then, so that requests notice its return.
  bool MayWaitForStore();

 private:
  // The leader's own observation of the job; kUnseen where this controller does
  // not lead.
  JobObservation ObservationOf(const std::string& id, JobView* view);
  // The terminal state alone, without the number of tasks.
  std::optional<api::JobStatus> TerminalStatusWithoutCounts(
      const std::string& id) const;
  api::JobStatus StatusAfter(const std::string& id, RecordRead read);
  // The status if it can be told without a reliable read; otherwise none, for
  // that reason.
  api::JobStatus Withhold(const std::string& id, WithheldReason reason);
  api::JobStatus StatusOfLiveRecord(const std::string& id,
                                    const clients::KeyValue& item);
  struct WaitingRead {
    RecordPresence presence = RecordPresence::kUnknown;
    WithheldReason reason = WithheldReason::kReadFailed;  // if unknown
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

// A question to another controller about the job.
clients::PeerMessage MakeJobMessage(clients::PeerKind kind, std::string id);
// The status of a job as another controller has answered it.
api::JobStatus StatusFromPeer(const clients::PeerMessage& answer);

}  // namespace oxbow::app
