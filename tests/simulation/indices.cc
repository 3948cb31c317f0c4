// The leader's indices and task attempts, compared with a full recount.
#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

std::vector<std::string> Sim::Phantoms() const {
  std::vector<std::string> wrong;
  if (!leader_) return wrong;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    for (const auto& [key, attempt] : m->task_attempts) {
      const std::string name = AttemptName(key.job_id, key.task, key.attempt);
      // A start in flight may not have reached its worker yet.
      if (attempt.holds && attempt.start_progress == StartProgress::kSettled &&
          (it == workers_.end() || !it->second.tasks.contains(name))) {
        wrong.push_back("not there: " + name + " on " + m->host());
      }
    }
  }
  return wrong;
}

void Sim::CheckIndices() {
  if (!leader_) return;
  std::map<const Job*, std::map<int32_t, Presence>> jobs;
  const auto same = [](const Resources& a, const Resources& b) {
    return a.FitsIn(b) && b.FitsIn(a);
  };
  std::vector<Resources> by_tier(leader_->tiers().set().size());
  for (const auto& m : leader_->machines()) {
    Resources used;
    Resources staying;
    Resources lasting;
    Resources leaving;
    std::array<Resources, kPriorities> used_by;
    for (const auto& [key, attempt] : m->task_attempts) {
      if (attempt.job == nullptr) continue;
      Presence& here = jobs[attempt.job][m->index()];
      ++here.listed;
      if (attempt.phase == TaskPhase::kExited) continue;
      ++here.holding;
      const Resources& need = attempt.job->spec().need;
      used += need;
      by_tier.at(attempt.job->tier) += need;
      used_by[static_cast<size_t>(attempt.job->spec().priority)] += need;
      if (attempt.stopping) leaving += need;
      const JobKind kind = attempt.job->spec().kind;
      if (kind == JobKind::kService) staying += need;
      if (kind != JobKind::kArray) lasting += need;
    }
    if (!same(used, m->used) || !same(leaving, m->leaving) ||
        !same(staying, m->staying) || !same(lasting, m->lasting) ||
        !std::equal(used_by.begin(), used_by.end(), m->used_by.begin(), same)) {
      RecordViolation("sums of " + m->host());
    }
  }
  for (size_t place = 0; place < by_tier.size(); ++place) {
    if (!same(by_tier[place],
              leader_->tiers().held(static_cast<uint8_t>(place)))) {
      RecordViolation("what tier " + std::to_string(place) + " holds");
    }
  }
  for (const auto& [id, job] : leader_->jobs()) {
    int holding = 0;
    const auto& fresh = jobs[job.get()];
    for (const auto& [index, here] : fresh) holding += here.holding;
    const bool equal =
        holding == job->holding() &&
        std::equal(fresh.begin(), fresh.end(), job->presence().begin(),
                   job->presence().end(), [](const auto& a, const auto& b) {
                     return a.first == b.first &&
                            a.second.holding == b.second.holding &&
                            a.second.listed == b.second.listed;
                   });
    if (!equal) RecordViolation("presence of " + id);
  }
}

std::vector<std::string> Sim::WronglyGone() const {
  std::vector<std::string> wrong;
  if (!leader_) return wrong;
  for (const auto& m : leader_->machines()) {
    // Before its first heartbeat no attempt of a machine is removed.
    if (m->recorded_up && !m->reported) continue;
    const auto it = workers_.find(m->host());
    if (it == workers_.end() || it->second.dead) continue;
    for (const auto& [name, status] : it->second.tasks) {
      if (status.phase == TaskPhase::kExited ||
          m->task_attempts.contains(
              {status.job, status.task, status.attempt})) {
        continue;
      }
      wrong.push_back("taken for gone: " + name + " on " + m->host());
    }
  }
  return wrong;
}

std::vector<std::string> Sim::HeldByTheDead(double bound) const {
  std::vector<std::string> held;
  if (!leader_ || now_ - leads_since_ < bound) return held;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    const bool dead = it == workers_.end() ||
                      (it->second.dead && now_ - it->second.died_at > bound &&
                       now_ - m->last_heard > bound);
    const bool holds =
        std::any_of(m->task_attempts.begin(), m->task_attempts.end(),
                    [](const auto& e) { return e.second.holds; });
    if (dead && it != workers_.end() && holds) {
      held.push_back("still counted on the dead " + m->host());
    }
  }
  return held;
}

}  // namespace oxbow::test
