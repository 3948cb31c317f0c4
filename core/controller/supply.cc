// Renting and returning machines.

#include <algorithm>

#include "core/controller/controller.h"

namespace oxbow {

double Controller::RunSeconds(const JobSpec& spec) const {
  // Estimates are often wrong by half: what was seen of the class counts more.
  const auto it = class_stats_.find(spec.job_class);
  constexpr int kEnough = 5;
  if (it != class_stats_.end() && it->second.seen >= kEnough) {
    return it->second.run_s;
  }
  return spec.estimate_s;
}

void Controller::PlanSupply(Time now) {
  if (types_.empty()) return;
  const bool accounted = AllAccounted();
  SupplyInput input;
  input.types = &types_;
  constexpr int kMostAtOnce = 40;
  input.most_machines = kMostAtOnce;
  for (const auto& [kind, until] : refused_until_) input.refused[kind] = true;
  for (const auto& m : machines_) {
    if (m->type == nullptr) continue;
    const bool coming =
        m->state() == MachineState::kBooting &&
        now - m->rented < tuning_.boot_timeout_ratio * m->type->boot_s;
    const bool up = m->state() == MachineState::kUp && !Suspect(*m, now);
    if (!coming && !up) continue;
    // Room that is being drained for a job is as good as there for it.
    input.rooms.push_back(
        {{m->type_name, m->zone, m->spot}, m->free() + m->leaving});
  }
  for (const auto& [name, rental] : rentals_) {
    if (rental.state == RentalState::kSettled) continue;
    const auto type = types_.find(rental.record.type);
    if (type == types_.end()) continue;
    for (int i = 0; i < rental.record.count; ++i) {
      input.rooms.push_back(
          {{rental.record.type, rental.record.zone, rental.record.spot},
           type->second.total});
    }
  }
  // Cheap kinds fill first, as placement does where it can choose.
  std::stable_sort(input.rooms.begin(), input.rooms.end(),
                   [&](const SupplyRoom& a, const SupplyRoom& b) {
                     const double gpus = types_.at(a.kind.type).total.gpus;
                     const double other = types_.at(b.kind.type).total.gpus;
                     if (gpus != other) return gpus < other;
                     // Pieces first: a small task counted into a whole machine
                     // would have another one rented for the next large one.
                     return tuning_.fragmentation_weight > 0 &&
                            a.free.gpus < b.free.gpus;
                   });
  std::vector<const Job*> waiting;
  for (const auto& [id, job] : jobs_) {
    // What waits for its window needs no machine yet.
    if (!calendar_.empty() && !VerdictOf(*job, now).may()) continue;
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
  SetKeptAside(input);
  for (const Job* job : waiting) {
    SupplyDemand demand;
    demand.spec = &job->spec();
    double tasks = Wanted(*job);
    if (job->spec().kind == JobKind::kArray) {
      // Short tasks follow one another on the same room: count as many as
      // would keep the backlog shorter than a machine takes to come up.
      const double horizon = 3 * settings_.workers.lease_s;
      const double run = std::max(1.0, RunSeconds(job->spec()));
      tasks = std::max(1.0, tasks * std::min(1.0, run / horizon));
    }
    // What the team's limit keeps out needs no machine.
    if (job->team() >= 0) {
      const Team& team = teams_[job->team()];
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
    demand.per_zone = Where(*job).per_zone;
    input.demand.push_back(std::move(demand));
  }
  if (accounted && !input.demand.empty()) {
    for (const auto& [kind, count] : PlanRentals(input)) {
      constexpr int kMostInRequest = 20;
      const std::string name =
          "r-" + std::to_string(term_) + "-" + std::to_string(NextNumber());
      if (resigned_) return;
      Rental& rental = rentals_[name];
      rental.record = {kind.type, kind.zone, kind.spot,
                       std::min(count, kMostInRequest), 0};
      Log("rent " + std::to_string(rental.record.count) + " " + kind.type +
          " in " + kind.zone + (kind.spot ? " (spot)" : "") + " as " + name +
          ": tasks without a place");
      writes_.Queue({WriteKind::kRental, name, TerminalState::kNone, {}});
    }
  }
  // Returning. Only when nothing has come or waited for a while: between two
  // waves of work a machine is cheaper kept than booted again. Never straight
  // after a takeover, when the picture is still filling in.
  if (!accounted || !input.demand.empty()) quiet_since_ = now;
  const double hold = tuning_.idle_return_leases * settings_.workers.lease_s;
  Resources soon = NextSteps(now);
  for (auto& m : machines_) {
    if (quiet_since_ == now || now - started_ < hold) break;
    if (m->state() == MachineState::kUp && m->residents.empty() && !m->batch &&
        now - m->idle_since > hold) {
      // The next step of a chain starts here sooner than on one that has to
      // boot.
      if (soon.cpus > 0) {
        soon -= m->total();
        continue;
      }
      if (!TakeAway(*m, LossCause::kIdle, now)) break;
    }
  }
  if (Calm(now) && now >= next_consolidation_) Consolidate(now);
}

bool Controller::Calm(Time now) const {
  return now - quiet_since_ >
         tuning_.idle_return_leases * settings_.workers.lease_s;
}

bool Controller::Gathers(const Machine& m) const {
  return m.total().gpus <= 0 || Spoilt(m, accelerator_shape_);
}

// Drains dear machines that only replicas still use, when all of them find
// room and their image elsewhere, and so much stays free that the loss of any
// one machine could still be made good. Every move is a short gap for its
// users, so only a small share of all replicas moves at a time.
void Controller::Consolidate(Time now) {
  std::vector<Machine*> usable;
  double most_staying = 0;
  size_t replicas = 0;
  for (auto& m : machines_) {
    if (m->state() == MachineState::kDraining) return;
    if (!Usable(*m, now)) continue;
    usable.push_back(m.get());
    most_staying = std::max(most_staying, m->staying.cpus);
    replicas += m->residents.size();
  }
  const double settled = 3 * settings_.workers.lease_s;
  std::vector<Machine*> drained;
  for (Machine* m : usable) {
    if (m->staying.cpus <= 0 || m->batch || !m->queue.empty()) continue;
    const bool only_settled_replicas = std::all_of(
        m->residents.begin(), m->residents.end(), [&](const auto& e) {
          const Resident& r = e.second;
          return r.phase == TaskPhase::kExited ||
                 (r.phase == TaskPhase::kRunning && r.job != nullptr &&
                  r.job->spec().kind == JobKind::kService &&
                  now - r.running_since > settled);
        });
    if (only_settled_replicas) drained.push_back(m);
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
  for (Machine* m : drained) {
    const auto more = moved + m->residents.size();
    if (moved > 0 && static_cast<double>(more) > at_once) break;
    if (!CanMoveAll(*m, usable, most_staying)) continue;
    if (!TakeAway(*m, LossCause::kMoved, now)) break;
    moved = more;
    std::erase(usable, m);
  }
  if (moved == 0) return;
  // Where one machine alone holds more than that share, the next one waits.
  constexpr double kLongestPause = 3;
  next_consolidation_ =
      now +
      settings_.workers.lease_s *
          std::clamp(static_cast<double>(moved) / at_once, 1.0, kLongestPause);
}

bool Controller::CanMoveAll(const Machine& from,
                            const std::vector<Machine*>& usable,
                            double spare_cpus) const {
  std::map<const Machine*, Resources> taken;
  for (const auto& [key, r] : from.residents) {
    if (r.phase == TaskPhase::kExited) continue;
    const JobSpec& spec = r.job->spec();
    Footprint where = Where(*r.job);
    where.Add(from.zone, -1);
    const Machine* to = nullptr;
    for (const Machine* m : usable) {
      if (m == &from || !m->HasImage(spec.image) || !Allowed(spec, *m, where) ||
          !spec.need.FitsIn(m->RoomFor(r.job, spec.priority) - taken[m]) ||
          m->type->price > from.type->price ||
          // From the emptier to the fuller, or two would change for ever.
          (m->type->price == from.type->price &&
           m->staying.cpus < from.staying.cpus)) {
        continue;
      }
      if (to == nullptr || (Gathers(*m) && !Gathers(*to))) to = m;
    }
    if (to == nullptr) return false;
    taken[to] += spec.need;
  }
  double free = 0;
  for (const Machine* m : usable) {
    if (m != &from && !m->spot) free += m->free().cpus - taken[m].cpus;
  }
  return free >= spare_cpus;
}

void Controller::Request(const std::string& name, Time now) {
  Rental& rental = rentals_.at(name);
  if (rental.state != RentalState::kRequesting) return;
  // The cloud answers within a second or not at all; the same name may be
  // asked again at any time.
  rental.next_try = now + settings_.cloud.list_lag_s * 2;
  rental.asked = now;
  actions_.push_back(RentMachines{name, rental.record});
}

void Controller::OnRentAnswer(const std::string& name, RentOutcome outcome,
                              const std::vector<std::string>& hosts, Time now) {
  const auto it = rentals_.find(name);
  if (it == rentals_.end() || it->second.state != RentalState::kRequesting) {
    return;
  }
  Rental& rental = it->second;
  const SupplyKey kind{rental.record.type, rental.record.zone,
                       rental.record.spot};
  const double refusal = 1.5 * settings_.workers.lease_s;
  switch (outcome) {
    case RentOutcome::kTryLater:
      rental.next_try = now + settings_.workers.report_s;
      return;
    case RentOutcome::kNoCapacity:
    case RentOutcome::kRejected:
      refused_until_[kind] = now + refusal;
      Log("no capacity for " + kind.type + " in " + kind.zone +
          (kind.spot ? " (spot)" : ""));
      break;
    case RentOutcome::kGranted:
      if (static_cast<int>(hosts.size()) < rental.record.count) {
        refused_until_[kind] = now + refusal;
      }
      for (const std::string& host : hosts) {
        if (FindMachine(host) != nullptr || gone_hosts_.contains(host)) {
          continue;
        }
        Machine& m = AddMachine(host, {kind.type, kind.zone, kind.spot, "",
                                       rental.asked + wall_minus_steady_, 0});
        m.rented = rental.asked;
      }
      Log("rented " + std::to_string(hosts.size()) + " " + kind.type + " in " +
          kind.zone + (kind.spot ? " (spot)" : "") + " as " + name);
      break;
  }
  rental.Change(RentalState::kSettled);
  // In pieces that fit a transaction with the removal of the record.
  const auto piece =
      static_cast<size_t>(std::max(1, settings_.state.txn_ops - 1));
  if (hosts.size() <= piece) {
    writes_.Queue(
        {WriteKind::kRentalSettle, name, TerminalState::kNone, hosts});
  } else {
    // Left to their reports, which record them as well.
    writes_.Queue({WriteKind::kRentalSettle,
                   name,
                   TerminalState::kNone,
                   {hosts.begin(), hosts.begin() + static_cast<long>(piece)}});
  }
  next_supply_ = std::min(next_supply_, now + 0.1 * settings_.workers.report_s);
  writes_.Flush(now);
}

void Controller::OnDeleteAnswer(const std::vector<std::string>& hosts, bool ok,
                                Time now) {
  for (const std::string& host : hosts) {
    Machine* m = FindMachine(host);
    if (m == nullptr) continue;
    if (!ok) {
      m->delete_sent = now - settings_.workers.lease_s / 2;
      continue;
    }
    Log("machine " + host + " deleted, confirmed by the cloud");
    LoseAll(*m, "deleted");
    m->Change(MachineState::kGone);
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

void Controller::OnMachineList(const std::vector<ListedMachine>& list,
                               Time asked, Time now) {
  std::unordered_set<std::string> listed;
  for (const ListedMachine& entry : list) {
    listed.insert(entry.host);
    if (gone_hosts_.contains(entry.host)) continue;  // the list lags
    Machine* m = FindMachine(entry.host);
    if (m == nullptr) {
      Log("machine " + entry.host + " was not expected, taken into use");
      Machine& added =
          AddMachine(entry.host, {entry.type, entry.zone, entry.spot, "",
                                  now - entry.age_s + wall_minus_steady_, 0});
      added.rented = now - entry.age_s;
      m = &added;
    }
    m->missing_in_list = false;
    if (entry.state == "failed" && m->state() != MachineState::kDeleting) {
      AskDelete(*m, now, "the cloud lists it as failed");
    }
  }
  // Once listed, a machine stays listed until it is gone. One that is neither
  // heard nor listed long after its rental is asked to be deleted, which turns
  // the guess into a certainty.
  const double lag = 2 * settings_.cloud.list_lag_s;
  for (auto& m : machines_) {
    if (m->state() == MachineState::kGone || listed.contains(m->host())) {
      continue;
    }
    const bool silent = now - m->last_heard > lag &&
                        now - m->rented > 2 * lag && asked - started_ > lag;
    if (silent && m->missing_in_list && m->state() != MachineState::kDeleting &&
        now - m->reached_by_other > lag) {
      TakeAway(*m, LossCause::kUnlisted, now);
    }
    m->missing_in_list = true;
  }
}

}  // namespace oxbow
