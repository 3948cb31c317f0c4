// What strangers' bytes reach: one function for each reader of them. Run by
// libFuzzer (OXBOW_FUZZ, clang) for as long as one likes, and in the tests over
// mutations of the seeds, from a fixed generator.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace oxbow::fuzz {

struct Target {
  const char* name;
  // Aborts, or lets a sanitizer abort, on a defect.
  void (*run)(std::string_view bytes);
  std::vector<std::string> seeds;
};

const std::vector<Target>& Targets();

}  // namespace oxbow::fuzz
