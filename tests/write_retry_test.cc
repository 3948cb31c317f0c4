// Tests when a transaction is sent again, and how the answers to its copies are
// combined.

#include "clients/write_retry.h"

#include <gtest/gtest.h>

#include <vector>

namespace oxbow::clients {
namespace {

using enum StoreStatus;

TEST(RoundTrip, TimeoutIsAFewRoundTripsAndGrowsWhenTheyVary) {
  RoundTrip steady(3);
  EXPECT_EQ(steady.TimeoutSeconds(), 3);  // no measurement yet
  for (int i = 0; i < 50; ++i) steady.OnAnswer(0.004);
  EXPECT_GT(steady.TimeoutSeconds(), 4 * 0.004);
  EXPECT_LT(steady.TimeoutSeconds(), 10 * 0.004);
  RoundTrip varied = steady;
  varied.OnAnswer(0.3);
  EXPECT_GT(varied.TimeoutSeconds(), 0.3);
}

TEST(RoundTrip, EachTimeoutDoublesTheNextUntilAnAnswer) {
  RoundTrip trip(3);
  trip.OnAnswer(0.01);
  const double usual = trip.TimeoutSeconds();
  trip.OnTimeout();
  EXPECT_DOUBLE_EQ(trip.TimeoutSeconds(), 2 * usual);
  for (int i = 0; i < 100; ++i) trip.OnTimeout();
  EXPECT_EQ(trip.TimeoutSeconds(), 3);
  trip.OnAnswer(0.01);
  EXPECT_LE(trip.TimeoutSeconds(), usual);
}

// Tries every order of the answers to three copies: only an outcome that is
// certain for all of them may be reported.
TEST(WriteRetry, ReportsOnlyWhatHoldsWhicheverCopyArrives) {
  const std::vector<StoreStatus> all = {kOk, kConflict, kRefused, kNotExecuted,
                                        kUnknown};
  for (const StoreStatus first : all) {
    for (const StoreStatus second : all) {
      for (const StoreStatus third : all) {
        WriteRetry retry;
        for (int i = 0; i < 3; ++i) retry.OnSent();
        StoreStatus expected = kUnknown;
        bool silent = false;
        bool too_large = false;
        for (const StoreStatus answer : {first, second, third}) {
          if (expected == kUnknown && (answer == kOk || answer == kConflict)) {
            expected = answer;
          }
          silent = silent || answer == kUnknown;
          too_large = too_large || answer == kRefused;
          retry.OnAnswer(answer);
          EXPECT_EQ(retry.MaySendAgain(), !retry.decided());
        }
        if (expected == kUnknown && !silent) {
          expected = too_large ? kRefused : kNotExecuted;
        }
        EXPECT_EQ(retry.status(), expected);
        EXPECT_EQ(retry.decided(), expected != kUnknown);
        EXPECT_EQ(retry.silent(), expected == kUnknown);
      }
    }
  }
}

TEST(WriteRetry, SendsABoundedNumberOfCopies) {
  WriteRetry retry;
  int copies = 0;
  for (; retry.MaySendAgain(); ++copies) retry.OnSent();
  EXPECT_EQ(copies, 4);
  EXPECT_FALSE(retry.decided());
}

}  // namespace
}  // namespace oxbow::clients
