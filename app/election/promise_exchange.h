// The promises that carry a leader through an outage of the store: asks for
// them as the leader, and gives them as a follower that has probed the store
// itself.
#pragma once

#include "app/election/election_context.h"
#include "clients/peer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Both sides of a promise; a Leadership says what it permits.
class PromiseExchange {
 public:
  // `context` must outlive this object, and this object the event loop: the
  // requests are detached coroutines.
  explicit PromiseExchange(const ElectionContext& context)
      : context_(context) {}

  // As the leader: asks all other controllers if it wants their promises.
  void RequestIfDue(net::Time now);

  // As the one who is asked: whether this controller promises not to seek
  // leadership for a while.
  net::Task<bool> Promise();
  // The same for a delegate that renews workers' leases while nobody leads.
  net::Task<bool> PromiseToDelegate(clients::PeerMessage request);

 private:
  net::Task<void> Request(clients::PeerClient* peer);
  // Finds out whether the store answers this controller right now.
  net::Task<void> ProbeStore();
  bool StoreFails() const;

  const ElectionContext& context_;
  net::Time next_request_at_ = 0;
  bool is_probing_ = false;
};

}  // namespace oxbow::app
