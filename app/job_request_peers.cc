// What users' requests are to another controller that hands them on, and news
// of one.

#include <rapidjson/document.h>

#include <optional>
#include <utility>

#include "app/job_request_handler.h"
#include "wire/names.h"
#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

void FillAnswer(const api::Status& status, PeerMessage* reply) {
  if (status.found == api::Status::JobPresence::kNo) {
    reply->answer = PeerAnswer::kUnknownJob;
  } else if (status.found == api::Status::JobPresence::kYes) {
    reply->answer = PeerAnswer::kYes;
    reply->text = status.status;
    reply->done = status.done;
    reply->running = status.running;
  }
}

// The record that another controller has sent; monostate if it is none.
Record RecordIn(const PeerMessage& message, const std::string& key) {
  rapidjson::Document doc;
  Record record;
  doc.Parse(message.text.data(), message.text.size());
  if (doc.HasParseError() || !wire::DecodeRecord(key, doc, &record)) return {};
  return record;
}

// The job's record that another controller has sent.
std::optional<JobRecord> JobIn(const PeerMessage& message) {
  const Record record = RecordIn(message, keys::Of(keys::kJob, message.job_id));
  const auto* job = std::get_if<JobRecord>(&record);
  return job == nullptr ? std::nullopt : std::optional(*job);
}

}  // namespace

bool JobRequestHandler::Handles(PeerKind kind) {
  switch (kind) {
    case PeerKind::kPoll:
    case PeerKind::kCancel:
    case PeerKind::kJobAccepted:
    case PeerKind::kReport:
    case PeerKind::kRelayPoll:
    case PeerKind::kRelayCancel:
    case PeerKind::kRelaySubmit:
    case PeerKind::kRelayChain:
      return true;
    default:
      return false;
  }
}

net::Task<void> JobRequestHandler::OnPeer(PeerMessage message,
                                          PeerMessage* reply) {
  switch (message.kind) {
    case PeerKind::kPoll: {
      api::Status status;
      const StatusDecision decision =
          ResolveStatus(message.job_id, RecordRead::kNone, &status);
      if (decision != StatusDecision::kReadFirst) {
        FillAnswer(status, reply);
      } else if (UnseenHere(message.job_id)) {
        reply->answer = PeerAnswer::kUnknownJob;
      } else if (SeenUnrecorded(message.job_id)) {
        // Nobody else sees its tasks.
        FillAnswer(co_await FreshRead(message.job_id), reply);
      }
      break;
    }
    case PeerKind::kCancel: {
      if (leader_runtime_.ActiveLeader() == nullptr) break;
      if (!KnownHere(message.job_id)) {
        const api::Status known = co_await FreshRead(message.job_id);
        if (known.found != api::Status::JobPresence::kYes ||
            leader_runtime_.ActiveLeader() == nullptr) {
          break;
        }
      }
      const TerminalState state =
          co_await leader_runtime_.Cancel(message.job_id);
      if (state == TerminalState::kNone) break;
      reply->answer = PeerAnswer::kYes;
      reply->text = wire::NameOf(wire::kTerminalStates, state);
      break;
    }
    case PeerKind::kJobAccepted: {
      const std::string key = keys::Of(
          message.running > 0 ? keys::kWaiting : keys::kJob, message.job_id);
      const Record record = RecordIn(message, key);
      if (std::holds_alternative<std::monostate>(record)) break;
      watcher_.Apply(key, record, message.mod_revision);
      leader_runtime_.ExecuteActions();
      break;
    }
    case PeerKind::kReport: {
      Heartbeat heartbeat;
      HeartbeatResponse told;
      if (!wire::ParseReport(message.text, &heartbeat)) break;
      heartbeat.forwarded = true;
      if (!ProcessHeartbeatAsLeader(heartbeat, &told)) break;
      reply->text = wire::EncodeReply(told);
      if (reply->text.size() > ZoneCoordinator::kMostBytes) {
        reply->text.clear();
        break;
      }
      reply->answer = PeerAnswer::kYes;
      break;
    }
    case PeerKind::kRelayPoll:
      FillAnswer(co_await PollLocally(message.job_id), reply);
      break;
    case PeerKind::kRelayCancel:
      FillAnswer(co_await CancelOrPass(message.job_id), reply);
      break;
    case PeerKind::kRelaySubmit:
    case PeerKind::kRelayChain: {
      const std::optional<JobRecord> job = JobIn(message);
      if (!job) break;
      if (KnownHere(message.job_id)) {
        reply->answer = PeerAnswer::kKnownJob;
        break;
      }
      const api::Submitted submitted = co_await SubmitLocally(job->spec);
      if (submitted.result == api::Submitted::Result::kAccepted) {
        reply->answer = PeerAnswer::kYes;
      } else if (submitted.result == api::Submitted::Result::kKnown) {
        reply->answer = PeerAnswer::kKnownJob;
      } else if (submitted.result == api::Submitted::Result::kNamesUnknown) {
        reply->answer = PeerAnswer::kUnknownJob;
      }
      break;
    }
    default:
      break;
  }
}

}  // namespace oxbow::app
