#include "core/controller/catalog.h"

#include <algorithm>

namespace oxbow {
namespace {

constexpr size_t kFinalsKept = 20'000;

template <typename Map>
auto* Find(Map& map, std::string_view key, std::string_view prefix) {
  const auto it = map.find(std::string(key.substr(prefix.size())));
  return it == map.end() ? nullptr : &it->second;
}

}  // namespace

uint64_t Catalog::StampOf(const std::string& key) const {
  if (key == keys::kLeader) return leader_.stamp;
  if (key.starts_with(keys::kJob)) {
    const auto* r = Find(jobs_, key, keys::kJob);
    return r ? r->stamp : 0;
  }
  if (key.starts_with(keys::kMachine)) {
    const auto* r = Find(machines_, key, keys::kMachine);
    return r ? r->stamp : 0;
  }
  if (key.starts_with(keys::kRental)) {
    const auto* r = Find(rentals_, key, keys::kRental);
    return r ? r->stamp : 0;
  }
  if (key.starts_with(keys::kRollout)) {
    const auto* r = Find(rollouts_, key, keys::kRollout);
    return r ? r->stamp : 0;
  }
  return 0;
}

bool Catalog::Put(const std::string& key, const Record& record,
                  uint64_t stamp) {
  const uint64_t known = StampOf(key);
  if (known >= stamp) return false;
  // The watch has passed this revision and the key is not there: it has been
  // deleted since, and this value comes from an older read.
  if (known == 0 && stamp <= followed_) return false;
  if (const auto* leader = std::get_if<LeaderRecord>(&record)) {
    leader_ = *leader;
    leader_.stamp = stamp;
  } else if (const auto* job = std::get_if<JobRecord>(&record)) {
    const std::string id = key.substr(keys::kJob.size());
    JobRecord& entry = jobs_[id];
    entry = *job;
    entry.stamp = stamp;
    if (job->final_state != FinalState::kNone) {
      RememberEnd(id, {job->final_state, job->spec->tasks, 0});
    }
  } else if (const auto* machine = std::get_if<MachineRecord>(&record)) {
    MachineRecord& entry = machines_[key.substr(keys::kMachine.size())];
    entry = *machine;
    entry.stamp = stamp;
  } else if (const auto* rental = std::get_if<RentalRecord>(&record)) {
    RentalRecord& entry = rentals_[key.substr(keys::kRental.size())];
    entry = *rental;
    entry.stamp = stamp;
  } else if (const auto* rollout = std::get_if<RolloutRecord>(&record)) {
    RolloutRecord& entry = rollouts_[key.substr(keys::kRollout.size())];
    entry = *rollout;
    entry.stamp = stamp;
  }
  return true;
}

bool Catalog::Erase(const std::string& key, uint64_t stamp) {
  const uint64_t known = StampOf(key);
  if (known == 0 || known > stamp) return false;
  if (key == keys::kLeader) {
    leader_ = {};
  } else if (key.starts_with(keys::kJob)) {
    jobs_.erase(key.substr(keys::kJob.size()));
  } else if (key.starts_with(keys::kMachine)) {
    machines_.erase(key.substr(keys::kMachine.size()));
  } else if (key.starts_with(keys::kRental)) {
    rentals_.erase(key.substr(keys::kRental.size()));
  } else if (key.starts_with(keys::kRollout)) {
    rollouts_.erase(key.substr(keys::kRollout.size()));
  }
  return true;
}

std::vector<std::string> Catalog::EraseMissing(
    const std::unordered_set<std::string>& listed, uint64_t revision) {
  std::vector<std::string> gone;
  const auto collect = [&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      std::string key = keys::Of(prefix, name);
      if (record.stamp <= revision && !listed.contains(key)) {
        gone.push_back(std::move(key));
      }
    }
  };
  collect(jobs_, keys::kJob);
  collect(machines_, keys::kMachine);
  collect(rentals_, keys::kRental);
  collect(rollouts_, keys::kRollout);
  const std::string leader(keys::kLeader);
  if (leader_.stamp > 0 && leader_.stamp <= revision &&
      !listed.contains(leader)) {
    gone.push_back(leader);
  }
  for (const std::string& key : gone) Erase(key, revision);
  return gone;
}

const JobRecord* Catalog::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

FinalRecord Catalog::FindEnd(const std::string& id) const {
  const auto it = finals_.find(id);
  return it == finals_.end() ? FinalRecord{} : it->second;
}

void Catalog::RememberEnd(const std::string& id, const FinalRecord& end) {
  if (!finals_.try_emplace(id, end).second) return;
  finals_order_.push_back(id);
  if (finals_order_.size() > kFinalsKept) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

}  // namespace oxbow
