#include "app/job_request_handler.h"

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
using clients::StoreResult;
using clients::StoreStatus;
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
    status.found = api::Status::JobPresence::kNo;
  } else if (answer.answer == PeerAnswer::kYes) {
    status.found = api::Status::JobPresence::kYes;
    status.status = answer.text;
    status.done = answer.done;
    status.running = answer.running;
  }
  return status;
}

}  // namespace

JobRequestHandler::JobRequestHandler(
    net::Loop& loop, const Settings& settings, Catalog& catalog,
    clients::KeyValueStoreClient& state, StoreWatcher& watcher,
    LeaderElection& election, LeaderRuntime& leader_runtime,
    const LeaderHealthCoordinator::Peers& peers,
    ZoneCoordinator& zone_coordinator, RecoveryCoordinator& recovery,
    VersionCoordinator& versions)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      store_(state),
      watcher_(watcher),
      election_(election),
      leader_runtime_(leader_runtime),
      zone_coordinator_(zone_coordinator),
      recovery_(recovery),
      versions_(versions),
      admission_(catalog, {[this] { return versions_.IsOpen(); },
                           [this](std::string id) {
                             return WasAccepted(std::move(id));
                           }}),
      forwarder_(loop, settings, election, peers) {}

bool JobRequestHandler::Ready() {
  return watcher_.ever_synced() && !watcher_.types().empty() &&
         !zone_coordinator_.Apart();
}

const std::map<std::string, MachineType>* JobRequestHandler::Types() {
  return watcher_.types().empty() ? nullptr : &watcher_.types();
}

bool JobRequestHandler::KnownHere(const std::string& id) {
  return catalog_.Accepted(id);
}

bool JobRequestHandler::TerminalStateKnown(const std::string& id,
                                           api::Status* out) const {
  TerminalRecord end = catalog_.FindTerminalRecord(id);
  if (end.state == TerminalState::kNone) {
    // Told by other controllers, while a leader that has just started may read
    // an older copy in which the job lives.
    end.state = catalog_.FindTerminalState(id);
    const JobRecord* job = catalog_.FindJob(id);
    if (end.state == TerminalState::kDone && job == nullptr) return false;
    if (job != nullptr) end.tasks = job->spec->tasks;
  }
  if (end.state == TerminalState::kNone) return false;
  out->found = api::Status::JobPresence::kYes;
  out->status = wire::NameOf(wire::kTerminalStates, end.state);
  out->done = end.state == TerminalState::kDone ? end.tasks : 0;
  out->running = 0;
  return true;
}

// That it has ended can't be old, whatever else can't be read now.
bool JobRequestHandler::TerminalStatusOf(const std::string& id,
                                         api::Status* out) const {
  const TerminalState end = catalog_.FindTerminalState(id);
  if (end == TerminalState::kNone) return false;
  out->found = api::Status::JobPresence::kYes;
  out->status = wire::NameOf(wire::kTerminalStates, end);
  return true;
}

bool JobRequestHandler::UnseenHere(const std::string& id) {
  JobView view;
  const Leader* leading = leader_runtime_.ActiveLeader();
  return leading != nullptr && leading->AllAccounted() &&
         leading->View(id, &view) == JobObservation::kUnseen;
}

JobObservation JobRequestHandler::ObservationOf(const std::string& id,
                                                JobView* out) {
  const Leader* leading = leader_runtime_.ActiveLeader();
  return leading == nullptr ? JobObservation::kUnseen : leading->View(id, out);
}

bool JobRequestHandler::SeenUnrecorded(const std::string& id) {
  JobView view;
  return ObservationOf(id, &view) == JobObservation::kUnrecorded;
}

