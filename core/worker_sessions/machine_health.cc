#include "core/worker_sessions/machine_health.h"

#include <algorithm>
#include <array>
#include <memory>

#include "core/worker_sessions/machine_limits.h"

namespace oxbow {

MachineHealth::MachineHealth(LeaderContext& context)
    : context_(context), timeouts_(context.timeouts) {}

bool MachineHealth::Suspect(const Machine& machine, Time now) const {
  return now - machine.last_heard > timeouts_.suspect;
}

// Commands may reach a machine that reaches no controller, and it answers them.
// But nothing renews its lease then: what is started there is lost with it. A
// new leader gives each worker the time that it takes to find it.
bool MachineHealth::Usable(const Machine& machine, Time now) const {
  const Time reported = std::max(
      machine.last_heartbeat,
      context_.started + kHeartbeatTimeoutSeconds + kRetryPauseSeconds);
  return now - reported <= timeouts_.suspect &&
         machine.state() == MachineState::kUp && machine.type != nullptr &&
         machine.recorded_up && machine.reported && machine.confirmed() &&
         !machine.batch_lost && machine.incarnation.alive() &&
         machine.orphaned_tasks == 0 && now >= machine.distrusted_until &&
         machine.reachability.MayTakeWork() &&
         now >= machine.direct_broken_until && !Suspect(machine, now);
}

}  // namespace oxbow
