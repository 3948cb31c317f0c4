// Model checking of replica moves: explores every order of events in a small
// cluster, and shows that leaving out a safety check is detected.

#include "core/rebalancing/rebalancer.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <string>

#include "tests/replica_move_explorer.h"

namespace oxbow {
namespace {

using move_explorer::Explorer;
using move_explorer::Without;

int Ticks() {
  const char* text = std::getenv("OXBOW_MOVE_TICKS");
  return text == nullptr ? 3 : std::atoi(text);
}

TEST(Moves, EveryOrderOfEventsKeepsTheFloorAndOneCopy) {
  Explorer explorer({}, Ticks());
  EXPECT_EQ(explorer.Run(), "");
  fmt::print("{} states, moves given up {}\n", explorer.states(),
             explorer.given_up());
  EXPECT_GT(explorer.given_up(), 0U);
}

TEST(Moves, EveryOrderOfEventsAfterALeaderDiedInTheMiddle) {
  Explorer explorer({}, Ticks());
  EXPECT_EQ(explorer.Run(/*mid_move=*/true), "");
  fmt::print("{} states, moves settled {}, given up {}\n", explorer.states(),
             explorer.settled(), explorer.given_up());
  EXPECT_GT(explorer.settled(), 0U);
  EXPECT_GT(explorer.given_up(), 0U);
}

TEST(Moves, EachGuardIsMissed) {
  struct Case {
    const char* name;
    Without without;
    int ticks;
    bool mid_move;
  };
  // Two checks keep late commands of an earlier leader from stopping a second
  // replica. Each covers for the other, so both are left out together.
  const std::array cases = {
      Case{"whole", {.whole = true}, 4, false},
      Case{"gone", {.gone = true}, 4, false},
      Case{"token and cool-off", {.token = true, .cool_off = true}, 5, true},
  };
  for (const Case& guard : cases) {
    Explorer explorer(guard.without, guard.ticks);
    const std::string bad = explorer.Run(guard.mid_move);
    fmt::print("without {}: {} after {} states\n", guard.name, bad,
               explorer.states());
    EXPECT_NE(bad, "") << guard.name;
  }
}

}  // namespace
}  // namespace oxbow
