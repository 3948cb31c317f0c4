// The fake workers: their tasks, commands, leases and health checks.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

void Sim::AddWorker(const std::string& host, const std::string& type,
                    const std::string& zone, bool spot) {
  SimWorker worker;
  worker.host = host;
  worker.type = type;
  worker.zone = zone;
  worker.spot = spot;
  worker.up_at = now_;
  worker.lease_from = now_;
  worker.next_heartbeat = now_ + 0.1;
  workers_[host] = worker;
}

bool Sim::IsHealthy(const SimTask& task) const {
  if (task.phase != TaskPhase::kRunning) return false;
  const auto it = illness.find(task.job);
  if (it == illness.end()) return true;
  const Illness& ill = it->second;
  const double ran = now_ - task.running_since;
  if (now_ >= ill.sick_from || ran >= ill.sick_after) return false;
  return ill.flap_seconds <= 0 ||
         static_cast<int64_t>(ran / ill.flap_seconds) % 2 == 0;
}

int Sim::CountWell() const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    if (worker.dead || worker.Hangs(now_)) continue;
    for (const auto& [name, status] : worker.tasks) {
      n += std::count(floor_jobs.begin(), floor_jobs.end(), status.job) > 0 &&
           IsHealthy(status);
    }
  }
  return n;
}

void Sim::Check(const RunHealthCheck& check) {
  const uint64_t revision = leader_->revision();
  const auto answer = [this, check, revision](CheckOutcome outcome) {
    OnLeader(revision, [this, check, outcome] {
      leader_->OnHealthCheckResult(check.rollout, check.key, outcome, now_);
    });
  };
  for (auto& [host, worker] : workers_) {
    const auto it = worker.tasks.find(
        AttemptName(check.key.job_id, check.key.task, check.key.attempt));
    if (it == worker.tasks.end() || worker.dead || worker.Hangs(now_) ||
        unchecked_zones.contains(worker.zone)) {
      continue;
    }
    const bool well = IsHealthy(it->second);
    const auto ill = illness.find(check.key.job_id);
    const bool mute = ill != illness.end() && ill->second.mute && !well;
    if (it->second.phase != TaskPhase::kRunning || mute) break;
    After(kLatencySeconds, [answer, well] {
      answer({true, well, kLatencySeconds});
    });
    return;
  }
  After(check.spec->check.timeout_seconds, [answer] { answer({}); });
}

void Sim::RecordIncarnations() {
  if (!leader_) return;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    if (it == workers_.end()) continue;
    SimWorker& worker = it->second;
    const uint64_t seen = m->incarnation.number();
    if (worker.seen_incarnation != 0 && seen > worker.seen_incarnation) {
      // The first may have expired before this leader's first heartbeat.
      worker.unproven = worker.risen;
      worker.risen = true;
    }
    worker.seen_incarnation = seen;
  }
}

void Sim::AdvanceWorker(SimWorker& worker) {
  if (worker.dead || now_ < worker.up_at) return;
  // This applies to a hung machine too: when it resumes, it first finds that
  // its lease has expired.
  if (now_ - worker.lease_from > settings.workers.lease_seconds) {
    worker.tasks.clear();
    worker.forgotten.clear();
    ++worker.incarnation;
    worker.lease_from = now_;
  }
  if (worker.Hangs(now_)) return;
  bool changed = false;
  for (auto& [name, status] : worker.tasks) {
    const JobSpec& spec = jobs_.at(status.job).spec;
    if (status.phase == TaskPhase::kFetching && now_ >= status.ready_at) {
      worker.images.insert(spec.image);
      changed = true;
      if (completed_[status.job].contains(status.task)) {
        status.phase = TaskPhase::kExited;
        status.reason = ExitReason::kDone;
      } else if (worker.faulty) {
        status.phase = TaskPhase::kExited;
        status.reason = ExitReason::kError;
      } else {
        status.phase = spec.kind == JobKind::kGang ? TaskPhase::kWaiting
                                                   : TaskPhase::kRunning;
        status.running_since = now_;
      }
    }
    if (status.phase == TaskPhase::kSaving && now_ >= status.ready_at) {
      status.phase = TaskPhase::kExited;
      status.reason = ExitReason::kStopped;
      status.saved = true;
      changed = true;
    }
    if (spec.kind == JobKind::kGang) {
      changed = AdvanceGangTask(status) || changed;
    } else if (status.phase == TaskPhase::kRunning &&
               spec.kind != JobKind::kService &&
               now_ - status.running_since >= spec.estimate_seconds) {
      status.phase = TaskPhase::kExited;
      status.reason = ExitReason::kDone;
      EndTask(status);
      changed = true;
    }
  }
  if (now_ >= worker.next_heartbeat ||
      (changed && now_ + 0.5 >= worker.next_heartbeat)) {
    SendHeartbeat(worker);
  }
}

