// The platform's settings file and the operators' tuning file, as plain data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oxbow {

// Seconds on the steady clock of this process. Functions get the current time
// from their caller.
using Time = double;

// Another controller in the platform's settings.
struct PeerSettings {
  std::string name;
  std::string zone;
  std::string address;
};

// A team's guaranteed and maximum numbers of cores and accelerators. 0 means
// that there is no guarantee or no maximum.
struct TeamQuota {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

// A service-level objective for a class of jobs, stated by its users.
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

// Limits of the key-value store.
struct StoreSettings {
  double rps = 250;        // requests per second
  double write_rps = 100;  // writes per second
  double value_kb = 8;     // size of a value that is written
  int txn_ops = 16;        // mutations in a transaction
  // Size of a value that is read. May exceed `value_kb`, because values that
  // were written before the service lowered its limit stay readable.
  double stored_value_kb = 8;

  size_t max_value_bytes() const {
    return static_cast<size_t>(value_kb * 1024);
  }
  // Whether a transaction may contain so many mutations.
  bool FitsTransaction(size_t mutations) const {
    return mutations <= static_cast<size_t>(txn_ops);
  }
};

// Limits of the cloud's API.
struct CloudSettings {
  double rps = 8;               // requests per second
  double list_lag_seconds = 5;  // how outdated the list of machines may be
};

// Resource limits of this process. 0 means that no limit is known.
struct LimitSettings {
  double cpu_share = 0;
  double memory_mb = 56;
  int max_connections = 700;

  // How many connections may be used to serve requests, and for connections to
  // workers. The rest is for connections to the key-value store, the cloud, the
  // other controllers and the replicas whose health is checked.
  size_t client_connections() const { return ShareOfConnections(0.75); }
  size_t worker_connections() const { return ShareOfConnections(0.15); }

 private:
  size_t ShareOfConnections(double share) const {
    return static_cast<size_t>(share * max_connections);
  }
};

// The contents of the platform's settings file.
struct Settings {
  std::string node;
  std::string zone;
  std::string listen;
  std::string peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud_address;
  std::string store_address;
  int nodes = 1;  // number of controllers
  std::vector<std::string> zones;
  std::vector<TeamQuota> teams;
  std::vector<Objective> objectives;
  WorkerSettings workers;
  StoreSettings store;
  CloudSettings cloud;
  LimitSettings limits;
  // The maximum difference between a controller's wall clock and true time.
  double clock_error_ms = 0;
};

// The operators' tuning file: weights, limits and switches. Every default is a
// weight or a ratio to a figure of the platform's settings, so that it suits
// clusters of every size.
struct Tuning {
  // Weights of the terms of the placement score: image download time, spread
  // over zones, packing, accelerators, price.
  double fetch_weight = 1.0;
  double spread_weight = 0.9;
  double pack_weight = 0.3;
  double accelerator_weight = 0.6;
  double price_weight = 0.2;
  // Every job should start within this time, s, where there is capacity for it.
  // 0: `minimum_share` is off.
  double begin_within_seconds = 0;
  // While jobs of a class wait, the share of the class's placed work that goes
  // to its largest jobs and to those that have waited longest.
  double minimum_share = 0.2;
  // Weight of the accelerators that become fragmented by the placement of a
  // task, as a share of the machine's; 0: fragmentation is ignored.
  double fragmentation_weight = 0;
  // The maximum number of concurrent moves of replicas with accelerators, which
  // free whole machines for large jobs; 0: no moves. Requires
  // `fragmentation_weight`.
  double moves_at_once = 0;
  // A service whose replica was moved is not moved again for
  // `moves_cool_leases` worker leases. `moves_budget`: the maximum number of
  // moves begun within that time.
  double moves_budget = 24;
  double moves_cool_leases = 6;
  // Maximum shares: of the concurrent moves those with a target in one zone, of
  // the concurrent moves those of one team, of a service's replicas those that
  // are moved concurrently.
  double moves_zone_share = 0.7;
  double moves_team_share = 0.7;
  double moves_service_share = 0.125;
  // The lease of the leader key, as a share of the workers' lease.
  double leader_lease_ratio = 0.25;
  // For how long the other controllers promise not to run for leadership to a
  // controller that renews the workers' leases during an outage of the
  // key-value store, as a share of the workers' lease; 0: only the leader
  // renews workers' leases.
  double delegation_ratio = 0;
  // Whether controllers request delegated leases, which let them renew the
  // leases of the workers of their zone while it is partitioned; 0: no.
  double delegate_to_zones = 0;
  // A machine that has sent no message for the first share of its lease gets no
  // new tasks; after the second share it is given up.
  double suspect_ratio = 0.3;
  double give_up_ratio = 0.45;
  // An idle machine is returned to the cloud after this many worker leases.
  double idle_return_leases = 4.0;
  // A machine still booting after this many times its nominal boot time is
  // replaced.
  double boot_timeout_ratio = 2.5;
  // When messages of this share of the recorded machines are overdue, or
  // commands and responses do not reach them, the leader asks the other
  // controllers which machines they reach.
  double troubled_share = 0.125;
  // A leader that hears from less than this share of the recorded machines
  // can't lead, whether or not another controller can.
  double deaf_share = 0.2;
  // The maximum number of leadership transfers within a worker lease.
  double max_leadership_transfers = 2;
  // Limits of what the leader may remove on its own initiative within a window
  // of `limit_window_leases` worker leases. The shares up to `distrusted_share`
  // limit one cause each, as a share of all machines. `zone_share` is a share
  // of a zone's machines, for each cause; `service_share` is a share of a
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
  // How often per worker lease a controller checks whether the key-value store
  // has lost data; 0 turns the recovery from data loss off.
  double recovery_checks = 0;
  // How many pages of the store's records per worker lease are compared with
  // the records in memory.
  double recovery_pages = 1;
  // Whether the operators' maintenance calendar delays large jobs; 0: no.
  double calendar_on = 0;
  // The maximum number of concurrent rollouts; 0 turns rollouts off.
  double rollouts_at_once = 0;
  // The maximum number of concurrent health checks, as a share of the sockets.
  double rollout_check_share = 0.05;
  // The processor time for health checks, as a share of this controller's.
  double rollout_cpu_share = 0.15;
  // Whether the operators' priority tiers are in effect; 0: no.
  double tiers = 0;
};

// The maximum relative drift that is assumed between two steady clocks. They
// may drift apart by 0.05%; twice that is allowed for.
inline constexpr double kMaxClockDriftRate = 0.001;

}  // namespace oxbow
