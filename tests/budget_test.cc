#include "clients/budget.h"

#include <gtest/gtest.h>

namespace oxbow::clients {
namespace {

// A leader's transaction was larger than its share of the changes a second:
// it was never sent, and nothing after it, for a whole day.
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

}  // namespace
}  // namespace oxbow::clients
