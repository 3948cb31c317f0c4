#include "app/node.h"

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <random>
#include <utility>

#include "clients/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;
using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;

// Shares of the workers' lease.
constexpr double kPromiseRatio = 0.6;
constexpr double kOrderTimeoutRatio = 0.15;
constexpr double kProxyTimeoutRatio = 0.06;
constexpr double kCancelWaitRatio = 0.3;
constexpr double kTick = 0.05;  // of the report interval
constexpr double kFollowBlock_s = 10;
constexpr size_t kMostLiveJobs = 20'000;
constexpr size_t kMostLiveTasks = 600'000;

net::Address AddressOf(const std::string& text) {
  net::Address out;
  net::ParseAddress(text, &out);  // checked with the settings
  return out;
}

std::string NewIncarnation() {
  std::random_device device;
  return std::to_string((static_cast<uint64_t>(device()) << 32) | device());
}

std::vector<std::string> PeerNames(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) names.push_back(peer.name);
  return names;
}

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

}  // namespace

Node::Node(net::Loop& loop, const Settings& settings, const Tuning& tuning)
    : loop_(loop),
      settings_(settings),
      tuning_(tuning),
      incarnation_(NewIncarnation()),
      state_(loop, AddressOf(settings.state_address), settings),
      cloud_(loop, AddressOf(settings.cloud_address), settings),
      workers_(loop, kOrderTimeoutRatio * settings.workers.lease_s),
      health_(loop),
      rollout_desk_(settings, tuning, catalog_, state_,
                    {[this](const std::string& key, const Record& record,
                            uint64_t stamp) { Apply(key, record, stamp); },
                     [this] { return ever_synced_; },
                     [this] { return Leads() ? controller_.get() : nullptr; },
                     [this] { return loop_.Now(); }}),
      rollout_routes_(rollout_desk_),
      fitness_desk_(loop, settings, tuning, catalog_, peers_,
                    {[this](uint64_t revision, const auto& event) {
                       Tell(revision, event);
                     },
                     [this] { return MayLead(); },
                     [this](const std::string& why) {
                       StepDown(why);
                       fitness_desk_.Yielded();
                     }}),
      api_(*this, &rollout_routes_),
      leadership_(PeerNames(settings),
                  tuning.leader_lease_ratio * settings.workers.lease_s,
                  kPromiseRatio * settings.workers.lease_s, loop.Now()),
      started_(loop.Now()) {
  for (const PeerSettings& peer : settings.peers) {
    peers_.push_back(std::make_unique<clients::PeerClient>(
        loop, peer.name, AddressOf(peer.address)));
  }
  peer_server_ = std::make_unique<clients::PeerServer>(
      loop, AddressOf(settings.peer_listen),
      [this](PeerMessage message) { return OnPeer(std::move(message)); });
  net::HttpServer::Limits limits;
  // A part of the sockets stays for what this controller opens itself.
  constexpr double kServed = 0.75;
  limits.connections =
      static_cast<size_t>(kServed * settings.limits.max_connections);
  server_ = std::make_unique<net::HttpServer>(
      loop, AddressOf(settings.listen), limits,
      [this](net::HttpRequest request) {
        return api_.Handle(std::move(request));
      });
}

void Node::Start() {
  spdlog::info("{} in {} starts, users at {}", settings_.node, settings_.zone,
               settings_.listen);
  net::Spawn(server_->Run());
  net::Spawn(peer_server_->Run());
  net::Spawn(FollowLoop());
  net::Spawn(TypesLoop());
  net::Spawn(MeetPeers());
  net::Spawn(LeadershipLoop());
  net::Spawn(TickLoop());
  net::Spawn(ListLoop());
}

// --- following the state service

void Node::Apply(const std::string& key, const Record& record, uint64_t stamp) {
  if (std::holds_alternative<std::monostate>(record)) {
    catalog_.Erase(key, stamp);
    return;
  }
  catalog_.Put(key, record, stamp);
  if (controller_ && key.starts_with(keys::kJob)) {
    Tell(controller_->revision(), [&](Controller& c) {
      c.OnJobRecord(key.substr(keys::kJob.size()), loop_.Now());
    });
  }
  if (controller_ && key.starts_with(keys::kRollout)) {
    Tell(controller_->revision(), [&](Controller& c) {
      c.OnRolloutRecord(key.substr(keys::kRollout.size()), loop_.Now());
    });
  }
}

