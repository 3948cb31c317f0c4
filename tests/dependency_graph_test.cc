// Tests of core/dependencies: what jobs inherit, a model checker that explores
// every order of events of three jobs under two leaders, and simulations of
// random graphs with crashing leaders and late writes. In the simulations
// Sim::CheckChainStart and CheckOrphanedTasks check every start independently
// of the graph.

#include "core/dependencies/dependency_graph.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <set>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

// Uses the job's estimate as its path; the jobs of SpecOf take 10 s each.
class TenSeconds : public DependencyGraph::Estimates {
 public:
  double CriticalPathSeconds(const JobSpec& spec) const override {
    return spec.estimate_seconds;
  }
  DueTimes DueTimesOf(const JobSpec& spec, Time submitted) const override {
    if (!spec.deadline_seconds) return {};
    return {submitted + *spec.deadline_seconds,
            submitted + 1.5 * *spec.deadline_seconds};
  }
};

const TenSeconds kEstimates;

std::shared_ptr<JobSpec> SpecOf(const std::string& id,
                                std::vector<std::string> dependencies) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = id;
  spec->priority = Priority::kLow;
  spec->estimate_seconds = 10;
  spec->dependencies = std::move(dependencies);
  return spec;
}

const DependencyGraph::TerminalStateOf kNobodyEnded = [](const std::string&) {
  return TerminalState::kNone;
};

TEST(DependencyGraph, InheritAlongTheLongestPathThatIsLeft) {
  DependencyGraph graph(kEstimates);
  // c depends on a and b; d depends on c and a.
  graph.Add(SpecOf("c", {"a", "b"}), 0, kNobodyEnded);
  EXPECT_EQ(graph.InheritedBy("a").priority, Priority::kLow);
  const auto last = SpecOf("d", {"c", "a"});
  last->priority = Priority::kHigh;
  last->deadline_seconds = 100;
  graph.Add(last, 50, kNobodyEnded);
  const std::vector<std::string> changed = graph.TakeChangedInheritance();
  EXPECT_EQ(std::set<std::string>(changed.begin(), changed.end()),
            (std::set<std::string>{"a", "b", "c"}));
  EXPECT_EQ(graph.InheritedBy("b").priority, Priority::kHigh);
  EXPECT_EQ(graph.InheritedBy("c").due.first, 140);
  EXPECT_EQ(graph.InheritedBy("a").due.first, 130);
  EXPECT_EQ(graph.InheritedBy("b").due.last, 180);
  graph.Remove("d");
  EXPECT_EQ(graph.InheritedBy("a").priority, Priority::kLow);
}

TEST(DependencyGraph, AWalkEndsEvenInACircleAndInALongChain) {
  DependencyGraph graph(kEstimates);
  graph.Add(SpecOf("x", {"y"}), 0, kNobodyEnded);
  graph.Add(SpecOf("y", {"x"}), 0, kNobodyEnded);
  EXPECT_EQ(graph.InheritedBy("x").priority, Priority::kLow);
  constexpr int kLength = 20'000;
  for (int i = 1; i < kLength; ++i) {
    const auto spec =
        SpecOf(fmt::format("job-{:06}", i), {fmt::format("job-{:06}", i - 1)});
    spec->deadline_seconds = 1e6;
    graph.Add(spec, 0, kNobodyEnded);
  }
  EXPECT_EQ(graph.InheritedBy("job-000000").due.first,
            1e6 - 10.0 * (kLength - 1));
  // Each job of the chain is cancelled because the one before it was.
  graph.OnTerminalState("job-000000", TerminalState::kAborted);
  int gone = 0;
  for (auto id = graph.PopDue(); id; id = graph.PopDue()) {
    graph.Remove(*id);
    graph.OnTerminalState(*id, TerminalState::kAborted);
    ++gone;
  }
  EXPECT_EQ(gone, kLength - 1);
}

// --- every order of events

