// Randomized simulations of the scheduler core. Messages between a leader, its
// successors and the workers are delayed, held back, lost and reordered,
// connections are refused, controllers stall, workers hang, and reports are cut
// while commands still arrive. After every step the tasks that the leader takes
// for gone are compared with the tasks that exist, and the rules of the
// protocol are checked. The seed determines the whole run, so that a failed run
// can be repeated exactly.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;      // s
constexpr double kRunSeconds = 90;  // s
// The longest time in seconds that a leader that reaches no worker may stay
// the leader while another controller could lead: the time until it doubts its
// connections, and three rounds of questions with the pauses between them.
constexpr double kMaxUnfitSeconds = 9;
// The longest delay of a duplicated heartbeat, in seconds.
constexpr double kLatestCopySeconds = 80;
// The longest delay of a repeated command, in worker leases.
constexpr double kLatestRepeatLeases = 2.5;
// The longest time in seconds that the tasks of a dead machine count as running
// after its death, the start of the leader's term and the last new report of
// it: 4 s, a lease, and the stall of a leader.
constexpr double kMaxHeldSeconds = 25;

// The kind of faults that a simulation has in addition to the faults of all
// simulations. kOutages: the key-value store is unavailable for up to twice the
// time limit of a cancellation, often with the end of the leader; the other
// controllers answer the workers meanwhile, without commands.
// kRepeatedCommands: direct commands that were carried out and answered arrive
// once more.
enum class Kind {
  kPlain,
  kDeaf,
  kCopies,
  kLateWrites,
  kOutages,
  kRepeatedCommands
};

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed, Kind kind = Kind::kPlain)
      : kind_(kind), random_(seed) {
    sim_.faults.emplace();
    RandomFaults& faults = *sim_.faults;
    faults.random.seed(seed ^ 0x9e3779b97f4a7c15);
    faults.lost = Share(0.08);
    faults.held = Share(0.10);
    faults.refused = Share(0.10);
    faults.longest_seconds = Between(2, 30);
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
    type.price = 1;
    type.spot_price = 1;
    type.boot_seconds = 3;
    type.zones = {"a", "b"};
    sim_.types["small"] = type;
    sim_.capacity["small"] = 2;
    for (int i = 1; i <= 4; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "small", i % 2 ? "a" : "b", false);
    }
    // In half of the runs there are other controllers, which the leader can ask
    // and hand the leadership over to.
    if (Happens(0.5)) names_ = {"a", "b", "c"};
    if (kind_ == Kind::kCopies) {
      faults.copied = Between(0.05, 0.4);
      faults.latest_copy_seconds = kLatestCopySeconds;
      faults.lost = faults.held = 0;
      // No controller inside a zone keeps its workers alive, so that the leader
      // alone determines how long tasks count as running.
      names_.clear();
    }
    if (kind_ == Kind::kLateWrites) {
      sim_.late_writes.emplace();
      sim_.late_writes->random.seed(seed ^ 0xd1b54a32d192ed03);
      sim_.late_writes->unanswered = Between(0.05, 0.5);
      sim_.late_writes->copied = Between(0.0, 0.3);
    }
    if (kind_ == Kind::kRepeatedCommands) {
      sim_.repeated_commands.emplace();
      sim_.repeated_commands->random.seed(seed ^ 0x8cb92ba72f3d8dd7);
      sim_.repeated_commands->share = Between(0.1, 0.6);
      sim_.repeated_commands->longest_seconds =
          kLatestRepeatLeases * sim_.settings.workers.lease_seconds;
    }
    for (const std::string& name : names_) {
      sim_.AddController(name);
      // A controller inside a zone may keep the zone's workers alive when the
      // zone is cut off.
      if (Happens(0.7)) sim_.controller(name).zone = Happens(0.5) ? "a" : "b";
    }
    sim_.delegated = kind_ == Kind::kOutages;
    sim_.Lead();
  }

  // Runs the simulation. Returns a description of the first wrong assumption of
  // the leader or broken rule, or an empty string if there is none.
  std::string Play() {
    const double length = kind_ == Kind::kCopies    ? 1.5 * kRunSeconds
                          : kind_ == Kind::kOutages ? 2 * kRunSeconds
                                                    : kRunSeconds;
    for (double t = 0; t < length; t += kStep) {
      InjectFaults();
      sim_.Run(kStep);
      if (!sim_.broken().empty()) return At(sim_.broken().front());
      const auto wrong = sim_.WronglyGone();
      if (!wrong.empty()) return At(wrong.front());
      if (kind_ == Kind::kDeaf && sim_.starts_on_deaf() > 0) {
        return At("new work where no answer has arrived for long");
      }
      if (kind_ == Kind::kCopies) {
        const auto held = sim_.HeldByTheDead(kMaxHeldSeconds);
        if (!held.empty()) return At(held.front());
      }
      if (!names_.empty() && sim_.lost_alive() > 0) {
        return At("a machine was deleted that others reached");
      }
      if (!names_.empty() && sim_.unfit_for() > kMaxUnfitSeconds) {
        return At("a deaf leader leads on");
      }
    }
    return {};
  }

  int starts() const { return sim_.starts(); }
  int leadership_transfers() const { return sim_.leadership_transfers(); }
  int late_writes_tried() const { return sim_.late_writes_tried(); }
  int repeats_refused() const { return sim_.repeats_refused(); }

 private:
  struct WorkerFaults;
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  // Returns a random share up to `most`, or 0 in a third of the calls.
  double Share(double most) { return Happens(0.33) ? 0.0 : Between(0.0, most); }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  // Returns whether an event that occurs once in `seconds` on average occurs in
  // this step.
  bool OccursEvery(double seconds) { return Happens(kStep / seconds); }

  std::string At(const std::string& what) const {
    return fmt::format("at {:.2f} s: {}", sim_.now(), what);
  }

  void InjectFaults() {
    const Time now = sim_.now();
    if (sim_.leader() == nullptr) {
      const bool free = kind_ != Kind::kOutages || !sim_.state_down;
      if (now >= next_leader_ && free) {
        if (names_.empty()) {
          sim_.Lead();
        } else {
          sim_.Lead(names_[static_cast<size_t>(Between(0, 2.99))]);
        }
      }
    } else if (OccursEvery(kind_ == Kind::kCopies ? 70 : 25)) {
      sim_.Crash();
    }
    // The pause also applies after a leader that has stepped down by itself.
    if (sim_.leader() != nullptr) next_leader_ = now + Between(0, 6);
    if (sim_.leader() != nullptr && OccursEvery(20))
      sim_.Stall(Between(0.2, 8));
    if (OccursEvery(4)) Submit();
    if (submitted_ > 0 && OccursEvery(15)) {
      sim_.CancelJob(Name(1 + static_cast<int>(Between(0, submitted_))));
    }
    if (OccursEvery(20)) {
      sim_.next_write = Happens(0.5) ? Fate::kLate : Fate::kLostAnswer;
    }
    if (OccursEvery(30)) state_until_ = now + Between(1, 12);
    if (kind_ == Kind::kOutages) LongOutage();
    sim_.state_down = now < state_until_;
    for (const std::string& name : names_) {
      SimController& controller = sim_.controller(name);
      Links& links = links_[name];
      if (OccursEvery(25)) links.no_reports_until = now + Between(1, 25);
      if (OccursEvery(25)) links.no_orders_until = now + Between(1, 25);
      if (OccursEvery(25)) {
        links.no_reports_until = links.no_orders_until = now + Between(1, 40);
      }
      if (OccursEvery(30)) links.no_peers_until = now + Between(1, 20);
      controller.in_cut = now < links.no_reports_until;
      controller.out_cut = now < links.no_orders_until;
      controller.refused = now < links.no_peers_until;
    }
    for (auto& [host, w] : sim_.workers()) {
      WorkerFaults& worker_faults = worker_faults_[host];
      if (OccursEvery(20))
        worker_faults.no_reports_until = now + Between(2, 25);
      if (OccursEvery(20)) worker_faults.no_orders_until = now + Between(1, 20);
      if (OccursEvery(30)) worker_faults.hung_until = now + Between(0.5, 16);
      w.heartbeats_cut =
          kind_ != Kind::kCopies && now < worker_faults.no_reports_until;
      w.commands_cut = now < worker_faults.no_orders_until;
      w.hung = now < worker_faults.hung_until;
      if (kind_ == Kind::kDeaf) CutResponses(w, worker_faults);
      if (kind_ == Kind::kCopies && !w.dead && OccursEvery(80)) {
        w.dead = true;
        w.died_at = now;
      }
      if (OccursEvery(150)) w.faulty = !w.faulty;
    }
  }

  // Cancels jobs, makes the key-value store unavailable, and often crashes the
  // leader after that.
  void LongOutage() {
    const Time now = sim_.now();
    const double cancel_seconds = sim_.settings.workers.cancel_seconds;
    if (now >= state_until_ && OccursEvery(40)) {
      for (int n = std::max(1, submitted_ - 5); n <= submitted_; ++n) {
        if (Happens(0.5)) sim_.CancelJob(Name(n));
      }
      state_after_ = now + Between(0, 2);
      end_after_ = Happens(0.7) ? state_after_ + Between(0, 3) : 1e18;
    }
    if (now >= state_after_) {
      state_until_ = now + Between(1, 2 * cancel_seconds);
      state_after_ = 1e18;
    }
    if (now >= end_after_) {
      sim_.Crash();
      end_after_ = 1e18;
    }
    // During an outage the present leader leads by the promises of its peers.
    // Its successor after the outage leads by its lease in the store.
    sim_.by_promises = sim_.leader() != nullptr && sim_.state_down;
  }

  // Cuts the responses to a worker, and mostly the commands to it as well, for
  // one machine or for a whole zone.
  void CutResponses(SimWorker& worker, WorkerFaults& worker_faults) {
    const Time now = sim_.now();
    Time& zone = deaf_zones_[worker.zone];
    if (OccursEvery(120)) zone = now + Between(1, 40);
    if (OccursEvery(25)) {
      worker_faults.no_answers_until = now + Between(1, 40);
      if (Happens(0.6))
        worker_faults.no_orders_until = worker_faults.no_answers_until;
    }
    worker.answers_cut = now < worker_faults.no_answers_until || now < zone;
    worker.commands_cut = worker.commands_cut || now < zone;
  }

  static std::string Name(int number) {
    return fmt::format("job-{:06}", number);
  }

  void Submit() {
    JobSpec spec;
    spec.id = Name(++submitted_);
    const double kind = Between(0, 1);
    spec.kind = kind < 0.4   ? JobKind::kService
                : kind < 0.7 ? JobKind::kGang
                             : JobKind::kArray;
    spec.job_class = "c";
    spec.team = Happens(0.5) ? "t" : "u";
    spec.priority = spec.kind == JobKind::kService ? Priority::kProduction
                                                   : Priority::kNormal;
    spec.tasks = static_cast<uint32_t>(Between(1, 4));
    spec.need = {Happens(0.5) ? 1.0 : 2.0, 0, 1};
    spec.image = fmt::format("img-{}", static_cast<int>(Between(0, 3)));
    spec.image_gb = 0.4;
    spec.spread = spec.kind == JobKind::kService;
    spec.one_zone = spec.kind == JobKind::kGang;
    spec.estimate_seconds = Between(2, 15);
    spec.checkpoint_seconds = spec.kind == JobKind::kGang ? 2 : 0;
    spec.save_seconds = 0.5;
    sim_.Submit(spec);
  }

  struct WorkerFaults {
    Time no_reports_until = 0;
    Time no_orders_until = 0;
    Time hung_until = 0;
    Time no_answers_until = 0;
  };
  // The times until which messages to and from a controller are cut.
  struct Links {
    Time no_reports_until = 0;
    Time no_orders_until = 0;
    Time no_peers_until = 0;
  };
  const Kind kind_;
  std::mt19937_64 random_;
  Sim sim_;
  std::vector<std::string> names_;  // controllers; empty if one only
  std::map<std::string, Links> links_;
  std::map<std::string, WorkerFaults> worker_faults_;
  std::map<std::string, Time> deaf_zones_;  // cut until then, by zone
  Time next_leader_ = 0;
  Time state_until_ = 0;
  Time state_after_ = 1e18;  // start of the long outage
  Time end_after_ = 1e18;    // crash of the leader
  int submitted_ = 0;
};

