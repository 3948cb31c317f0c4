// What the programs of the cases share: how one is started and how it ends.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include "review/deployment.h"

namespace review {

enum class Verdict : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Runs the case: `play` gets the deployment and returns the verdict.
inline int RunCase(
    int argc, char** argv, const Size& size,
    const std::function<Task<Verdict>(Loop&, Deployment&)>& play) {
  if (argc != 3) return static_cast<int>(Verdict::kCouldNotRun);
  Loop loop;
  Deployment deployment(loop, size, argv[1], argv[2]);
  Verdict verdict = Verdict::kCouldNotRun;
  const auto run = [&]() -> Task<void> {
    verdict = co_await play(loop, deployment);
    loop.Stop();
  };
  oxbow::net::Spawn(run());
  loop.Run();
  deployment.record().Line(verdict == Verdict::kBroken ? "the rule was broken"
                           : verdict == Verdict::kHeld ? "the rule held"
                                                       : "could not run");
  return static_cast<int>(verdict);
}

}  // namespace review
