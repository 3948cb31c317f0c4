#include "app/users.h"

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "wire/records.h"
#include "wire/worker_json.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;

// Shares of the workers' lease.
constexpr double kProxyTimeoutRatio = 0.06;
constexpr double kCancelWaitRatio = 0.3;
constexpr size_t kMostLiveJobs = 20'000;
constexpr size_t kMostLiveTasks = 600'000;

std::string_view WordOf(FinalState state) {
  return state == FinalState::kDone ? "done" : "aborted";
}

PeerMessage RelayOf(PeerKind kind, std::string id) {
  PeerMessage message;
  message.kind = kind;
  message.job_id = std::move(id);
  return message;
}

api::Status StatusOf(const PeerMessage& answer) {
  api::Status status;
  if (answer.answer == PeerAnswer::kUnknownJob) {
    status.found = api::Status::Found::kNo;
  } else if (answer.answer == PeerAnswer::kYes) {
    status.found = api::Status::Found::kYes;
    status.status = answer.text;
    status.done = answer.done;
    status.running = answer.running;
  }
  return status;
}

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

Users::Users(net::Loop& loop, const Settings& settings, Catalog& catalog,
             clients::StateClient& state, Follower& follower,
             Election& election, Dealings& dealings,
             const FitnessDesk::Peers& peers, ZoneDesk& zone_desk,
             RecoveryDesk& recovery)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      state_(state),
      follower_(follower),
      election_(election),
      dealings_(dealings),
      peers_(peers),
      zone_desk_(zone_desk),
      recovery_(recovery) {}

bool Users::Ready() {
  return follower_.ever_synced() && !follower_.types().empty() &&
         !zone_desk_.Apart();
}

const std::map<std::string, MachineType>* Users::Types() {
  return follower_.types().empty() ? nullptr : &follower_.types();
}

bool Users::KnownHere(const std::string& id) {
  return catalog_.FindJob(id) != nullptr ||
         catalog_.FindFinal(id) != FinalState::kNone;
}

bool Users::FinalKnown(const std::string& id, api::Status* out) const {
  const FinalRecord end = catalog_.FindEnd(id);
  if (end.state == FinalState::kNone) return false;
  out->found = api::Status::Found::kYes;
  out->status = WordOf(end.state);
  out->done = end.state == FinalState::kDone ? end.tasks : 0;
  out->running = 0;
  return true;
}

bool Users::ViewHere(const std::string& id, api::Status* out) {
  JobView view;
  const Controller* leading = dealings_.Leading();
  if (leading == nullptr || !leading->View(id, &view)) return false;
  out->found = api::Status::Found::kYes;
  out->status = view.status;
  out->done = view.done;
  out->running = view.running;
  return true;
}

net::Task<api::Status> Users::FreshRead(std::string id) {
  api::Status status;
  const StateResult live =
      co_await state_.Get(keys::Of(keys::kJob, id), Urgency::kUser);
  if (live.ok()) {
    follower_.Apply(live.items[0].key, live.items[0].record,
                    live.items[0].stamp);
    dealings_.Perform();
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job == nullptr) co_return status;
    if (recovery_.on() && job->final_state == FinalState::kNone &&
        catalog_.FindJob(id) == nullptr) {
      // The watch has passed it, and it was deleted: an older copy is back.
      recovery_.Sign(LossSign::kStepBack);
      co_return status;
    }
    if (job->final_state == FinalState::kNone &&
        !recovery_.MayTellLive(live.items[0].stamp)) {
      co_return status;
    }
    status.found = api::Status::Found::kYes;
    if (job->final_state != FinalState::kNone) {
      status.status = WordOf(job->final_state);
      status.done =
          job->final_state == FinalState::kDone ? job->spec->tasks : 0;
    } else {
      status.status = "pending";
    }
    co_return status;
  }
  if (live.status != StateStatus::kNotFound) co_return status;
  // A job moves to the final states in one step, so one that is missing in
  // both, read in this order, was not accepted when the first was read.
  const StateResult ended =
      co_await state_.Get(keys::Of(keys::kFinal, id), Urgency::kUser);
  if (ended.ok()) {
    if (const auto* end = std::get_if<FinalRecord>(&ended.items[0].record)) {
      catalog_.RememberEnd(id, *end);
      FinalKnown(id, &status);
    }
  } else if (ended.status == StateStatus::kNotFound) {
    co_return co_await NotFound(std::move(id));
  }
  co_return status;
}

