// Answers workers' heartbeats: as the leader by its own core, else by handing
// them to the leader, by renewing the worker's lease under a right to do so, or
// by redirecting the worker. Only who surely leads, or holds a bounded right,
// renews a lease.
//
// Coroutines hold `this` and copies of their arguments: the handler must
// outlive the event loop's run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "api/api.h"
#include "app/request_context.h"
#include "core/model/heartbeat.h"
#include "net/task.h"

namespace oxbow::app {

// Answers heartbeats; one per controller.
class WorkerHeartbeatHandler {
 public:
  explicit WorkerHeartbeatHandler(const RequestContext& context)
      : context_(context) {}

  // `body`: the same heartbeat, as it was received.
  net::Task<api::HeartbeatAnswer> Handle(Heartbeat heartbeat, std::string body);
  // The response of this controller's core; nothing if this controller does not
  // lead, or the heartbeat is not to be answered.
  std::optional<HeartbeatResponse> ProcessAsLeader(const Heartbeat& heartbeat);

 private:
  api::HeartbeatAnswer AnswerAsLeader(const Heartbeat& heartbeat,
                                      uint64_t revision);
  api::HeartbeatAnswer RenewOrRedirect(const Heartbeat& heartbeat);
  // The controller that the worker should turn to; empty when none is known.
  std::string RedirectTarget(const Heartbeat& heartbeat,
                             ZoneCoordinator::Renewal renewal) const;

  const RequestContext& context_;
};

}  // namespace oxbow::app