int SeedsFromEnvironment(int fallback) {
  const char* text = std::getenv("OXBOW_SEEDS");
  return text == nullptr ? fallback : std::atoi(text);
}

std::string TrailName(Kind kind) {
  switch (kind) {
    case Kind::kPlain:
      return "random-plain";
    case Kind::kDeaf:
      return "random-deaf";
    case Kind::kCopies:
      return "random-copies";
    case Kind::kLateWrites:
      return "random-late-writes";
    case Kind::kOutages:
      return "random-outages";
    case Kind::kRepeatedCommands:
      return "random-repeated-commands";
  }
  return "random";
}

// The seeds are divided among kParts tests, which run in parallel.
class RandomSimulations : public testing::TestWithParam<int> {};

constexpr int kParts = 8;

TEST_P(RandomSimulations, NothingIsTakenForGoneThatIsThere) {
  const int seeds = SeedsFromEnvironment(250);
  const char* only = std::getenv("OXBOW_SEED");  // run this seed only
  int starts = 0;
  int leadership_transfers = 0;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = static_cast<uint64_t>(GetParam() + kParts * i);
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed(TrailName(Kind::kPlain), seed);
    RandomRun day(seed);
    const std::string wrong = day.Play();
    ASSERT_EQ(wrong, "") << "seed " << seed << ", after " << i << " others";
    starts += day.starts();
    leadership_transfers += day.leadership_transfers();
  }
  // A simulation in which no task starts would test nothing.
  EXPECT_GT(starts, seeds);
  EXPECT_GT(leadership_transfers, seeds / 8);
}