StatusDecision JobRequestHandler::ResolveStatus(const std::string& id,
                                                RecordRead read,
                                                api::Status* out) {
  JobView view{.status = "pending"};
  const JobObservation observation = ObservationOf(id, &view);
  const StatusDecision decision =
      Decide({catalog_.FindTerminalState(id), observation, read});
  switch (decision) {
    case StatusDecision::kEnd:
      if (TerminalStateKnown(id, out)) break;
      // How many tasks it had is read, if it can be.
      if (read == RecordRead::kNone) return StatusDecision::kReadFirst;
      TerminalStatusOf(id, out);
      break;
    case StatusDecision::kLive:
      out->found = api::Status::JobPresence::kYes;
      out->status = view.status;
      out->done = view.done;
      out->running = view.running;
      break;
    case StatusDecision::kDenial:
      out->found = api::Status::JobPresence::kNo;
      break;
    case StatusDecision::kReadFirst:
    case StatusDecision::kNothing:
      break;
  }
  return decision;
}

api::Status JobRequestHandler::StatusAsRead(const std::string& id,
                                            RecordRead read) {
  api::Status status;
  ResolveStatus(id, read, &status);
  return status;
}

net::Task<DependencyAdmission::Accepted> JobRequestHandler::ReadWaiting(
    std::string id) {
  using Accepted = DependencyAdmission::Accepted;
  const std::string key = keys::Of(keys::kWaiting, id);
  const StoreResult read = co_await store_.Get(key, Urgency::kUser);
  if (read.status == StoreStatus::kNotFound) co_return Accepted::kNo;
  if (!read.ok()) co_return Accepted::kCannotTell;
  watcher_.Apply(key, read.items[0].record, read.items[0].mod_revision);
  leader_runtime_.ExecuteActions();
  // Released or ended since, by what is known here.
  if (catalog_.FindWaiting(id) == nullptr) co_return Accepted::kNo;
  co_return recovery_.MayReportLive(read.items[0].mod_revision)
      ? Accepted::kYes
      : Accepted::kCannotTell;
}

net::Task<DependencyAdmission::Accepted> JobRequestHandler::WasAccepted(
    std::string id) {
  using Accepted = DependencyAdmission::Accepted;
  const api::Status status = co_await FreshRead(std::move(id));
  switch (status.found) {
    case api::Status::JobPresence::kYes:
      co_return Accepted::kYes;
    case api::Status::JobPresence::kNo:
      co_return Accepted::kNo;
    default:
      co_return Accepted::kCannotTell;
  }
}

net::Task<api::Status> JobRequestHandler::FreshRead(std::string id,
                                                    bool unseen) {
  if (!StateAnswers()) co_return StatusAsRead(id, RecordRead::kUnclear);
  // In the order in which a job moves: to wait, to live, to have ended.
  if (catalog_.FindJob(id) == nullptr) {
    const DependencyAdmission::Accepted waits = co_await ReadWaiting(id);
    if (waits == DependencyAdmission::Accepted::kCannotTell) {
      co_return StatusAsRead(id, RecordRead::kUnclear);
    }
    if (waits == DependencyAdmission::Accepted::kYes) {
      co_return StatusAsRead(id, RecordRead::kLive);
    }
  }
  const StoreResult live =
      co_await store_.Get(keys::Of(keys::kJob, id), Urgency::kUser);
  if (live.ok()) {
    watcher_.Apply(live.items[0].key, live.items[0].record,
                   live.items[0].mod_revision);
    leader_runtime_.ExecuteActions();
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job == nullptr) co_return StatusAsRead(id, RecordRead::kUnclear);
    // The end of this record, or one that beats it.
    if (catalog_.FindTerminalState(id) == TerminalState::kNone) {
      if (recovery_.IsEnabled() && catalog_.FindJob(id) == nullptr) {
        // The watch has passed it, and it was deleted: an older copy is back.
        recovery_.ReportDataLoss(DataLossIndication::kStepBack);
        co_return api::Status{};
      }
      if (!recovery_.MayReportLive(live.items[0].mod_revision))
        co_return api::Status{};
    }
    co_return StatusAsRead(id, RecordRead::kLive);
  }
  if (live.status != StoreStatus::kNotFound) {
    co_return StatusAsRead(id, RecordRead::kUnclear);
  }
  // Each move is one step, so a job that is missing in all of them, read in
  // this order, was not accepted when the first was read.
  const StoreResult ended =
      co_await store_.Get(keys::Of(keys::kTerminal, id), Urgency::kUser);
  if (ended.ok()) {
    if (const auto* end = std::get_if<TerminalRecord>(&ended.items[0].record)) {
      catalog_.RememberTerminalState(id, *end);
    }
  } else if (ended.status == StoreStatus::kNotFound) {
    co_return co_await NotFound(std::move(id), unseen);
  }
  co_return StatusAsRead(id, RecordRead::kUnclear);
}

