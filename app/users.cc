#include "app/users.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/names.h"
#include "wire/records.h"

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
constexpr double kStateRestRatio = 0.05;
// s; users wait 2 s for the answer to a question and 5 s for that to another
// request, as the protocol says. They have half of it at the least to be told
// that they should come again.
constexpr double kPollWithin = 1;
constexpr double kChangeWithin = 2.5;
constexpr double kLeaderWithin = 0.4;  // of a question's second
constexpr double kRelayWithin = 0.5;
constexpr double kPollApart = 0.1;  // s between the peers that are asked
constexpr double kChangeApart = 0.4;
constexpr size_t kMostLiveJobs = 20'000;
constexpr size_t kMostLiveTasks = 600'000;

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

}  // namespace

Users::Users(net::Loop& loop, const Settings& settings, Catalog& catalog,
             clients::StateClient& state, Follower& follower,
             Election& election, LeaderService& leader_service,
             const LeaderHealthCoordinator::Peers& peers,
             ZoneCoordinator& zone_coordinator, RecoveryCoordinator& recovery,
             VersionCoordinator& versions)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      state_(state),
      follower_(follower),
      election_(election),
      leader_service_(leader_service),
      zone_coordinator_(zone_coordinator),
      recovery_(recovery),
      versions_(versions),
      admission_(catalog, {[this] { return versions_.Open(); },
                           [this](std::string id) {
                             return WasAccepted(std::move(id));
                           }}),
      relays_(loop, settings, election, peers) {}

bool Users::Ready() {
  return follower_.ever_synced() && !follower_.types().empty() &&
         !zone_coordinator_.Apart();
}

const std::map<std::string, MachineType>* Users::Types() {
  return follower_.types().empty() ? nullptr : &follower_.types();
}

bool Users::KnownHere(const std::string& id) { return catalog_.Accepted(id); }

bool Users::TerminalStateKnown(const std::string& id, api::Status* out) const {
  TerminalRecord end = catalog_.FindEnd(id);
  if (end.state == TerminalState::kNone) {
    // Told by other controllers, while a leader that has just started may read
    // an older copy in which the job lives.
    end.state = catalog_.FindTerminalState(id);
    const JobRecord* job = catalog_.FindJob(id);
    if (end.state == TerminalState::kDone && job == nullptr) return false;
    if (job != nullptr) end.tasks = job->spec->tasks;
  }
  if (end.state == TerminalState::kNone) return false;
  out->found = api::Status::Found::kYes;
  out->status = wire::NameOf(wire::kTerminalStates, end.state);
  out->done = end.state == TerminalState::kDone ? end.tasks : 0;
  out->running = 0;
  return true;
}

// That it has ended can't be old, whatever else can't be read now.
bool Users::EndTold(const std::string& id, api::Status* out) const {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (end == TerminalState::kNone) return false;
  out->found = api::Status::Found::kYes;
  out->status = wire::NameOf(wire::kTerminalStates, end);
  return true;
}

bool Users::UnseenHere(const std::string& id) {
  JobView view;
  const Controller* leading = leader_service_.Leading();
  return leading != nullptr && leading->AllAccounted() &&
         leading->View(id, &view) == JobSight::kUnseen;
}

JobSight Users::SightOf(const std::string& id, JobView* out) {
  const Controller* leading = leader_service_.Leading();
  return leading == nullptr ? JobSight::kUnseen : leading->View(id, out);
}

bool Users::SeenUnrecorded(const std::string& id) {
  JobView view;
  return SightOf(id, &view) == JobSight::kUnrecorded;
}

Telling Users::Tell(const std::string& id, RecordRead read, api::Status* out) {
  JobView view{.status = "pending"};
  const JobSight sight = SightOf(id, &view);
  const Telling telling = Decide({catalog_.FindTerminalState(id), sight, read});
  switch (telling) {
    case Telling::kEnd:
      if (TerminalStateKnown(id, out)) break;
      // How many tasks it had is read, if it can be.
      if (read == RecordRead::kNone) return Telling::kReadFirst;
      EndTold(id, out);
      break;
    case Telling::kLive:
      out->found = api::Status::Found::kYes;
      out->status = view.status;
      out->done = view.done;
      out->running = view.running;
      break;
    case Telling::kDenial:
      out->found = api::Status::Found::kNo;
      break;
    case Telling::kReadFirst:
    case Telling::kNothing:
      break;
  }
  return telling;
}

api::Status Users::ToldBy(const std::string& id, RecordRead read) {
  api::Status status;
  Tell(id, read, &status);
  return status;
}

