// Randomized simulations of maintenance windows with fault injection, mostly
// around the beginnings and ends of windows and peaks. Leaders crash, stall and
// are partitioned from the key-value store, wall clocks are wrong by up to the
// configured bound, messages are delayed and lost, and windows are recorded,
// withdrawn and lost. A separate model in true time checks every task start.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/behavior_trail.h"
#include "tests/sim.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;   // s
constexpr double kLength = 260;  // s
constexpr double kNotice =
    81.5;  // s; the minimum notice that validation requires

class MaintenanceSimulation {
 public:
  MaintenanceSimulation(uint64_t seed, int machines, double length)
      : random_(seed), machines_(machines), length_(length) {
    sim_.faults.emplace();
    RandomFaults& faults = *sim_.faults;
    faults.random.seed(seed ^ 0x9e3779b97f4a7c15);
    faults.lost = Happens(0.5) ? 0 : Between(0, 0.05);
    faults.held = Happens(0.3) ? 0 : Between(0, 0.1);
    faults.longest_seconds = Between(2, 30);
    sim_.tuning.calendar_on = 1;
    bound_ = Happens(0.5) ? 0.025 : Between(0.1, 0.7);
    sim_.settings.clock_error_ms = 1000 * bound_;
    sim_.settings.teams.push_back({"t", 0, 0, 0, 0});
    MachineType type;
    type.name = "small";
    type.total = {4, 0, 64};
    type.cache_gb = 100;
    type.boot_seconds = 3;
    type.zones = {"a", "b"};
    sim_.types["small"] = type;
    sim_.capacity["small"] = machines / 2;
    for (int i = 1; i <= machines; ++i) {
      sim_.AddWorker(fmt::format("n-{}", i), "small", i % 2 ? "a" : "b", false);
    }
    for (const std::string& name : names_) {
      sim_.AddController(name);
      sim_.controller(name).wall_off = Happens(0.5) ? bound_ : -bound_;
    }
    for (double at = 0; at < length_; at += 5) edges_.push_back(at);
    RecordAllWindows();
    sim_.forbidden = [this](const JobSpec& spec, double wall) {
      return Forbidden(spec, wall);
    };
    sim_.Lead();
  }

  // Returns the first forbidden start or other violation; empty if there is
  // none.
  std::string Run() {
    for (double t = 0; t < length_; t += kStep) {
      InjectFaults();
      sim_.Run(kStep);
      if (!sim_.broken().empty()) {
        return fmt::format("at {:.2f} s: {}", sim_.now(),
                           sim_.broken().front());
      }
      Measure();
    }
    return {};
  }

  int heavy_starts() const { return heavy_starts_; }
  int leaders() const { return leaders_; }
  // Longest time that work continued after the end of its window, s.
  double latest_end() const { return latest_end_; }
  // Average share of the windows' capacity that was in use while one was open.
  double used() const {
    return window_seconds_ > 0 ? used_seconds_ / window_seconds_ : 0;
  }
  std::string FaultSummary() const {
    return fmt::format("{} leaders, {} stalls, {} outages", leaders_, stalls_,
                       outages_);
  }

 private:
  struct Span {
    std::string id;
    double from;
    double to;
    double cancelled = 1e18;
  };

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  bool Every(double seconds) { return Happens(kStep / seconds); }

  void RecordWindow(const std::string& id, WindowKind kind,
                    const std::string& name, Overrun overrun,
                    std::vector<UtcInterval> times) {
    MaintenanceWindow window;
    window.id = id;
    window.kind = kind;
    window.work.classes = {name};
    window.overrun = overrun;
    window.capacity_share = kind == WindowKind::kWindow ? 0.5 : 1;
    window.times = std::move(times);
    for (const UtcInterval& t : window.times) {
      auto& spans = kind == WindowKind::kWindow ? windows_ : peaks_;
      spans.push_back({id, t.from, t.to});
      edges_.push_back(t.from - sim_.true_wall());
      edges_.push_back(t.to - sim_.true_wall());
    }
    sim_.Book(window);
  }
  Overrun AnyOverrun() {
    return Happens(0.33)  ? Overrun::kRunOn
           : Happens(0.5) ? Overrun::kSaveAndStop
                          : Overrun::kHoldBack;
  }
  std::vector<UtcInterval> Times(double first) {
    std::vector<UtcInterval> times;
    double at = sim_.true_wall() + first;
    while (at < sim_.true_wall() + length_) {
      const double to = at + Between(10, 25);
      times.push_back({at, to});
      at = to + Between(12, 30);
    }
    return times;
  }
  void RecordAllWindows() {
    edges_.clear();
    RecordWindow("noon", WindowKind::kPeak, "heavy", AnyOverrun(), Times(10));
    RecordWindow("extra", WindowKind::kPeak, "heavy", AnyOverrun(), Times(20));
    RecordWindow("night", WindowKind::kWindow, "rebuild", AnyOverrun(),
                 Times(15));
  }

