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
      if (attempt.charged &&
          attempt.start_progress == StartProgress::kSettled &&
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
    Resources used_by_services;
    Resources used_by_long_running;
    Resources used_by_stopping;
    std::array<Resources, kPriorities> used_by;
    for (const auto& [key, attempt] : m->task_attempts) {
      if (attempt.job == nullptr) continue;
      Presence& here = jobs[attempt.job][m->index()];
      ++here.listed;
      if (attempt.phase == TaskPhase::kExited) continue;
      ++here.charged_attempts;
      const Resources& need = attempt.job->spec().need;
      used += need;
      by_tier.at(attempt.job->tier) += need;
      used_by[static_cast<size_t>(attempt.job->spec().priority)] += need;
      if (attempt.stopping) used_by_stopping += need;
      const JobKind kind = attempt.job->spec().kind;
      if (kind == JobKind::kService) used_by_services += need;
      if (kind != JobKind::kArray) used_by_long_running += need;
    }
    if (!same(used, m->used) || !same(used_by_stopping, m->used_by_stopping) ||
        !same(used_by_services, m->used_by_services) ||
        !same(used_by_long_running, m->used_by_long_running) ||
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
    int charged_attempts = 0;
    const auto& fresh = jobs[job.get()];
    for (const auto& [index, here] : fresh)
      charged_attempts += here.charged_attempts;
    const bool equal =
        charged_attempts == job->charged_attempts() &&
        std::equal(fresh.begin(), fresh.end(), job->presence().begin(),
                   job->presence().end(), [](const auto& a, const auto& b) {
                     return a.first == b.first &&
                            a.second.charged_attempts ==
                                b.second.charged_attempts &&
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
    const bool charged =
        std::any_of(m->task_attempts.begin(), m->task_attempts.end(),
                    [](const auto& e) { return e.second.charged; });
    if (dead && it != workers_.end() && charged) {
      held.push_back("still counted on the dead " + m->host());
    }
  }
  return held;
}

}  // namespace oxbow::test
