// How long a job has waited although the machines had free capacity for it,
// computed from the machines' own tasks.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/sim.h"

namespace oxbow::test {

uint32_t Sim::FreeCapacityIn(const JobSpec& spec,
                             const std::string& zone) const {
  uint32_t tasks = 0;
  for (const auto& [host, worker] : workers_) {
    if (worker.zone != zone || !worker.Sound(now_) ||
        !spec.AllowsType(worker.type) || !spec.AllowsZone(worker.zone) ||
        (worker.spot && !spec.spot)) {
      continue;
    }
    Resources used = spec.need;
    for (const auto& [name, status] : worker.tasks) {
      if (status.phase != TaskPhase::kExited)
        used += jobs_.at(status.job).spec.need;
    }
    for (; tasks < spec.tasks && used.FitsIn(types.at(worker.type).total);
         used += spec.need) {
      ++tasks;
    }
  }
  return tasks;
}

bool Sim::HasCapacityFor(const StoredJob& job,
                         const std::map<std::string, Resources>& teams) const {
  const JobSpec& spec = job.spec;
  const bool gang = spec.kind == JobKind::kGang;
  std::set<std::string> zones;  // with tasks of this job
  uint32_t there = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      if (worker.dead || status.job != spec.id ||
          status.phase == TaskPhase::kExited)
        continue;
      zones.insert(worker.zone);
      ++there;
    }
  }
  const auto done = completed_.find(spec.id);
  if (done != completed_.end()) {
    there += static_cast<uint32_t>(done->second.size());
  }
  if (there >= spec.tasks || (gang && there > 0)) return false;
  const uint32_t wanted = gang ? spec.tasks : 1;
  for (const TeamQuota& team : settings.teams) {
    if (team.name != spec.team) continue;
    const auto held = teams.find(team.name);
    Resources used = held == teams.end() ? Resources() : held->second;
    for (uint32_t i = 0; i < wanted; ++i) used += spec.need;
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max)) {
      return false;
    }
  }
  std::set<std::string> all;
  for (const auto& [host, worker] : workers_) all.insert(worker.zone);
  uint32_t room = 0;
  for (const std::string& zone : all) {
    if (spec.one_zone && !zones.empty() && !zones.contains(zone)) continue;
    const uint32_t here = FreeCapacityIn(spec, zone);
    if (spec.one_zone && here >= wanted) return true;
    room += spec.one_zone ? 0 : here;
  }
  // The bound of a spread job on each zone is not modelled here.
  return room >= wanted && !spec.spread;
}

void Sim::RecordFreeCapacity() {
  constexpr double kEvery = 0.5;
  if (now_ < capacity_recorded_at_ + kEvery) return;
  capacity_recorded_at_ = now_;
  std::map<std::string, Resources> teams;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      if (worker.dead || status.phase == TaskPhase::kExited) continue;
      const JobSpec& spec = jobs_.at(status.job).spec;
      teams[spec.team] += spec.need;
    }
  }
  for (auto& [id, job] : jobs_) {
    const bool waits = store_.contains(keys::Of(keys::kWaiting, id));
    if (waits || !job.end.empty() || cancel_asked_.contains(id) ||
        !HasCapacityFor(job, teams)) {
      job.capacity_since = now_;
    } else {
      job.capacity_since = std::min(job.capacity_since, now_);
    }
  }
}

double Sim::WaitedWithRoom(const std::string& id) const {
  double longest = 0;
  for (const auto& [name, job] : jobs_) {
    if (id.empty() || id == name) {
      longest = std::max(longest, now_ - job.capacity_since);
    }
  }
  return longest;
}

}  // namespace oxbow::test
