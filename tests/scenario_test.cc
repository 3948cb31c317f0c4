// Runs every scenario file.

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "tests/behavior_trail.h"
#include "tests/scenario/runner.h"

namespace oxbow::test {
namespace {

std::vector<std::string> Files() {
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(OXBOW_SCENARIOS)) {
    if (entry.path().extension() == ".txt") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

class Scenario : public testing::TestWithParam<std::string> {};

TEST_P(Scenario, Holds) {
  const std::string name = std::filesystem::path(GetParam()).stem();
  const TrailedRun trailed("scenario-" + name);
  ScenarioRunner().Run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Files, Scenario, testing::ValuesIn(Files()),
                         [](const auto& info) {
                           std::string name =
                               std::filesystem::path(info.param).stem();
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(Scenarios, AreThere) { EXPECT_GE(Files().size(), 20U); }

}  // namespace
}  // namespace oxbow::test
