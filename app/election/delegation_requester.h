// Asks the other controllers for the right to renew workers' leases while
// nobody leads, as long as workers want it, and gives it back.
#pragma once

#include <cstdint>
#include <optional>

#include "app/election/election_context.h"
#include "clients/peer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// The side of the delegate; a Leadership says what a delegation permits.
class DelegationRequester {
 public:
  // `context` must outlive this object, and this object the event loop: the
  // requests are detached coroutines.
  explicit DelegationRequester(const ElectionContext& context)
      : context_(context) {}

  // A worker has sent a heartbeat here that nobody may answer.
  void OnUnansweredWorker(net::Time now);
  // Asks while it is wanted, and gives back once the store answers again. Only
  // for a follower.
  void Update(net::Time now);

 private:
  void Release(net::Time now);
  net::Task<void> AskPeer(clients::PeerClient* peer, uint64_t number,
                          net::Time sent_at);

  const ElectionContext& context_;
  std::optional<net::Time> wanted_until_;  // none: never wanted
  net::Time next_request_at_ = 0;
};

}  // namespace oxbow::app