class DeafSimulations : public testing::TestWithParam<int> {};
class OutageSimulations : public testing::TestWithParam<int> {};
class CopySimulations : public testing::TestWithParam<int> {};
class RepeatedCommandSimulations : public testing::TestWithParam<int> {};
class LateWriteSimulations : public testing::TestWithParam<int> {};

void PlayAll(Kind kind, int part, int seeds) {
  const char* only = std::getenv("OXBOW_SEED");
  int starts = 0;
  int late_writes = 0;
  int repeats_refused = 0;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = static_cast<uint64_t>(part + kParts * i);
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed(TrailName(kind), seed);
    RandomRun day(seed, kind);
    const std::string wrong = day.Play();
    ASSERT_EQ(wrong, "") << "seed " << seed << ", after " << i << " others";
    starts += day.starts();
    late_writes += day.late_writes_tried();
    repeats_refused += day.repeats_refused();
  }
  EXPECT_GT(starts, seeds);
  if (kind == Kind::kLateWrites) {
    EXPECT_GT(late_writes, seeds);
  }
  if (kind == Kind::kRepeatedCommands) {
    EXPECT_GT(repeats_refused, seeds);
  }
}

TEST_P(DeafSimulations, AnswersAreLostWhileReportsArrive) {
  PlayAll(Kind::kDeaf, GetParam(), SeedsFromEnvironment(60));
}