net::Task<bool> Node::Resync() {
  std::string after;
  uint64_t revision = 0;
  std::unordered_set<std::string> listed;
  for (;;) {
    StateResult page = co_await state_.List(std::string(keys::kLive), after);
    if (!page.ok()) co_return false;
    // The watch goes on from the first page: what changed between the pages
    // is told again.
    if (revision == 0) revision = page.revision;
    for (const clients::KeyValue& item : page.items) {
      listed.insert(item.key);
      Apply(item.key, item.record, item.stamp);
      after = item.key;
    }
    if (!page.more || page.items.empty()) break;
  }
  catalog_.EraseMissing(listed, revision);
  catalog_.Followed(revision);
  synced_ = ever_synced_ = true;
  spdlog::info("state read up to revision {}: {} jobs, {} machines", revision,
               catalog_.jobs().size(), catalog_.machines().size());
  Perform();
  co_return true;
}

net::Task<void> Node::FollowLoop() {
  const double pause = 0.2 * settings_.workers.report_s;
  for (;;) {
    if (!synced_) {
      const bool ok = co_await Resync();
      if (!ok) co_await loop_.Sleep(pause);
      continue;
    }
    StateResult news = co_await state_.Follow(
        std::string(keys::kLive), catalog_.followed(), kFollowBlock_s);
    if (news.status == StateStatus::kTooOld) {
      synced_ = false;
    } else if (news.ok()) {
      for (const clients::KeyValue& item : news.items) {
        Apply(item.key, item.record, item.stamp);
      }
      catalog_.Followed(news.revision);
      Perform();
    } else {
      co_await loop_.Sleep(pause);
    }
  }
}

// --- leadership

bool Node::Leads() {
  return controller_ != nullptr && leadership_.Valid(loop_.Refresh());
}

std::string Node::LeaderName() const {
  return catalog_.leader().stamp > 0 ? catalog_.leader().node : std::string();
}

clients::PeerClient* Node::LeaderPeer() {
  const std::string name = LeaderName();
  for (const auto& peer : peers_) {
    if (peer->name() == name) return peer.get();
  }
  return nullptr;
}

// A starting controller asks every other one whether it leads: if none does,
// no promise of its former life can be outstanding.
net::Task<void> Node::MeetPeers() {
  const double pause = 0.2 * settings_.workers.report_s;
  while (loop_.Now() < started_ + leadership_.promise_s()) {
    for (const auto& peer : peers_) {
      PeerMessage hello;
      hello.kind = PeerKind::kHello;
      hello.node = settings_.node;
      const auto answer = co_await peer->Ask(hello, pause);
      if (answer.ok && !answer.message.leads) {
        leadership_.PeerDoesNotLead(peer->name());
      }
    }
    co_await loop_.Sleep(pause);
  }
}