enum class Rec : char {
  kWaiting = 'w',
  kLive = 'l',
  kDone = 'd',
  kAborted = 'a'
};

struct Txn {
  int job = 0;
  Rec to = Rec::kLive;
  uint64_t leader = 0;
  int mod_revision = 0;
};

// One state of the model: the records, a leader with the production
// DependencyGraph, its write in flight, and one write without a response that
// may be applied at any later time.
struct Simulation {
  std::vector<std::vector<int>> needs;
  std::array<Rec, 3> rec{};
  std::array<int, 3> mod_revision{};
  std::array<bool, 3> user_cancelled{};
  uint64_t leader = 1;
  DependencyGraph graph{kEstimates};
  std::optional<Txn> write;
  std::optional<Txn> late;
  bool lost_one = false;

  static std::string Id(int job) {
    return std::string(1, static_cast<char>('0' + job));
  }
  TerminalState TerminalStateOf(int job) const {
    return rec[job] == Rec::kDone      ? TerminalState::kDone
           : rec[job] == Rec::kAborted ? TerminalState::kAborted
                                       : TerminalState::kNone;
  }
  void TakeUp() {
    for (int job = 0; job < 3; ++job) {
      if (rec[job] != Rec::kWaiting) continue;
      std::vector<std::string> dependencies;
      for (const int need : needs[job]) dependencies.push_back(Id(need));
      graph.Add(SpecOf(Id(job), dependencies), 0,
                [this](const std::string& id) {
                  return TerminalStateOf(id[0] - '0');
                });
    }
    Next();
  }
  void Next() {
    if (write) return;
    const std::optional<std::string> id = graph.PopDue();
    if (!id) return;
    const int job = id->at(0) - '0';
    write = Txn{job,
                graph.Find(*id)->state == DependencyState::kReleasing
                    ? Rec::kLive
                    : Rec::kAborted,
                leader, mod_revision[job]};
  }
  bool Apply(const Txn& txn) {
    if (txn.leader != leader || txn.mod_revision != mod_revision[txn.job])
      return false;
    Set(txn.job, txn.to);
    return true;
  }
  void Set(int job, Rec to) {
    rec[job] = to;
    ++mod_revision[job];
    for (const int need : needs[job]) {
      ASSERT_TRUE(to != Rec::kLive || rec[need] == Rec::kDone) << "too early";
    }
    if (to != Rec::kAborted) return;
    bool may = user_cancelled[job];
    for (const int need : needs[job]) may = may || rec[need] == Rec::kAborted;
    ASSERT_TRUE(may) << "cancelled without a reason";
  }
  // The leader learns the current record, from the response to its write or
  // from a read.
  void Settle(int job) {
    if (rec[job] == Rec::kWaiting) {
      graph.RequeueDue(Id(job));
    } else {
      const DependentJob* dependent = graph.Find(Id(job));
      const bool request = dependent != nullptr &&
                           dependent->state == DependencyState::kCancelling &&
                           rec[job] == Rec::kLive;
      graph.Remove(Id(job));
      if (request) Set(job, Rec::kAborted);
      graph.OnTerminalState(Id(job), TerminalStateOf(job));
    }
    Next();
  }
  std::string Key() const {
    std::string key =
        fmt::format("{}{}{}|", lost_one, leader, write.has_value());
    for (int job = 0; job < 3; ++job) {
      const DependentJob* dependent = graph.Find(Id(job));
      key += fmt::format(
          "{}{}{}{}.{} ", static_cast<char>(rec[job]), mod_revision[job],
          user_cancelled[job],
          dependent ? static_cast<int>(dependent->state) : -1,
          dependent ? dependent->unfinished_dependencies.size() : 0);
    }
    for (const auto& txn : {write, late}) {
      if (txn) {
        key += fmt::format("{}{}{}{};", txn->job, static_cast<char>(txn->to),
                           txn->leader, txn->mod_revision);
      } else {
        key += "-;";
      }
    }
    return key;
  }
};

