// Exchanges the promises that let a leader continue through an outage of the
// key-value store. A leader asks for them; a follower gives them after it has
// probed the store itself.
#pragma once

#include "app/election/election_context.h"
#include "clients/peer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Both sides of a promise. The rules are in Leadership; this class makes and
// answers the requests.
class PromiseExchange {
 public:
  // `context` must outlive this object, and this object the event loop: the
  // requests are detached coroutines.
  explicit PromiseExchange(const ElectionContext& context)
      : context_(context) {}

  // On the leader: asks all other controllers for promises if they are needed
  // now.
  void RequestIfDue(net::Time now);

  // On the controller that is asked: returns whether it promises not to
  // campaign for leadership for Leadership::promise_seconds.
  net::Task<bool> Promise();
  // The same for a delegate, which renews workers' leases while no controller
  // leads. The promise lasts for Leadership::delegation_seconds.
  net::Task<bool> PromiseToDelegate(clients::PeerMessage request);

 private:
  net::Task<void> Request(clients::PeerClient* peer);
  // Makes a request to the store so that its client notices whether it answers
  // now.
  net::Task<void> ProbeStore();
  // Whether the store is unavailable or its contents can't be relied on.
  bool StoreFails() const;

  const ElectionContext& context_;
  net::Time next_request_at_ = 0;
  bool is_probing_ = false;
};

}  // namespace oxbow::app
