// Randomized simulations of replica moves with fault injection: commands and
// heartbeats are delayed, lost or rejected, leaders crash and stall, the
// key-value store is unavailable, and waiting jobs are cancelled. Apart from an
// expired worker lease, no injected fault removes a replica by itself. So any
// missing replica of a service was stopped by a move, and the test checks that
// at most one replica of each service is missing at a time.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;   // s
constexpr double kLength = 200;  // s

class ReplicaMoveSimulation {
 public:
  explicit ReplicaMoveSimulation(uint64_t seed) : random_(seed) {
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
    // Silent machines are not deleted, and replicas are not consolidated while
    // the cluster is idle, so that only moves remove replicas.
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

  // Returns the first violation; empty if there is none.
  std::string Run() {
    for (double t = 0; t < kLength; t += kStep) {
      InjectFaults();
      sim_.Run(kStep);
      if (!sim_.broken().empty()) return At(sim_.broken().front());
      const auto wrong = sim_.WronglyGone();
      if (!wrong.empty()) return At(wrong.front());
      // A worker whose heartbeats were not answered for a whole lease kills its
      // tasks and begins a new incarnation. No move caused that loss, so the
      // services must first become complete again.
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
      CountMoves();
    }
    return {};
  }
  int settled() const { return settled_; }
  int stopped() const { return stopped_; }

 private:
  struct Service {
    int tasks = 0;
    bool whole = false;  // all its replicas have been present
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

  // Adds up the stopped and settled moves of all leaders.
  void CountMoves() {
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

  void InjectFaults() {
    const Time now = sim_.now();
    if (sim_.leader() == nullptr) {
      if (now >= next_leader_) sim_.Lead();
    } else if (Every(25)) {
      sim_.Crash();
      last_settled_ = 0;
    }
    // There is no leader for less than a worker's lease, even if heartbeats are
    // lost as well.
    if (sim_.leader() != nullptr) next_leader_ = now + Between(0, 2);
    if (sim_.leader() != nullptr && Every(30)) sim_.Stall(Between(0.2, 2));
    if (Every(20)) {
      sim_.next_write = Happens(0.5) ? Fate::kLate : Fate::kLostAnswer;
    }
    if (Every(40)) store_down_until_ = now + Between(1, 6);
    sim_.state_down = now < store_down_until_;
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
    // All jobs have equal priority, so none is preempted for another.
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
  Time store_down_until_ = 0;
  uint64_t sessions_ = 0;  // sum of the workers' incarnations
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
    ReplicaMoveSimulation simulation(static_cast<uint64_t>(seed));
    ASSERT_EQ(simulation.Run(), "") << "seed " << seed;
    settled += simulation.settled();
    stopped += simulation.stopped();
  }
  fmt::print("{} seeds: {} replicas stopped by moves, {} settled\n", seeds,
             stopped, settled);
  // Without moves the simulation would prove nothing.
  if (only == nullptr) {
    EXPECT_GT(settled, seeds / 8);
  }
}

}  // namespace
}  // namespace oxbow::test