// A record that is missing proves nothing once the key-value store may have
// lost data. What is remembered is told; else only a service that still holds
// the epoch, looked at after the reads, is a reason to deny.
net::Task<api::Status> JobRequestHandler::NotFound(std::string id,
                                                   bool unseen) {
  api::Status status;
  const StatusDecision decision =
      ResolveStatus(id, RecordRead::kMissing, &status);
  if (!recovery_.IsEnabled() || decision != StatusDecision::kDenial)
    co_return status;
  status = api::Status{};
  if (catalog_.Accepted(id) || !recovery_.MayDeny()) {
    co_return status;
  }
  const StoreCheck says = co_await recovery_.CheckEpoch();
  if (says != StoreCheck::kIntact || !recovery_.MayDeny()) co_return status;
  const RecoveryCoordinator::Known known =
      co_await recovery_.AskPeersForJob(id);
  if (known == RecoveryCoordinator::Known::kYes || !recovery_.MayDeny()) {
    recovery_.ReportDataLoss(DataLossIndication::kRecordMissing,
                             keys::Of(keys::kJob, id));
    co_return status;
  }
  // After a rebuild that may lack something, a task of it may still be seen by
  // the leader, or the one that remembers it be away.
  if (recovery_.MayBeKnownElsewhere() &&
      (!unseen || known != RecoveryCoordinator::Known::kNobody)) {
    co_return status;
  }
  co_return StatusAsRead(id, RecordRead::kMissing);
}

// One that answers nobody is asked on nobody's behalf, now and then: a user who
// waits for it to stay silent once more could have been told by another
// controller meanwhile.
bool JobRequestHandler::StateAnswers() {
  const net::Time now = loop_.Now();
  const double lease = settings_.workers.lease_seconds;
  if (!store_.Failing() || now < store_.last_good() + kStateRestRatio * lease) {
    return true;
  }
  if (!probing_ && now >= next_probe_) {
    next_probe_ = now + kStateRestRatio * lease;
    net::Spawn(ProbeState());
  }
  return false;
}

net::Task<void> JobRequestHandler::ProbeState() {
  probing_ = true;
  co_await store_.Get(std::string(keys::kEpoch), Urgency::kUser);
  probing_ = false;
}

// Those that their users have stopped waiting for go on for as long as what
// they ask has time to answer.
bool JobRequestHandler::Admits() const {
  constexpr size_t kEach = 4;  // for each connection
  return under_way_ <
         kEach * static_cast<size_t>(settings_.limits.max_connections);
}

const JobRequestHandler::StatusRequest JobRequestHandler::kPollRequest{
    &JobRequestHandler::PollLocally, PeerKind::kRelayPoll, kPollWithin,
    kPollApart};
const JobRequestHandler::StatusRequest JobRequestHandler::kCancelRequest{
    &JobRequestHandler::CancelOrPass, PeerKind::kRelayCancel, kChangeWithin,
    kChangeApart};

net::Task<api::Status> JobRequestHandler::Poll(std::string id) {
  api::Status status;
  if (ResolveStatus(id, RecordRead::kNone, &status) !=
      StatusDecision::kReadFirst) {
    co_return status;
  }
  co_return co_await Answer(kPollRequest, std::move(id));
}

net::Task<api::Status> JobRequestHandler::Cancel(std::string id) {
  api::Status status;
  if (TerminalStateKnown(id, &status)) co_return status;
  co_return co_await Answer(kCancelRequest, std::move(id));
}

