// Every controller ends at every step of a search, a take-over, a leadership
// transfer, an outage bridged by promises or by delegates, and is back within a
// fraction of a second; then a second one ends as well, before, while and after
// the first is back. All of them are played, not drawn: a plan names them.
//
// What must hold: never two leaders at once, no leader takes an incarnation for
// over that somebody keeps alive, and a while after the last trouble somebody
// leads.

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <map>
#include <set>

#include "tests/leadership_simulation.h"

namespace oxbow::test::leadership {
namespace {

constexpr double kFrom = 12;   // when the event begins, s
constexpr double kWindow = 9;  // how long after it somebody may end, s
constexpr double kUntil = 52;  // when the account is closed, s
constexpr std::array kAway = {0.05, 0.2, 0.5};

enum class Event {
  kStart,           // all controllers begin
  kLeaderGone,      // the leader ends for ten seconds
  kHandOver,        // the leader lets go of the key
  kOutage,          // bridged by promises
  kOutageNoLeader,  // the leader ends in it: delegates by promises
  kAllGone,  // all end and are back one after the other: a delegate by key
  kLeaderRefused,  // by the key-value store alone
  kLeaderApart,    // from key-value store and peers, not from workers
  kFollowersApart,
  kLeaderLeftOut,  // after an outage the service is back, but not for it
  kOneLetIn,       // after one without a leader, for one of three alone
};
constexpr std::array kEvents = {
    Event::kStart,         Event::kLeaderGone,     Event::kHandOver,
    Event::kOutage,        Event::kOutageNoLeader, Event::kAllGone,
    Event::kLeaderRefused, Event::kLeaderApart,    Event::kFollowersApart,
    Event::kLeaderLeftOut, Event::kOneLetIn};

struct Ending {
  int node = 0;
  double at = 0;  // s
  double away = 0;
};

class Exploration : public Simulation {
 public:
  Exploration(Event event, std::vector<Ending> endings)
      : Simulation(1, /*calm=*/true),
        event_(event),
        endings_(std::move(endings)) {
    begins_ = event == Event::kStart ? 0 : kFrom;
  }
  double begins() const { return begins_; }
  // Somebody leads in the end.
  bool led_at_last() { return Leader() >= 0; }
  // Which states the controllers that ended were in.
  const std::set<LeaderState>& met() const { return met_; }

 private:
  static bool Now(double now, double at) {
    return now >= at - kStep / 2 && now < at + kStep / 2;
  }
  int Leader() {
    for (int i = 0; i < kNodes; ++i) {
      if (nodes_[i].right && nodes_[i].right->Valid(now_)) return i;
    }
    return -1;
  }
  void Plan() override {
    if (event_ != Event::kStart && Now(now_, begins_)) Begin();
    const bool no_leader =
        event_ == Event::kOutageNoLeader || event_ == Event::kOneLetIn;
    if (no_leader && Now(now_, begins_ + 0.5)) {
      const int leader = Leader();
      if (leader >= 0) End(leader, 10);
    }
    for (const Ending& e : endings_) {
      if (!Now(now_, e.at) || !nodes_[e.node].right) continue;
      met_.insert(nodes_[e.node].right->state());
      End(e.node, e.away);
    }
  }
  void Begin() {
    const int leader = std::max(0, Leader());
    switch (event_) {
      case Event::kStart:
        break;
      case Event::kLeaderGone:
        End(leader, 10);
        break;
      case Event::kHandOver:
        nodes_[leader].right->Lost();
        nodes_[leader].right->Retire();
        nodes_[leader].office = 0;
        key_.ends = now_;
        break;
      case Event::kOutage:
      case Event::kOutageNoLeader:
        outage_until_ = now_ + 7;
        break;
      case Event::kLeaderLeftOut:
        outage_until_ = now_ + 1.5;
        nodes_[leader].refused_until = now_ + 12;
        break;
      case Event::kOneLetIn:
        outage_until_ = now_ + 4;
        for (int i = 0; i < kNodes; ++i) {
          if (i != (leader + 1) % kNodes) nodes_[i].refused_until = now_ + 9;
        }
        break;
      case Event::kAllGone:
        for (int i = 0; i < kNodes; ++i) End(i, 0.2 + 2 * i);
        break;
      case Event::kLeaderRefused:
        nodes_[leader].refused_until = now_ + 7;
        break;
      case Event::kLeaderApart:
        nodes_[leader].apart_until = now_ + 7;
        break;
      case Event::kFollowersApart:
        for (int i = 0; i < kNodes; ++i) {
          if (i != leader) nodes_[i].apart_until = now_ + 7;
        }
        break;
    }
  }

  const Event event_;
  const std::vector<Ending> endings_;
  double begins_ = 0;
  std::set<LeaderState> met_;
};

class ElectionExploration : public testing::TestWithParam<Event> {};

// One ends, at every step, and in the long form (OXBOW_EXPLORE) a second as
// well.
TEST_P(ElectionExploration, EveryStepOfEveryController) {
  const bool all = std::getenv("OXBOW_EXPLORE") != nullptr;
  const double step = all ? kStep : 0.25;
  const double begins = GetParam() == Event::kStart ? 0 : kFrom;
  int played = 0;
  std::set<LeaderState> met;
  const auto play = [&](const std::vector<Ending>& endings) {
    Exploration exploration(GetParam(), endings);
    const std::string wrong = exploration.Play(kUntil);
    ++played;
    met.insert(exploration.met().begin(), exploration.met().end());
    std::string names;
    for (const Ending& e : endings) {
      names += fmt::format(" {} at {:.2f} for {:.2f}", e.node, e.at, e.away);
    }
    ASSERT_EQ(wrong, "") << "ended:" << names;
    ASSERT_TRUE(exploration.led_at_last()) << "ended:" << names;
  };
  for (double at = begins; at <= begins + kWindow; at += step) {
    for (int node = 0; node < kNodes; ++node) {
      for (const double away : kAway) {
        play({{node, at, away}});
        if (HasFatalFailure()) return;
        if (!all) continue;
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
  std::printf("%d ways played; ended in %zu kinds of state\n", played,
              met.size());
  EXPECT_GT(played, 300);
}

INSTANTIATE_TEST_SUITE_P(Events, ElectionExploration,
                         testing::ValuesIn(kEvents));

}  // namespace
}  // namespace oxbow::test::leadership
