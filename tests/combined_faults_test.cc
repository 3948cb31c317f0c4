// Randomized simulations that combine two kinds of faults in transactions,
// worker reports, machines, user requests or leaders. The cluster has more work
// than capacity, and one team is at its limit. The simulation records, apart
// from the controllers, what users were told and in which order, what the teams
// use of their limits, and which tasks are on the machines. A period without
// faults follows, in which every job must run or end as it should. The seed
// determines the whole run, so that a failed run can be repeated exactly.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;        // s
constexpr double kFaultSeconds = 60;  // s
constexpr double kCalmSeconds = 100;  // s
// The longest time that a job may wait for free capacity that suffices for it,
// in the period without faults, in seconds.
constexpr double kMaxCapacityWaitSeconds = 90;

enum class Fault : uint8_t {
  kAnswersOfWritesLost,
  kLateWrites,
  kReportsForTheNext,
  kMuteMachines,
  kDeafMachines,
  kHangs,
  kCancelBursts,
  kCancelAtEnd,
  kOddRequests,
  kLeadersEnd,
  kStateOut,
  kZoneCut,
  kLast = kZoneCut,
};

constexpr std::array kFaultNames = {"answers of writes lost",
                                    "late writes",
                                    "reports for the next",
                                    "mute machines",
                                    "deaf machines",
                                    "hangs",
                                    "bursts of cancellations",
                                    "cancelled at the end",
                                    "odd requests",
                                    "leaders end",
                                    "state out",
                                    "zone cut"};

// Whether direct commands that were answered also arrive once more.
enum class CommandFate : uint8_t { kArrivesOnce, kMayArriveAgain };

