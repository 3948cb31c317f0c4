#include "core/worker_sessions/machine_health.h"

#include <algorithm>

namespace oxbow {

MachineHealth::MachineHealth(const LeaderContext& context)
    : context_(context), timeouts_(context.timeouts) {}

bool MachineHealth::Suspect(const Machine& machine, Time now) const {
  return now - machine.last_heard > timeouts_.suspect;
}

// Commands may reach a machine that reaches no controller, and it answers them.
// But nothing renews its lease then: what is started there is lost when the
// lease expires. A new leader gives each worker the time to find it.
bool MachineHealth::Usable(const Machine& machine, Time now) const {
  const Time last_heartbeat = std::max(
      machine.last_heartbeat,
      context_.started + kHeartbeatTimeoutSeconds + kRetryPauseSeconds);
  return now - last_heartbeat <= timeouts_.suspect &&
         machine.state() == MachineState::kUp && machine.type != nullptr &&
         machine.recorded_up && machine.reported && machine.confirmed() &&
         !machine.batch_lost && machine.incarnation.alive() &&
         machine.orphaned_tasks == 0 && now >= machine.cordoned_until &&
         machine.reachability.MayTakeWork() &&
         now >= machine.direct_commands_disabled_until &&
         !Suspect(machine, now);
}

}  // namespace oxbow