net::Task<api::Status> JobRequestHandler::Answer(const StatusRequest& request,
                                                 std::string id) {
  if (!Admits()) co_return api::Status{};
  auto pending_answer = std::make_shared<PendingAnswer<api::Status>>(loop_);
  net::Spawn(AnswerInto(request, std::move(id), pending_answer));
  co_await pending_answer->done.Wait(request.within);
  co_return pending_answer->answer;
}

net::Task<void> JobRequestHandler::AnswerInto(const StatusRequest& request,
                                              std::string id,
                                              PendingStatus out) {
  ++under_way_;
  const double from = loop_.Now();
  api::Status status = co_await (this->*request.here)(id);
  // One whose user has gone is not handed on.
  const double left = from + request.within - loop_.Now();
  if (status.found == api::Status::JobPresence::kCannotTell && left > 0) {
    status = StatusOf(co_await forwarder_.Ask(RelayOf(request.relay, id),
                                              request.apart, left));
  }
  out->answer = status;
  out->done.Set();
  --under_way_;
}

net::Task<api::Submitted> JobRequestHandler::Submit(
    std::shared_ptr<const JobSpec> spec) {
  if (!Admits()) co_return api::Submitted{};
  auto pending_answer = std::make_shared<PendingAnswer<api::Submitted>>(loop_);
  net::Spawn(SubmitInto(std::move(spec), pending_answer));
  co_await pending_answer->done.Wait(kChangeWithin);
  co_return pending_answer->answer;
}

net::Task<void> JobRequestHandler::SubmitInto(
    std::shared_ptr<const JobSpec> spec, PendingSubmission out) {
  ++under_way_;
  out->answer = co_await SubmitAnywhere(std::move(spec));
  out->done.Set();
  --under_way_;
}

