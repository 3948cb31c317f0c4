// The virtual clock of the simulation: one step drives every fake, then the
// rule checks.
#include "tests/sim.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "tests/simulation/sim_common.h"

namespace oxbow::test {

Sim::Sim() {
  settings.node = "a";
  settings.nodes = 1;
  settings.workers = {1.0, 10.0, 40.0, 4.0, 40.0};
  settings.store.txn_ops = 16;
}

void Sim::After(double seconds, std::function<void()> what) {
  later_.push_back({now_ + seconds, std::move(what)});
}

void Sim::Run(double seconds) {
  const Time end = now_ + seconds;
  while (now_ < end - kStepSeconds / 2) Step();
}

void Sim::Step() {
  now_ += kStepSeconds;
  ReadBookings();
  if (leader_ && now_ >= stalled_until_) {
    PublishMaintenanceWindows();
    PublishClocks();
  }
  std::vector<Later> due;
  std::erase_if(later_, [&](Later& l) {
    if (l.at > now_) return false;
    due.push_back(std::move(l));
    return true;
  });
  std::stable_sort(due.begin(), due.end(),
                   [](const Later& a, const Later& b) { return a.at < b.at; });
  for (Later& l : due) l.what();
  if (tuning.rollouts_at_once > 0) Watch();
  if (tuning.tiers > 0) FollowTiers();
  RequestDelegations();
  for (auto& [host, worker] : workers_) AdvanceWorker(worker);
  if (leader_ && now_ >= stalled_until_) {
    leader_->Tick(now_, !by_promises);
    ExecuteActions();
  }
  RecordIncarnations();
  if (!controllers_.empty()) TrackReachability();
  if (troubles.Happens(troubles.odd_requests * kStepSeconds)) RequestOddly();
  RecordCancellations();
  CheckStatusNeverGoesBack();
  RecordFreeCapacity();
  CheckRules();
  CheckAnswers();
  CheckIndices();
}

}  // namespace oxbow::test
