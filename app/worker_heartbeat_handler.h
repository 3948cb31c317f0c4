// Answers workers' heartbeats. The leader answers from its own core. Any other
// controller forwards the heartbeat to the leader, renews the worker's lease if
// it has a right to do so, or redirects the worker. A controller renews a lease
// only if it is certain to be the leader or holds a time-limited right to
// renew.
//
// Coroutines hold `this` and copies of their arguments, so the handler must
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

// Answers the heartbeats that one controller receives.
class WorkerHeartbeatHandler {
 public:
  explicit WorkerHeartbeatHandler(const RequestContext& context)
      : context_(context) {}

  // `body` is the same heartbeat as the text that was received.
  net::Task<api::HeartbeatAnswer> Handle(Heartbeat heartbeat, std::string body);
  // Returns the response of this controller's core, or nothing if this
  // controller does not lead or the heartbeat must not be answered.
  std::optional<HeartbeatResponse> ProcessAsLeader(const Heartbeat& heartbeat);

 private:
  api::HeartbeatAnswer AnswerAsLeader(const Heartbeat& heartbeat,
                                      uint64_t revision);
  api::HeartbeatAnswer RenewOrRedirect(const Heartbeat& heartbeat);
  // The name of the controller to which the worker should send its heartbeats;
  // empty if none is known.
  std::string RedirectTarget(const Heartbeat& heartbeat,
                             ZoneCoordinator::Renewal renewal) const;

  const RequestContext& context_;
};

}  // namespace oxbow::app
