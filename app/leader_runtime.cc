#include "app/leader_runtime.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "app/calendar_records.h"
#include "logging/structured_log.h"
#include "wire/moves_json.h"
#include "wire/tiers_json.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

// Shares of the workers' lease.
constexpr double kOrderTimeoutRatio = 0.15;
constexpr double kCancelWaitRatio = 0.3;
constexpr double kTick = 0.05;  // of the heartbeat interval

}  // namespace

LeaderRuntime::LeaderRuntime(net::Loop& loop, const Settings& settings,
                             const Tuning& tuning, Catalog& catalog,
                             clients::KeyValueStoreClient& state,
                             clients::CloudClient& cloud, StoreWatcher& watcher,
                             LeaderElection& election,
                             LeaderHealthCoordinator& leader_health_coordinator,
                             ZoneCoordinator& zone_coordinator,
                             RecoveryCoordinator& recovery)
    : loop_(loop),
      settings_(settings),
      tuning_(tuning),
      catalog_(catalog),
      store_(state),
      cloud_(cloud),
      watcher_(watcher),
      election_(election),
      leader_health_coordinator_(leader_health_coordinator),
      zone_coordinator_(zone_coordinator),
      recovery_(recovery),
      workers_(loop, kOrderTimeoutRatio * settings.workers.lease_seconds),
      health_(loop) {}

void LeaderRuntime::Start() {
  net::Spawn(TickLoop());
  net::Spawn(ListLoop());
}

Leader* LeaderRuntime::ActiveLeader() {
  return leader_ != nullptr && election_.Valid() ? leader_.get() : nullptr;
}

void LeaderRuntime::StopLeading() {
  leader_.reset();
  workers_.Clear();
  health_.Clear();
}

void LeaderRuntime::FollowTiers() {
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
                    TierBounds::OfStored(settings_), &tiers_);
  }
  if (!tiers_.refused().empty() && tiers_.refused() != refused) {
    spdlog::warn("tiers: version {} can't be used, version {} stays: {}",
                 tiers_.refused_version(), tiers_.version(), tiers_.refused());
  } else if (before != tiers_.source() || version != tiers_.version()) {
    spdlog::info("tiers: version {} is in force", tiers_.version());
  }
}

void LeaderRuntime::RecordTaken(const std::string& key) {
  if (key.starts_with(keys::kOperator) &&
      key.substr(keys::kOperator.size()) == wire::kTiersRecord) {
    FollowTiers();
    if (leader_) {
      Deliver(leader_->revision(),
              [this](Leader& leader) { leader.UseTiers(tiers_.set()); });
    }
  }
  if (!leader_) return;
  const auto about = [&](std::string_view prefix, const auto& event) {
    if (!leader_ || !key.starts_with(prefix)) return;
    Deliver(leader_->revision(),
            [&](Leader& leader) { event(leader, key.substr(prefix.size())); });
  };
  about(keys::kJob, [this](Leader& leader, const std::string& id) {
    leader.OnJobRecord(id, loop_.Now());
  });
  about(keys::kWaiting, [this](Leader& leader, const std::string& id) {
    leader.OnWaitingRecord(id, loop_.Now());
  });
  about(keys::kRollout, [this](Leader& leader, const std::string& id) {
    leader.OnRolloutRecord(id, loop_.Now());
  });
  about(keys::kOperator, [this](Leader& leader, const std::string& name) {
    if (tuning_.calendar_on > 0)
      PublishMaintenanceWindow(catalog_, name, leader, loop_.Now());
    leader.OnOperatorRecord(name, loop_.Now());
  });
}

void LeaderRuntime::TypesKnown(const std::vector<MachineType>& types) {
  if (leader_) leader_->OnTypes(types);
}

void LeaderRuntime::NotifyWaiters(const JobTerminated& end) {
  const auto it = terminal_waiters_.find(end.id);
  if (it == terminal_waiters_.end()) return;
  for (const auto& waiter : it->second) {
    waiter->state = end.state;
    waiter->event.Set();
  }
  terminal_waiters_.erase(it);
}

