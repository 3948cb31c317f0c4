// Ports for servers of tests.
#include <unistd.h>

#include <exception>

#include "tests/stand_ins.h"

namespace oxbow::test {

// Below the ports that the system hands out by itself: one of those was taken
// by a stand-in or a connection before the process it was meant for had bound
// it, and its users were answered by somebody else. Each test process begins
// elsewhere.
uint16_t FreePort() {
  constexpr int kLeast = 10'000;
  constexpr int kMost = 32'000;
  constexpr int kEach = 20;
  static int next = kLeast + getpid() * kEach % (kMost - kLeast);
  for (;;) {
    const auto port = static_cast<uint16_t>(next);
    next = next + 1 < kMost ? next + 1 : kLeast;
    try {
      net::Loop loop;
      return net::Listener(loop, Local(port)).port();
    } catch (const std::exception&) {
      continue;  // in use
    }
  }
}

}  // namespace oxbow::test