net::Task<ChainAdmission::Accepted> Users::ReadWaiting(std::string id) {
  using Accepted = ChainAdmission::Accepted;
  const std::string key = keys::Of(keys::kWaiting, id);
  const StateResult read = co_await state_.Get(key, Urgency::kUser);
  if (read.status == StateStatus::kNotFound) co_return Accepted::kNo;
  if (!read.ok()) co_return Accepted::kCannotTell;
  follower_.Apply(key, read.items[0].record, read.items[0].stamp);
  leader_service_.Perform();
  // Released or ended since, by what is known here.
  if (catalog_.FindWaiting(id) == nullptr) co_return Accepted::kNo;
  co_return recovery_.MayTellLive(read.items[0].stamp) ? Accepted::kYes
                                                       : Accepted::kCannotTell;
}

net::Task<ChainAdmission::Accepted> Users::WasAccepted(std::string id) {
  using Accepted = ChainAdmission::Accepted;
  const api::Status status = co_await FreshRead(std::move(id));
  switch (status.found) {
    case api::Status::Found::kYes:
      co_return Accepted::kYes;
    case api::Status::Found::kNo:
      co_return Accepted::kNo;
    default:
      co_return Accepted::kCannotTell;
  }
}

net::Task<api::Status> Users::FreshRead(std::string id, bool unseen) {
  if (!StateAnswers()) co_return ToldBy(id, RecordRead::kUnclear);
  // In the order in which a job moves: to wait, to live, to have ended.
  if (catalog_.FindJob(id) == nullptr) {
    const ChainAdmission::Accepted waits = co_await ReadWaiting(id);
    if (waits == ChainAdmission::Accepted::kCannotTell) {
      co_return ToldBy(id, RecordRead::kUnclear);
    }
    if (waits == ChainAdmission::Accepted::kYes) {
      co_return ToldBy(id, RecordRead::kLive);
    }
  }
  const StateResult live =
      co_await state_.Get(keys::Of(keys::kJob, id), Urgency::kUser);
  if (live.ok()) {
    follower_.Apply(live.items[0].key, live.items[0].record,
                    live.items[0].stamp);
    leader_service_.Perform();
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job == nullptr) co_return ToldBy(id, RecordRead::kUnclear);
    // The end of this record, or one that beats it.
    if (catalog_.FindTerminalState(id) == TerminalState::kNone) {
      if (recovery_.on() && catalog_.FindJob(id) == nullptr) {
        // The watch has passed it, and it was deleted: an older copy is back.
        recovery_.Sign(LossSign::kStepBack);
        co_return api::Status{};
      }
      if (!recovery_.MayTellLive(live.items[0].stamp)) co_return api::Status{};
    }
    co_return ToldBy(id, RecordRead::kLive);
  }
  if (live.status != StateStatus::kNotFound) {
    co_return ToldBy(id, RecordRead::kUnclear);
  }
  // Each move is one step, so a job that is missing in all of them, read in
  // this order, was not accepted when the first was read.
  const StateResult ended =
      co_await state_.Get(keys::Of(keys::kTerminal, id), Urgency::kUser);
  if (ended.ok()) {
    if (const auto* end = std::get_if<TerminalRecord>(&ended.items[0].record)) {
      catalog_.RememberEnd(id, *end);
    }
  } else if (ended.status == StateStatus::kNotFound) {
    co_return co_await NotFound(std::move(id), unseen);
  }
  co_return ToldBy(id, RecordRead::kUnclear);
}

// A record that is missing proves nothing once the state service may have lost
// data. What is remembered is told; else only a service that still holds the
// epoch, looked at after the reads, is a reason to deny.
net::Task<api::Status> Users::NotFound(std::string id, bool unseen) {
  api::Status status;
  const Telling telling = Tell(id, RecordRead::kMissing, &status);
  if (!recovery_.on() || telling != Telling::kDenial) co_return status;
  status = api::Status{};
  if (catalog_.Accepted(id) || !recovery_.MayDeny()) {
    co_return status;
  }
  const CheckSays says = co_await recovery_.Check();
  if (says != CheckSays::kStands || !recovery_.MayDeny()) co_return status;
  const RecoveryCoordinator::Known known = co_await recovery_.AnybodyKnows(id);
  if (known == RecoveryCoordinator::Known::kYes || !recovery_.MayDeny()) {
    recovery_.Sign(LossSign::kRecordMissing, keys::Of(keys::kJob, id));
    co_return status;
  }
  // After a rebuild that may lack something, a task of it may still be seen by
  // the leader, or the one that remembers it be away.
  if (recovery_.SomeoneMayTell() &&
      (!unseen || known != RecoveryCoordinator::Known::kNobody)) {
    co_return status;
  }
  co_return ToldBy(id, RecordRead::kMissing);
}

