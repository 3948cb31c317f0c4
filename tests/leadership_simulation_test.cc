// Randomized simulations of the right to lead and of the right to keep workers
// alive. Controllers restart within a fraction of a second or after ten, stall,
// or lose the key-value store. The store has outages, and messages between
// controllers are late, lost or held back. Workers report to any controller.
// The seed determines the whole run.
//
// There must never be two leaders at once, and no leader may take a worker's
// incarnation for ended while some controller keeps it alive.

#include "tests/leadership_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/behavior_trail.h"

namespace oxbow::test::leadership {
namespace {

class LeadershipSimulations : public testing::TestWithParam<int> {};

constexpr int kParts = 8;

TEST_P(LeadershipSimulations, NoTwoLeadersAndNothingKeptIsTakenForOver) {
  const char* text = std::getenv("OXBOW_SEEDS");
  const char* only = std::getenv("OXBOW_SEED");
  const int seeds = text == nullptr ? 300 : std::atoi(text);
  int expired = 0;
  int kept = 0;
  int led = 0;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = static_cast<uint64_t>(GetParam() + kParts * i);
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed("leadership", seed);
    Simulation simulation(seed);
    ASSERT_EQ(simulation.Play(), "") << "seed " << seed << ", after " << i;
    expired += simulation.expired();
    kept += simulation.kept();
    led += simulation.led();
  }
  if (only != nullptr) return;
  EXPECT_GT(expired, seeds);
  EXPECT_GT(kept, seeds);
  EXPECT_GT(led, 3 * seeds);
}

INSTANTIATE_TEST_SUITE_P(Parts, LeadershipSimulations,
                         testing::Range(0, kParts));

}  // namespace
}  // namespace oxbow::test::leadership
