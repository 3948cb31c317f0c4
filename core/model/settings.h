// What the platform's settings file says, as plain data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oxbow {

// Seconds on the steady clock of this process, handed in by the caller.
using Time = double;

// Another controller, as the platform lists it.
struct PeerSettings {
  std::string name;
  std::string zone;
  std::string address;
};

// Amounts of 0 mean: no guarantee, no limit.
struct TeamQuota {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

// A service-level objective of a class of jobs, as its users have stated it.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_seconds = 0;
  double share = 0;
  double times = 0;
};

// Timing of the protocol between controllers and workers, s.
struct WorkerSettings {
  double heartbeat_interval_seconds = 1;
  double lease_seconds = 10;
  double gang_wait_seconds = 40;
  double gang_peer_seconds = 4;
  double cancel_seconds = 40;
};

// Limits of the key-value store: requests a second, and sizes.
struct StoreSettings {
  double rps = 250;
  double write_rps = 100;
  double value_kb = 8;
  int txn_ops = 16;
  // What is stored may be larger than what may be written: the service may
  // lower its limits, and what it holds stays readable.
  double stored_value_kb = 8;

  size_t max_value_bytes() const {
    return static_cast<size_t>(value_kb * 1024);
  }
  // Whether a transaction may hold so many changes.
  bool FitsTransaction(size_t mutations) const {
    return mutations <= static_cast<size_t>(txn_ops);
  }
};

// Limits of the cloud's API.
struct CloudSettings {
  double rps = 8;
  double list_lag_seconds = 5;
};

// What this process may use. 0: no limit is known.
struct LimitSettings {
  double cpu_share = 0;
  double memory_mb = 56;
  int max_connections = 700;

  // The shares of them; the rest is for the connections to the key-value store,
  // the cloud, the other controllers and instances whose health is checked.
  size_t client_connections() const { return ShareOfConnections(0.75); }
  size_t worker_connections() const { return ShareOfConnections(0.15); }

 private:
  size_t ShareOfConnections(double share) const {
    return static_cast<size_t>(share * max_connections);
  }
};

// Everything that the platform's settings file says.
struct Settings {
  std::string node;
  std::string zone;
  std::string listen;
  std::string peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud_address;
  std::string store_address;
  int nodes = 1;
  std::vector<std::string> zones;
  std::vector<TeamQuota> teams;
  std::vector<Objective> objectives;
  WorkerSettings workers;
  StoreSettings store;
  CloudSettings cloud;
  LimitSettings limits;
  double clock_error_ms = 0;
};

// The operators' own file: weights and pacing. Every default is a ratio to a
// figure of the platform's settings or a pure weight.
struct Tuning {
  // w of the design: weight of the fetch time against the other terms.
  double fetch_weight = 1.0;
  double spread_weight = 0.9;
  double pack_weight = 0.3;
  double accelerator_weight = 0.6;
  double price_weight = 0.2;
  // Every job is to begin within so long, s, wherever the room is there: the
  // operators' rule. 0: the minimum share of the queue's order is off.
  double begin_within_seconds = 0;
  // Of a class's work that is placed while some waits: for the largest and
  // those that have waited longest.
  double minimum_share = 0.2;
  // Weight of what a task adds to the fragmented accelerators, as a
  // share of a machine's; 0: fragmentation is not looked at.
  double fragmentation_weight = 0;
  // Moves of replicas with accelerators under way, so that large work finds
  // whole machines; 0: none. Needs fragmentation_weight.
  double moves_at_once = 0;
  // Moves begun until their services have cooled off, and for how many worker
  // leases these do.
  double moves_budget = 24;
  double moves_cool_leases = 6;
  // Of the moves under way, with targets in one zone; of one team; of a
  // service's replicas.
  double moves_zone_share = 0.7;
  double moves_team_share = 0.7;
  double moves_service_share = 0.125;
  // Leadership lease, as a share of the workers' lease.
  double leader_lease_ratio = 0.25;
  // How long the others promise one who keeps workers alive in an outage of
  // the key-value store not to seek, as a share of the workers' lease; 0:
  // nobody keeps workers alive without leading.
  double delegation_ratio = 0;
  // Whether controllers ask for the right to keep the workers of their zone
  // when it is cut off; 0: no.
  double delegate_to_zones = 0;
  // A machine that has not reported for this share of its lease gets nothing
  // new; after the second share it is given up.
  double suspect_ratio = 0.3;
  double give_up_ratio = 0.45;
  // An idle machine is returned after this many worker leases.
  double idle_return_leases = 4.0;
  // A machine still booting after this many times its nominal boot time is
  // replaced.
  double boot_timeout_ratio = 2.5;
  // Who is fit to lead. A leader that hears so little of the recorded machines
  // asks the other controllers what they reach.
  double troubled_share = 0.125;
  // One that hears less than this can't lead, whoever else can.
  double deaf_share = 0.2;
  // Hand-overs that are let happen within a worker lease.
  double max_leadership_transfers = 2;
  // What the leader may take away of its own accord within the window, as a
  // share of the machines; of a zone's machines, for each cause; of a
  // service's replicas.
  double limit_window_leases = 1.0;
  double silent_share = 1.0 / 6;
  double unlisted_share = 0.1;
  double never_up_share = 0.5;
  double idle_share = 0.5;
  double moved_share = 0.2;
  double distrusted_share = 0.05;
  double zone_share = 0.25;
  double service_share = 0.5;
  // Fresh looks at whether the key-value store still holds all it held, in a
  // worker lease; 0 turns the recovery from lost state off.
  double recovery_checks = 0;
  // Pages of its records compared with memory, in a worker lease.
  double recovery_pages = 1;
  // Whether the operators' calendar holds heavy work back; 0: no.
  double calendar_on = 0;
  // Rollouts at the same time; 0 turns the subsystem off.
  double rollouts_at_once = 0;
  // Health checks under way, as a share of the sockets.
  double rollout_check_share = 0.05;
  // Processor time for them, as a share of this controller's.
  double rollout_cpu_share = 0.15;
  // Whether the operators' priority tiers are followed; 0: no.
  double tiers = 0;
};

// Two steady clocks may drift apart by 0.05%; twice that is allowed for.
inline constexpr double kMaxClockDriftRate = 0.001;

}  // namespace oxbow