std::vector<SimTask*> Sim::GangMates(const SimTask& task) {
  std::vector<SimTask*> mates;
  for (auto& [host, worker] : workers_) {
    if (worker.dead || worker.Hangs(now_)) continue;
    for (auto& [name, other] : worker.tasks) {
      if (other.job == task.job && other.attempt == task.attempt &&
          (other.phase == TaskPhase::kWaiting ||
           other.phase == TaskPhase::kRunning)) {
        mates.push_back(&other);
      }
    }
  }
  return mates;
}

bool Sim::AdvanceGangTask(SimTask& task) {
  if (task.phase != TaskPhase::kWaiting && task.phase != TaskPhase::kRunning)
    return false;
  const JobSpec& spec = jobs_.at(task.job).spec;
  const std::vector<SimTask*> mates = GangMates(task);
  const bool whole = mates.size() == spec.tasks;
  const auto exit = [&](SimTask& exiting, ExitReason reason) {
    exiting.phase = TaskPhase::kExited;
    exiting.reason = reason;
  };
  if (task.phase == TaskPhase::kWaiting) {
    if (whole) {
      task.phase = TaskPhase::kRunning;
      task.running_since = now_;
      return true;
    }
    if (now_ - task.running_since < settings.workers.gang_wait_seconds)
      return false;
    exit(task, ExitReason::kGangIncomplete);
    return true;
  }
  if (whole) {
    task.mate_missing_since.reset();
    if (now_ - task.running_since < spec.estimate_seconds) return false;
    for (SimTask* mate : mates) {
      exit(*mate, ExitReason::kDone);
      EndTask(*mate);
    }
    return true;
  }
  if (!task.mate_missing_since) task.mate_missing_since = now_;
  if (now_ - *task.mate_missing_since < settings.workers.gang_peer_seconds)
    return false;
  exit(task, ExitReason::kGangPeersGone);
  return true;
}

void Sim::EndTask(const SimTask& task) {
  completed_[task.job].insert(task.task);
  if (completed_[task.job].size() < jobs_.at(task.job).spec.tasks) return;
  if (cancel_at_end_.contains(task.job) ||
      troubles.Happens(troubles.cancel_at_end)) {
    After(0, [this, id = task.job] { CancelJob(id); });
  }
}

Heartbeat Sim::HeartbeatOf(SimWorker& worker) {
  Heartbeat heartbeat;
  heartbeat.host = worker.host;
  heartbeat.endpoint = "10.0.0.1:" + std::to_string(1000 + worker.host.size());
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.spot = worker.spot;
  heartbeat.incarnation = worker.incarnation;
  heartbeat.seq = ++worker.seq;
  heartbeat.token = worker.token;
  heartbeat.notice_seconds = worker.notice;
  heartbeat.forwarded = !worker.by_way.empty();
  for (const auto& [name, status] : worker.tasks) {
    heartbeat.tasks.push_back({status.job, status.task, status.attempt,
                               status.phase, status.reason, status.saved});
  }
  return heartbeat;
}

void Sim::Execute(SimWorker& worker,
                  const std::vector<WorkerCommand>& commands) {
  for (const WorkerCommand& command : commands) {
    const std::string name =
        AttemptName(command.job_id, command.task, command.attempt);
    const auto it = worker.tasks.find(name);
    switch (command.kind) {
      case CommandKind::kStart:
        if (it == worker.tasks.end()) StartTask(worker, command);
        break;
      case CommandKind::kStop: {
        if (it == worker.tasks.end() ||
            it->second.phase == TaskPhase::kExited) {
          break;
        }
        SimTask& task = it->second;
        const JobSpec& spec = jobs_.at(task.job).spec;
        if (task.phase == TaskPhase::kRunning && spec.checkpoint_seconds > 0 &&
            command.grace_seconds >= spec.save_seconds) {
          task.phase = TaskPhase::kSaving;
          task.ready_at = now_ + spec.save_seconds;
        } else if (task.phase != TaskPhase::kSaving ||
                   command.grace_seconds <= 0) {
          task.phase = TaskPhase::kExited;
          task.reason = ExitReason::kStopped;
        }
        break;
      }
      case CommandKind::kForget:
        if (it != worker.tasks.end() &&
            it->second.phase == TaskPhase::kExited) {
          worker.tasks.erase(it);
          worker.forgotten.insert(name);
        }
        break;
    }
  }
  if (!commands.empty())
    worker.next_heartbeat = std::min(worker.next_heartbeat, now_ + 0.5);
}