class CombinedFaults {
 public:
  explicit CombinedFaults(uint64_t seed,
                          CommandFate commands = CommandFate::kArrivesOnce)
      : random_(seed) {
    constexpr int kAll = static_cast<int>(Fault::kLast) + 1;
    first_ = static_cast<Fault>(seed % kAll);
    second_ = static_cast<Fault>(IntBetween(0, kAll - 1));
    // The confirmed deletion of a silent machine proves its tasks gone before
    // its lease expires. A high give_up_ratio prevents such deletions, so half
    // of the runs depend on the expiry of leases alone.
    if (Happens(0.5)) sim_.tuning.give_up_ratio = 50;
    sim_.settings.teams.push_back({"t", 0, 10, 0, 0});
    sim_.settings.teams.push_back({"u", 0, 0, 0, 0});
    MachineType type;
    type.name = "small";
    type.total = {4, 0, 64};
    type.cache_gb = 100;
    type.price = type.spot_price = 1;
    type.boot_seconds = 2;
    type.zones = {"a", "b"};
    sim_.types["small"] = type;
    sim_.capacity["small"] = 2;
    for (int i = 1; i <= 6; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "small", i % 2 ? "a" : "b", false);
    }
    for (const char* name : {"a", "b", "c"}) sim_.AddController(name);
    sim_.controller("b").zone = "b";
    sim_.troubles.random.seed(seed ^ 0x9e3779b97f4a7c15);
    if (Has(Fault::kReportsForTheNext))
      sim_.troubles.heartbeats_for_next = 0.02;
    if (Has(Fault::kCancelAtEnd)) sim_.troubles.cancel_at_end = 0.5;
    if (Has(Fault::kOddRequests)) sim_.troubles.odd_requests = 0.5;
    if (Has(Fault::kLateWrites) || Has(Fault::kAnswersOfWritesLost)) {
      sim_.late_writes.emplace();
      sim_.late_writes->random.seed(seed ^ 0xd1b54a32d192ed03);
      if (Has(Fault::kLateWrites)) sim_.late_writes->unanswered = 0.25;
      if (Has(Fault::kAnswersOfWritesLost)) sim_.late_writes->answer_lost = 0.3;
    }
    if (commands == CommandFate::kMayArriveAgain) {
      sim_.repeated_commands.emplace();
      sim_.repeated_commands->random.seed(seed ^ 0x8cb92ba72f3d8dd7);
      sim_.repeated_commands->share = 0.4;
      sim_.repeated_commands->longest_seconds =
          2.5 * sim_.settings.workers.lease_seconds;
    }
    sim_.Lead("a");
  }

  // Runs the simulation. Returns a description of the first broken rule, or an
  // empty string if there is none.
  std::string Play() {
    for (double t = 0; t < kFaultSeconds; t += kStep) {
      InjectFaults();
      RepeatCancellations();
      sim_.Run(kStep);
      std::string wrong = BrokenRule();
      if (!wrong.empty()) return wrong;
    }
    EndAllFaults();
    for (double t = 0; t < kCalmSeconds; t += kStep) {
      if (sim_.leader() == nullptr) sim_.Lead("a");
      RepeatCancellations();
      sim_.Run(kStep);
      std::string wrong = BrokenRule();
      if (!wrong.empty()) return wrong;
      for (int n = 1; t > kMaxCapacityWaitSeconds && n <= submitted_; ++n) {
        if (sim_.WaitedWithRoom(Name(n)) > kMaxCapacityWaitSeconds) {
          return At("waits although there is room: " + Name(n));
        }
      }
    }
    const auto phantoms = sim_.Phantoms();
    if (!phantoms.empty()) return At(phantoms.front());
    for (const std::string& id : cancelled_) {
      if (!Ended(id)) return At("cancelled, and not ended: " + id);
    }
    return {};
  }

  int starts() const { return sim_.starts(); }

 private:
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  int IntBetween(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  // Returns whether an event that occurs once in `seconds` on average occurs in
  // this step.
  bool OccursEvery(double seconds) { return Happens(kStep / seconds); }
  bool Has(Fault fault) const { return first_ == fault || second_ == fault; }

  std::string At(const std::string& what) const {
    return fmt::format("{} and {}, at {:.2f} s: {}",
                       kFaultNames.at(static_cast<size_t>(first_)),
                       kFaultNames.at(static_cast<size_t>(second_)), sim_.now(),
                       what);
  }
  std::string BrokenRule() const {
    if (!sim_.broken().empty()) return At(sim_.broken().front());
    const auto gone = sim_.WronglyGone();
    return gone.empty() ? std::string() : At(gone.front());
  }

  void InjectFaults() {
    const Time now = sim_.now();
    if (OccursEvery(1.5)) Submit();
    if (submitted_ > 0 && OccursEvery(6))
      Cancel(Name(IntBetween(1, submitted_)));
    // A change of leader makes every other fault harder to handle, so the
    // leader crashes now and then in every run.
    const double leads_for = Has(Fault::kLeadersEnd) ? 8 : 30;
    if (sim_.leader() == nullptr) {
      if (now >= next_leader_ && !sim_.state_down) sim_.Lead(Leader());
    } else if (OccursEvery(leads_for)) {
      sim_.Crash();
      next_leader_ = now + (Happens(0.7) ? 0 : Between(0, 12));
    }
    if (Has(Fault::kStateOut) && OccursEvery(15))
      state_until_ = now + Between(1, 15);
    sim_.state_down = now < state_until_;
    if (Has(Fault::kCancelBursts) && OccursEvery(10)) {
      if (sim_.leader() != nullptr) {
        sim_.CancelBurst(IntBetween(1, 8), Happens(0.6) ? Between(1, 14) : 0);
      }
    }
    if (Has(Fault::kZoneCut) && OccursEvery(25)) {
      cut_until_ = now + Between(3, 35);
      if (sim_.leading() == "b")
        sim_.Crash();  // a controller that is cut off can't lead
    }
    sim_.controller("b").refused = now < cut_until_;
    for (auto& [host, w] : sim_.workers()) {
      MachineFaults& spell = spells_[host];
      if (Has(Fault::kMuteMachines) && OccursEvery(40)) {
        spell.mute_until = now + Between(1, 25);
      }
      if (Has(Fault::kDeafMachines) && OccursEvery(40)) {
        spell.deaf_until = now + Between(1, 25);
      }
      if (Has(Fault::kHangs) && OccursEvery(40)) {
        w.hangs_until = now + Between(0.5, 14);
      }
      const bool cut = now < cut_until_ && w.zone == "b";
      w.heartbeats_cut = cut || now < spell.mute_until;
      w.answers_cut = now < spell.deaf_until;
      w.commands_cut = cut || now < spell.deaf_until;
    }
  }

  void EndAllFaults() {
    sim_.state_down = false;
    sim_.late_writes.reset();
    sim_.repeated_commands.reset();
    sim_.troubles = Troubles();
    sim_.controller("b").refused = false;
    for (auto& [host, w] : sim_.workers()) {
      w.heartbeats_cut = w.commands_cut = w.answers_cut = false;
      w.hangs_until = 0;
    }
  }

  std::string Leader() {
    // While zone b is cut off, the controller in it can't become the leader.
    const char* const names[] = {"a", "c", "b"};
    return names[IntBetween(0, sim_.now() < cut_until_ ? 1 : 2)];
  }

  static std::string Name(int number) {
    return fmt::format("job-{:06}", number);
  }

  void Cancel(const std::string& id) {
    if (sim_.leader() == nullptr) return;
    cancelled_.insert(id);
    sim_.CancelJob(id);
  }

  bool Ended(const std::string& id) const {
    return sim_.CountRecords(keys::Of(keys::kTerminal, id)) > 0;
  }

  // Repeats the cancellations of the users until each job is recorded as ended.
  void RepeatCancellations() {
    constexpr double kAfter = 2;
    if (sim_.leader() == nullptr || sim_.now() < asked_ + kAfter) return;
    asked_ = sim_.now();
    for (const std::string& id : cancelled_) {
      if (!Ended(id)) sim_.CancelJob(id);
    }
  }

  void Submit() {
    JobSpec spec;
    spec.id = Name(++submitted_);
    const double kind = Between(0, 1);
    spec.kind = kind < 0.15   ? JobKind::kService
                : kind < 0.35 ? JobKind::kGang
                              : JobKind::kArray;
    spec.job_class = "c";
    spec.team = Happens(0.6) ? "t" : "u";
    spec.priority = spec.kind == JobKind::kService ? Priority::kProduction
                                                   : Priority::kNormal;
    spec.tasks = static_cast<uint32_t>(IntBetween(1, 4));
    spec.need = {Happens(0.5) ? 1.0 : 2.0, 0, 1};
    spec.image = fmt::format("img-{}", IntBetween(0, 2));
    spec.image_gb = 0.4;
    spec.one_zone = spec.kind != JobKind::kService && Happens(0.5);
    spec.estimate_seconds = Between(2, 12);
    sim_.Submit(spec);
  }

  struct MachineFaults {
    Time mute_until = 0;
    Time deaf_until = 0;
  };
  std::mt19937_64 random_;
  Fault first_;
  Fault second_;
  Sim sim_;
  std::map<std::string, MachineFaults> spells_;
  std::set<std::string> cancelled_;
  Time asked_ = 0;
  Time next_leader_ = 0;
  Time state_until_ = 0;
  Time cut_until_ = 0;
  int submitted_ = 0;
};