// One that answers nobody is asked on nobody's behalf, now and then: a user who
// waits for it to stay silent once more could have been told by another
// controller meanwhile.
bool Users::StateAnswers() {
  const net::Time now = loop_.Now();
  const double lease = settings_.workers.lease_s;
  if (!state_.Failing() || now < state_.last_good() + kStateRestRatio * lease) {
    return true;
  }
  if (!probing_ && now >= next_probe_) {
    next_probe_ = now + kStateRestRatio * lease;
    net::Spawn(ProbeState());
  }
  return false;
}

net::Task<void> Users::ProbeState() {
  probing_ = true;
  co_await state_.Get(std::string(keys::kEpoch), Urgency::kUser);
  probing_ = false;
}

// Those that their users have stopped waiting for go on for as long as what
// they ask has time to answer.
bool Users::Takes() const {
  constexpr size_t kEach = 4;  // for each connection
  return under_way_ <
         kEach * static_cast<size_t>(settings_.limits.max_connections);
}

const Users::StatusRequest Users::kPollRequest{
    &Users::PollHere, PeerKind::kRelayPoll, kPollWithin, kPollApart};
const Users::StatusRequest Users::kCancelRequest{
    &Users::CancelOrPass, PeerKind::kRelayCancel, kChangeWithin, kChangeApart};

net::Task<api::Status> Users::Poll(std::string id) {
  api::Status status;
  if (Tell(id, RecordRead::kNone, &status) != Telling::kReadFirst) {
    co_return status;
  }
  co_return co_await Answer(kPollRequest, std::move(id));
}

net::Task<api::Status> Users::Cancel(std::string id) {
  api::Status status;
  if (TerminalStateKnown(id, &status)) co_return status;
  co_return co_await Answer(kCancelRequest, std::move(id));
}

net::Task<api::Status> Users::Answer(const StatusRequest& request,
                                     std::string id) {
  if (!Takes()) co_return api::Status{};
  auto awaited = std::make_shared<Awaited<api::Status>>(loop_);
  net::Spawn(AnswerInto(request, std::move(id), awaited));
  co_await awaited->done.Wait(request.within);
  co_return awaited->answer;
}

net::Task<void> Users::AnswerInto(const StatusRequest& request, std::string id,
                                  AwaitedStatus out) {
  ++under_way_;
  const double from = loop_.Now();
  api::Status status = co_await (this->*request.here)(id);
  // One whose user has gone is not handed on.
  const double left = from + request.within - loop_.Now();
  if (status.found == api::Status::Found::kCannotTell && left > 0) {
    status = StatusOf(
        co_await relays_.Ask(RelayOf(request.relay, id), request.apart, left));
  }
  out->answer = status;
  out->done.Set();
  --under_way_;
}

net::Task<api::Submitted> Users::Submit(std::shared_ptr<const JobSpec> spec) {
  if (!Takes()) co_return api::Submitted{};
  auto awaited = std::make_shared<Awaited<api::Submitted>>(loop_);
  net::Spawn(SubmitInto(std::move(spec), awaited));
  co_await awaited->done.Wait(kChangeWithin);
  co_return awaited->answer;
}

net::Task<void> Users::SubmitInto(std::shared_ptr<const JobSpec> spec,
                                  AwaitedSubmitted out) {
  ++under_way_;
  out->answer = co_await SubmitAnywhere(std::move(spec));
  out->done.Set();
  --under_way_;
}

net::Task<api::Submitted> Users::SubmitAnywhere(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  const double from = loop_.Now();
  const api::Submitted here = co_await SubmitHere(spec);
  const double left = from + kChangeWithin - loop_.Now();
  if (here.result != Result::kTryLater || left <= 0) co_return here;
  const bool chain = !spec->waits_on.empty();
  // One that runs an earlier version might be asked.
  if (chain && !versions_.Open()) co_return here;
  PeerMessage relay =
      RelayOf(chain ? PeerKind::kRelayChain : PeerKind::kRelaySubmit, spec->id);
  relay.text = wire::EncodeRecord(
      JobRecord{spec, net::WallNow(), TerminalState::kNone, 0});
  PeerMessage answer;
  if (election_.LeaderPeer() != nullptr && !recovery_.MayAccept()) {
    // Only the leader holds all that is remembered, and can tell a new job.
    const auto told = co_await relays_.AskLeader(
        std::move(relay), kProxyTimeoutRatio * settings_.workers.lease_s);
    if (told.ok) answer = told.message;
  } else {
    answer = co_await relays_.Ask(std::move(relay), kChangeApart,
                                  std::min(left, 2 * kRelayWithin));
  }
  if (answer.answer == PeerAnswer::kYes) {
    co_return api::Submitted{Result::kAccepted};
  }
  if (answer.answer == PeerAnswer::kKnownJob) {
    co_return api::Submitted{Result::kKnown};
  }
  if (chain && answer.answer == PeerAnswer::kUnknownJob) {
    co_return api::Submitted{Result::kNamesUnknown};
  }
  co_return here;
}