// A record that is missing proves nothing once the state service may have lost
// data. What is remembered is told; else only a service that still holds the
// epoch, looked at after the reads, is a reason to deny.
net::Task<api::Status> Users::NotFound(std::string id) {
  api::Status status;
  if (!recovery_.on()) {
    status.found = api::Status::Found::kNo;
    co_return status;
  }
  const FinalState end = catalog_.FindFinal(id);
  if (end != FinalState::kNone) {
    status.found = api::Status::Found::kYes;
    status.status = WordOf(end);
    co_return status;
  }
  if (catalog_.FindJob(id) != nullptr || !recovery_.MayDeny()) {
    co_return status;
  }
  const CheckSays says = co_await recovery_.Check();
  if (says != CheckSays::kStands || !recovery_.MayDeny()) co_return status;
  const bool known = co_await recovery_.AnybodyKnows(id);
  if (known || !recovery_.MayDeny()) {
    recovery_.Sign(LossSign::kRecordMissing, keys::Of(keys::kJob, id));
    co_return status;
  }
  status.found = api::Status::Found::kNo;
  co_return status;
}

// One that alone is cut off from the state service keeps its users for as long
// as its sockets are good: half a minute of 503 for a fifth of all requests,
// while four others could have answered. Nothing is accepted, and nothing
// denied, but by the one who has written or read it.
net::Task<PeerMessage> Users::Relay(PeerMessage message) {
  PeerMessage none;
  if (peers_.empty() || zone_desk_.Apart() || loop_.Now() < relay_not_before_) {
    co_return none;
  }
  message.node = settings_.node;
  clients::PeerClient& peer = *peers_[relay_to_ % peers_.size()];
  const double ratio = message.kind == PeerKind::kRelayCancel
                           ? kCancelWaitRatio + 2 * kProxyTimeoutRatio
                           : kProxyTimeoutRatio;
  const auto answer =
      co_await peer.Ask(std::move(message), ratio * settings_.workers.lease_s);
  if (answer.ok && answer.message.answer != PeerAnswer::kNo) {
    co_return answer.message;
  }
  // It is no better off, or not there: in an outage that all share, asking
  // around for each request would only add to the load.
  ++relay_to_;
  relay_not_before_ =
      loop_.Now() + settings_.workers.report_s / (2.0 * settings_.nodes);
  co_return none;
}

net::Task<api::Status> Users::Poll(std::string id) {
  const api::Status status = co_await PollHere(id);
  if (status.found != api::Status::Found::kCannotTell) co_return status;
  co_return StatusOf(co_await Relay(RelayOf(PeerKind::kRelayPoll, id)));
}

net::Task<api::Status> Users::Cancel(std::string id) {
  const api::Status status = co_await CancelOrPass(id);
  if (status.found != api::Status::Found::kCannotTell) co_return status;
  co_return StatusOf(co_await Relay(RelayOf(PeerKind::kRelayCancel, id)));
}

net::Task<api::Submitted> Users::Submit(std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  const api::Submitted here = co_await SubmitHere(spec);
  if (here.result != Result::kTryLater) co_return here;
  PeerMessage relay = RelayOf(PeerKind::kRelaySubmit, spec->id);
  relay.text =
      wire::EncodeRecord(JobRecord{spec, net::WallNow(), FinalState::kNone, 0});
  PeerMessage answer;
  clients::PeerClient* leader = election_.LeaderPeer();
  if (leader != nullptr && !recovery_.MayAccept()) {
    // Only the leader holds all that is remembered, and can tell a new job.
    relay.node = settings_.node;
    const auto told = co_await leader->Ask(
        std::move(relay), kProxyTimeoutRatio * settings_.workers.lease_s);
    if (told.ok) answer = told.message;
  } else {
    answer = co_await Relay(std::move(relay));
  }
  if (answer.answer == PeerAnswer::kYes) {
    co_return api::Submitted{Result::kAccepted};
  }
  if (answer.answer == PeerAnswer::kKnownJob) {
    co_return api::Submitted{Result::kKnown};
  }
  co_return here;
}

