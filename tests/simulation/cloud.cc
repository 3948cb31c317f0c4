// The fake cloud: machines that are scaled out.
#include <algorithm>
#include <string>

#include "tests/sim.h"

namespace oxbow::test {

void Sim::ScaleOut(const RequestScaleOut& rent) {
  const std::string name = rent.name;
  const uint64_t leader = leader_->revision();
  After(rent_seconds, [this, name, rent, leader] {
    auto& hosts = scaled_out_hosts_[name];
    if (hosts.empty()) {
      int room = rent.scale_out.count;
      const auto limit = capacity.find(rent.scale_out.type);
      if (limit != capacity.end()) {
        room = std::min(room, limit->second);
        limit->second -= room;
      }
      for (int i = 0; i < room; ++i) {
        const std::string host = "n-" + std::to_string(next_host_++);
        AddWorker(host, rent.scale_out.type, rent.scale_out.zone,
                  rent.scale_out.spot);
        SimWorker& worker = workers_[host];
        worker.up_at =
            never_boot ? 1e12 : now_ + types.at(worker.type).boot_seconds;
        worker.lease_from = worker.up_at;
        worker.next_heartbeat = worker.up_at;
        hosts.push_back(host);
      }
    }
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnScaleOutResponse(name,
                                hosts.empty() ? ScaleOutOutcome::kNoCapacity
                                              : ScaleOutOutcome::kGranted,
                                hosts, now_);
    ExecuteActions();
  });
}

}  // namespace oxbow::test