net::Task<api::Status> Users::PollHere(std::string id) {
  api::Status status;
  if (Tell(id, RecordRead::kNone, &status) != Telling::kReadFirst) {
    co_return status;
  }
  // Nobody can be asked: said at once, so that the user asks another.
  if (zone_coordinator_.Apart()) co_return ToldBy(id, RecordRead::kUnclear);
  PeerMessage ask = RelayOf(PeerKind::kPoll, id);
  const auto answer = co_await relays_.AskLeader(
      std::move(ask),
      std::min(kLeaderWithin, kProxyTimeoutRatio * settings_.workers.lease_s));
  if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
    status.found = api::Status::Found::kYes;
    status.status = answer.message.text;
    status.done = answer.message.done;
    status.running = answer.message.running;
    co_return status;
  }
  const bool unseen =
      answer.ok && answer.message.answer == PeerAnswer::kUnknownJob;
  co_return co_await FreshRead(id, unseen || UnseenHere(id));
}

net::Task<api::Submitted> Users::SubmitHere(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  size_t tasks = spec->tasks;
  for (const auto& [id, job] : catalog_.jobs()) {
    if (job.terminal_state == TerminalState::kNone) tasks += job.spec->tasks;
  }
  const size_t jobs = catalog_.jobs().size() + catalog_.waiting().size();
  if (!follower_.ever_synced() || zone_coordinator_.Apart() ||
      jobs >= kMostLiveJobs || tasks > kMostLiveTasks) {
    co_return api::Submitted{Result::kTryLater};
  }
  // Its record is written again when it is released, and when it ends.
  constexpr size_t kGrowth = 64;
  const JobRecord record{spec, net::WallNow(), TerminalState::kNone, 0};
  if (wire::EncodeRecord(record).size() + kGrowth >
      settings_.state.most_value_bytes()) {
    co_return api::Submitted{Result::kTooLarge};
  }
  if (!recovery_.MayAccept() || !StateAnswers()) {
    co_return api::Submitted{Result::kTryLater};
  }
  const NamedJobs named = co_await admission_.Look(spec);
  if (named == NamedJobs::kNeverAccepted) {
    co_return api::Submitted{Result::kNamesUnknown};
  }
  if (named == NamedJobs::kCannotTell) {
    co_return api::Submitted{Result::kTryLater};
  }
  co_return co_await Accept(std::move(spec), named);
}

net::Task<api::Submitted> Users::Accept(std::shared_ptr<const JobSpec> spec,
                                        NamedJobs named) {
  using Result = api::Submitted::Result;
  const Acceptance acceptance = ChainAdmission::Of(spec, named, net::WallNow());
  std::vector<Condition> conditions = acceptance.conditions;
  recovery_.AddGuard(&conditions);
  std::vector<KeyChange> changes{{acceptance.key, acceptance.record}};
  // Of several copies one can be accepted: the rest meet the job, or its end.
  const StateResult result = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kUser,
      /*lease_id=*/0, clients::WhenUnanswered::kSendAgain);
  switch (result.status) {
    case StateStatus::kOk:
      follower_.Apply(acceptance.key, acceptance.record, result.revision);
      leader_service_.Perform();
      Hint(spec->id, acceptance, result.revision);
      // Who reads a day's log need not guess what each job was.
      spdlog::debug("accepted {}: class {}, team {}, form {}, tasks {}{}",
                    spec->id, spec->job_class, spec->team,
                    wire::NameOf(wire::kJobKinds, spec->kind), spec->tasks,
                    acceptance.waits ? ", waits for others" : "");
      co_return api::Submitted{Result::kAccepted};
    case StateStatus::kConflict:
      co_return api::Submitted{recovery_.GuardFailed(result.failed)
                                   ? Result::kTryLater
                                   : Result::kKnown};
    case StateStatus::kRefused:
      co_return api::Submitted{Result::kTooLarge};
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

void Users::Hint(const std::string& id, const Acceptance& acceptance,
                 uint64_t revision) {
  clients::PeerClient* leader = election_.LeaderPeer();
  if (leader == nullptr) return;
  PeerMessage hint = RelayOf(PeerKind::kHint, id);
  hint.node = settings_.node;
  hint.stamp = revision;
  hint.running = acceptance.waits ? 1 : 0;
  hint.text = wire::EncodeRecord(acceptance.record);
  net::Spawn(leader->Tell(std::move(hint)));
}

net::Task<api::Status> Users::CancelOrPass(std::string id) {
  api::Status status;
  if (TerminalStateKnown(id, &status) || zone_coordinator_.Apart()) {
    co_return status;
  }
  if (!KnownHere(id)) {
    status = co_await FreshRead(id);
    if (status.found != api::Status::Found::kYes ||
        TerminalStateKnown(id, &status)) {
      co_return status;
    }
  }
  api::Status unknown;
  if (leader_service_.Leading() != nullptr) {
    const TerminalState state = co_await leader_service_.Cancel(id);
    if (state == TerminalState::kNone) co_return unknown;
    status.found = api::Status::Found::kYes;
    status.status = wire::NameOf(wire::kTerminalStates, state);
    co_return status;
  }
  const auto answer = co_await relays_.AskLeader(
      RelayOf(PeerKind::kCancel, id),
      (kCancelWaitRatio + 0.05) * settings_.workers.lease_s);
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    co_return unknown;
  }
  status.found = api::Status::Found::kYes;
  status.status = answer.message.text;
  co_return status;
}

