// Controllers: elections, leadership transfer, delegated leases of zones, and
// which workers each of them reaches.
#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/behavior_trail.h"
#include "tests/sim.h"
#include "tests/simulation/sim_common.h"
#include "wire/moves_json.h"

namespace oxbow::test {

void Sim::RequestDelegations() {
  for (auto& [name, controller] : controllers_) {
    if (controller.zone.empty() || controller.gone) continue;
    if (!controller.lease) {
      controller.lease.emplace(settings.workers);
      controller.lease->OnRecordRewritten(now_, now_);
    }
    if (state_down) {
      controller.recorded_until =
          now_ + DelegatedLeaseRecordTerm(settings.workers);
    } else if (!controller.no_state) {
      if (now_ > controller.recorded_until)
        controller.lease->OnRecordRewritten(now_, now_);
      controller.lease->OnRecordRenewed(now_);
      controller.recorded_until =
          now_ + DelegatedLeaseRecordTerm(settings.workers);
    }
    if (name == leading_ || controller.refused || !leader_ ||
        now_ < stalled_until_ || now_ < controller.next_ask) {
      continue;
    }
    controller.next_ask = now_ + LeaseYieldSeconds(settings.workers);
    if (leader_->OnDelegationRequested(name, "life", now_, now_)) {
      controller.lease->OnGranted(now_);
      TrailEvent(now_, "delegated", name);
    }
  }
}

bool Sim::RenewedInZone(const SimWorker& worker) {
  for (auto& [name, controller] : controllers_) {
    if (name != leading_ && !controller.gone && controller.refused &&
        controller.zone == worker.zone && controller.lease &&
        controller.lease->Renew(now_)) {
      return true;
    }
  }
  return false;
}

std::set<std::string> Sim::RecordedDelegates() const {
  std::set<std::string> names;
  for (const auto& [name, controller] : controllers_) {
    if (now_ < controller.recorded_until) names.insert(name);
  }
  return names;
}

void Sim::AddController(const std::string& name) {
  controllers_[name];
  settings.peers.clear();
  ++settings.nodes;
}

void Sim::Lead(const std::string& name) {
  leader_.reset();
  stalled_until_ = 0;
  leading_ = name;
  settings.node = name;
  settings.peers.clear();
  for (const auto& [other, node] : controllers_) {
    if (other != name) settings.peers.push_back({other, node.zone, ""});
  }
  LeaderRecord record{name, std::to_string(revision_), 0};
  store_[std::string(keys::kLeader)] = {record, ++revision_};
  unwatched_changes_.clear();
  // A new process reads all records again.
  const bool rebuilds = std::exchange(next_leader_keeps_catalog_, false);
  if (!rebuilds) catalog_ = Catalog();
  for (const auto& [key, value] : store_) {
    if (old_version && key.starts_with(keys::kWaiting)) continue;
    catalog_.Put(key, value.first, value.second);
  }
  catalog_.AdvanceWatch(revision_);
  leads_since_ = now_;
  for (auto& [host, worker] : workers_) {
    worker.seen_incarnation = 0;
    worker.risen = worker.unproven = false;
  }
  leader_ =
      std::make_unique<Leader>(settings, tuning, catalog_, revision_, now_,
                               kEpochOffset, 7, RecordedDelegates());
  if (rebuilds) leader_->OnUnrecordedTerminalStates({}, /*complete=*/true);
  FollowTiers();
  leader_->SetTiers(tiers_in_force_[leading_].set());
  published_window_versions_.clear();
  ReadBookings();
  PublishMaintenanceWindows();
  PublishClocks();
  leader_->EnableReplicaMoves(wire::kMoveCodec, now_);
  std::vector<MachineType> all;
  for (const auto& [name, type] : types) all.push_back(type);
  leader_->OnTypes(all);
  ExecuteActions();
  for (const Heartbeat& heartbeat : std::exchange(kept_, {}))
    Copy(heartbeat, 0);
}

// The shell does the same before every event.
void Sim::PublishClocks() {
  double off = 0;
  const auto it = controllers_.find(leading_);
  if (it != controllers_.end()) off = it->second.wall_off;
  leader_->OnClockReading({true_wall() + off, now_, now_},
                          booking_views_[leading_].read, now_);
}

bool Sim::Reaches(const SimController& controller,
                  const SimWorker& worker) const {
  return !worker.dead && !worker.Hangs(now_) && !worker.commands_cut &&
         now_ >= worker.up_at && controller.Sends(worker.host);
}

void Sim::TrackReachability() {
  for (auto& [host, w] : workers_) {
    const bool reached = std::any_of(
        controllers_.begin(), controllers_.end(), [&, &worker = w](auto& c) {
          return !c.second.gone && !c.second.refused && c.first != leading_ &&
                 Reaches(c.second, worker);
        });
    if (!reached) w.reachable_from = now_;
  }
  std::erase_if(transferred_at_, [&](Time t) {
    return t <= now_ - settings.workers.lease_seconds;
  });
  const SimController& self = controllers_[leading_];
  constexpr int kEnough = 4;
  const bool another =
      leader_ != nullptr &&
      std::any_of(controllers_.begin(), controllers_.end(), [&](const auto& c) {
        return c.first != leading_ && !c.second.gone && !c.second.refused &&
               !c.second.no_state && !c.second.in_cut &&
               std::count_if(leader_->machines().begin(),
                             leader_->machines().end(), [&](const auto& m) {
                               const auto w = workers_.find(m->host());
                               return m->recorded_up && w != workers_.end() &&
                                      Reaches(c.second, w->second);
                             }) >= kEnough;
      });
  const bool unfit = another && now_ >= stalled_until_ && !state_down &&
                     self.in_cut && self.out_cut &&
                     transferred_at_.size() <
                         static_cast<size_t>(tuning.max_leadership_transfers);
  if (!unfit) fit_at_ = now_;
}

// All controllers probe at the same time, with the same timeout.
void Sim::AnswerReach(const AskReach& ask) {
  constexpr double kWait = 0.6;
  const uint64_t revision = leader_->revision();
  std::vector<ReachabilityAnswer> answers(1);
  for (const auto& [name, node] : controllers_) {
    const bool self = name == leading_;
    ReachabilityAnswer reach;
    reach.node = name;
    reach.answered = self || (!node.gone && !node.refused);
    reach.may_lead = !self && !node.gone && !node.no_state && !state_down;
    if (reach.answered) {
      for (const std::string& host : ask.hosts) {
        const auto it = workers_.find(host);
        reach.machines += it != workers_.end() && Reaches(node, it->second)
                              ? ReachabilityAnswer::kReached
                              : ReachabilityAnswer::kNotReached;
      }
    }
    if (self) {
      for (size_t i = 0; i < ask.hosts.size(); ++i) {
        if (!reach.Reaches(i)) continue;
        After(kLatencySeconds, [this, revision, host = ask.hosts[i]] {
          OnLeader(revision, [this, host] {
            const auto it = workers_.find(host);
            if (it == workers_.end()) return;
            leader_->OnProbeAnswer(HeartbeatOf(it->second), now_);
          });
        });
      }
      answers[0] = std::move(reach);
    } else {
      answers.push_back(std::move(reach));
    }
  }
  After(kWait, [this, revision, round = ask.round, answers] {
    OnLeader(revision, [this, round, answers] {
      leader_->OnReachabilityAnswers(round, answers, now_);
    });
  });
}

void Sim::AnswerTransferOffer(const OfferLeadershipTransfer& offer) {
  After(kLatencySeconds, [this, revision = leader_->revision(), offer] {
    OnLeader(revision, [this, offer] {
      SimController& to = controllers_[offer.to];
      if (to.gone || to.refused || to.no_state || state_down ||
          transferred_at_.size() >=
              static_cast<size_t>(tuning.max_leadership_transfers)) {
        leader_->OnTransferRejected(offer.to + " does not take over", now_);
        return;
      }
      transferred_at_.push_back(now_);
      leader_->OnTransferAccepted();
      leader_.reset();
      ++leadership_transfers_;
      if (to.dies_on_offer) to.gone = true;
      Succeed(offer.to);
    });
  });
}

void Sim::Succeed(const std::string& name) {
  // The controller that accepted the transfer becomes leader at once. Without
  // one, another controller does after half of the leader's lease.
  const bool there = !name.empty() && !controllers_[name].gone;
  const double wait =
      there ? 0.1
            : tuning.leader_lease_ratio * settings.workers.lease_seconds / 2 +
                  0.1;
  After(wait, [this, name, there, before = leading_] {
    if (leader_) return;
    if (there) return Lead(name);
    for (const auto& [other, node] : controllers_) {
      if (other != before && !node.gone && !node.no_state) return Lead(other);
    }
    Lead(before);
  });
}

}  // namespace oxbow::test