// Explores every order of events from every reachable state, with one branch
// for each event. Returns the number of states.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
size_t Explore(const std::vector<std::vector<int>>& needs) {
  Simulation first;
  first.needs = needs;
  for (int job = 0; job < 3; ++job) {
    first.rec[job] = needs[job].empty() ? Rec::kLive : Rec::kWaiting;
  }
  first.TakeUp();
  std::set<std::string> seen = {first.Key()};
  std::deque<Simulation> open = {first};
  while (!open.empty() && !testing::Test::HasFailure()) {
    const Simulation from = std::move(open.front());
    open.pop_front();
    const auto visit = [&](const auto& event) {
      Simulation next = from;
      event(next);
      if (seen.insert(next.Key()).second) open.push_back(std::move(next));
    };
    for (int job = 0; job < 3; ++job) {
      if (from.rec[job] == Rec::kLive) {
        visit([job](Simulation& w) {
          w.Set(job, Rec::kDone);
          w.graph.OnTerminalState(Simulation::Id(job), TerminalState::kDone);
          w.Next();
        });
      }
      if (from.rec[job] == Rec::kLive || from.rec[job] == Rec::kWaiting) {
        visit([job](Simulation& w) {
          w.user_cancelled[job] = true;
          if (w.rec[job] == Rec::kLive) {
            w.Set(job, Rec::kAborted);
            w.graph.OnTerminalState(Simulation::Id(job),
                                    TerminalState::kAborted);
          } else {
            w.graph.Cancel(Simulation::Id(job));
          }
          w.Next();
        });
      }
    }
    if (from.write) {
      visit([](Simulation& w) {  // the write is applied and answered
        const Txn txn = *std::exchange(w.write, std::nullopt);
        w.Apply(txn);
        w.Settle(txn.job);
      });
      if (!from.lost_one) {
        for (const bool at_once : {true, false}) {
          visit([at_once](Simulation& w) {  // no response: the record is read
            const Txn txn = *std::exchange(w.write, std::nullopt);
            w.lost_one = true;
            if (at_once) {
              w.Apply(txn);
            } else {
              w.late = txn;
            }
            w.Settle(txn.job);
          });
        }
      }
    } else {
      // With no write in flight, everything that was due must have been done.
      for (int job = 0; job < 3; ++job) {
        if (from.rec[job] != Rec::kWaiting) continue;
        bool all_done = true;
        for (const int need : from.needs[job]) {
          all_done = all_done && from.rec[need] == Rec::kDone;
          EXPECT_NE(from.rec[need], Rec::kAborted) << from.Key();
        }
        EXPECT_FALSE(all_done) << from.Key();
        EXPECT_FALSE(from.user_cancelled[job]) << from.Key();
      }
    }
    if (from.late) {
      visit([](Simulation& w) {
        const Txn txn = *std::exchange(w.late, std::nullopt);
        // The watch delivers the record.
        if (w.Apply(txn)) w.Settle(txn.job);
      });
    }
    if (from.leader == 1) {
      visit([](Simulation& w) {
        w.leader = 2;
        if (w.write && !w.late) w.late = w.write;
        w.write.reset();
        // A user's cancellation of a waiting job is lost with the leader that
        // received it.
        for (int job = 0; job < 3; ++job) {
          if (w.rec[job] == Rec::kWaiting) w.user_cancelled[job] = false;
        }
        w.graph = DependencyGraph(kEstimates);
        w.TakeUp();
      });
    }
  }
  return seen.size();
}

TEST(ChainStates, AChainOfThree) {
  const size_t states = Explore({{}, {0}, {1}});
  RecordProperty("states", static_cast<int>(states));
  std::printf("%zu states\n", states);
  EXPECT_GT(states, 100U);
}

TEST(ChainStates, TwoBeforeOne) {
  const size_t states = Explore({{}, {}, {0, 1}});
  RecordProperty("states", static_cast<int>(states));
  std::printf("%zu states\n", states);
  EXPECT_GT(states, 100U);
}

