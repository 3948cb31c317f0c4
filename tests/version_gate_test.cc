// VersionGate: when records may be written that an earlier version can't
// handle.

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

TEST(VersionGate, OpensOnlyWhenAllControllersHaveRecordedTheVersion) {
  VersionGate gate("a", {"b", "c"}, 3);
  gate.Update({});
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  EXPECT_EQ(gate.replaces(), 0U);
  auto versions = With({"a", "b", "stranger"});
  gate.Update(versions);
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kNothing);
  // A controller that records an earlier version.
  versions["c"] = {kRecordsVersion - 1, 8};
  gate.Update(versions);
  EXPECT_EQ(gate.state(), GateState::kClosed);
  versions["c"].version = kRecordsVersion;
  gate.Update(versions);
  EXPECT_EQ(gate.state(), GateState::kAllRecorded);
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kMark);
  versions[VersionGate::kMark] = {kRecordsVersion, 9};
  gate.Update(versions);
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kNothing);
}

TEST(VersionGate, NeverClosesAgainAndRecordsLostVersionsAgain) {
  VersionGate gate("a", {"b"}, 2);
  gate.Update(With({VersionGate::kMark}));
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  gate.Update({});  // the key-value store has lost its data
  EXPECT_TRUE(gate.open());
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kOwn);
  gate.Update(With({"a"}));
  EXPECT_EQ(gate.RequiredWrite(), GateWrite::kMark);
  // The store may also lose a recorded version before the mark is written.
  VersionGate unmarked("a", {"b"}, 2);
  unmarked.Update(With({"a", "b"}));
  unmarked.Update(With({"a"}));
  EXPECT_EQ(unmarked.state(), GateState::kClosed);
}

TEST(VersionGate, StaysClosedWhileTheSettingsCountAnUnnamedController) {
  VersionGate gate("a", {"b"}, 3);
  gate.Update(With({"a", "b"}));
  EXPECT_EQ(gate.state(), GateState::kClosed);
}

}  // namespace
}  // namespace oxbow