  // Returns why the start is forbidden; empty if it is allowed. Follows the
  // definition of windows and shares no code with MaintenanceCalendar.
  std::string Forbidden(const JobSpec& spec, double wall) {
    if (spec.job_class == "heavy") {
      ++heavy_starts_;
      for (const Span& p : peaks_) {
        if (wall >= p.from && wall < p.to && wall < p.cancelled) {
          return fmt::format("in peak {}, {:.3f} s after its beginning", p.id,
                             wall - p.from);
        }
      }
    }
    if (spec.job_class != "rebuild") return {};
    ++heavy_starts_;
    for (const Span& w : windows_) {
      if (wall >= w.from && wall < w.to) return {};
    }
    return "outside every window";
  }

  // Measures each second how much of the window's capacity is in use, and how
  // long after a window's end its work still runs.
  void Measure() {
    if (sim_.now() < next_measure_) return;
    next_measure_ = sim_.now() + 1;
    const double wall = sim_.true_wall();
    double ended = 0;
    bool open = false;
    for (const Span& w : windows_) {
      open |= wall >= w.from && wall < w.to;
      if (w.to <= wall) ended = std::max(ended, w.to);
    }
    double running = 0;
    for (const auto& [host, w] : sim_.workers()) {
      if (w.dead) continue;
      for (const auto& [name, task] : w.tasks) {
        running +=
            task.phase == TaskPhase::kRunning && rebuilds_.contains(task.job);
      }
    }
    if (open) {
      window_seconds_ += 1;
      used_seconds_ +=
          running / (0.5 * 4.0 * static_cast<double>(sim_.workers().size()));
    } else if (running > 0 && ended > 0) {
      latest_end_ = std::max(latest_end_, wall - ended);
    }
  }

  bool NearEdge() const {
    const double at = sim_.now() - 100;
    for (const double edge : edges_) {
      if (at > edge - 3 && at < edge + 1) return true;
    }
    return false;
  }

  void InjectFaults() {
    const Time now = sim_.now();
    const double near = NearEdge() ? 0.2 : 1;
    if (sim_.leader() == nullptr) {
      // After 0.1 s no other controller has noticed the crash, so the same one
      // often leads again.
      if (now >= next_leader_) {
        sim_.Lead(Happens(0.3) ? sim_.leading()
                               : names_[static_cast<size_t>(Between(0, 4.99))]);
        ++leaders_;
      }
    } else if (Every(40 * near)) {
      sim_.Crash();
    }
    if (sim_.leader() != nullptr) {
      next_leader_ = now + (Happens(0.4) ? 0.1 : Between(0, 6));
    }
    if (sim_.leader() != nullptr && Every(40 * near)) {
      sim_.Stall(Between(0.2, 12));
      ++stalls_;
    }
    double due = machines_ * kStep / 24;
    for (; due >= 1; --due) Submit();
    if (Happens(due)) Submit();
    if (Every(100)) {
      store_down_until_ = now + Between(1, 40);
      ++outages_;
    }
    sim_.state_down = now < store_down_until_;
    // Partition the leader from the key-value store only; it keeps leading by
    // the promises of its peers.
    if (Every(60)) partitioned_until_[sim_.leading()] = now + Between(5, 150);
    for (const std::string& name : names_) {
      SimController& controller = sim_.controller(name);
      controller.no_state = now < partitioned_until_[name];
      if (Every(1)) controller.wall_off = Between(-bound_, bound_);
    }
    if (Every(150)) {
      sim_.LoseBookings(Between(0.2, 15));
    }
    // A peak that is recorded during the run takes effect after its notice.
    if (Every(40) && !sim_.state_down && !sim_.rebuilding() &&
        late_peaks_ < 3) {
      const double from = sim_.true_wall() + kNotice;
      RecordWindow(fmt::format("late-{}", ++late_peaks_), WindowKind::kPeak,
                   "heavy", AnyOverrun(), {{from, from + Between(5, 30)}});
    }
    if (Every(200) && !sim_.state_down && !sim_.rebuilding()) {
      // Another peak that applies to the same work is left; see
      // docs/calendar.md, limits.
      sim_.CancelBooking("extra");
      for (Span& p : peaks_) {
        if (p.id == "extra") p.cancelled = sim_.true_wall();
      }
    }
  }