void LeaderRuntime::StartLeading(
    uint64_t revision, const std::optional<std::set<std::string>>& delegates) {
  const net::Time now = loop_.Refresh();
  leader_ =
      std::make_unique<Leader>(settings_, tuning_, catalog_, revision, now,
                               net::WallNow() - now, revision, delegates);
  FollowTiers();
  leader_->UseTiers(tiers_.set());
  if (tuning_.calendar_on > 0) {
    PublishMaintenanceWindows(catalog_, *leader_, now);
    LookAtClocks();
  }
  leader_->UseMoves(wire::kMoveCodec, now);
  leader_->set_log_detail(logging::DebugEnabled());
  if (!watcher_.types().empty()) {
    std::vector<MachineType> types;
    for (const auto& [name, type] : watcher_.types()) types.push_back(type);
    leader_->OnTypes(types);
  }
  ExecuteActions();
}

void LeaderRuntime::Deliver(uint64_t revision,
                            const std::function<void(Leader&)>& event) {
  if (!leader_ || leader_->revision() != revision) return;
  // The loop's time is that of its last wake-up, which a stall may have put
  // seconds ago; a message read since then may tell of an incarnation that
  // began later than that.
  loop_.Refresh();
  if (tuning_.calendar_on > 0) LookAtClocks();
  try {
    event(*leader_);
  } catch (const IllegalTransition& error) {
    spdlog::error("illegal change of state, {}", error.what());
    election_.StepDown("its picture is inconsistent");
    return;
  }
  ExecuteActions();
}

// Between two looks at the steady clock, so that a stall shows.
void LeaderRuntime::LookAtClocks() {
  const net::Time before = loop_.Refresh();
  const double wall = net::WallNow();
  const net::Time after = loop_.Refresh();
  leader_->OnClocks({wall, before, after}, watcher_.confirmed(), after);
}

net::Task<void> LeaderRuntime::TickLoop() {
  for (;;) {
    co_await loop_.Sleep(kTick * settings_.workers.heartbeat_interval_seconds);
    if (ActiveLeader() == nullptr) continue;
    Deliver(leader_->revision(), [this](Leader& leader) {
      leader.Tick(loop_.Now(), election_.ByLease());
    });
  }
}

net::Task<void> LeaderRuntime::ListLoop() {
  for (;;) {
    co_await loop_.Sleep(0.5 * settings_.cloud.list_lag_seconds + 0.5);
    if (ActiveLeader() == nullptr) continue;
    const uint64_t revision = leader_->revision();
    const net::Time asked = loop_.Now();
    const clients::CloudClient::Listing listing = co_await cloud_.List();
    if (!listing.ok || ActiveLeader() == nullptr) continue;
    Deliver(revision, [&](Leader& leader) {
      leader.OnMachineList(listing.machines, asked, loop_.Now());
    });
  }
}

void LeaderRuntime::ExecuteActions() {
  if (!leader_ || executing_actions_) return;
  executing_actions_ = true;
  const uint64_t revision = leader_->revision();
  std::vector<std::string> to_delete;
  std::string resign;
  bool unfit = false;
  while (leader_) {
    std::vector<Action> actions = leader_->TakeActions();
    if (actions.empty()) break;
    for (Action& action : actions) {
      if (auto* send = std::get_if<SendCommands>(&action)) {
        net::Spawn(SendCommandsToWorker(std::move(*send), revision));
      } else if (auto* probe = std::get_if<Probe>(&action)) {
        net::Spawn(ProbeWorker(std::move(*probe), revision));
      } else if (auto* txn = std::get_if<CompareAndSwap>(&action)) {
        net::Spawn(ExecuteCompareAndSwap(std::move(*txn), revision));
      } else if (auto* read = std::get_if<ReadKeys>(&action)) {
        net::Spawn(ReadStoreKeys(std::move(*read), revision));
      } else if (auto* rent = std::get_if<RequestScaleOut>(&action)) {
        net::Spawn(RequestMachines(std::move(*rent), revision));
      } else if (auto* check = std::get_if<CheckInstance>(&action)) {
        net::Spawn(CheckInstanceHealth(std::move(*check), revision));
      } else if (auto* ask = std::get_if<AskReach>(&action)) {
        net::Spawn(leader_health_coordinator_.SurveyReachability(
            std::move(*ask), revision));
      } else if (auto* offer = std::get_if<OfferLeadershipTransfer>(&action)) {
        net::Spawn(leader_health_coordinator_.OfferTransfer(std::move(*offer),
                                                            revision));
      } else if (auto* back = std::get_if<RequestLeaseYield>(&action)) {
        zone_coordinator_.RequestYields(*back, revision);
      } else if (std::holds_alternative<ReadDelegates>(action)) {
        net::Spawn(ReadZoneDelegates(revision));
      } else if (auto* job = std::get_if<RequestJobRecord>(&action)) {
        net::Spawn(recovery_.CheckUnknownJob(std::move(job->id)));
      } else if (auto* end = std::get_if<ReadTerminalState>(&action)) {
        net::Spawn(ReadJobTerminalState(std::move(end->id), revision));
      } else if (auto* gone = std::get_if<DeleteMachines>(&action)) {
        to_delete.insert(to_delete.end(), gone->hosts.begin(),
                         gone->hosts.end());
      } else if (auto* terminal_state = std::get_if<JobTerminated>(&action)) {
        NotifyWaiters(*terminal_state);
      } else if (auto* quit = std::get_if<Resign>(&action)) {
        resign = quit->reason;
        unfit = quit->unfit;
      } else if (auto* note = std::get_if<LogEvent>(&action)) {
        logging::Write(*note);
      }
    }
  }
  constexpr size_t kMostInDelete = 100;
  for (size_t i = 0; i < to_delete.size(); i += kMostInDelete) {
    const size_t end = std::min(to_delete.size(), i + kMostInDelete);
    net::Spawn(DeleteCloudMachines({to_delete.begin() + static_cast<long>(i),
                                    to_delete.begin() + static_cast<long>(end)},
                                   revision));
  }
  executing_actions_ = false;
  if (resign.empty()) return;
  election_.StepDown(resign);
  if (unfit) leader_health_coordinator_.OnLeadershipYielded();
}

