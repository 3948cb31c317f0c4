#include "app/peer_request_handler.h"

#include <rapidjson/document.h>

#include <optional>
#include <utility>
#include <variant>

#include "wire/names.h"
#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

void FillStatus(const api::JobStatus& status, PeerMessage* reply) {
  if (status.presence == api::JobStatus::Presence::kNotFound) {
    reply->answer = PeerAnswer::kUnknownJob;
  } else if (status.presence == api::JobStatus::Presence::kExists) {
    reply->answer = PeerAnswer::kYes;
    reply->text = status.status;
    reply->done = status.done;
    reply->running = status.running;
  }
}

// The record that another controller has sent; nullopt if it can't be decoded.
std::optional<Record> DecodeRecord(const PeerMessage& message,
                                   const std::string& key) {
  rapidjson::Document doc;
  Record record;
  doc.Parse(message.text.data(), message.text.size());
  if (doc.HasParseError() || !wire::DecodeRecord(key, doc, &record)) {
    return std::nullopt;
  }
  return record;
}

std::optional<JobRecord> DecodeJobRecord(const PeerMessage& message) {
  const std::optional<Record> record =
      DecodeRecord(message, keys::Of(keys::kJob, message.job_id));
  if (!record) return std::nullopt;
  const auto* job = std::get_if<JobRecord>(&*record);
  return job == nullptr ? std::nullopt : std::optional(*job);
}

}  // namespace

bool PeerRequestHandler::Handles(PeerKind kind) {
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

net::Task<void> PeerRequestHandler::Handle(PeerMessage message,
                                           PeerMessage* reply) {
  switch (message.kind) {
    case PeerKind::kPoll:
      co_await AnswerStatusQuestion(std::move(message.job_id), reply);
      break;
    case PeerKind::kCancel:
      co_await CancelAsLeader(std::move(message.job_id), reply);
      break;
    case PeerKind::kJobAccepted:
      OnJobAccepted(message);
      break;
    case PeerKind::kReport:
      OnRelayedHeartbeat(message, reply);
      break;
    case PeerKind::kRelayPoll:
      FillStatus(co_await status_reader_.Read(message.job_id), reply);
      break;
    case PeerKind::kRelayCancel:
      FillStatus(co_await canceller_.Cancel(message.job_id), reply);
      break;
    case PeerKind::kRelaySubmit:
    case PeerKind::kRelayChain:
      co_await SubmitLocally(std::move(message), reply);
      break;
    default:
      break;
  }
}

net::Task<void> PeerRequestHandler::AnswerStatusQuestion(std::string id,
                                                         PeerMessage* reply) {
  const ResolvedStatus resolved = status_reader_.Resolve(id, RecordRead::kNone);
  if (resolved.decision != StatusDecision::kReadFirst) {
    FillStatus(resolved.status, reply);
  } else if (status_reader_.IsUnknownToLeaderHere(id)) {
    reply->answer = PeerAnswer::kUnknownJob;
  } else if (status_reader_.IsObservedWithoutRecord(id)) {
    // Only the leader observes the job's tasks, so it reads the record itself.
    FillStatus(co_await status_reader_.ReadFresh(id), reply);
  }
}

net::Task<void> PeerRequestHandler::CancelAsLeader(std::string id,
                                                   PeerMessage* reply) {
  const TerminalState state = co_await canceller_.CancelAsLeader(std::move(id));
  if (state == TerminalState::kNone) co_return;
  reply->answer = PeerAnswer::kYes;
  reply->text = wire::NameOf(wire::kTerminalStates, state);
}

void PeerRequestHandler::OnJobAccepted(const PeerMessage& message) {
  const std::string key = keys::Of(
      message.running > 0 ? keys::kWaiting : keys::kJob, message.job_id);
  const std::optional<Record> record = DecodeRecord(message, key);
  if (!record || std::holds_alternative<std::monostate>(*record)) return;
  context_.watcher.Apply(key, *record, message.mod_revision);
  context_.leader_runtime.ExecuteActions();
}

void PeerRequestHandler::OnRelayedHeartbeat(const PeerMessage& message,
                                            PeerMessage* reply) {
  Heartbeat heartbeat;
  if (!wire::ParseReport(message.text, &heartbeat)) return;
  heartbeat.forwarded = true;
  const std::optional<HeartbeatResponse> response =
      heartbeat_handler_.ProcessAsLeader(heartbeat);
  if (!response) return;
  std::string body = wire::EncodeReply(*response);
  if (body.size() > ZoneCoordinator::kMaxForwardedBytes) return;
  reply->text = std::move(body);
  reply->answer = PeerAnswer::kYes;
}

net::Task<void> PeerRequestHandler::SubmitLocally(PeerMessage message,
                                                  PeerMessage* reply) {
  const std::optional<JobRecord> job = DecodeJobRecord(message);
  if (!job) co_return;
  if (context_.catalog.WasAccepted(message.job_id)) {
    reply->answer = PeerAnswer::kKnownJob;
    co_return;
  }
  const api::SubmitResult result = co_await submitter_.SubmitLocally(job->spec);
  switch (result) {
    case api::SubmitResult::kAccepted:
      reply->answer = PeerAnswer::kYes;
      break;
    case api::SubmitResult::kAlreadyKnown:
      reply->answer = PeerAnswer::kKnownJob;
      break;
    case api::SubmitResult::kUnknownDependency:
      reply->answer = PeerAnswer::kUnknownJob;
      break;
    case api::SubmitResult::kTooLarge:
    case api::SubmitResult::kUnavailable:
      break;
  }
}

}  // namespace oxbow::app