net::Task<void> Node::LeadershipLoop() {
  const double lease = tuning_.leader_lease_ratio * settings_.workers.lease_s;
  std::mt19937 random(std::random_device{}());
  for (;;) {
    const net::Time now = loop_.Refresh();
    const bool valid = leadership_.Valid(now);
    key_free_since_ =
        LeaderName().empty() ? std::min(key_free_since_, now) : 1e18;
    // Whoever asked first, this loop or a request in between, has noticed the
    // lapse; the stepping down is done here in either case. A lapsed leader
    // that was not retired could never lead again.
    if (leadership_.state() == LeaderState::kLapsed) {
      StepDown("its right to lead has run out");
    }
    if (valid) {
      if (!controller_ && catalog_.followed() >= leadership_.revision()) {
        TakeOffice();
      }
      if (!renewing_ && now >= next_renewal_) net::Spawn(Renew());
      if (leadership_.WantsPromises(now) && now >= next_promise_) {
        next_promise_ = now + lease / 5;
        for (const auto& peer : peers_) net::Spawn(AskPromise(peer.get()));
      }
    } else if (synced_ && leadership_.MaySeek(now)) {
      const LeaderRecord& leader = catalog_.leader();
      // The key names this controller's former life: it is certainly dead, so
      // nobody has to wait for its lease.
      const bool mine = leader.stamp > 0 && leader.node == settings_.node &&
                        leader.incarnation != incarnation_;
      if (mine ||
          (leader.stamp == 0 && fitness_desk_.MaySeek(now - key_free_since_))) {
        co_await Seek();
        if (leadership_.state() == LeaderState::kFollower) {
          std::uniform_real_distribution<double> jitter(0.02, 0.1);
          co_await loop_.Sleep(lease * jitter(random));
        }
        continue;
      }
    }
    co_await loop_.Sleep(lease / 50);
  }
}

net::Task<void> Node::Seek() {
  leadership_.SeekStarted(catalog_.leader().stamp);
  const double lease = tuning_.leader_lease_ratio * settings_.workers.lease_s;
  const net::Time sent = loop_.Refresh();
  StateResult granted = co_await state_.CreateLease(lease);
  if (!granted.ok()) {
    leadership_.SeekFailed();
    co_return;
  }
  const std::string key(keys::kLeader);
  const LeaderRecord record{settings_.node, incarnation_, 0};
  std::vector<Condition> conditions{{key, leadership_.seen()}};
  std::vector<KeyChange> changes{{key, record}};
  StateResult won =
      co_await state_.Write(std::move(conditions), std::move(changes),
                            Urgency::kLease, granted.lease_id);
  if (won.status == StateStatus::kUnknown) {
    // It may have been written: look before saying anything.
    won = co_await state_.Get(key, Urgency::kLease);
    const auto* seen = won.items.empty()
                           ? nullptr
                           : std::get_if<LeaderRecord>(&won.items[0].record);
    if (!won.ok() || seen == nullptr || seen->node != settings_.node ||
        seen->incarnation != incarnation_) {
      won.status = StateStatus::kConflict;
    } else {
      won.revision = won.items[0].stamp;
    }
  }
  if (!won.ok()) {
    leadership_.SeekFailed();
    // Ended, so that the write, should it still arrive, is refused.
    co_await state_.EndLease(granted.lease_id);
    co_return;
  }
  leadership_.Won(won.revision, granted.lease_id, sent);
  next_renewal_ = loop_.Now();
  Apply(key, record, won.revision);
  spdlog::info("{} won leadership, revision {}", settings_.node, won.revision);
}

net::Task<void> Node::Renew() {
  renewing_ = true;
  const double lease = tuning_.leader_lease_ratio * settings_.workers.lease_s;
  const net::Time sent = loop_.Refresh();
  const uint64_t lease_id = leadership_.lease_id();
  const StateResult result = co_await state_.Renew(lease_id, lease / 3);
  renewing_ = false;
  if (lease_id != leadership_.lease_id()) co_return;
  if (result.ok()) {
    leadership_.RenewGranted(sent);
    next_renewal_ = sent + lease / 5;
  } else if (result.status == StateStatus::kNotFound) {
    StepDown("its lease has ended");
  } else {
    next_renewal_ = loop_.Now() + lease / 20;
  }
}

net::Task<void> Node::AskPromise(clients::PeerClient* peer) {
  PeerMessage ask;
  ask.kind = PeerKind::kPromise;
  ask.node = settings_.node;
  const uint64_t revision = leadership_.revision();
  const net::Time sent = loop_.Refresh();
  const auto answer =
      co_await peer->Ask(ask, kOrderTimeoutRatio * settings_.workers.lease_s);
  if (answer.ok && answer.message.answer == PeerAnswer::kYes &&
      leadership_.revision() == revision) {
    leadership_.PromiseGranted(peer->name(), sent);
  }
}