int FromEnvironment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

// Seeds that once failed and are outside the range that CI runs: jobs waited
// for over 90 s although there was capacity, because a core of their team's
// quota was kept for a gang that did not need it (docs/incidents, 2026-12-03).
class CombinedFaultsSeed : public testing::TestWithParam<uint64_t> {};

TEST_P(CombinedFaultsSeed, ComesRightAgain) {
  EXPECT_EQ(CombinedFaults(GetParam()).Play(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, CombinedFaultsSeed,
                         testing::Values(796, 1380, 1613, 1779, 2116, 2453,
                                         3668, 7589),
                         [](const auto& info) {
                           return std::to_string(info.param);
                         });

// OXBOW_SEEDS is the number of seeds to run, and OXBOW_SEED is the first.
void PlayPairs(const std::string& trail, CommandFate commands) {
  const int seeds = FromEnvironment("OXBOW_SEEDS", 16);
  const int first = FromEnvironment("OXBOW_SEED", 0);
  int starts = 0;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = static_cast<uint64_t>(first + i);
    const TrailedRun trailed(trail, seed);
    CombinedFaults run(seed, commands);
    ASSERT_EQ(run.Play(), "")
        << "seed " << first + i << ", after " << i << " others";
    starts += run.starts();
  }
  // A run in which hardly any task starts would test nothing.
  EXPECT_GT(starts, 20 * seeds);
}

TEST(CombinedFaults, EveryPairComesRightAgain) {
  PlayPairs("combined-faults", CommandFate::kArrivesOnce);
}

TEST(CombinedFaults, EveryPairComesRightAgainWithRepeatedCommands) {
  PlayPairs("combined-faults-repeated-commands", CommandFate::kMayArriveAgain);
}

}  // namespace
}  // namespace oxbow::test
