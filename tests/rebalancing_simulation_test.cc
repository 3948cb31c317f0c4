// Randomized simulations round the moves: orders and reports late, lost and
// refused, leaders killed and stalled, the key-value store out, demands that
// vanish. But for a lease that runs out, no trouble in them takes a replica
// away by itself, so whatever is missing of a service was stopped by a move,
// and that is one at the most.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;   // s
constexpr double kLength = 200;  // s

class MovingDay {
 public:
  explicit MovingDay(uint64_t seed) : random_(seed) {
    sim_.faults.emplace();
    RandomFaults& faults = *sim_.faults;
    faults.random.seed(seed ^ 0x9e3779b97f4a7c15);
    faults.lost = Between(0, 0.02);
    faults.held = Between(0, 0.05);
    faults.refused = Between(0, 0.05);
    faults.longest_seconds = Between(1, 30);
    sim_.tuning.fragmentation_weight = 2;
    sim_.tuning.moves_at_once = 4;
    sim_.tuning.moves_cool_leases = 2;
    // Nothing is taken away for silence, and replicas don't gather in a calm.
    sim_.tuning.give_up_ratio = 50;
    sim_.tuning.idle_return_leases = 1e6;
    sim_.settings.teams.push_back({"t", 0, 0, 0, 0});
    MachineType type;
    type.name = "big";
    type.total = {64, 8, 384};
    type.cache_gb = 50;
    type.fetch_gb_per_second = 10;
    type.price = 1;
    type.spot_price = 1;
    type.boot_seconds = 3;
    type.zones = {"a", "b"};
    sim_.types["big"] = type;
    sim_.capacity["big"] = 0;
    for (int i = 1; i <= 10; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "big", i % 2 ? "a" : "b", false);
    }
    sim_.Lead();
  }

  // What went wrong; empty for nothing.
  std::string Play() {
    for (double t = 0; t < kLength; t += kStep) {
      Trouble();
      sim_.Run(kStep);
      if (!sim_.broken().empty()) return At(sim_.broken().front());
      const auto wrong = sim_.WronglyGone();
      if (!wrong.empty()) return At(wrong.front());
      // A worker that no heartbeat was answered for in a whole lease has killed
      // its tasks: that is no move's doing, and counting begins anew.
      uint64_t sessions = 0;
      for (const auto& [host, w] : sim_.workers()) sessions += w.incarnation;
      if (std::exchange(sessions_, sessions) != sessions) {
        for (auto& [id, service] : services_) service.whole = false;
      }
      for (auto& [id, service] : services_) {
        const int there = sim_.CountPresent(id);
        service.whole = service.whole || there == service.tasks;
        if (service.whole && there < service.tasks - 1) {
          return At(fmt::format("{}: {} of {}", id, there, service.tasks));
        }
      }
      Watch();
    }
    return {};
  }
  int settled() const { return settled_; }
  int stopped() const { return stopped_; }

 private:
  struct Service {
    int tasks = 0;
    bool whole = false;  // has been
  };

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  bool Every(double seconds) { return Happens(kStep / seconds); }
  std::string At(const std::string& what) const {
    return fmt::format("at {:.2f} s: {}", sim_.now(), what);
  }

  // How far the moves have come, over all leaders.
  void Watch() {
    const Rebalancer* rebalancer =
        sim_.leader() == nullptr ? nullptr : sim_.leader()->rebalancer();
    if (rebalancer == nullptr) return;
    if (rebalancer->settled() < last_settled_) last_settled_ = 0;
    settled_ += rebalancer->settled() - last_settled_;
    last_settled_ = rebalancer->settled();
    for (const auto& [id, move] : rebalancer->moves()) {
      stopped_ += move.stop_sent_at == sim_.now();
    }
  }

  void Trouble() {
    const Time now = sim_.now();
    if (sim_.leader() == nullptr) {
      if (now >= next_leader_) sim_.Lead();
    } else if (Every(25)) {
      sim_.Crash();
      last_settled_ = 0;
    }
    // For less than a worker's lease, reports lost on the way included.
    if (sim_.leader() != nullptr) next_leader_ = now + Between(0, 2);
    if (sim_.leader() != nullptr && Every(30)) sim_.Stall(Between(0.2, 2));
    if (Every(20)) {
      sim_.next_write = Happens(0.5) ? Fate::kLate : Fate::kLostAnswer;
    }
    if (Every(40)) state_until_ = now + Between(1, 6);
    sim_.state_down = now < state_until_;
    if (Every(2) && services_.size() < 16) Submit(/*small=*/true);
    if (Every(5)) Submit(/*small=*/false);
    if (!services_.empty() && Every(7)) {
      auto it = services_.begin();
      std::advance(it, random_() % services_.size());
      sim_.CancelJob(it->first);
      services_.erase(it);
    }
    if (!gangs_.empty() && Every(20)) {
      sim_.CancelJob(gangs_[random_() % gangs_.size()]);
    }
  }

  void Submit(bool small) {
    JobSpec spec;
    spec.id = fmt::format("job-{:06}", ++submitted_);
    spec.kind = small ? JobKind::kService : JobKind::kGang;
    spec.job_class = small ? "small" : "large";
    spec.team = "t";
    // Of equal rank: nobody is stopped for another.
    spec.priority = Priority::kNormal;
    spec.tasks = small ? 2 : 1 + static_cast<uint32_t>(random_() % 2);
    spec.need = small ? Resources{8, 2, 57} : Resources{57, 8, 310};
    spec.image = small ? "img" : "train";
    spec.image_gb = 0.5;
    spec.one_zone = !small;
    spec.estimate_seconds = Between(5, 12);
    spec.checkpoint_seconds = small ? 0 : 2;
    spec.save_seconds = small ? 0 : 0.5;
    sim_.Submit(spec);
    if (small) {
      services_[spec.id] = {static_cast<int>(spec.tasks), false};
    } else {
      gangs_.push_back(spec.id);
    }
  }

  std::mt19937_64 random_;
  Sim sim_;
  std::map<std::string, Service> services_;
  std::vector<std::string> gangs_;
  Time next_leader_ = 0;
  Time state_until_ = 0;
  uint64_t sessions_ = 0;  // of all workers
  int submitted_ = 0;
  int settled_ = 0;
  int last_settled_ = 0;
  int stopped_ = 0;
};

TEST(MovesSimulation, NoServiceBelowItsFloorByAMove) {
  const char* text = std::getenv("OXBOW_MOVE_SEEDS");
  const int seeds = text == nullptr ? 16 : std::atoi(text);
  const char* only = std::getenv("OXBOW_SEED");
  int settled = 0;
  int stopped = 0;
  for (int seed = 0; seed < seeds; ++seed) {
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed("moves", static_cast<uint64_t>(seed));
    MovingDay day(static_cast<uint64_t>(seed));
    ASSERT_EQ(day.Play(), "") << "seed " << seed;
    settled += day.settled();
    stopped += day.stopped();
  }
  fmt::print("{} seeds: {} legs stopped by moves, {} settled\n", seeds, stopped,
             settled);
  // A simulation in which nothing is moved would show nothing.
  if (only == nullptr) {
    EXPECT_GT(settled, seeds / 8);
  }
}

}  // namespace
}  // namespace oxbow::test