// Before a promise: does the state service answer this controller right now?
net::Task<void> Node::ProbeState() {
  if (probing_) co_return;
  probing_ = true;
  co_await state_.Get(std::string(keys::kLeader), Urgency::kLease);
  probing_ = false;
}

void Node::TakeOffice() {
  const net::Time now = loop_.Refresh();
  controller_ = std::make_unique<Controller>(
      settings_, tuning_, catalog_, leadership_.revision(), now,
      net::WallNow() - now, leadership_.revision());
  controller_->log_detail = spdlog::should_log(spdlog::level::debug);
  if (!types_.empty()) {
    std::vector<MachineType> types;
    for (const auto& [name, type] : types_) types.push_back(type);
    controller_->OnTypes(types);
  }
  Perform();
}

bool Node::MayLead() {
  return synced_ && !state_.Failing() && !types_.empty() &&
         leadership_.MaySeek(loop_.Refresh());
}

void Node::StepDown(const std::string& why) {
  if (leadership_.state() == LeaderState::kFollower) return;
  spdlog::info("{} no longer leads: {}", settings_.node, why);
  leadership_.Lost();
  leadership_.Retire();
  controller_.reset();
  workers_.Clear();
  health_.Clear();
  net::Spawn([](Node* self, uint64_t lease) -> net::Task<void> {
    co_await self->state_.EndLease(lease);
  }(this, leadership_.lease_id()));
}

// --- the leader's dealings

void Node::Tell(uint64_t revision,
                const std::function<void(Controller&)>& event) {
  if (!controller_ || controller_->revision() != revision) return;
  // The loop's time is that of its last wake-up, which a stall may have put
  // seconds ago; a message read since then may tell of a session that began
  // later than that.
  loop_.Refresh();
  try {
    event(*controller_);
  } catch (const IllegalTransition& error) {
    spdlog::error("illegal change of state, {}", error.what());
    StepDown("its picture is inconsistent");
    return;
  }
  Perform();
}

net::Task<void> Node::TickLoop() {
  for (;;) {
    co_await loop_.Sleep(kTick * settings_.workers.report_s);
    if (!Leads()) continue;
    Tell(controller_->revision(),
         [this](Controller& c) { c.Tick(loop_.Now()); });
  }
}

net::Task<void> Node::TypesLoop() {
  const double soon = 0.5 * settings_.workers.report_s;
  const double later = 6 * settings_.workers.lease_s;  // prices move
  for (;;) {
    const clients::CloudClient::Types answer = co_await cloud_.GetTypes();
    if (answer.ok) {
      for (const MachineType& type : answer.types) types_[type.name] = type;
      if (controller_) controller_->OnTypes(answer.types);
    }
    co_await loop_.Sleep(types_.empty() ? soon : later);
  }
}

net::Task<void> Node::ListLoop() {
  for (;;) {
    co_await loop_.Sleep(0.5 * settings_.cloud.list_lag_s + 0.5);
    if (!Leads()) continue;
    const uint64_t revision = controller_->revision();
    const net::Time asked = loop_.Now();
    const clients::CloudClient::Listing listing = co_await cloud_.List();
    if (!listing.ok || !Leads()) continue;
    Tell(revision, [&](Controller& c) {
      c.OnMachineList(listing.machines, asked, loop_.Now());
    });
  }
}

