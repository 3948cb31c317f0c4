// From when on jobs may wait for others.

#include "core/upgrade/version_gate.h"

#include <gtest/gtest.h>

namespace oxbow {
namespace {

VersionGate::Versions With(const std::vector<std::string>& names) {
  VersionGate::Versions versions;
  for (const std::string& name : names) {
    versions[name] = {kRecordsVersion, 7};
  }
  return versions;
}

TEST(VersionGate, OpensOnlyWhenAllHaveRecordedTheVersion) {
  VersionGate gate("a", {"b", "c"}, 3);
  gate.See({});
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  EXPECT_EQ(gate.replaces(), 0U);
  auto versions = With({"a", "b", "stranger"});
  gate.See(versions);
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kNothing);
  // One that runs an earlier version, should it ever record it.
  versions["c"] = {kRecordsVersion - 1, 8};
  gate.See(versions);
  EXPECT_EQ(gate.state(), GateState::kClosed);
  versions["c"].version = kRecordsVersion;
  gate.See(versions);
  EXPECT_EQ(gate.state(), GateState::kAllSeen);
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kMark);
  versions[VersionGate::kMark] = {kRecordsVersion, 9};
  gate.See(versions);
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kNothing);
}

TEST(VersionGate, NeverClosesAgainAndRecordsAnewWhatIsLost) {
  VersionGate gate("a", {"b"}, 2);
  gate.See(With({VersionGate::kMark}));
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  gate.See({});  // the key-value store has lost its data
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  gate.See(With({"a"}));
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kMark);
  // What was seen and not marked may be lost as well.
  VersionGate unmarked("a", {"b"}, 2);
  unmarked.See(With({"a", "b"}));
  unmarked.See(With({"a"}));
  EXPECT_EQ(unmarked.state(), GateState::kClosed);
}

TEST(VersionGate, StaysClosedForAControllerThatIsNotNamed) {
  VersionGate gate("a", {"b"}, 3);
  gate.See(With({"a", "b"}));
  EXPECT_EQ(gate.state(), GateState::kClosed);
}

}  // namespace
}  // namespace oxbow
