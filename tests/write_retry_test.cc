// When a transaction is sent again, and what its copies' answers mean.

#include "clients/write_retry.h"

#include <gtest/gtest.h>

#include <vector>

namespace oxbow::clients {
namespace {

using enum StoreStatus;

TEST(RoundTrip, AFewOfThemAreWaitedForMoreWhenTheyVary) {
  RoundTrip steady(3);
  EXPECT_EQ(steady.SilenceTimeout(), 3);  // nothing is known
  for (int i = 0; i < 50; ++i) steady.Answered(0.004);
  EXPECT_GT(steady.SilenceTimeout(), 4 * 0.004);
  EXPECT_LT(steady.SilenceTimeout(), 10 * 0.004);
  RoundTrip varied = steady;
  varied.Answered(0.3);
  EXPECT_GT(varied.SilenceTimeout(), 0.3);
}

TEST(RoundTrip, SilenceDoublesThePatienceUntilThereIsAnAnswer) {
  RoundTrip trip(3);
  trip.Answered(0.01);
  const double usual = trip.SilenceTimeout();
  trip.Missed();
  EXPECT_DOUBLE_EQ(trip.SilenceTimeout(), 2 * usual);
  for (int i = 0; i < 100; ++i) trip.Missed();
  EXPECT_EQ(trip.SilenceTimeout(), 3);
  trip.Answered(0.01);
  EXPECT_LE(trip.SilenceTimeout(), usual);
}

// Every order of answers to up to three copies: only what is certain of all of
// them is told.
TEST(WriteRetry, TellsOnlyWhatHoldsWhicheverCopyArrives) {
  const std::vector<StoreStatus> all = {kOk, kConflict, kRefused, kNotExecuted,
                                        kUnknown};
  for (const StoreStatus first : all) {
    for (const StoreStatus second : all) {
      for (const StoreStatus third : all) {
        WriteRetry retry;
        for (int i = 0; i < 3; ++i) retry.Sent();
        StoreStatus told = kUnknown;
        bool silent = false;
        bool too_large = false;
        for (const StoreStatus answer : {first, second, third}) {
          if (told == kUnknown && (answer == kOk || answer == kConflict)) {
            told = answer;
          }
          silent = silent || answer == kUnknown;
          too_large = too_large || answer == kRefused;
          retry.OnAnswer(answer);
          EXPECT_EQ(retry.MaySendAgain(), !retry.decided());
        }
        if (told == kUnknown && !silent) {
          told = too_large ? kRefused : kNotExecuted;
        }
        EXPECT_EQ(retry.status(), told);
        EXPECT_EQ(retry.decided(), told != kUnknown);
        EXPECT_EQ(retry.silent(), told == kUnknown);
      }
    }
  }
}

TEST(WriteRetry, IsBounded) {
  WriteRetry retry;
  int copies = 0;
  for (; retry.MaySendAgain(); ++copies) retry.Sent();
  EXPECT_EQ(copies, 4);
  EXPECT_FALSE(retry.decided());
}

}  // namespace
}  // namespace oxbow::clients
