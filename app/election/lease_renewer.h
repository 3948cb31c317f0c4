// Renews the lease of the leader key, and writes the key again when the store
// has lost the lease while the right to lead is still valid.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "app/election/election_context.h"
#include "app/election/leader_key_writer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Renews for the present leader key, one renewal at a time.
class LeaseRenewer {
 public:
  // Both references must outlive this object, and this object the event loop:
  // a renewal is a detached coroutine. `on_lease_ended`: the key is not this
  // controller's any more.
  LeaseRenewer(const ElectionContext& context, LeaderKeyWriter& key_writer,
               std::function<void()> on_lease_ended)
      : context_(context),
        key_writer_(key_writer),
        on_lease_ended_(std::move(on_lease_ended)) {}

  // The key was written at this moment.
  void OnKeyWritten() { next_renewal_at_ = context_.loop.Now(); }
  void RenewIfDue(net::Time now);

 private:
  net::Task<void> Renew();
  // Whether the key was written again, under another lease.
  net::Task<bool> Retake();
  void OnRenewed(const clients::StoreResult& result, uint64_t lease_id,
                 net::Time sent_at);
  // Reports that the store has lost the lease; whether it is suspected of
  // having lost data.
  bool IsLeaseLost(uint64_t lease_id);

  const ElectionContext& context_;
  LeaderKeyWriter& key_writer_;
  const std::function<void()> on_lease_ended_;
  uint64_t reported_lease_ = 0;  // each lease that is lost is reported once
  bool is_renewing_ = false;
  net::Time next_renewal_at_ = 0;
};

}  // namespace oxbow::app