net::Task<api::Status> Users::PollHere(std::string id) {
  api::Status status;
  if (FinalKnown(id, &status) || ViewHere(id, &status)) co_return status;
  // Nobody can be asked: said at once, so that the user asks another.
  if (zone_desk_.Apart()) co_return status;
  clients::PeerClient* leader = election_.LeaderPeer();
  if (leader != nullptr) {
    PeerMessage ask;
    ask.kind = PeerKind::kPoll;
    ask.node = settings_.node;
    ask.job_id = id;
    const auto answer = co_await leader->Ask(
        ask, kProxyTimeoutRatio * settings_.workers.lease_s);
    if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
      status.found = api::Status::Found::kYes;
      status.status = answer.message.text;
      status.done = answer.message.done;
      status.running = answer.message.running;
      co_return status;
    }
  }
  co_return co_await FreshRead(std::move(id));
}

net::Task<api::Submitted> Users::SubmitHere(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  size_t tasks = spec->tasks;
  for (const auto& [id, job] : catalog_.jobs()) {
    if (job.final_state == FinalState::kNone) tasks += job.spec->tasks;
  }
  if (!follower_.ever_synced() || zone_desk_.Apart() ||
      catalog_.jobs().size() >= kMostLiveJobs || tasks > kMostLiveTasks) {
    co_return api::Submitted{Result::kTryLater};
  }
  const std::string key = keys::Of(keys::kJob, spec->id);
  const JobRecord record{spec, net::WallNow(), FinalState::kNone, 0};
  if (wire::EncodeRecord(record).size() >
      static_cast<size_t>(settings_.state.value_kb * 1024)) {
    co_return api::Submitted{Result::kTooLarge};
  }
  if (!recovery_.MayAccept()) co_return api::Submitted{Result::kTryLater};
  std::vector<Condition> conditions{{key, 0},
                                    {keys::Of(keys::kFinal, spec->id), 0}};
  recovery_.AddGuard(&conditions);
  std::vector<KeyChange> changes{{key, record}};
  const StateResult result = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kUser);
  switch (result.status) {
    case StateStatus::kOk: {
      follower_.Apply(key, record, result.revision);
      dealings_.Perform();
      if (clients::PeerClient* leader = election_.LeaderPeer()) {
        PeerMessage hint;
        hint.kind = PeerKind::kHint;
        hint.node = settings_.node;
        hint.job_id = spec->id;
        hint.stamp = result.revision;
        hint.text = wire::EncodeRecord(record);
        net::Spawn(leader->Tell(std::move(hint)));
      }
      spdlog::debug("accepted {}", spec->id);
      co_return api::Submitted{Result::kAccepted};
    }
    case StateStatus::kConflict:
      co_return api::Submitted{recovery_.GuardFailed(result.failed)
                                   ? Result::kTryLater
                                   : Result::kKnown};
    case StateStatus::kUnknown: {
      const api::Status known = co_await FreshRead(spec->id);
      co_return api::Submitted{known.found == api::Status::Found::kYes
                                   ? Result::kKnown
                                   : Result::kTryLater};
    }
    default:
      co_return api::Submitted{Result::kTryLater};
  }
}

net::Task<api::Status> Users::CancelOrPass(std::string id) {
  api::Status status;
  if (FinalKnown(id, &status) || zone_desk_.Apart()) co_return status;
  if (!KnownHere(id)) {
    status = co_await FreshRead(id);
    if (status.found != api::Status::Found::kYes || FinalKnown(id, &status)) {
      co_return status;
    }
  }
  api::Status unknown;
  if (dealings_.Leading() != nullptr) {
    const FinalState state = co_await dealings_.Cancel(id);
    if (state == FinalState::kNone) co_return unknown;
    status.found = api::Status::Found::kYes;
    status.status = WordOf(state);
    co_return status;
  }
  clients::PeerClient* leader = election_.LeaderPeer();
  if (leader == nullptr) co_return unknown;
  PeerMessage ask;
  ask.kind = PeerKind::kCancel;
  ask.node = settings_.node;
  ask.job_id = id;
  const auto answer = co_await leader->Ask(
      ask, (kCancelWaitRatio + 0.05) * settings_.workers.lease_s);
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    co_return unknown;
  }
  status.found = api::Status::Found::kYes;
  status.status = answer.message.text;
  co_return status;
}