// --- random graphs

class DependencySimulation {
 public:
  explicit DependencySimulation(uint64_t seed) : random_(seed) {
    sim_.settings.store.txn_ops = Happens(0.5) ? 5 : 16;
    sim_.settings.teams.push_back({"t", 0, 0, 0, 0});
    MachineType type;
    type.name = "small";
    type.total = {4, 0, 64};
    type.cache_gb = 100;
    type.price = type.spot_price = 1;
    type.boot_seconds = 3;
    type.zones = {"a"};
    sim_.types["small"] = type;
    for (int i = 1; i <= 3; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "small", "a", false);
    }
    sim_.late_writes.emplace();
    sim_.late_writes->random.seed(seed ^ 0xd1b54a32d192ed03);
    sim_.late_writes->unanswered = Between(0, 0.3);
    sim_.late_writes->copied = Between(0, 0.3);
    sim_.late_writes->longest_seconds = 6;
    if (Happens(0.5)) sim_.OpenEpoch();
    sim_.Lead();
  }

  // Returns the first violation; empty if there is none.
  std::string Run() {
    for (double t = 0; t < kBusy; t += kStep) {
      if (Happens(0.06)) Submit();
      if (jobs_ > 0 && Happens(0.02)) sim_.CancelJob(Any());
      if (Happens(0.01)) sim_.Crash();
      if (sim_.leader() == nullptr && Happens(0.2)) Lead();
      sim_.Run(kStep);
      if (!sim_.broken().empty()) return sim_.broken().front();
    }
    sim_.late_writes.reset();
    sim_.old_version = false;
    sim_.Lead();
    sim_.Run(kCalm);
    if (!sim_.broken().empty()) return sim_.broken().front();
    for (int i = 1; i <= jobs_; ++i) {
      const std::string record = sim_.RecordedAs(Id(i));
      if (record != "done" && record != "aborted") {
        return Id(i) + " is left " + record;
      }
    }
    return {};
  }

 private:
  static constexpr double kStep = 0.25;  // s
  static constexpr double kBusy = 60;    // s
  static constexpr double kCalm = 120;   // s

  static std::string Id(int n) { return fmt::format("job-{:06}", n); }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  std::string Any() {
    return Id(
        std::uniform_int_distribution<int>(1, std::max(1, jobs_))(random_));
  }
  void Lead() {
    sim_.old_version = Happens(0.2);
    sim_.Lead();
  }
  void Submit() {
    JobSpec spec;
    std::set<std::string> needs;
    const int most = std::uniform_int_distribution<int>(0, 3)(random_);
    for (int i = 0; jobs_ > 0 && i < most; ++i) needs.insert(Any());
    spec.id = Id(++jobs_);
    spec.kind = Happens(0.2) ? JobKind::kGang : JobKind::kArray;
    spec.job_class = "c";
    spec.team = "t";
    spec.priority = static_cast<Priority>(1 + jobs_ % 3);
    spec.tasks = 1 + static_cast<uint32_t>(jobs_ % 2);
    spec.need = {1, 0, 1};
    spec.image = "img";
    spec.estimate_seconds = Between(1, 6);
    if (Happens(0.3)) spec.deadline_seconds = 40;
    spec.dependencies = {needs.begin(), needs.end()};
    sim_.Submit(spec);
  }

  std::mt19937_64 random_;
  Sim sim_;
  int jobs_ = 0;
};

TEST(ChainStorm, NoneTooEarlyAndNoneOrphaned) {
  const char* runs = std::getenv("OXBOW_SEEDS");
  const uint64_t seeds =
      runs == nullptr ? 12 : std::strtoull(runs, nullptr, 10);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const TrailedRun trailed("chains", seed);
    const std::string wrong = DependencySimulation(seed).Run();
    ASSERT_EQ(wrong, "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace oxbow::test
