// Renting and returning machines.

#include <algorithm>

#include "core/leader/leader.h"

namespace oxbow {

double Leader::RunSeconds(const JobSpec& spec) const {
  // Estimates are often wrong by half: what was seen of the class counts more.
  const auto it = class_stats_.find(spec.job_class);
  constexpr int kEnough = 5;
  if (it != class_stats_.end() && it->second.seen >= kEnough) {
    return it->second.run_seconds;
  }
  return spec.estimate_seconds;
}

void Leader::RunAutoscaler(Time now) {
  if (types_.empty()) return;
  const bool accounted = AllAccounted();
  AutoscalerInput input;
  input.types = &types_;
  constexpr int kMostAtOnce = 40;
  input.most_machines = kMostAtOnce;
  for (const auto& [kind, until] : refused_until_) input.refused[kind] = true;
  for (const auto& machine : machines_) {
    if (machine->type == nullptr) continue;
    const bool coming =
        machine->state() == MachineState::kBooting &&
        now - machine->requested_at <
            tuning_.boot_timeout_ratio * machine->type->boot_seconds;
    const bool up =
        machine->state() == MachineState::kUp && !Suspect(*machine, now);
    if (!coming && !up) continue;
    // Room that is being drained for a job is as good as there for it.
    input.rooms.push_back({{machine->type_name, machine->zone, machine->spot},
                           machine->free() + machine->leaving});
  }
  for (const auto& [name, scale_out] : scale_outs_) {
    if (scale_out.state == ScaleOutState::kSettled) continue;
    const auto type = types_.find(scale_out.record.type);
    if (type == types_.end()) continue;
    for (int i = 0; i < scale_out.record.count; ++i) {
      input.rooms.push_back({{scale_out.record.type, scale_out.record.zone,
                              scale_out.record.spot},
                             type->second.total});
    }
  }
  // Cheap kinds fill first, as placement does where it can choose.
  std::stable_sort(input.rooms.begin(), input.rooms.end(),
                   [&](const PoolCapacity& a, const PoolCapacity& b) {
                     const double gpus = types_.at(a.kind.type).total.gpus;
                     const double other = types_.at(b.kind.type).total.gpus;
                     if (gpus != other) return gpus < other;
                     // Fragments first: a small task counted into a whole
                     // machine would have another one rented for the next large
                     // one.
                     return tuning_.fragmentation_weight > 0 &&
                            a.free.gpus < b.free.gpus;
                   });
  std::vector<const Job*> waiting;
  for (const auto& [id, job] : jobs_) {
    // What waits for its window needs no machine yet.
    if (!calendar_.empty() && !AdmissionOf(*job, now).may()) continue;
    if (job->live() && job->unplaced() > 0 && now >= job->not_before) {
      waiting.push_back(job.get());
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
    if (a->priority() != b->priority()) {
      return a->priority() < b->priority();
    }
    if (a->tier != b->tier) return a->tier < b->tier;
    if (a->queued_since() != b->queued_since()) {
      return a->queued_since() < b->queued_since();
    }
    return a->id() < b->id();
  });
  ReserveTierHeadroom(input);
  for (const Job* job : waiting) {
    PoolDemand demand;
    demand.spec = &job->spec();
    double tasks = StartableTasks(*job);
    if (job->spec().kind == JobKind::kArray) {
      // Short tasks follow one another on the same room: count as many as
      // would keep the backlog shorter than a machine takes to come up.
      const double horizon = 3 * settings_.workers.lease_seconds;
      const double run = std::max(1.0, RunSeconds(job->spec()));
      tasks = std::max(1.0, tasks * std::min(1.0, run / horizon));
    }
    // What the team's limit keeps out needs no machine.
    if (job->team() >= 0) {
      const QuotaUsage& team = quotas_[job->team()];
      const Resources& need = job->spec().need;
      if (team.settings.cpus_max > 0 && need.cpus > 0) {
        tasks = std::min(tasks,
                         (team.settings.cpus_max - team.used.cpus) / need.cpus);
      }
      if (team.settings.gpus_max > 0 && need.gpus > 0) {
        tasks = std::min(tasks,
                         (team.settings.gpus_max - team.used.gpus) / need.gpus);
      }
    }
    demand.tasks = static_cast<int>(std::max(0.0, tasks));
    if (demand.tasks == 0) continue;
    demand.per_zone = ZoneSpreadOf(*job).per_zone;
    input.demand.push_back(std::move(demand));
  }
  if (accounted && !input.demand.empty()) {
    for (const auto& [kind, count] : PlanScaleOut(input)) {
      constexpr int kMostInRequest = 20;
      const std::string name =
          "r-" + std::to_string(term_) + "-" + std::to_string(NextNumber());
      if (resigned_) return;
      ScaleOutRequest& scale_out = scale_outs_[name];
      scale_out.record = {kind.type, kind.zone, kind.spot,
                          std::min(count, kMostInRequest), 0};
      Log("rent " + std::to_string(scale_out.record.count) + " " + kind.type +
          " in " + kind.zone + (kind.spot ? " (spot)" : "") + " as " + name +
          ": tasks without a place");
      writes_.Queue({WriteKind::kScaleOut, name, TerminalState::kNone, {}});
    }
  }
  // Returning. Only when nothing has come or waited for a while: between two
  // waves of work a machine is cheaper kept than booted again. Never straight
  // after a failover, when the picture is still filling in.
  if (!accounted || !input.demand.empty()) quiet_since_ = now;
  const double hold =
      tuning_.idle_return_leases * settings_.workers.lease_seconds;
  Resources soon = NextSteps(now);
  for (auto& machine : machines_) {
    if (quiet_since_ == now || now - started_ < hold) break;
    if (machine->state() == MachineState::kUp &&
        machine->task_attempts.empty() && !machine->batch &&
        now - machine->idle_since > hold) {
      // The next step of a chain starts here sooner than on one that has to
      // boot.
      if (soon.cpus > 0) {
        soon -= machine->total();
        continue;
      }
      if (!RemoveMachine(*machine, LossCause::kIdle, now)) break;
    }
  }
  if (IsQuiescent(now) && now >= next_consolidation_) Consolidate(now);
}

bool Leader::IsQuiescent(Time now) const {
  return now - quiet_since_ >
         tuning_.idle_return_leases * settings_.workers.lease_seconds;
}

bool Leader::IsConsolidationTarget(const Machine& machine) const {
  return machine.total().gpus <= 0 ||
         AcceleratorWorkBlocked(machine, accelerator_shape_);
}

// Drains dear machines that only replicas still use, when all of them find
// room and their image elsewhere, and so much stays free that the loss of any
// one machine could still be made good. Every move is a short gap for its
// users, so only a small share of all replicas moves at a time.
void Leader::Consolidate(Time now) {
  std::vector<Machine*> usable;
  double most_staying = 0;
  size_t replicas = 0;
  for (auto& machine : machines_) {
    if (machine->state() == MachineState::kDraining) return;
    if (!Usable(*machine, now)) continue;
    usable.push_back(machine.get());
    most_staying = std::max(most_staying, machine->staying.cpus);
    replicas += machine->task_attempts.size();
  }
  const double settled = 3 * settings_.workers.lease_seconds;
  std::vector<Machine*> drained;
  for (Machine* machine : usable) {
    if (machine->staying.cpus <= 0 || machine->batch || !machine->queue.empty())
      continue;
    const bool only_settled_replicas =
        std::all_of(machine->task_attempts.begin(),
                    machine->task_attempts.end(), [&](const auto& e) {
                      const TaskAttempt& attempt = e.second;
                      return attempt.phase == TaskPhase::kExited ||
                             (attempt.phase == TaskPhase::kRunning &&
                              attempt.job != nullptr &&
                              attempt.job->spec().kind == JobKind::kService &&
                              now - attempt.running_since > settled);
                    });
    if (only_settled_replicas) drained.push_back(machine);
  }
  std::sort(drained.begin(), drained.end(),
            [](const Machine* a, const Machine* b) {
              const double pa = a->type->price;
              const double pb = b->type->price;
              if (pa != pb) return pa > pb;
              return a->staying.cpus != b->staying.cpus
                         ? a->staying.cpus < b->staying.cpus
                         : a->index() < b->index();
            });
  constexpr double kMovedAtOnce = 0.01;
  const double at_once = kMovedAtOnce * static_cast<double>(replicas);
  size_t moved = 0;
  for (Machine* machine : drained) {
    const auto more = moved + machine->task_attempts.size();
    if (moved > 0 && static_cast<double>(more) > at_once) break;
    if (!CanMoveAll(*machine, usable, most_staying)) continue;
    if (!RemoveMachine(*machine, LossCause::kMoved, now)) break;
    moved = more;
    std::erase(usable, machine);
  }
  if (moved == 0) return;
  // Where one machine alone holds more than that share, the next one waits.
  constexpr double kLongestPause = 3;
  next_consolidation_ =
      now +
      settings_.workers.lease_seconds *
          std::clamp(static_cast<double>(moved) / at_once, 1.0, kLongestPause);
}

bool Leader::CanMoveAll(const Machine& from,
                        const std::vector<Machine*>& usable,
                        double spare_cpus) const {
  std::map<const Machine*, Resources> taken;
  for (const auto& [key, attempt] : from.task_attempts) {
    if (attempt.phase == TaskPhase::kExited) continue;
    const JobSpec& spec = attempt.job->spec();
    ZoneSpread where = ZoneSpreadOf(*attempt.job);
    where.Add(from.zone, -1);
    const Machine* to = nullptr;
    for (const Machine* machine : usable) {
      if (machine == &from || !machine->HasImage(spec.image) ||
          !Allowed(spec, *machine, where) ||
          !spec.need.FitsIn(machine->CapacityFor(attempt.job, spec.priority) -
                            taken[machine]) ||
          machine->type->price > from.type->price ||
          // From the emptier to the fuller, or two would change for ever.
          (machine->type->price == from.type->price &&
           machine->staying.cpus < from.staying.cpus)) {
        continue;
      }
      if (to == nullptr ||
          (IsConsolidationTarget(*machine) && !IsConsolidationTarget(*to)))
        to = machine;
    }
    if (to == nullptr) return false;
    taken[to] += spec.need;
  }
  double free = 0;
  for (const Machine* machine : usable) {
    if (machine != &from && !machine->spot)
      free += machine->free().cpus - taken[machine].cpus;
  }
  return free >= spare_cpus;
}

void Leader::Request(const std::string& name, Time now) {
  ScaleOutRequest& scale_out = scale_outs_.at(name);
  if (scale_out.state != ScaleOutState::kRequesting) return;
  // The cloud answers within a second or not at all; the same name may be
  // asked again at any time.
  scale_out.next_try = now + settings_.cloud.list_lag_seconds * 2;
  scale_out.asked = now;
  actions_.push_back(RequestScaleOut{name, scale_out.record});
}

void Leader::OnScaleOutResponse(const std::string& name,
                                ScaleOutOutcome outcome,
                                const std::vector<std::string>& hosts,
                                Time now) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() ||
      it->second.state != ScaleOutState::kRequesting) {
    return;
  }
  ScaleOutRequest& scale_out = it->second;
  const MachinePool kind{scale_out.record.type, scale_out.record.zone,
                         scale_out.record.spot};
  const double refusal = 1.5 * settings_.workers.lease_seconds;
  switch (outcome) {
    case ScaleOutOutcome::kTryLater:
      scale_out.next_try = now + settings_.workers.heartbeat_interval_seconds;
      return;
    case ScaleOutOutcome::kNoCapacity:
    case ScaleOutOutcome::kRejected:
      refused_until_[kind] = now + refusal;
      Log("no capacity for " + kind.type + " in " + kind.zone +
          (kind.spot ? " (spot)" : ""));
      break;
    case ScaleOutOutcome::kGranted:
      if (static_cast<int>(hosts.size()) < scale_out.record.count) {
        refused_until_[kind] = now + refusal;
      }
      for (const std::string& host : hosts) {
        if (FindMachine(host) != nullptr || gone_hosts_.contains(host)) {
          continue;
        }
        Machine& machine =
            AddMachine(host, {kind.type, kind.zone, kind.spot, "",
                              scale_out.asked + wall_minus_steady_, 0});
        machine.requested_at = scale_out.asked;
      }
      Log("rented " + std::to_string(hosts.size()) + " " + kind.type + " in " +
          kind.zone + (kind.spot ? " (spot)" : "") + " as " + name);
      break;
  }
  scale_out.Change(ScaleOutState::kSettled);
  scale_out.hosts = hosts;
  for (const std::string& host : hosts) {
    WriteOp op{WriteKind::kScaledOutMachine, host};
    op.reason = name;
    writes_.Queue(std::move(op));
  }
  SettleScaleOut(name);
  next_autoscaler_run_ =
      std::min(next_autoscaler_run_,
               now + 0.1 * settings_.workers.heartbeat_interval_seconds);
  writes_.Flush(now);
}