void Node::Perform() {
  if (!controller_ || performing_) return;
  performing_ = true;
  const uint64_t revision = controller_->revision();
  std::vector<std::string> to_delete;
  std::string resign;
  bool unfit = false;
  while (controller_) {
    std::vector<Action> actions = controller_->TakeActions();
    if (actions.empty()) break;
    for (Action& action : actions) {
      if (auto* send = std::get_if<SendOrders>(&action)) {
        net::Spawn(DoSend(std::move(*send), revision));
      } else if (auto* probe = std::get_if<Probe>(&action)) {
        net::Spawn(DoProbe(std::move(*probe), revision));
      } else if (auto* txn = std::get_if<WriteTransaction>(&action)) {
        net::Spawn(DoWrite(std::move(*txn), revision));
      } else if (auto* read = std::get_if<ReadKeys>(&action)) {
        net::Spawn(DoRead(std::move(*read), revision));
      } else if (auto* rent = std::get_if<RentMachines>(&action)) {
        net::Spawn(DoRent(std::move(*rent), revision));
      } else if (auto* check = std::get_if<CheckInstance>(&action)) {
        net::Spawn(DoCheck(std::move(*check), revision));
      } else if (auto* ask = std::get_if<AskReach>(&action)) {
        net::Spawn(fitness_desk_.DoReach(std::move(*ask), revision));
      } else if (auto* offer = std::get_if<OfferLead>(&action)) {
        net::Spawn(fitness_desk_.DoOffer(std::move(*offer), revision));
      } else if (auto* gone = std::get_if<DeleteMachines>(&action)) {
        to_delete.insert(to_delete.end(), gone->hosts.begin(),
                         gone->hosts.end());
      } else if (auto* final_state = std::get_if<JobFinal>(&action)) {
        const auto it = final_waiters_.find(final_state->id);
        if (it == final_waiters_.end()) continue;
        for (const auto& waiter : it->second) {
          waiter->state = final_state->state;
          waiter->event.Set();
        }
        final_waiters_.erase(it);
      } else if (auto* quit = std::get_if<Resign>(&action)) {
        resign = quit->reason;
        unfit = quit->unfit;
      } else if (auto* note = std::get_if<Note>(&action)) {
        if (note->detail) {
          spdlog::debug("{}", note->text);
        } else {
          spdlog::info("{}", note->text);
        }
      }
    }
  }
  constexpr size_t kMostInDelete = 100;
  for (size_t i = 0; i < to_delete.size(); i += kMostInDelete) {
    const size_t end = std::min(to_delete.size(), i + kMostInDelete);
    net::Spawn(DoDelete({to_delete.begin() + static_cast<long>(i),
                         to_delete.begin() + static_cast<long>(end)},
                        revision));
  }
  performing_ = false;
  if (resign.empty()) return;
  StepDown(resign);
  if (unfit) fitness_desk_.Yielded();
}

net::Task<void> Node::DoSend(SendOrders orders, uint64_t revision) {
  const std::string host = orders.host;
  const uint64_t batch = orders.batch;
  clients::WorkerClients::Answer answer;
  // The last look at the clock before anything leaves.
  if (Leads()) answer = co_await workers_.Send(std::move(orders));
  Tell(revision, [&](Controller& c) {
    c.OnOrderAnswer(host, batch, answer.outcome,
                    answer.has_report ? &answer.report : nullptr, loop_.Now());
  });
}

net::Task<void> Node::DoProbe(Probe probe, uint64_t revision) {
  const clients::WorkerClients::Answer answer =
      co_await workers_.Probe(probe.endpoint);
  if (!answer.has_report) co_return;
  Tell(revision,
       [&](Controller& c) { c.OnProbeAnswer(answer.report, loop_.Now()); });
}

net::Task<void> Node::DoCheck(CheckInstance check, uint64_t revision) {
  const std::string rollout = check.rollout;
  const ResidentKey key = check.key;
  const CheckOutcome outcome = co_await health_.Check(std::move(check));
  Tell(revision,
       [&](Controller& c) { c.OnHealth(rollout, key, outcome, loop_.Now()); });
}

net::Task<void> Node::DoWrite(WriteTransaction txn, uint64_t revision) {
  const uint64_t id = txn.id;
  const StateResult result = co_await state_.Write(
      std::move(txn.conditions), std::move(txn.changes), Urgency::kLeader);
  WriteOutcome outcome = WriteOutcome::kUnknown;
  switch (result.status) {
    case StateStatus::kOk:
      outcome = WriteOutcome::kApplied;
      break;
    case StateStatus::kConflict:
      outcome = WriteOutcome::kConflict;
      break;
    case StateStatus::kNotExecuted:
      outcome = WriteOutcome::kNotExecuted;
      break;
    default:
      break;
  }
  Tell(revision, [&](Controller& c) {
    c.OnWriteAnswer(id, outcome, result.revision, result.failed, loop_.Now());
  });
}