bool Users::TakeReport(const WorkerReport& report, ReportReply* reply) {
  const Controller* leading = dealings_.Leading();
  if (leading == nullptr) return false;
  dealings_.Tell(leading->revision(), [&](Controller& c) {
    *reply = c.OnReport(report, loop_.Now());
  });
  // The report may have ended this leadership.
  return dealings_.in_office();
}

net::Task<api::Reported> Users::Report(WorkerReport report, std::string body) {
  using Result = api::Reported::Result;
  api::Reported out;
  recovery_.TermSeen(report.token >> kTokenBits);
  if (const Controller* leading = dealings_.Leading()) {
    out.leader = zone_desk_.BetterPlaceFor(report, leading->revision());
    if (!out.leader.empty()) {
      dealings_.Tell(leading->revision(), [&](Controller& c) {
        c.OnProbeAnswer(report, loop_.Now());
      });
      out.result = Result::kElsewhere;
      co_return out;
    }
    if (TakeReport(report, &out.reply)) out.result = Result::kAnswered;
    co_return out;
  }
  if (zone_desk_.Relays(report, body.size())) {
    ZoneDesk::Relayed relayed = co_await zone_desk_.Relay(std::move(body));
    if (relayed.answered) {
      out.relayed = std::move(relayed.text);
      out.result = Result::kRelayed;
      co_return out;
    }
  }
  // Answered with the token that the worker knows, and without orders: it lives
  // on, and whoever leads next counts from when it takes office.
  const uint64_t term = report.token >> kTokenBits;
  ZoneDesk::Keeping keeping = ZoneDesk::Keeping::kYes;
  if (report.token == 0 || !election_.Keeps(term)) {
    keeping = zone_desk_.Keeps(report);
  }
  if (keeping == ZoneDesk::Keeping::kYes) {
    out.reply.token = report.token;
    out.result = Result::kAnswered;
    co_return out;
  }
  // A worker sent to one that it can't reach would lose its time there. One
  // that a leader reaches, of the term that is known here, is sent to that one.
  const bool named = keeping == ZoneDesk::Keeping::kSentOn &&
                     term == TermOf(catalog_.epoch(), catalog_.leader().stamp);
  if (named || !zone_desk_.CutOff()) out.leader = election_.LeaderName();
  if (out.leader.empty() && keeping == ZoneDesk::Keeping::kNo &&
      report.zone == settings_.zone) {
    out.leader = zone_desk_.Neighbour();
  }
  if (out.leader != settings_.node) out.result = Result::kElsewhere;
  co_return out;
}

api::LeaderView Users::Leader() {
  api::LeaderView view;
  view.leader = election_.LeaderName();
  const Controller* leading = dealings_.Leading();
  if (leading == nullptr) return view;
  view.here = true;
  view.machines = leading->hearing().recorded;
  view.silent = leading->hearing().silent;
  view.alarms = leading->Alarms();
  return view;
}

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
      if (FinalKnown(message.job_id, &status) ||
          ViewHere(message.job_id, &status)) {
        reply->answer = PeerAnswer::kYes;
        reply->text = status.status;
        reply->done = status.done;
        reply->running = status.running;
      }
      break;
    }
    case PeerKind::kCancel: {
      if (dealings_.Leading() == nullptr) break;
      if (!KnownHere(message.job_id)) {
        const api::Status known = co_await FreshRead(message.job_id);
        if (known.found != api::Status::Found::kYes ||
            dealings_.Leading() == nullptr) {
          break;
        }
      }
      const FinalState state = co_await dealings_.Cancel(message.job_id);
      if (state == FinalState::kNone) break;
      reply->answer = PeerAnswer::kYes;
      reply->text = WordOf(state);
      break;
    }
    case PeerKind::kHint: {
      const std::optional<JobRecord> job = JobIn(message);
      if (!job) break;
      follower_.Apply(keys::Of(keys::kJob, message.job_id), *job,
                      message.stamp);
      dealings_.Perform();
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
      if (reply->text.size() > ZoneDesk::kMostBytes) {
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
