#include "app/leader_runtime.h"

#include <utility>

#include "app/calendar_records.h"
#include "logging/structured_log.h"
#include "wire/moves_json.h"
#include "wire/tiers_json.h"

namespace oxbow::app {
namespace {

// How long a cancellation waits for the terminal state, as a fraction of the
// workers' lease.
constexpr double kCancelTimeoutRatio = 0.3;
// The interval between ticks, as a fraction of the heartbeat interval.
constexpr double kTickIntervalRatio = 0.05;
// The interval between machine listings, as a fraction of the listing's lag.
// The cloud's listing may be out of date by that lag, so listing much more
// often shows little that is new.
constexpr double kListIntervalRatio = 0.5;
constexpr double kMinListIntervalSeconds = 0.5;

}  // namespace

LeaderRuntime::LeaderRuntime(const LeaderServices& services,
                             const Tuning& tuning)
    : services_(services),
      tuning_(tuning),
      terminal_state_waiters_(services.loop),
      executor_(services, terminal_state_waiters_,
                {[this] { return ActiveLeader(); },
                 [this](uint64_t revision,
                        const std::function<void(Leader&)>& event) {
                   Deliver(revision, event);
                 }}) {}

void LeaderRuntime::Start() {
  net::Spawn(TickLoop());
  net::Spawn(ListMachinesLoop());
}

Leader* LeaderRuntime::ActiveLeader() {
  return leader_ != nullptr && services_.election.MayActAsLeader()
             ? leader_.get()
             : nullptr;
}

void LeaderRuntime::StartLeading(
    uint64_t revision, const std::optional<std::set<std::string>>& delegates) {
  const net::Time now = services_.loop.Refresh();
  Catalog& catalog = services_.catalog;
  leader_ =
      std::make_unique<Leader>(services_.settings, tuning_, catalog, revision,
                               now, net::WallNow() - now, revision, delegates);
  UpdateTiers();
  leader_->SetTiers(tiers_.set());
  if (tuning_.calendar_on > 0) {
    PublishMaintenanceWindows(catalog, *leader_, now);
    UpdateClocks();
  }
  leader_->EnableReplicaMoves(wire::kMoveCodec, now);
  leader_->set_log_detail(logging::DebugEnabled());
  if (!services_.watcher.types().empty()) {
    std::vector<MachineType> types;
    for (const auto& [name, type] : services_.watcher.types()) {
      types.push_back(type);
    }
    leader_->OnTypes(types);
  }
  ExecuteActions();
}

void LeaderRuntime::StopLeading() {
  leader_.reset();
  executor_.Clear();
}

void LeaderRuntime::ReadTierRecord() {
  const auto& records = services_.catalog.operator_records();
  const auto it = records.find(std::string(wire::kTiersRecord));
  if (it == records.end()) {
    tiers_.OnNoRecord();
  } else if (it->second.withdrawn) {
    tiers_.OnWithdrawn();
  } else {
    wire::TakeTiers(it->second.text, it->second.version,
                    TierBounds::OfStored(services_.settings), &tiers_);
  }
}

void LeaderRuntime::UpdateTiers() {
  if (tuning_.tiers <= 0) return;
  const TierSource source_before = tiers_.source();
  const uint64_t version_before = tiers_.version();
  const std::string refused_before = tiers_.refused();
  ReadTierRecord();
  if (!tiers_.refused().empty() && tiers_.refused() != refused_before) {
    logging::Warning("priority tiers rejected",
                     {{"version", tiers_.refused_version()},
                      {"version_in_force", tiers_.version()},
                      {"reason", tiers_.refused()}});
  } else if (source_before != tiers_.source() ||
             version_before != tiers_.version()) {
    logging::Info("priority tiers in force", {{"version", tiers_.version()}});
  }
}

void LeaderRuntime::OnRecord(const std::string& key) {
  if (key.starts_with(keys::kOperator) &&
      key.substr(keys::kOperator.size()) == wire::kTiersRecord) {
    UpdateTiers();
    if (leader_) {
      Deliver(leader_->revision(),
              [this](Leader& leader) { leader.SetTiers(tiers_.set()); });
    }
  }
  NotifyLeaderOfRecord(key);
}

void LeaderRuntime::NotifyLeaderOfRecord(const std::string& key) {
  const auto deliver_if = [&](std::string_view prefix, const auto& event) {
    if (!leader_ || !key.starts_with(prefix)) return;
    Deliver(leader_->revision(),
            [&](Leader& leader) { event(leader, key.substr(prefix.size())); });
  };
  const net::Loop& loop = services_.loop;
  deliver_if(keys::kJob, [&](Leader& leader, const std::string& id) {
    leader.OnJobRecord(id, loop.Now());
  });
  deliver_if(keys::kWaiting, [&](Leader& leader, const std::string& id) {
    leader.OnWaitingRecord(id, loop.Now());
  });
  deliver_if(keys::kRollout, [&](Leader& leader, const std::string& id) {
    leader.OnRolloutRecord(id, loop.Now());
  });
  deliver_if(keys::kOperator, [&](Leader& leader, const std::string& name) {
    if (tuning_.calendar_on > 0) {
      PublishMaintenanceWindow(services_.catalog, name, leader, loop.Now());
    }
    leader.OnOperatorRecord(name, loop.Now());
  });
}

void LeaderRuntime::OnMachineTypes(const std::vector<MachineType>& types) {
  if (leader_) leader_->OnTypes(types);
}

void LeaderRuntime::Deliver(uint64_t revision,
                            const std::function<void(Leader&)>& event) {
  if (!leader_ || leader_->revision() != revision) return;
  // The loop's time is that of its last wake-up, which may be seconds ago after
  // a stall. A message read since then may come from an incarnation that began
  // after that time.
  services_.loop.Refresh();
  if (tuning_.calendar_on > 0) UpdateClocks();
  try {
    event(*leader_);
  } catch (const IllegalTransition& error) {
    logging::Error("illegal state transition in the leader",
                   {{"reason", error.what()}});
    services_.election.StepDown("the leader's state is inconsistent");
    return;
  }
  ExecuteActions();
}

// The wall clock is read between two readings of the steady clock, so that a
// stall during the reading is detectable.
void LeaderRuntime::UpdateClocks() {
  net::Loop& loop = services_.loop;
  const net::Time before = loop.Refresh();
  const double wall_seconds = net::WallNow();
  const net::Time after = loop.Refresh();
  leader_->OnClockReading({wall_seconds, before, after},
                          services_.watcher.confirmed(), after);
}

net::Task<void> LeaderRuntime::TickLoop() {
  const double interval_seconds =
      kTickIntervalRatio *
      services_.settings.workers.heartbeat_interval_seconds;
  for (;;) {
    co_await services_.loop.Sleep(interval_seconds);
    if (ActiveLeader() == nullptr) continue;
    Deliver(leader_->revision(), [this](Leader& leader) {
      leader.Tick(services_.loop.Now(), services_.election.ByLease());
    });
  }
}

net::Task<void> LeaderRuntime::ListMachinesLoop() {
  const double interval_seconds =
      kListIntervalRatio * services_.settings.cloud.list_lag_seconds +
      kMinListIntervalSeconds;
  for (;;) {
    co_await services_.loop.Sleep(interval_seconds);
    if (ActiveLeader() == nullptr) continue;
    const uint64_t revision = leader_->revision();
    const net::Time asked = services_.loop.Now();
    const clients::CloudClient::Listing listing =
        co_await services_.cloud.List();
    if (!listing.ok || ActiveLeader() == nullptr) continue;
    Deliver(revision, [&](Leader& leader) {
      leader.OnMachineList(listing.machines, asked, services_.loop.Now());
    });
  }
}

ActionSummary LeaderRuntime::ExecuteUntilIdle() {
  ActionSummary summary;
  const uint64_t revision = leader_->revision();
  // Executing an action may end the leadership, which resets `leader_`.
  while (leader_) {
    std::vector<Action> actions = leader_->TakeActions();
    if (actions.empty()) break;
    for (Action& action : actions) {
      executor_.Execute(std::move(action), revision, &summary);
    }
  }
  executor_.DeleteHosts(summary.hosts_to_delete, revision);
  return summary;
}

void LeaderRuntime::ExecuteActions() {
  if (!leader_ || executing_actions_) return;
  executing_actions_ = true;
  const ActionSummary summary = ExecuteUntilIdle();
  executing_actions_ = false;
  if (summary.resign_reason.empty()) return;
  services_.election.StepDown(summary.resign_reason);
  if (summary.prefer_other_candidates)
    services_.leader_health_coordinator.OnLeadershipYielded();
}

net::Task<TerminalState> LeaderRuntime::Cancel(std::string id) {
  const auto waiter = terminal_state_waiters_.Add(id);
  bool known = false;
  Deliver(leader_->revision(), [&](Leader& leader) {
    known = leader.Cancel(id, services_.loop.Now());
  });
  if (known) {
    co_await waiter->event.Wait(kCancelTimeoutRatio *
                                services_.settings.workers.lease_seconds);
  }
  terminal_state_waiters_.Remove(id, waiter);
  co_return waiter->state;
}

}  // namespace oxbow::app