net::Task<void> Node::DoRead(ReadKeys read, uint64_t revision) {
  bool ok = true;
  for (const std::string& key : read.keys) {
    const StateResult result = co_await state_.Get(key, Urgency::kLeader);
    if (result.ok()) {
      Apply(key, result.items[0].record, result.items[0].stamp);
    } else if (result.status == StateStatus::kNotFound) {
      catalog_.Erase(key, result.revision);
    } else {
      ok = false;
      break;
    }
  }
  if (!ok) co_await loop_.Sleep(0.2 * settings_.workers.report_s);
  Tell(revision,
       [&](Controller& c) { c.OnReadAnswer(read.id, ok, loop_.Now()); });
}

net::Task<void> Node::DoRent(RentMachines rent, uint64_t revision) {
  clients::CloudClient::Rented answer;
  if (Leads()) answer = co_await cloud_.Rent(rent.name, rent.rental);
  Tell(revision, [&](Controller& c) {
    c.OnRentAnswer(rent.name, answer.outcome, answer.hosts, loop_.Now());
  });
}

net::Task<void> Node::DoDelete(std::vector<std::string> hosts,
                               uint64_t revision) {
  bool ok = false;
  if (Leads()) ok = co_await cloud_.Delete(hosts);
  Tell(revision,
       [&](Controller& c) { c.OnDeleteAnswer(hosts, ok, loop_.Now()); });
}

// --- users

bool Node::Ready() { return ever_synced_ && !types_.empty(); }

const std::map<std::string, MachineType>* Node::Types() {
  return types_.empty() ? nullptr : &types_;
}

bool Node::KnownHere(const std::string& id) {
  return catalog_.FindJob(id) != nullptr ||
         catalog_.FindFinal(id) != FinalState::kNone;
}

bool Node::FinalKnown(const std::string& id, api::Status* out) const {
  const FinalRecord end = catalog_.FindEnd(id);
  if (end.state == FinalState::kNone) return false;
  out->found = api::Status::Found::kYes;
  out->status = WordOf(end.state);
  out->done = end.state == FinalState::kDone ? end.tasks : 0;
  out->running = 0;
  return true;
}

bool Node::ViewHere(const std::string& id, api::Status* out) {
  JobView view;
  if (!Leads() || !controller_->View(id, &view)) return false;
  out->found = api::Status::Found::kYes;
  out->status = view.status;
  out->done = view.done;
  out->running = view.running;
  return true;
}

net::Task<api::Status> Node::FreshRead(std::string id) {
  api::Status status;
  const StateResult live =
      co_await state_.Get(keys::Of(keys::kJob, id), Urgency::kUser);
  if (live.ok()) {
    Apply(live.items[0].key, live.items[0].record, live.items[0].stamp);
    Perform();
    const auto* job = std::get_if<JobRecord>(&live.items[0].record);
    if (job == nullptr) co_return status;
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
    status.found = api::Status::Found::kNo;
  }
  co_return status;
}

