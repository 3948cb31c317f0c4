// Decides whether a machine may get new work, and whether it has been silent
// for so long that it is suspected to have failed. Owns nothing; reads the
// machine.
#pragma once

#include "core/leader_context/leader_context.h"

namespace oxbow {

// One per leadership. All modules may call it; it changes nothing.
class MachineHealth {
 public:
  explicit MachineHealth(const LeaderContext& context);

  // Whether the machine has sent no message of any kind for longer than
  // SilenceTimeouts::suspect, which no healthy machine does.
  bool Suspect(const Machine& machine, Time now) const;
  // Whether new work may be placed on the machine: it is up and recorded, its
  // heartbeats arrive, commands get through to it, and it is not cordoned.
  bool Usable(const Machine& machine, Time now) const;

 private:
  const LeaderContext& context_;
  const SilenceTimeouts& timeouts_;
};

}  // namespace oxbow