// Its machines are recorded one by one, as many in a transaction as go into
// it, and the rental's own record goes last: whoever leads until then repeats
// the request, which names the same machines, and records what is missing.
void Leader::SettleScaleOut(const std::string& name) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() || it->second.state != ScaleOutState::kSettled)
    return;
  const auto open = [this](const std::string& host) {
    return machine_index_.contains(host) && !catalog_.machines().contains(host);
  };
  const std::vector<std::string>& hosts = it->second.hosts;
  if (catalog_.scale_outs().contains(name) &&
      std::any_of(hosts.begin(), hosts.end(), open)) {
    return;
  }
  writes_.Queue({WriteKind::kSettleScaleOut, name});
}

void Leader::OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok,
                            Time now) {
  for (const std::string& host : hosts) {
    Machine* machine = FindMachine(host);
    if (machine == nullptr) continue;
    if (!ok) {
      machine->delete_sent = now - settings_.workers.lease_seconds / 2;
      continue;
    }
    Log("machine " + host + " deleted, confirmed by the cloud");
    MarkAllLost(*machine, "deleted");
    machine->Change(MachineState::kGone);
    gone_hosts_.insert(host);
    machine_index_.erase(host);
    writes_.Queue({WriteKind::kMachineForget, host, TerminalState::kNone, {}},
                  /*lazy=*/true);
  }
  if (ok) {
    dirty_ = true;
    writes_.Flush(now);
  }
}

