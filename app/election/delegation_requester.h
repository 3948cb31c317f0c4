// Asks the other controllers for the promises that let this controller renew
// workers' leases while no controller leads. It asks as long as workers send
// heartbeats here that no controller may answer, and releases the promises
// afterwards.
#pragma once

#include <cstdint>
#include <optional>

#include "app/election/election_context.h"
#include "clients/peer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// The delegate's side of a delegation. The rules are in Leadership; this class
// makes the requests.
class DelegationRequester {
 public:
  // `context` must outlive this object, and this object the event loop: the
  // requests are detached coroutines.
  explicit DelegationRequester(const ElectionContext& context)
      : context_(context) {}

  // A worker has sent a heartbeat here that no controller may answer.
  void OnUnansweredWorker(net::Time now);
  // Asks for promises while a delegation is wanted, and releases them once the
  // key-value store answers again. To be called only on a follower.
  void Update(net::Time now);

 private:
  // Stops relying on promises and tells the other controllers.
  void Release(net::Time now);
  net::Task<void> AskPeer(clients::PeerClient* peer, uint64_t number,
                          net::Time sent_at);

  const ElectionContext& context_;
  std::optional<net::Time> wanted_until_;  // nullopt: never wanted
  net::Time next_request_at_ = 0;
};

}  // namespace oxbow::app
