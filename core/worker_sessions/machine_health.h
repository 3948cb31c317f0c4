// Whether a machine may get new work, and whether it has been silent for
// suspiciously long. Owns nothing; reads the machine.
#pragma once

#include "core/leader_context/leader_context.h"

namespace oxbow {

// One per leadership; const, asked by all modules.
class MachineHealth {
 public:
  explicit MachineHealth(const LeaderContext& context);

  // Whether no message of the machine has arrived for longer than a healthy one
  // is silent.
  bool Suspect(const Machine& machine, Time now) const;
  // Whether new work may be placed on the machine.
  bool Usable(const Machine& machine, Time now) const;

 private:
  const LeaderContext& context_;
  const SilenceTimeouts& timeouts_;
};

}  // namespace oxbow
