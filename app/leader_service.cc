#include "app/leader_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "app/calendar_records.h"
#include "wire/moves_json.h"
#include "wire/tiers_json.h"

namespace oxbow::app {
namespace {

using clients::StateResult;
using clients::StateStatus;
using clients::Urgency;

// Shares of the workers' lease.
constexpr double kOrderTimeoutRatio = 0.15;
constexpr double kCancelWaitRatio = 0.3;
constexpr double kTick = 0.05;  // of the report interval

}  // namespace

LeaderService::LeaderService(net::Loop& loop, const Settings& settings,
                             const Tuning& tuning, Catalog& catalog,
                             clients::StateClient& state,
                             clients::CloudClient& cloud, Follower& follower,
                             Election& election,
                             LeaderHealthCoordinator& leader_health_coordinator,
                             ZoneCoordinator& zone_coordinator,
                             RecoveryCoordinator& recovery)
    : loop_(loop),
      settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      state_(state),
      cloud_(cloud),
      follower_(follower),
      election_(election),
      leader_health_coordinator_(leader_health_coordinator),
      zone_coordinator_(zone_coordinator),
      recovery_(recovery),
      workers_(loop, kOrderTimeoutRatio * settings.workers.lease_s),
      health_(loop) {}

void LeaderService::Start() {
  net::Spawn(TickLoop());
  net::Spawn(ListLoop());
}

Controller* LeaderService::Leading() {
  return controller_ != nullptr && election_.Valid() ? controller_.get()
                                                     : nullptr;
}

void LeaderService::LeaveOffice() {
  controller_.reset();
  workers_.Clear();
  health_.Clear();
}

void LeaderService::FollowTiers() {
  if (tuning_.tiers <= 0) return;
  const TierSource before = tiers_.source();
  const uint64_t version = tiers_.version();
  const std::string refused = tiers_.refused();
  const auto it = catalog_.operators().find(std::string(wire::kTiersRecord));
  if (it == catalog_.operators().end()) {
    tiers_.OnNoRecord();
  } else if (it->second.withdrawn) {
    tiers_.OnWithdrawn();
  } else {
    wire::TakeTiers(it->second.text, it->second.version,
                    TierBounds::From(settings_), &tiers_);
  }
  if (!tiers_.refused().empty() && tiers_.refused() != refused) {
    spdlog::warn("tiers: version {} can't be used, version {} stays: {}",
                 tiers_.refused_version(), tiers_.version(), tiers_.refused());
  } else if (before != tiers_.source() || version != tiers_.version()) {
    spdlog::info("tiers: version {} is in force", tiers_.version());
  }
}

void LeaderService::RecordTaken(const std::string& key) {
  if (key.starts_with(keys::kOperator) &&
      key.substr(keys::kOperator.size()) == wire::kTiersRecord) {
    FollowTiers();
    if (controller_) {
      Tell(controller_->revision(),
           [this](Controller& c) { c.UseTiers(tiers_.set()); });
    }
  }
  if (!controller_) return;
  const auto about = [&](std::string_view prefix, const auto& event) {
    if (!controller_ || !key.starts_with(prefix)) return;
    Tell(controller_->revision(),
         [&](Controller& c) { event(c, key.substr(prefix.size())); });
  };
  about(keys::kJob, [this](Controller& c, const std::string& id) {
    c.OnJobRecord(id, loop_.Now());
  });
  about(keys::kWaiting, [this](Controller& c, const std::string& id) {
    c.OnWaitingRecord(id, loop_.Now());
  });
  about(keys::kRollout, [this](Controller& c, const std::string& id) {
    c.OnRolloutRecord(id, loop_.Now());
  });
  about(keys::kOperator, [this](Controller& c, const std::string& name) {
    if (tuning_.calendar_on > 0) TellBooking(catalog_, name, c, loop_.Now());
    c.OnOperatorRecord(name, loop_.Now());
  });
}

void LeaderService::TypesKnown(const std::vector<MachineType>& types) {
  if (controller_) controller_->OnTypes(types);
}

void LeaderService::TellWaiters(const JobTerminated& end) {
  const auto it = terminal_waiters_.find(end.id);
  if (it == terminal_waiters_.end()) return;
  for (const auto& waiter : it->second) {
    waiter->state = end.state;
    waiter->event.Set();
  }
  terminal_waiters_.erase(it);
}

void LeaderService::TakeOffice(
    uint64_t revision, const std::optional<std::set<std::string>>& delegates) {
  const net::Time now = loop_.Refresh();
  controller_ =
      std::make_unique<Controller>(settings_, tuning_, catalog_, revision, now,
                                   net::WallNow() - now, revision, delegates);
  FollowTiers();
  controller_->UseTiers(tiers_.set());
  if (tuning_.calendar_on > 0) {
    TellBookings(catalog_, *controller_, now);
    LookAtClocks();
  }
  controller_->UseMoves(wire::kMoveCodec, now);
  controller_->log_detail = spdlog::should_log(spdlog::level::debug);
  if (!follower_.types().empty()) {
    std::vector<MachineType> types;
    for (const auto& [name, type] : follower_.types()) types.push_back(type);
    controller_->OnTypes(types);
  }
  Perform();
}

void LeaderService::Tell(uint64_t revision,
                         const std::function<void(Controller&)>& event) {
  if (!controller_ || controller_->revision() != revision) return;
  // The loop's time is that of its last wake-up, which a stall may have put
  // seconds ago; a message read since then may tell of a session that began
  // later than that.
  loop_.Refresh();
  if (tuning_.calendar_on > 0) LookAtClocks();
  try {
    event(*controller_);
  } catch (const IllegalTransition& error) {
    spdlog::error("illegal change of state, {}", error.what());
    election_.StepDown("its picture is inconsistent");
    return;
  }
  Perform();
}

// Between two looks at the steady clock, so that a stall shows.
void LeaderService::LookAtClocks() {
  const net::Time before = loop_.Refresh();
  const double wall = net::WallNow();
  const net::Time after = loop_.Refresh();
  controller_->OnClocks({wall, before, after}, follower_.confirmed(), after);
}

net::Task<void> LeaderService::TickLoop() {
  for (;;) {
    co_await loop_.Sleep(kTick * settings_.workers.report_s);
    if (Leading() == nullptr) continue;
    Tell(controller_->revision(),
         [this](Controller& c) { c.Tick(loop_.Now(), election_.ByLease()); });
  }
}

net::Task<void> LeaderService::ListLoop() {
  for (;;) {
    co_await loop_.Sleep(0.5 * settings_.cloud.list_lag_s + 0.5);
    if (Leading() == nullptr) continue;
    const uint64_t revision = controller_->revision();
    const net::Time asked = loop_.Now();
    const clients::CloudClient::Listing listing = co_await cloud_.List();
    if (!listing.ok || Leading() == nullptr) continue;
    Tell(revision, [&](Controller& c) {
      c.OnMachineList(listing.machines, asked, loop_.Now());
    });
  }
}

void LeaderService::Perform() {
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
        net::Spawn(
            leader_health_coordinator_.DoReach(std::move(*ask), revision));
      } else if (auto* offer = std::get_if<OfferLead>(&action)) {
        net::Spawn(
            leader_health_coordinator_.DoOffer(std::move(*offer), revision));
      } else if (auto* back = std::get_if<AskStandBack>(&action)) {
        zone_coordinator_.DoAsk(*back, revision);
      } else if (std::holds_alternative<ReadDelegates>(action)) {
        net::Spawn(DoReadDelegates(revision));
      } else if (auto* job = std::get_if<AskJob>(&action)) {
        net::Spawn(recovery_.AskAboutJob(std::move(job->id)));
      } else if (auto* end = std::get_if<ReadEnd>(&action)) {
        net::Spawn(DoReadEnd(std::move(end->id), revision));
      } else if (auto* gone = std::get_if<DeleteMachines>(&action)) {
        to_delete.insert(to_delete.end(), gone->hosts.begin(),
                         gone->hosts.end());
      } else if (auto* terminal_state = std::get_if<JobTerminated>(&action)) {
        TellWaiters(*terminal_state);
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
  election_.StepDown(resign);
  if (unfit) leader_health_coordinator_.Yielded();
}

net::Task<void> LeaderService::DoSend(SendOrders orders, uint64_t revision) {
  const std::string host = orders.host;
  const uint64_t batch = orders.batch;
  clients::WorkerClients::Answer answer;
  // The last look at the clock before anything leaves.
  if (Leading() != nullptr) answer = co_await workers_.Send(std::move(orders));
  Tell(revision, [&](Controller& c) {
    c.OnOrderAnswer(host, batch, answer.outcome,
                    answer.has_report ? &answer.report : nullptr, loop_.Now());
  });
}

net::Task<void> LeaderService::DoProbe(Probe probe, uint64_t revision) {
  const clients::WorkerClients::Answer answer =
      co_await workers_.Probe(probe.endpoint);
  if (!answer.has_report) co_return;
  Tell(revision,
       [&](Controller& c) { c.OnProbeAnswer(answer.report, loop_.Now()); });
}

net::Task<void> LeaderService::DoCheck(CheckInstance check, uint64_t revision) {
  const std::string rollout = check.rollout;
  const ResidentKey key = check.key;
  const CheckOutcome outcome = co_await health_.Check(std::move(check));
  Tell(revision,
       [&](Controller& c) { c.OnHealth(rollout, key, outcome, loop_.Now()); });
}

net::Task<void> LeaderService::DoWrite(WriteTransaction txn,
                                       uint64_t revision) {
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

net::Task<void> LeaderService::DoRead(ReadKeys read, uint64_t revision) {
  bool ok = true;
  for (const std::string& key : read.keys) {
    const StateResult result = co_await state_.Get(key, Urgency::kLeader);
    if (result.ok()) {
      follower_.Apply(key, result.items[0].record, result.items[0].stamp);
    } else if (result.status == StateStatus::kNotFound) {
      // Believed while the epoch stands: what a service that has lost data
      // does not hold may be remembered here alone.
      CheckSays says = CheckSays::kStands;
      if (recovery_.on()) says = co_await recovery_.Check();
      if (says == CheckSays::kGone) recovery_.Sign(LossSign::kEpochMissing);
      // A job's record goes only with its end: one that is missing alone is
      // lost, and a leader that believes it forgets the job.
      if (says == CheckSays::kStands && recovery_.on()) {
        says = co_await recovery_.IsDeleted(key);
      }
      if (says != CheckSays::kStands) {
        ok = false;
        break;
      }
      catalog_.Missing(key, result.revision);
    } else {
      ok = false;
      break;
    }
  }
  if (!ok) co_await loop_.Sleep(0.2 * settings_.workers.report_s);
  Tell(revision,
       [&](Controller& c) { c.OnReadAnswer(read.id, ok, loop_.Now()); });
}

// In the order in which a job moves, so that one that moves meanwhile is found.
// One that is not found proves nothing.
net::Task<void> LeaderService::DoReadEnd(std::string id, uint64_t revision) {
  for (const std::string_view prefix :
       {keys::kWaiting, keys::kJob, keys::kTerminal}) {
    const StateResult found =
        co_await state_.Get(keys::Of(prefix, id), Urgency::kLeader);
    if (found.ok()) {
      const clients::KeyValue& item = found.items[0];
      if (const auto* end = std::get_if<TerminalRecord>(&item.record)) {
        catalog_.RememberEnd(id, *end);
      } else {
        follower_.Apply(item.key, item.record, item.stamp);
      }
    }
    if (found.status != StateStatus::kNotFound) break;
  }
  Tell(revision, [&](Controller& c) { c.OnEndRead(id, loop_.Now()); });
}

net::Task<void> LeaderService::DoRent(RentMachines rent, uint64_t revision) {
  clients::CloudClient::Rented answer;
  if (Leading() != nullptr) {
    answer = co_await cloud_.Rent(rent.name, rent.rental);
  }
  Tell(revision, [&](Controller& c) {
    c.OnRentAnswer(rent.name, answer.outcome, answer.hosts, loop_.Now());
  });
}

net::Task<void> LeaderService::DoReadDelegates(uint64_t revision) {
  const net::Time sent = loop_.Refresh();
  const auto delegates = co_await election_.ReadDelegates();
  if (!delegates) co_return;
  Tell(revision, [&](Controller& c) {
    c.OnDelegatesRead(*delegates, sent, loop_.Now());
  });
}

net::Task<void> LeaderService::DoDelete(std::vector<std::string> hosts,
                                        uint64_t revision) {
  bool ok = false;
  if (Leading() != nullptr) ok = co_await cloud_.Delete(hosts);
  Tell(revision,
       [&](Controller& c) { c.OnDeleteAnswer(hosts, ok, loop_.Now()); });
}

net::Task<TerminalState> LeaderService::Cancel(std::string id) {
  auto waiter = std::make_shared<TerminalStateWaiter>(loop_);
  terminal_waiters_[id].push_back(waiter);
  bool known = false;
  Tell(controller_->revision(),
       [&](Controller& c) { known = c.Cancel(id, loop_.Now()); });
  if (known) {
    co_await waiter->event.Wait(kCancelWaitRatio * settings_.workers.lease_s);
  }
  const auto it = terminal_waiters_.find(id);
  if (it != terminal_waiters_.end()) {
    std::erase(it->second, waiter);
    if (it->second.empty()) terminal_waiters_.erase(it);
  }
  co_return waiter->state;
}

}  // namespace oxbow::app
