// Entry point for libFuzzer. The environment variable OXBOW_FUZZ_TARGET selects
// the target by its name in Targets().
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "tests/fuzz/targets.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const oxbow::fuzz::Target* target = [] {
    const char* name = std::getenv("OXBOW_FUZZ_TARGET");
    for (const auto& t : oxbow::fuzz::Targets()) {
      if (name != nullptr && std::strcmp(name, t.name) == 0) return &t;
    }
    std::fprintf(stderr, "OXBOW_FUZZ_TARGET must be one of:");
    for (const auto& t : oxbow::fuzz::Targets()) {
      std::fprintf(stderr, " %s", t.name);
    }
    std::fprintf(stderr, "\n");
    std::exit(2);
  }();
  target->run({reinterpret_cast<const char*>(data), size});
  return 0;
}