bool Users::TakeReport(const WorkerReport& report, ReportReply* reply) {
  const Controller* leading = leader_service_.Leading();
  if (leading == nullptr) return false;
  leader_service_.Tell(leading->revision(), [&](Controller& c) {
    *reply = c.OnReport(report, loop_.Now());
  });
  // The report may have ended this leadership; and a copy is not answered.
  return leader_service_.in_office() && !reply->refused && !reply->withheld;
}

net::Task<api::Reported> Users::Report(WorkerReport report, std::string body) {
  using Result = api::Reported::Result;
  api::Reported out;
  recovery_.TermSeen(report.token >> kTokenBits);
  if (const Controller* leading = leader_service_.Leading()) {
    out.leader = zone_coordinator_.BetterPlaceFor(report, leading->revision());
    if (!out.leader.empty()) {
      leader_service_.Tell(leading->revision(), [&](Controller& c) {
        c.OnProbeAnswer(report, loop_.Now());
      });
      out.result = Result::kElsewhere;
      co_return out;
    }
    if (TakeReport(report, &out.reply)) out.result = Result::kAnswered;
    co_return out;
  }
  if (zone_coordinator_.Relays(report, body.size())) {
    ZoneCoordinator::Relayed relayed =
        co_await zone_coordinator_.Relay(std::move(body));
    if (relayed.answered) {
      out.relayed = std::move(relayed.text);
      out.result = Result::kRelayed;
      co_return out;
    }
  }
  // Answered with the token that the worker knows, and without orders: it lives
  // on, and whoever leads next counts from when it takes office.
  const uint64_t term = report.token >> kTokenBits;
  ZoneCoordinator::Renewal renewal = ZoneCoordinator::Renewal::kYes;
  if (report.token == 0 || !election_.MayRenew(term)) {
    renewal = zone_coordinator_.MayRenew(report);
  }
  if (renewal == ZoneCoordinator::Renewal::kYes) {
    out.reply.token = report.token;
    out.result = Result::kAnswered;
    co_return out;
  }
  // A worker sent to one that it can't reach would lose its time there. One
  // that a leader reaches, of the term that is known here, is sent to that one.
  const bool named = renewal == ZoneCoordinator::Renewal::kSentOn &&
                     term == TermOf(catalog_.epoch(), catalog_.leader().stamp);
  if (named || !zone_coordinator_.CutOff()) out.leader = election_.LeaderName();
  if (out.leader.empty() && renewal == ZoneCoordinator::Renewal::kNo &&
      report.zone == settings_.zone) {
    out.leader = zone_coordinator_.Neighbour();
  }
  if (out.leader != settings_.node) out.result = Result::kElsewhere;
  co_return out;
}

api::LeaderView Users::Leader() {
  api::LeaderView view;
  view.leader = election_.LeaderName();
  const Controller* leading = leader_service_.Leading();
  if (leading == nullptr) return view;
  view.here = true;
  view.machines = leading->reports_heard().recorded;
  view.silent = leading->reports_heard().silent;
  view.alarms = leading->Alarms();
  view.waiting = leading->WaitingLines();
  return view;
}

}  // namespace oxbow::app
