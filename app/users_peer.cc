// What users' requests are to another controller that hands them on, and news
// of one.

#include <rapidjson/document.h>

#include <optional>
#include <utility>

#include "app/users.h"
#include "wire/names.h"
#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

void FillAnswer(const api::Status& status, PeerMessage* reply) {
  if (status.found == api::Status::Found::kNo) {
    reply->answer = PeerAnswer::kUnknownJob;
  } else if (status.found == api::Status::Found::kYes) {
    reply->answer = PeerAnswer::kYes;
    reply->text = status.status;
    reply->done = status.done;
    reply->running = status.running;
  }
}

// The job's record that another controller has sent.
std::optional<JobRecord> JobIn(const PeerMessage& message) {
  rapidjson::Document doc;
  Record record;
  doc.Parse(message.text.data(), message.text.size());
  if (doc.HasParseError() ||
      !wire::DecodeRecord(keys::Of(keys::kJob, message.job_id), doc, &record)) {
    return std::nullopt;
  }
  const auto* job = std::get_if<JobRecord>(&record);
  return job == nullptr ? std::nullopt : std::optional(*job);
}

}  // namespace

bool Users::Takes(PeerKind kind) {
  switch (kind) {
    case PeerKind::kPoll:
    case PeerKind::kCancel:
    case PeerKind::kHint:
    case PeerKind::kReport:
    case PeerKind::kRelayPoll:
    case PeerKind::kRelayCancel:
    case PeerKind::kRelaySubmit:
      return true;
    default:
      return false;
  }
}

net::Task<void> Users::OnPeer(PeerMessage message, PeerMessage* reply) {
  switch (message.kind) {
    case PeerKind::kPoll: {
      api::Status status;
      if (TerminalStateKnown(message.job_id, &status) ||
          ViewHere(message.job_id, &status)) {
        reply->answer = PeerAnswer::kYes;
        reply->text = status.status;
        reply->done = status.done;
        reply->running = status.running;
      } else if (UnseenHere(message.job_id)) {
        reply->answer = PeerAnswer::kUnknownJob;
      }
      break;
    }
    case PeerKind::kCancel: {
      if (leader_service_.Leading() == nullptr) break;
      if (!KnownHere(message.job_id)) {
        const api::Status known = co_await FreshRead(message.job_id);
        if (known.found != api::Status::Found::kYes ||
            leader_service_.Leading() == nullptr) {
          break;
        }
      }
      const TerminalState state =
          co_await leader_service_.Cancel(message.job_id);
      if (state == TerminalState::kNone) break;
      reply->answer = PeerAnswer::kYes;
      reply->text = wire::NameOf(wire::kTerminalStates, state);
      break;
    }
    case PeerKind::kHint: {
      const std::optional<JobRecord> job = JobIn(message);
      if (!job) break;
      follower_.Apply(keys::Of(keys::kJob, message.job_id), *job,
                      message.stamp);
      leader_service_.Perform();
      break;
    }
    case PeerKind::kReport: {
      WorkerReport report;
      ReportReply told;
      if (!wire::ParseReport(message.text, &report) ||
          !TakeReport(report, &told)) {
        break;
      }
      reply->text = wire::EncodeReply(told);
      if (reply->text.size() > ZoneCoordinator::kMostBytes) {
        reply->text.clear();
        break;
      }
      reply->answer = PeerAnswer::kYes;
      break;
    }
    case PeerKind::kRelayPoll:
      FillAnswer(co_await PollHere(message.job_id), reply);
      break;
    case PeerKind::kRelayCancel:
      FillAnswer(co_await CancelOrPass(message.job_id), reply);
      break;
    case PeerKind::kRelaySubmit: {
      const std::optional<JobRecord> job = JobIn(message);
      if (!job) break;
      if (KnownHere(message.job_id)) {
        reply->answer = PeerAnswer::kKnownJob;
        break;
      }
      const api::Submitted submitted = co_await SubmitHere(job->spec);
      if (submitted.result == api::Submitted::Result::kAccepted) {
        reply->answer = PeerAnswer::kYes;
      } else if (submitted.result == api::Submitted::Result::kKnown) {
        reply->answer = PeerAnswer::kKnownJob;
      }
      break;
    }
    default:
      break;
  }
}

}  // namespace oxbow::app
