// Whether a machine may get new work, and whether it has been silent for
// suspiciously long. Owns nothing; reads the machine.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/leader_context/leader_context.h"

namespace oxbow {

class MachineHealth {
 public:
  explicit MachineHealth(LeaderContext& context);

  bool Suspect(const Machine& machine, Time now) const;
  bool Usable(const Machine& machine, Time now) const;

 private:
  LeaderContext& context_;
  const SilenceTimeouts& timeouts_;
};

}  // namespace oxbow