net::Task<void> LeaderRuntime::SendCommandsToWorker(SendCommands commands,
                                                    uint64_t revision) {
  const std::string host = commands.host;
  const uint64_t batch = commands.batch;
  clients::WorkerClients::Answer answer;
  // The last look at the clock before anything leaves.
  if (ActiveLeader() != nullptr)
    answer = co_await workers_.Send(std::move(commands));
  Deliver(revision, [&](Leader& leader) {
    leader.OnCommandResponse(host, batch, answer.outcome,
                             answer.has_heartbeat ? &answer.heartbeat : nullptr,
                             loop_.Now());
  });
}

net::Task<void> LeaderRuntime::ProbeWorker(Probe probe, uint64_t revision) {
  const clients::WorkerClients::Answer answer =
      co_await workers_.Probe(probe.endpoint);
  if (!answer.has_heartbeat) co_return;
  Deliver(revision, [&](Leader& leader) {
    leader.OnProbeAnswer(answer.heartbeat, loop_.Now());
  });
}

net::Task<void> LeaderRuntime::CheckInstanceHealth(CheckInstance check,
                                                   uint64_t revision) {
  const std::string rollout = check.rollout;
  const TaskAttemptKey key = check.key;
  const CheckOutcome outcome = co_await health_.Check(std::move(check));
  Deliver(revision, [&](Leader& leader) {
    leader.OnHealth(rollout, key, outcome, loop_.Now());
  });
}

net::Task<void> LeaderRuntime::ExecuteCompareAndSwap(CompareAndSwap txn,
                                                     uint64_t revision) {
  const uint64_t id = txn.id;
  const StoreResult result = co_await store_.Write(
      std::move(txn.preconditions), std::move(txn.mutations), Urgency::kLeader,
      election_.LeaseOf(revision), clients::WhenUnanswered::kGiveUp);
  WriteOutcome outcome = WriteOutcome::kUnknown;
  switch (result.status) {
    case StoreStatus::kOk:
      outcome = WriteOutcome::kApplied;
      break;
    case StoreStatus::kConflict:
      outcome = WriteOutcome::kConflict;
      break;
    case StoreStatus::kNotExecuted:
      outcome = WriteOutcome::kNotExecuted;
      break;
    case StoreStatus::kRefused:
      outcome = WriteOutcome::kRefused;
      break;
    default:
      break;
  }
  Deliver(revision, [&](Leader& leader) {
    leader.OnWriteAnswer(id, outcome, result.revision, result.failed,
                         loop_.Now());
  });
}

