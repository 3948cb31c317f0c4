#include "clients/budget.h"

#include <gtest/gtest.h>

namespace oxbow::clients {
namespace {

// Guards against a transaction that is never sent because it is larger than the
// controller's share of the changes per second. That once blocked all of the
// leader's later transactions for a whole day.
TEST(Budget, AnAmountLargerThanTheShareIsPaidBackNotRefusedForEver) {
  Budget budget(20, 1.0);
  EXPECT_TRUE(budget.Take(Urgency::kLeader, 24, 1));
  EXPECT_FALSE(budget.Take(Urgency::kLeader, 24, 1.5));
  EXPECT_FALSE(budget.Take(Urgency::kUser, 1, 1.1));
  EXPECT_TRUE(budget.Take(Urgency::kUser, 1, 1.5));
  EXPECT_TRUE(budget.Take(Urgency::kLeader, 24, 4));
}

TEST(Budget, TheLessUrgentLeaveSomeForTheRest) {
  Budget budget(20, 1.0);
  int background = 0;
  while (budget.Take(Urgency::kBackground, 1, 1)) ++background;
  int leader = 0;
  while (budget.Take(Urgency::kLeader, 1, 1)) ++leader;
  int user = 0;
  while (budget.Take(Urgency::kUser, 1, 1)) ++user;
  EXPECT_GT(background, 0);
  EXPECT_GT(leader, 0);
  EXPECT_GT(user, 0);
  EXPECT_EQ(background + leader + user, 20);
  EXPECT_TRUE(budget.Take(Urgency::kLease, 1, 1));  // renewals always pass
}

TEST(Budget, ReadsByUsersBeyondTheShareDoNotStarveTheLeader) {
  constexpr double kShare = 180;  // requests per second
  constexpr double kStepSeconds = 0.001;
  constexpr int kSteps = 10'000;
  constexpr int kBurstSteps = 2'000;  // by then the initial burst is used up
  Budget budget(kShare, 1.0);
  int by_users = 0;
  int by_leader = 0;
  for (int step = 0; step < kBurstSteps + kSteps; ++step) {
    const net::Time now = step * kStepSeconds;
    const bool user = budget.Take(Urgency::kUser, 1, now);
    const bool leader = budget.Take(Urgency::kLeader, 1, now);
    if (step < kBurstSteps) continue;
    by_users += user ? 1 : 0;
    by_leader += leader ? 1 : 0;
  }
  const double of_share = kShare * kSteps * kStepSeconds;
  EXPECT_GT(by_leader, 0.1 * of_share);
  EXPECT_GT(by_users, 0.5 * of_share);
  EXPECT_LE(by_leader + by_users, of_share + 1);
}

}  // namespace
}  // namespace oxbow::clients