void Sim::StartTask(SimWorker& worker, const WorkerCommand& command) {
  const JobSpec& spec = jobs_.at(command.job_id).spec;
  SimTask task;
  task.job = command.job_id;
  task.task = command.task;
  task.attempt = command.attempt;
  const MachineType& type = types.at(worker.type);
  Resources used = spec.need;
  for (const auto& [other_name, other] : worker.tasks) {
    if (other.phase != TaskPhase::kExited) {
      used += jobs_.at(other.job).spec.need;
    }
  }
  const std::string name =
      AttemptName(command.job_id, command.task, command.attempt);
  if (worker.forgotten.contains(name)) {
    RecordViolation("started again after it was forgotten: " + name + " on " +
                    worker.host);
  }
  if (worker.refuses_starts) {
    task.phase = TaskPhase::kExited;
    task.reason = ExitReason::kNoCapacity;
  } else if (!used.FitsIn(type.total)) {
    task.phase = TaskPhase::kExited;
    task.reason = ExitReason::kNoCapacity;
    RecordViolation("refused: " + command.job_id + " does not fit on " +
                    worker.host);
  } else {
    ++starts_;
    CheckChainStart(spec);
    starts_on_deaf_ += worker.unproven;
    if (jobs_.at(command.job_id).cancelled_seen_at) {
      RecordViolation("started after its cancellation was told: " +
                      command.job_id);
    }
    if (forbidden) {
      const std::string why = forbidden(spec, true_wall());
      if (!why.empty())
        RecordViolation("heavy start: " + command.job_id + " " + why);
    }
    const double fetch = worker.images.contains(spec.image)
                             ? 0
                             : spec.image_gb / type.fetch_gb_per_second;
    task.ready_at = now_ + fetch;
    if (!spec.AllowsType(worker.type) || !spec.AllowsZone(worker.zone) ||
        (worker.spot && !spec.spot)) {
      RecordViolation("wrong_place: " + command.job_id + " on " + worker.host);
    }
    std::map<std::string, uint32_t> zones;
    ++zones[worker.zone];
    for (const auto& [host, other] : workers_) {
      if (other.dead) continue;
      for (const auto& [n, mate] : other.tasks) {
        if (mate.job != command.job_id || mate.phase == TaskPhase::kExited)
          continue;
        ++zones[other.zone];
        if (mate.task == command.task) {
          RecordViolation("ran_twice: " + n + " on " + host +
                          " while it starts on " + worker.host);
        }
      }
    }
    if (spec.one_zone && zones.size() > 1) {
      RecordViolation("wrong_place: " + command.job_id + " in two zones");
    }
    if (spec.spread && zones[worker.zone] > (spec.tasks + 1) / 2) {
      RecordViolation("wrong_place: too much of " + command.job_id + " in " +
                      worker.zone);
    }
  }
  worker.tasks[name] = task;
}

int Sim::CountRunning(const std::string& job) const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      n += !worker.dead && status.job == job &&
           status.phase == TaskPhase::kRunning;
    }
  }
  return n;
}

int Sim::CountPresent(const std::string& job) const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      n += !worker.dead && status.job == job &&
           status.phase != TaskPhase::kExited;
    }
  }
  return n;
}

int Sim::CountOn(const std::string& host) const {
  const auto it = workers_.find(host);
  if (it == workers_.end()) return 0;
  return static_cast<int>(std::count_if(
      it->second.tasks.begin(), it->second.tasks.end(),
      [](const auto& e) { return e.second.phase != TaskPhase::kExited; }));
}

int Sim::CountUp() const {
  return static_cast<int>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& e) { return !e.second.dead && e.second.up_at <= now_; }));
}

}  // namespace oxbow::test