TEST_P(CopySimulations, ReportsComeAgain) {
  PlayAll(Kind::kCopies, GetParam(), SeedsFromEnvironment(60));
}

TEST_P(OutageSimulations, WhatIsToldAsCancelledIsGoneThroughAnyOutage) {
  PlayAll(Kind::kOutages, GetParam(), SeedsFromEnvironment(40));
}

TEST_P(RepeatedCommandSimulations, NoStartIsCarriedOutAfterItWasForgotten) {
  PlayAll(Kind::kRepeatedCommands, GetParam(), SeedsFromEnvironment(40));
}

INSTANTIATE_TEST_SUITE_P(Parts, RepeatedCommandSimulations,
                         testing::Range(0, kParts));
INSTANTIATE_TEST_SUITE_P(Parts, OutageSimulations, testing::Range(0, kParts));

TEST_P(LateWriteSimulations, TransactionsAreCarriedOutLateOrTwice) {
  PlayAll(Kind::kLateWrites, GetParam(), SeedsFromEnvironment(25));
}

INSTANTIATE_TEST_SUITE_P(Parts, LateWriteSimulations,
                         testing::Range(0, kParts));
INSTANTIATE_TEST_SUITE_P(Parts, DeafSimulations, testing::Range(0, kParts));
INSTANTIATE_TEST_SUITE_P(Parts, CopySimulations, testing::Range(0, kParts));
INSTANTIATE_TEST_SUITE_P(Parts, RandomSimulations, testing::Range(0, kParts));

}  // namespace
}  // namespace oxbow::test