net::Task<void> LeaderRuntime::ReadStoreKeys(ReadKeys read, uint64_t revision) {
  bool ok = true;
  for (const std::string& key : read.keys) {
    const StoreResult result = co_await store_.Get(key, Urgency::kLeader);
    if (result.ok()) {
      watcher_.Apply(key, result.items[0].record, result.items[0].mod_revision);
    } else if (result.status == StoreStatus::kNotFound) {
      // Believed while the epoch stands: what a service that has lost data
      // does not hold may be remembered here alone.
      StoreCheck says = StoreCheck::kIntact;
      if (recovery_.IsEnabled()) says = co_await recovery_.CheckEpoch();
      if (says == StoreCheck::kMissing)
        recovery_.ReportDataLoss(DataLossIndication::kEpochMissing);
      // A job's record goes only with its end: one that is missing alone is
      // lost, and a leader that believes it forgets the job.
      if (says == StoreCheck::kIntact && recovery_.IsEnabled()) {
        says = co_await recovery_.IsDeleted(key);
      }
      if (says != StoreCheck::kIntact) {
        ok = false;
        break;
      }
      catalog_.Missing(key, result.revision);
    } else {
      ok = false;
      break;
    }
  }
  if (!ok)
    co_await loop_.Sleep(0.2 * settings_.workers.heartbeat_interval_seconds);
  Deliver(revision, [&](Leader& leader) {
    leader.OnReadAnswer(read.id, ok, loop_.Now());
  });
}

// In the order in which a job moves, so that one that moves meanwhile is found.
// One that is not found proves nothing.
net::Task<void> LeaderRuntime::ReadJobTerminalState(std::string id,
                                                    uint64_t revision) {
  for (const std::string_view prefix :
       {keys::kWaiting, keys::kJob, keys::kTerminal}) {
    const StoreResult found =
        co_await store_.Get(keys::Of(prefix, id), Urgency::kLeader);
    if (found.ok()) {
      const clients::KeyValue& item = found.items[0];
      if (const auto* end = std::get_if<TerminalRecord>(&item.record)) {
        catalog_.RememberTerminalState(id, *end);
      } else {
        watcher_.Apply(item.key, item.record, item.mod_revision);
      }
    }
    if (found.status != StoreStatus::kNotFound) break;
  }
  Deliver(revision,
          [&](Leader& leader) { leader.OnTerminalStateRead(id, loop_.Now()); });
}

net::Task<void> LeaderRuntime::RequestMachines(RequestScaleOut rent,
                                               uint64_t revision) {
  clients::CloudClient::Rented answer;
  if (ActiveLeader() != nullptr) {
    answer = co_await cloud_.Rent(rent.name, rent.scale_out);
  }
  Deliver(revision, [&](Leader& leader) {
    leader.OnScaleOutResponse(rent.name, answer.outcome, answer.hosts,
                              loop_.Now());
  });
}

net::Task<void> LeaderRuntime::ReadZoneDelegates(uint64_t revision) {
  const net::Time sent = loop_.Refresh();
  const auto delegates = co_await election_.ReadDelegates();
  if (!delegates) co_return;
  Deliver(revision, [&](Leader& leader) {
    leader.OnDelegatesRead(*delegates, sent, loop_.Now());
  });
}

net::Task<void> LeaderRuntime::DeleteCloudMachines(
    std::vector<std::string> hosts, uint64_t revision) {
  bool ok = false;
  if (ActiveLeader() != nullptr) ok = co_await cloud_.Delete(hosts);
  Deliver(revision, [&](Leader& leader) {
    leader.OnDeleteAnswer(hosts, ok, loop_.Now());
  });
}

net::Task<TerminalState> LeaderRuntime::Cancel(std::string id) {
  auto waiter = std::make_shared<TerminalStateWaiter>(loop_);
  terminal_waiters_[id].push_back(waiter);
  bool known = false;
  Deliver(leader_->revision(),
          [&](Leader& leader) { known = leader.Cancel(id, loop_.Now()); });
  if (known) {
    co_await waiter->event.Wait(kCancelWaitRatio *
                                settings_.workers.lease_seconds);
  }
  const auto it = terminal_waiters_.find(id);
  if (it != terminal_waiters_.end()) {
    std::erase(it->second, waiter);
    if (it->second.empty()) terminal_waiters_.erase(it);
  }
  co_return waiter->state;
}

}  // namespace oxbow::app
