// Runs the fuzz targets on mutations of their seeds, the same in each run.
// libFuzzer searches further (docs/operations/fuzzing.md); inputs that it finds
// are added as seeds.

#include <gtest/gtest.h>

#include <random>

#include "tests/fuzz/targets.h"

namespace oxbow::fuzz {
namespace {

class Mutator {
 public:
  explicit Mutator(uint64_t seed) : random_(seed) {}

  std::string Mutate(const std::string& seed) {
    std::string out = seed;
    for (int i = 1 + Below(6); i > 0; --i) {
      if (out.empty()) out = "x";
      const size_t at = Below(out.size());
      switch (Below(6)) {
        case 0:
          out[at] = static_cast<char>(Below(256));
          break;
        case 1:
          out.erase(at, 1 + Below(8));
          break;
        case 2:  // insert a copy of a part of the input
          out.insert(at, out.substr(Below(out.size()), 1 + Below(16)));
          break;
        case 3:
          out.insert(at, kTokens[Below(kTokens.size())]);
          break;
        case 4:
          out[at] = static_cast<char>(out[at] ^ (1 << Below(8)));
          break;
        default:
          out.resize(at);
      }
    }
    return out;
  }

 private:
  size_t Below(size_t n) { return random_() % n; }

  inline static const std::vector<std::string> kTokens = {
      "-1",
      "1e999",
      "18446744073709551616",
      "null",
      "{}",
      "[]",
      "\"",
      "\\u0000",
      std::string(5, '\0'),
      "\xff\xff\xff\xff",
      "\r\n",
      "\r\n\r\n",
      "0x",
      ": "};
  std::mt19937_64 random_;
};

class FuzzTarget : public testing::TestWithParam<size_t> {};

TEST_P(FuzzTarget, SurvivesMutatedSeeds) {
  constexpr int kRounds = 4000;
  const Target& target = Targets()[GetParam()];
  Mutator mutator(17);
  for (const std::string& seed : target.seeds) target.run(seed);
  for (int i = 0; i < kRounds; ++i) {
    target.run(mutator.Mutate(target.seeds[i % target.seeds.size()]));
  }
}

INSTANTIATE_TEST_SUITE_P(All, FuzzTarget, testing::Range<size_t>(0, 6),
                         [](const auto& info) {
                           return std::string(Targets()[info.param].name);
                         });

TEST(FuzzTargets, AreAllRun) { EXPECT_EQ(Targets().size(), 6U); }

}  // namespace
}  // namespace oxbow::fuzz
