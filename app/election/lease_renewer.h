// Renews the lease of the leader key, and writes the key again if the key-value
// store has lost the lease while the right to lead is still valid.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "app/election/election_context.h"
#include "app/election/leader_key_writer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Renews the lease of this controller's present leader key, with one request at
// a time.
class LeaseRenewer {
 public:
  // Both references must outlive this object, and this object the event loop:
  // a renewal is a detached coroutine. `on_lease_ended` is called when the key
  // is no longer this controller's.
  LeaseRenewer(const ElectionContext& context, LeaderKeyWriter& key_writer,
               std::function<void()> on_lease_ended)
      : context_(context),
        key_writer_(key_writer),
        on_lease_ended_(std::move(on_lease_ended)) {}

  // The leader key was written just now.
  void OnKeyWritten() { next_renewal_at_ = context_.loop.Now(); }
  // Starts a renewal if one is due and none is in progress.
  void RenewIfDue(net::Time now);

 private:
  net::Task<void> Renew();
  // Writes the key again under a new lease. Returns whether that succeeded.
  net::Task<bool> RewriteKey();
  void OnRenewed(const clients::StoreResult& result, uint64_t lease_id,
                 net::Time sent_at);
  // Reports that the store does not have the lease any more. Returns whether
  // the store is suspected of having lost data, so that the key may have been
  // lost with the lease.
  bool IsLeaseLost(uint64_t lease_id);

  const ElectionContext& context_;
  LeaderKeyWriter& key_writer_;
  const std::function<void()> on_lease_ended_;
  uint64_t reported_lease_ = 0;  // the lost lease that was reported last
  bool is_renewing_ = false;
  net::Time next_renewal_at_ = 0;
};

}  // namespace oxbow::app
