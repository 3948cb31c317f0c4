// Restarts every controller at every step of an election, a failover, a
// leadership transfer, and an outage bridged by promises or by delegates; each
// is back within a fraction of a second. The long form restarts a second
// controller as well: before, while and after the first is back. The plans are
// enumerated, not random.
//
// What must hold: there are never two leaders at once, no leader takes a worker
// incarnation for expired that another controller keeps alive, and some time
// after the last fault somebody leads.

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <map>
#include <set>

#include "tests/leadership_simulation.h"

namespace oxbow::test::leadership {
namespace {

constexpr double kEventSeconds = 12;  // when the event begins
constexpr double kWindowSeconds = 9;  // how long after it restarts begin
constexpr double kUntilSeconds = 52;  // when the simulation ends
constexpr std::array kAwaySeconds = {0.05, 0.2, 0.5};

enum class Event {
  kStart,               // all controllers start
  kLeaderDown,          // the leader is away for ten seconds
  kLeadershipTransfer,  // the leader releases the key
  kOutage,              // of the store, bridged by promises
  kOutageNoLeader,      // the leader ends in it: delegates by promises
  kAllDown,             // all end and return one after the other: by the key
  kLeaderRefused,       // by the store alone
  kLeaderIsolated,      // from the store and the peers, not from workers
  kFollowersIsolated,
  kOutageLastsForLeader,  // the store is back, but not for the leader
  kOutageEndsForOne,      // without a leader: back for one of three alone
};
constexpr std::array kEvents = {Event::kStart,
                                Event::kLeaderDown,
                                Event::kLeadershipTransfer,
                                Event::kOutage,
                                Event::kOutageNoLeader,
                                Event::kAllDown,
                                Event::kLeaderRefused,
                                Event::kLeaderIsolated,
                                Event::kFollowersIsolated,
                                Event::kOutageLastsForLeader,
                                Event::kOutageEndsForOne};

// A controller ends and is started again.
struct Restart {
  int node = 0;
  double at_seconds = 0;
  double away_seconds = 0;
};

class Exploration : public Simulation {
 public:
  Exploration(Event event, std::vector<Restart> restarts)
      : Simulation(1, /*calm=*/true),
        event_(event),
        restarts_(std::move(restarts)) {
    begins_ = event == Event::kStart ? 0 : kEventSeconds;
  }
  double begins() const { return begins_; }
  // Whether somebody leads at the end.
  bool HasLeader() { return Leader() >= 0; }
  // The states in which controllers were restarted.
  const std::set<LeaderState>& states() const { return states_; }

 private:
  bool IsNow(double at) const {
    return now_ >= at - kStep / 2 && now_ < at + kStep / 2;
  }
  int Leader() {
    for (int i = 0; i < kNodes; ++i) {
      if (nodes_[i].right && nodes_[i].right->MayActAsLeader(now_)) return i;
    }
    return -1;
  }
  void Plan() override {
    if (event_ != Event::kStart && IsNow(begins_)) Begin();
    const bool no_leader =
        event_ == Event::kOutageNoLeader || event_ == Event::kOutageEndsForOne;
    if (no_leader && IsNow(begins_ + 0.5)) {
      const int leader = Leader();
      if (leader >= 0) End(leader, 10);
    }
    for (const Restart& restart : restarts_) {
      if (!IsNow(restart.at_seconds) || !nodes_[restart.node].right) continue;
      states_.insert(nodes_[restart.node].right->state());
      End(restart.node, restart.away_seconds);
    }
  }
  void Begin() {
    const int leader = std::max(0, Leader());
    switch (event_) {
      case Event::kStart:
        break;
      case Event::kLeaderDown:
        End(leader, 10);
        break;
      case Event::kLeadershipTransfer:
        nodes_[leader].right->OnKeyLost();
        nodes_[leader].right->BecomeFollower();
        nodes_[leader].office = 0;
        key_.ends = now_;
        break;
      case Event::kOutage:
      case Event::kOutageNoLeader:
        outage_until_ = now_ + 7;
        break;
      case Event::kOutageLastsForLeader:
        outage_until_ = now_ + 1.5;
        nodes_[leader].refused_until = now_ + 12;
        break;
      case Event::kOutageEndsForOne:
        outage_until_ = now_ + 4;
        for (int i = 0; i < kNodes; ++i) {
          if (i != (leader + 1) % kNodes) nodes_[i].refused_until = now_ + 9;
        }
        break;
      case Event::kAllDown:
        for (int i = 0; i < kNodes; ++i) End(i, 0.2 + 2 * i);
        break;
      case Event::kLeaderRefused:
        nodes_[leader].refused_until = now_ + 7;
        break;
      case Event::kLeaderIsolated:
        nodes_[leader].apart_until = now_ + 7;
        break;
      case Event::kFollowersIsolated:
        for (int i = 0; i < kNodes; ++i) {
          if (i != leader) nodes_[i].apart_until = now_ + 7;
        }
        break;
    }
  }

  const Event event_;
  const std::vector<Restart> restarts_;
  double begins_ = 0;
  std::set<LeaderState> states_;
};

class ElectionExploration : public testing::TestWithParam<Event> {};

// One controller is restarted at every step, and in the long form
// (OXBOW_EXPLORE) a second one as well.
TEST_P(ElectionExploration, RestartAtEveryStepLeavesOneLeader) {
  const bool is_long = std::getenv("OXBOW_EXPLORE") != nullptr;
  const double step = is_long ? kStep : 0.25;
  const double begins = GetParam() == Event::kStart ? 0 : kEventSeconds;
  int played = 0;
  std::set<LeaderState> states;
  const auto play = [&](const std::vector<Restart>& restarts) {
    Exploration exploration(GetParam(), restarts);
    const std::string violation = exploration.Play(kUntilSeconds);
    ++played;
    states.insert(exploration.states().begin(), exploration.states().end());
    std::string names;
    for (const Restart& restart : restarts) {
      names += fmt::format(" {} at {:.2f} for {:.2f}", restart.node,
                           restart.at_seconds, restart.away_seconds);
    }
    ASSERT_EQ(violation, "") << "restarted:" << names;
    ASSERT_TRUE(exploration.HasLeader()) << "restarted:" << names;
  };
  for (double at = begins; at <= begins + kWindowSeconds; at += step) {
    for (int node = 0; node < kNodes; ++node) {
      for (const double away : kAwaySeconds) {
        play({{node, at, away}});
        if (HasFatalFailure()) return;
        if (!is_long) continue;
        for (const double later : {0.0, 0.05, 0.15, 0.3, 0.6, 1.5}) {
          for (int other = 0; other < kNodes; ++other) {
            play({{node, at, away}, {other, at + later, 0.05}});
            play({{node, at, away}, {other, at + later, 0.3}});
            if (HasFatalFailure()) return;
          }
        }
      }
    }
  }
  std::printf("%d plans played; restarts in %zu kinds of state\n", played,
              states.size());
  EXPECT_GT(played, 300);
}

INSTANTIATE_TEST_SUITE_P(Events, ElectionExploration,
                         testing::ValuesIn(kEvents));

}  // namespace
}  // namespace oxbow::test::leadership