// One that alone is cut off from the state service keeps its users for as long
// as its sockets are good: half a minute of 503 for a fifth of all requests,
// while four others could have answered. Nothing is accepted, and nothing
// denied, but by the one who has written or read it.
net::Task<PeerMessage> Node::Relay(PeerMessage message) {
  PeerMessage none;
  if (peers_.empty() || loop_.Now() < relay_not_before_) co_return none;
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

net::Task<api::Status> Node::Poll(std::string id) {
  const api::Status status = co_await PollHere(id);
  if (status.found != api::Status::Found::kCannotTell) co_return status;
  co_return StatusOf(co_await Relay(RelayOf(PeerKind::kRelayPoll, id)));
}

net::Task<api::Status> Node::Cancel(std::string id) {
  const api::Status status = co_await CancelOrPass(id);
  if (status.found != api::Status::Found::kCannotTell) co_return status;
  co_return StatusOf(co_await Relay(RelayOf(PeerKind::kRelayCancel, id)));
}

net::Task<api::Submitted> Node::Submit(std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  const api::Submitted here = co_await SubmitHere(spec);
  if (here.result != Result::kTryLater) co_return here;
  PeerMessage relay = RelayOf(PeerKind::kRelaySubmit, spec->id);
  relay.text = clients::EncodeRecord(
      JobRecord{spec, net::WallNow(), FinalState::kNone, 0});
  const PeerMessage answer = co_await Relay(std::move(relay));
  if (answer.answer == PeerAnswer::kYes) {
    co_return api::Submitted{Result::kAccepted};
  }
  if (answer.answer == PeerAnswer::kKnownJob) {
    co_return api::Submitted{Result::kKnown};
  }
  co_return here;
}

net::Task<api::Status> Node::PollHere(std::string id) {
  api::Status status;
  if (FinalKnown(id, &status) || ViewHere(id, &status)) co_return status;
  clients::PeerClient* leader = LeaderPeer();
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

net::Task<api::Submitted> Node::SubmitHere(
    std::shared_ptr<const JobSpec> spec) {
  using Result = api::Submitted::Result;
  size_t tasks = spec->tasks;
  for (const auto& [id, job] : catalog_.jobs()) {
    if (job.final_state == FinalState::kNone) tasks += job.spec->tasks;
  }
  if (!ever_synced_ || catalog_.jobs().size() >= kMostLiveJobs ||
      tasks > kMostLiveTasks) {
    co_return api::Submitted{Result::kTryLater};
  }
  const std::string key = keys::Of(keys::kJob, spec->id);
  const JobRecord record{spec, net::WallNow(), FinalState::kNone, 0};
  if (clients::EncodeRecord(record).size() >
      static_cast<size_t>(settings_.state.value_kb * 1024)) {
    co_return api::Submitted{Result::kTooLarge};
  }
  std::vector<Condition> conditions{{key, 0},
                                    {keys::Of(keys::kFinal, spec->id), 0}};
  std::vector<KeyChange> changes{{key, record}};
  const StateResult result = co_await state_.Write(
      std::move(conditions), std::move(changes), Urgency::kUser);
  switch (result.status) {
    case StateStatus::kOk: {
      Apply(key, record, result.revision);
      Perform();
      if (clients::PeerClient* leader = LeaderPeer()) {
        PeerMessage hint;
        hint.kind = PeerKind::kHint;
        hint.node = settings_.node;
        hint.job_id = spec->id;
        hint.stamp = result.revision;
        hint.text = clients::EncodeRecord(record);
        net::Spawn(leader->Tell(std::move(hint)));
      }
      spdlog::debug("accepted {}", spec->id);
      co_return api::Submitted{Result::kAccepted};
    }
    case StateStatus::kConflict:
      co_return api::Submitted{Result::kKnown};
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

net::Task<FinalState> Node::CancelHere(std::string id) {
  auto waiter = std::make_shared<FinalWaiter>(loop_);
  final_waiters_[id].push_back(waiter);
  bool known = false;
  Tell(controller_->revision(),
       [&](Controller& c) { known = c.Cancel(id, loop_.Now()); });
  if (known) {
    co_await waiter->event.Wait(kCancelWaitRatio * settings_.workers.lease_s);
  }
  const auto it = final_waiters_.find(id);
  if (it != final_waiters_.end()) {
    std::erase(it->second, waiter);
    if (it->second.empty()) final_waiters_.erase(it);
  }
  co_return waiter->state;
}

net::Task<api::Status> Node::CancelOrPass(std::string id) {
  api::Status status;
  if (FinalKnown(id, &status)) co_return status;
  if (!KnownHere(id)) {
    status = co_await FreshRead(id);
    if (status.found != api::Status::Found::kYes || FinalKnown(id, &status)) {
      co_return status;
    }
  }
  api::Status unknown;
  if (Leads()) {
    const FinalState state = co_await CancelHere(id);
    if (state == FinalState::kNone) co_return unknown;
    status.found = api::Status::Found::kYes;
    status.status = WordOf(state);
    co_return status;
  }
  clients::PeerClient* leader = LeaderPeer();
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

api::Reported Node::Report(const WorkerReport& report) {
  api::Reported out;
  if (Leads()) {
    Tell(controller_->revision(),
         [&](Controller& c) { out.reply = c.OnReport(report, loop_.Now()); });
    if (controller_) out.result = api::Reported::Result::kAnswered;
    return out;
  }
  out.leader = LeaderName();
  if (out.leader != settings_.node) {
    out.result = api::Reported::Result::kElsewhere;
  }
  return out;
}

api::LeaderView Node::Leader() {
  api::LeaderView view;
  view.leader = LeaderName();
  if (!Leads()) return view;
  view.here = true;
  view.machines = controller_->hearing().recorded;
  view.silent = controller_->hearing().silent;
  view.alarms = controller_->Alarms();
  return view;
}

// --- peers

net::Task<PeerMessage> Node::OnPeer(PeerMessage message) {
  PeerMessage reply;
  reply.node = settings_.node;
  reply.leads = leadership_.state() == LeaderState::kLeading ||
                leadership_.state() == LeaderState::kProlonged;
  switch (message.kind) {
    case PeerKind::kPoll: {
      api::Status status;
      if (FinalKnown(message.job_id, &status) ||
          ViewHere(message.job_id, &status)) {
        reply.answer = PeerAnswer::kYes;
        reply.text = status.status;
        reply.done = status.done;
        reply.running = status.running;
      }
      break;
    }
    case PeerKind::kCancel: {
      if (!Leads()) break;
      if (!KnownHere(message.job_id)) {
        const api::Status known = co_await FreshRead(message.job_id);
        if (known.found != api::Status::Found::kYes || !Leads()) break;
      }
      const FinalState state = co_await CancelHere(message.job_id);
      if (state == FinalState::kNone) break;
      reply.answer = PeerAnswer::kYes;
      reply.text = WordOf(state);
      break;
    }
    case PeerKind::kPromise: {
      co_await ProbeState();
      if (leadership_.AskedToPromise(state_.Failing(), loop_.Refresh())) {
        reply.answer = PeerAnswer::kYes;
      }
      break;
    }
    case PeerKind::kHint: {
      rapidjson::Document doc;
      Record record;
      const std::string key = keys::Of(keys::kJob, message.job_id);
      doc.Parse(message.text.data(), message.text.size());
      if (!doc.HasParseError() && clients::DecodeRecord(key, doc, &record)) {
        Apply(key, record, message.stamp);
        Perform();
      }
      break;
    }
    case PeerKind::kReach:
    case PeerKind::kSilent:
      co_await fitness_desk_.OnReach(std::move(message), &reply);
      break;
    case PeerKind::kOffer:
      fitness_desk_.OnOffer(message, &reply);
      break;
    case PeerKind::kStandAside:
      fitness_desk_.OnStandAside(message);
      break;
    case PeerKind::kRelayPoll:
      FillAnswer(co_await PollHere(message.job_id), &reply);
      break;
    case PeerKind::kRelayCancel:
      FillAnswer(co_await CancelOrPass(message.job_id), &reply);
      break;
    case PeerKind::kRelaySubmit: {
      rapidjson::Document doc;
      Record record;
      doc.Parse(message.text.data(), message.text.size());
      if (doc.HasParseError() ||
          !clients::DecodeRecord(keys::Of(keys::kJob, message.job_id), doc,
                                 &record)) {
        break;
      }
      const auto* job = std::get_if<JobRecord>(&record);
      if (job == nullptr) break;
      if (KnownHere(message.job_id)) {
        reply.answer = PeerAnswer::kKnownJob;
        break;
      }
      const api::Submitted submitted = co_await SubmitHere(job->spec);
      if (submitted.result == api::Submitted::Result::kAccepted) {
        reply.answer = PeerAnswer::kYes;
      } else if (submitted.result == api::Submitted::Result::kKnown) {
        reply.answer = PeerAnswer::kKnownJob;
      }
      break;
    }
    default:
      break;
  }
  co_return reply;
}

}  // namespace oxbow::app