net::Task<api::Submitted> JobRequestHandler::SubmitAnywhere(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  const double from = loop_.Now();
  const api::Submitted here = co_await SubmitLocally(spec);
  const double left = from + kChangeWithin - loop_.Now();
  if (here.result != Result::kTryLater || left <= 0) co_return here;
  const bool chain = !spec->dependencies.empty();
  // One that runs an earlier version might be asked.
  if (chain && !versions_.IsOpen()) co_return here;
  PeerMessage relay =
      RelayOf(chain ? PeerKind::kRelayChain : PeerKind::kRelaySubmit, spec->id);
  relay.text = wire::EncodeRecord(
      JobRecord{spec, net::WallNow(), TerminalState::kNone, 0});
  PeerMessage answer;
  if (election_.LeaderPeer() != nullptr && !recovery_.MayAccept()) {
    // Only the leader holds all that is remembered, and can tell a new job.
    const auto told = co_await forwarder_.AskLeader(
        std::move(relay), kProxyTimeoutRatio * settings_.workers.lease_seconds);
    if (told.ok) answer = told.message;
  } else {
    answer = co_await forwarder_.Ask(std::move(relay), kChangeApart,
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

net::Task<api::Status> JobRequestHandler::PollLocally(std::string id) {
  api::Status status;
  if (ResolveStatus(id, RecordRead::kNone, &status) !=
      StatusDecision::kReadFirst) {
    co_return status;
  }
  // Nobody can be asked: said at once, so that the user asks another.
  if (zone_coordinator_.Apart())
    co_return StatusAsRead(id, RecordRead::kUnclear);
  PeerMessage ask = RelayOf(PeerKind::kPoll, id);
  const auto answer = co_await forwarder_.AskLeader(
      std::move(ask),
      std::min(kLeaderWithin,
               kProxyTimeoutRatio * settings_.workers.lease_seconds));
  if (answer.ok && answer.message.answer == PeerAnswer::kYes) {
    status.found = api::Status::JobPresence::kYes;
    status.status = answer.message.text;
    status.done = answer.message.done;
    status.running = answer.message.running;
    co_return status;
  }
  const bool unseen =
      answer.ok && answer.message.answer == PeerAnswer::kUnknownJob;
  co_return co_await FreshRead(id, unseen || UnseenHere(id));
}

net::Task<api::Submitted> JobRequestHandler::SubmitLocally(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  size_t tasks = spec->tasks;
  for (const auto& [id, job] : catalog_.jobs()) {
    if (job.terminal_state == TerminalState::kNone) tasks += job.spec->tasks;
  }
  const size_t jobs = catalog_.jobs().size() + catalog_.waiting().size();
  if (!watcher_.ever_synced() || zone_coordinator_.Apart() ||
      jobs >= kMostLiveJobs || tasks > kMostLiveTasks) {
    co_return api::Submitted{Result::kTryLater};
  }
  // Its record is written again when it is released, and when it ends.
  constexpr size_t kGrowth = 64;
  const JobRecord record{spec, net::WallNow(), TerminalState::kNone, 0};
  if (wire::EncodeRecord(record).size() + kGrowth >
      settings_.store.most_value_bytes()) {
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

net::Task<api::Submitted> JobRequestHandler::Accept(
    std::shared_ptr<const JobSpec> spec, NamedJobs named) {
  using Result = api::Submitted::Result;
  const Acceptance acceptance =
      DependencyAdmission::Of(spec, named, net::WallNow());
  std::vector<Precondition> preconditions = acceptance.preconditions;
  recovery_.AddGuard(&preconditions);
  std::vector<Mutation> mutations{{acceptance.key, acceptance.record}};
  // Of several copies one can be accepted: the rest meet the job, or its end.
  const StoreResult result = co_await store_.Write(
      std::move(preconditions), std::move(mutations), Urgency::kUser,
      /*lease_id=*/0, clients::WhenUnanswered::kSendAgain);
  switch (result.status) {
    case StoreStatus::kOk:
      watcher_.Apply(acceptance.key, acceptance.record, result.revision);
      leader_runtime_.ExecuteActions();
      NotifyLeader(spec->id, acceptance, result.revision);
      // Who reads a day's log need not guess what each job was.
      spdlog::debug("accepted {}: class {}, team {}, form {}, tasks {}{}",
                    spec->id, spec->job_class, spec->team,
                    wire::NameOf(wire::kJobKinds, spec->kind), spec->tasks,
                    acceptance.waits ? ", waits for others" : "");
      co_return api::Submitted{Result::kAccepted};
    case StoreStatus::kConflict:
      co_return api::Submitted{recovery_.GuardFailed(result.failed)
                                   ? Result::kTryLater
                                   : Result::kKnown};
    case StoreStatus::kRefused:
      co_return api::Submitted{Result::kTooLarge};
    case StoreStatus::kUnknown: {
      const api::Status known = co_await FreshRead(spec->id);
      co_return api::Submitted{known.found == api::Status::JobPresence::kYes
                                   ? Result::kKnown
                                   : Result::kTryLater};
    }
    default:
      co_return api::Submitted{Result::kTryLater};
  }
}

void JobRequestHandler::NotifyLeader(const std::string& id,
                                     const Acceptance& acceptance,
                                     uint64_t revision) {
  clients::PeerClient* leader = election_.LeaderPeer();
  if (leader == nullptr) return;
  PeerMessage hint = RelayOf(PeerKind::kJobAccepted, id);
  hint.node = settings_.node;
  hint.mod_revision = revision;
  hint.running = acceptance.waits ? 1 : 0;
  hint.text = wire::EncodeRecord(acceptance.record);
  net::Spawn(leader->Notify(std::move(hint)));
}

net::Task<api::Status> JobRequestHandler::CancelOrPass(std::string id) {
  api::Status status;
  if (TerminalStateKnown(id, &status) || zone_coordinator_.Apart()) {
    co_return status;
  }
  if (!KnownHere(id)) {
    status = co_await FreshRead(id);
    if (status.found != api::Status::JobPresence::kYes ||
        TerminalStateKnown(id, &status)) {
      co_return status;
    }
  }
  api::Status unknown;
  if (leader_runtime_.ActiveLeader() != nullptr) {
    const TerminalState state = co_await leader_runtime_.Cancel(id);
    if (state == TerminalState::kNone) co_return unknown;
    status.found = api::Status::JobPresence::kYes;
    status.status = wire::NameOf(wire::kTerminalStates, state);
    co_return status;
  }
  const auto answer = co_await forwarder_.AskLeader(
      RelayOf(PeerKind::kCancel, id),
      (kCancelWaitRatio + 0.05) * settings_.workers.lease_seconds);
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    co_return unknown;
  }
  status.found = api::Status::JobPresence::kYes;
  status.status = answer.message.text;
  co_return status;
}

bool JobRequestHandler::ProcessHeartbeatAsLeader(const Heartbeat& heartbeat,
                                                 HeartbeatResponse* reply) {
  const Leader* leading = leader_runtime_.ActiveLeader();
  if (leading == nullptr) return false;
  leader_runtime_.Deliver(leading->revision(), [&](Leader& leader) {
    *reply = leader.OnHeartbeat(heartbeat, loop_.Now());
  });
  // The report may have ended this leadership; and a copy is not answered.
  return leader_runtime_.is_leading() && !reply->refused && !reply->withheld;
}

net::Task<api::HeartbeatAnswer> JobRequestHandler::OnHeartbeat(
    Heartbeat heartbeat, std::string body) {
  using Result = api::HeartbeatAnswer::Result;
  api::HeartbeatAnswer out;
  recovery_.OnObservedTerm(heartbeat.token >> kTokenBits);
  if (const Leader* leading = leader_runtime_.ActiveLeader()) {
    out.leader =
        zone_coordinator_.BetterPlaceFor(heartbeat, leading->revision());
    if (!out.leader.empty()) {
      leader_runtime_.Deliver(leading->revision(), [&](Leader& leader) {
        leader.OnProbeAnswer(heartbeat, loop_.Now());
      });
      out.result = Result::kElsewhere;
      co_return out;
    }
    if (ProcessHeartbeatAsLeader(heartbeat, &out.reply))
      out.result = Result::kAnswered;
    co_return out;
  }
  if (zone_coordinator_.MayForward(heartbeat, body.size())) {
    ZoneCoordinator::Relayed forwarded =
        co_await zone_coordinator_.Relay(std::move(body));
    if (forwarded.answered) {
      out.forwarded = std::move(forwarded.text);
      out.result = Result::kForwarded;
      co_return out;
    }
  }
  // Answered with the token that the worker knows, and without commands: it
  // lives on, and whoever leads next counts from when it takes office.
  const uint64_t term = heartbeat.token >> kTokenBits;
  ZoneCoordinator::Renewal renewal = ZoneCoordinator::Renewal::kYes;
  if (heartbeat.token == 0 || !election_.MayRenew(term)) {
    renewal = zone_coordinator_.MayRenew(heartbeat);
  }
  if (renewal == ZoneCoordinator::Renewal::kYes) {
    out.reply.token = heartbeat.token;
    out.result = Result::kAnswered;
    co_return out;
  }
  // A worker sent to one that it can't reach would lose its time there. One
  // that a leader reaches, of the term that is known here, is sent to that one.
  const bool named =
      renewal == ZoneCoordinator::Renewal::kRedirected &&
      term == TermOf(catalog_.epoch(), catalog_.leader().mod_revision);
  if (named || !zone_coordinator_.CutOff()) out.leader = election_.LeaderName();
  if (out.leader.empty() && renewal == ZoneCoordinator::Renewal::kNo &&
      heartbeat.zone == settings_.zone) {
    out.leader = zone_coordinator_.Neighbour();
  }
  if (out.leader != settings_.node) out.result = Result::kElsewhere;
  co_return out;
}

api::LeaderView JobRequestHandler::CurrentLeader() {
  api::LeaderView view;
  view.leader = election_.LeaderName();
  const Leader* leading = leader_runtime_.ActiveLeader();
  if (leading == nullptr) return view;
  view.here = true;
  view.machines = leading->heartbeats_received().recorded;
  view.silent = leading->heartbeats_received().silent;
  view.alarms = leading->Alarms();
  view.waiting = leading->WaitingLines();
  return view;
}

}  // namespace oxbow::app