void Leader::OnMachineList(const std::vector<ListedMachine>& list, Time asked,
                           Time now) {
  std::unordered_set<std::string> listed;
  for (const ListedMachine& entry : list) {
    listed.insert(entry.host);
    if (gone_hosts_.contains(entry.host)) continue;  // the list lags
    Machine* machine = FindMachine(entry.host);
    if (machine == nullptr) {
      Log("machine " + entry.host + " was not expected, taken into use");
      Machine& added = AddMachine(
          entry.host, {entry.type, entry.zone, entry.spot, "",
                       now - entry.age_seconds + wall_minus_steady_, 0});
      added.requested_at = now - entry.age_seconds;
      machine = &added;
    }
    machine->missing_in_list = false;
    if (entry.state == "failed" &&
        machine->state() != MachineState::kDeleting) {
      AskDelete(*machine, now, "the cloud lists it as failed");
    }
  }
  // Once listed, a machine stays listed until it is gone. One that is neither
  // heard nor listed long after its rental is asked to be deleted, which turns
  // the guess into a certainty.
  const double lag = 2 * settings_.cloud.list_lag_seconds;
  for (auto& machine : machines_) {
    if (machine->state() == MachineState::kGone ||
        listed.contains(machine->host())) {
      continue;
    }
    const bool silent = now - machine->last_heard > lag &&
                        now - machine->requested_at > 2 * lag &&
                        asked - started_ > lag;
    if (silent && machine->missing_in_list &&
        machine->state() != MachineState::kDeleting &&
        now - machine->reached_by_other > lag) {
      RemoveMachine(*machine, LossCause::kUnlisted, now);
    }
    machine->missing_in_list = true;
  }
}

}  // namespace oxbow
