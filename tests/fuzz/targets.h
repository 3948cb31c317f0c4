// Fuzz targets: one function for each parser of untrusted input. libFuzzer runs
// them without a time limit (OXBOW_FUZZ, clang); the tests run them on
// mutations of the seeds, from a random generator with a fixed seed.
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
