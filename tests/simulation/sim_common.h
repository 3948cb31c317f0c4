// Timing and small helpers that the parts of the simulation share.
#pragma once

#include <cstdint>
#include <string>

#include "tests/sim.h"

namespace oxbow::test {

// Virtual time that one step of the simulation takes.
constexpr double kStepSeconds = 0.05;
// How long a message takes without faults.
constexpr double kLatencySeconds = 0.004;

// The name under which a worker lists a task attempt: "job/task#attempt".
inline std::string AttemptName(const std::string& job, uint32_t task,
                               uint64_t attempt) {
  return job + "/" + std::to_string(task) + "#" + std::to_string(attempt);
}

// Whether the task counts against its team's quota on its worker.
inline bool IsPresent(const SimTask& task) {
  return task.phase != TaskPhase::kExited && task.phase != TaskPhase::kFetching;
}

}  // namespace oxbow::test