  void Submit() {
    JobSpec spec;
    spec.id = fmt::format("job-{:06}", ++submitted_);
    const double kind = Between(0, 1);
    spec.job_class = kind < 0.45 ? "heavy" : kind < 0.8 ? "rebuild" : "light";
    if (spec.job_class == "rebuild") rebuilds_.insert(spec.id);
    spec.kind = Happens(0.3) ? JobKind::kGang : JobKind::kArray;
    spec.team = "t";
    spec.tasks = static_cast<uint32_t>(Between(1, 4));
    spec.need = {1, 0, 1};
    spec.image = fmt::format("img-{}", static_cast<int>(Between(0, 3)));
    spec.image_gb = 0.4;
    spec.estimate_seconds = Between(1, 12);
    spec.checkpoint_seconds = Happens(0.5) ? 1 : 0;
    spec.save_seconds = 0.5;
    sim_.Submit(spec);
  }

  std::mt19937_64 random_;
  int machines_;
  double length_;
  Sim sim_;
  const std::vector<std::string> names_ = {"a", "b", "c", "d", "e"};
  double bound_ = 0;
  std::vector<Span> windows_;
  std::vector<Span> peaks_;
  std::vector<double> edges_;
  std::set<std::string> rebuilds_;
  std::map<std::string, Time> partitioned_until_;
  Time next_leader_ = 0;
  Time store_down_until_ = 0;
  int submitted_ = 0;
  int late_peaks_ = 0;
  int heavy_starts_ = 0;
  int leaders_ = 0;
  int stalls_ = 0;
  int outages_ = 0;
  double window_seconds_ = 0;
  double used_seconds_ = 0;
  double latest_end_ = 0;
  Time next_measure_ = 0;
};

int FromEnvironment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

class BookedSimulations : public testing::TestWithParam<int> {};

constexpr int kParts = 4;

// OXBOW_CALENDAR_SEEDS, OXBOW_CALENDAR_LENGTH (s), OXBOW_CALENDAR_MACHINES.
TEST_P(BookedSimulations, NoHeavyTaskStartsInAPeak) {
  const int seeds = FromEnvironment("OXBOW_CALENDAR_SEEDS", 6);
  const int only = FromEnvironment("OXBOW_CALENDAR_SEED", -1);
  const int machines = FromEnvironment("OXBOW_CALENDAR_MACHINES", 6);
  const double length = FromEnvironment("OXBOW_CALENDAR_LENGTH", kLength);
  int heavy = 0;
  int leaders = 0;
  double used = 0;
  double latest = 0;
  for (int i = 0; i < seeds; ++i) {
    const int seed = GetParam() + kParts * i;
    if (only >= 0 && seed != only) continue;
    const TrailedRun trailed("calendar", static_cast<uint64_t>(seed));
    MaintenanceSimulation simulation(static_cast<uint64_t>(seed), machines,
                                     length);
    const std::string wrong = simulation.Run();
    ASSERT_EQ(wrong, "") << "seed " << seed << ", after " << i << " others, "
                         << simulation.FaultSummary();
    heavy += simulation.heavy_starts();
    leaders += simulation.leaders();
    used += simulation.used();
    latest = std::max(latest, simulation.latest_end());
  }
  if (only >= 0) return;
  // Without starts and changes of leader the simulation would prove nothing.
  EXPECT_GT(heavy, 20 * seeds);
  EXPECT_GT(leaders, 2 * seeds);
  std::printf(
      "%d heavy starts under %d leaders, %.2f of the windows' capacity, "
      "the last %.0f s after its window\n",
      heavy, leaders, used / seeds, latest);
}

INSTANTIATE_TEST_SUITE_P(Parts, BookedSimulations, testing::Range(0, kParts));

}  // namespace
}  // namespace oxbow::test
