// The expectations of a scenario file.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "tests/scenario/runner.h"
#include "wire/names.h"

namespace oxbow::test {

void ScenarioRunner::Expect(std::istringstream& words) {
  ++expectations_;
  std::string what;
  std::string name;
  words >> what;
  if (what == "status") {
    std::string status;
    words >> name >> status;
    EXPECT_EQ(sim_.JobStatus(name), status);
    return;
  }
  if (what == "recorded") {  // waiting | live | done | aborted | none
    std::string record;
    words >> name >> record;
    EXPECT_EQ(sim_.RecordedAs(name), record);
    return;
  }
  if (what == "rollout") {
    std::string step;
    words >> name >> step;
    const auto record = sim_.RolloutOf(name);
    ASSERT_TRUE(record);
    EXPECT_EQ(wire::NameOf(wire::kRolloutStepNames, record->step), step)
        << record->reason;
    return;
  }
  if (what == "tiers") {  // built-in | recorded | last-known
    words >> name;
    const TierSource source = sim_.tiers_in_force().source();
    EXPECT_EQ(source == TierSource::kBuiltIn    ? "built-in"
              : source == TierSource::kRecorded ? "recorded"
                                                : "last-known",
              name);
    return;
  }
  if (what == "others-wait") {  // yes | no: for the best tier
    ASSERT_NE(sim_.leader(), nullptr);
    words >> name;
    EXPECT_EQ(sim_.leader()->tiers().recovery().delays_lower_tiers(),
              name == "yes");
    return;
  }
  if (what == "leading") {
    words >> name;
    EXPECT_NE(sim_.leader(), nullptr);
    EXPECT_EQ(sim_.leading(), name);
    return;
  }
  if (what == "alarm") {
    ASSERT_NE(sim_.leader(), nullptr);
    words >> name;  // yes | no
    EXPECT_EQ(!sim_.leader()->Alarms().empty(), name == "yes");
    return;
  }
  if (what == "leader") {
    words >> name;
    EXPECT_EQ(sim_.leader() != nullptr, name == "yes");
    return;
  }
  if (what == "broken") {
    broken_expected_ = true;
    return;
  }
  int actual = 0;
  if (what == "running") {
    words >> name;
    actual = sim_.CountRunning(name);
  } else if (what == "tier-of") {  // its place in the order of ranks
    words >> name;
    ASSERT_NE(sim_.leader(), nullptr);
    actual = sim_.leader()->jobs().at(name)->tier;
  } else if (what == "present") {
    words >> name;
    actual = sim_.CountPresent(name);
  } else if (what == "on") {
    words >> name;
    actual = sim_.CountOn(name);
  } else if (what == "records") {  // in the key-value store, by prefix
    words >> name;
    actual = sim_.CountRecords(name);
  } else if (what == "late-writes") {  // that were tried
    actual = sim_.late_writes_tried();
  } else if (what == "late-changes") {  // that were made, by prefix of keys
    words >> name;
    actual = sim_.CountLateChanges(name);
  } else if (what == "up") {
    actual = sim_.CountUp();
  } else if (what == "starts") {
    actual = sim_.starts();
  } else if (what == "repeats-executed") {  // batches that came once more
    actual = sim_.repeats_executed();
  } else if (what == "repeats-refused") {
    actual = sim_.repeats_refused();
  } else if (what == "deletions") {
    actual = sim_.deletions();
  } else if (what == "starts-on-deaf") {
    actual = sim_.starts_on_deaf();
  } else if (what == "held-by-dead") {
    double bound = 0;
    words >> bound;
    actual = static_cast<int>(sim_.HeldByTheDead(bound).size());
  } else if (what == "transactions") {  // of leaders, so far
    actual = sim_.transactions();
  } else if (what == "waited-with-room") {  // s, of a job or of any: all
    words >> name;
    actual = static_cast<int>(sim_.WaitedWithRoom(name == "all" ? "" : name));
  } else if (what == "phantoms") {  // tasks counted where there is none
    actual = static_cast<int>(sim_.Phantoms().size());
  } else if (what == "lost-alive") {
    actual = sim_.lost_alive();
  } else if (what == "hand-overs") {
    actual = sim_.leadership_transfers();
  } else {
    FAIL() << "unknown expectation";
  }
  std::string relation;
  int wanted = 0;
  words >> relation >> wanted;
  if (relation == "=") {
    EXPECT_EQ(actual, wanted);
  } else if (relation == ">=") {
    EXPECT_GE(actual, wanted);
  } else if (relation == "<=") {
    EXPECT_LE(actual, wanted);
  } else
    FAIL() << "unknown relation";
}

}  // namespace oxbow::test
