// Randomized simulations round the right to lead and to keep: controllers that
// end and are back within a fraction of a second or after ten, that stall, that
// reach the key-value store or don't, outages, messages between them late, lost
// and held; workers that report to any of them. A seed makes a run.
//
// What must hold: never two leaders at once, and no leader takes an incarnation
// for over that somebody keeps alive.

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
