// The record of this controller's delegated lease in the key-value store: from
// the records a new leader knows which delegates it has to wait for. See
// docs/delegated-lease.md.
#pragma once

#include <cstdint>

#include "core/lease/delegated_lease.h"
#include "core/model/settings.h"

namespace oxbow {

// The next request to the key-value store, each repeated until it succeeds.
enum class RecordStep : uint8_t {
  kRead,   // the key's mod revision, the precondition of the write
  kLease,  // a lease for the key
  kWrite,  // the key, if its mod revision is still the one that was read
  kRenew,  // its lease
};

// A controller writes its key after every start. Without a precondition, the
// write of a former process, or one that stayed unanswered, could arrive late
// and attach the key to a lease that nobody renews: the key would expire while
// its owner relies on it, and a new leader would treat as expired what the
// owner renews. With the mod revision as precondition, of two such writes one
// is refused, and whoever is refused reads again. A write without an answer is
// known to stand if the key is found attached to the lease it was made with:
// nobody else writes under that.
class DelegatedLeaseRecord {
 public:
  explicit DelegatedLeaseRecord(DelegatedLease& lease)
      : delegated_lease_(lease) {}

  RecordStep step() const { return step_; }
  // Of the key as read; 0: it does not exist.
  uint64_t mod_revision() const { return mod_revision_; }
  // To write the key with, and to renew.
  uint64_t lease_id() const { return lease_id_; }

  void OnKeyRead(uint64_t mod_revision);
  // As above. `key_lease`: that the key is attached to; 0 for none.
  void OnKeyReadWithLease(uint64_t mod_revision, uint64_t key_lease, Time now);
  // `sent`: when the lease was asked for; it counts from then.
  void LeaseGranted(uint64_t lease_id, Time sent);
  void OnRecordWritten(Time now);
  // Refused, or of unknown outcome.
  void OnRecordNotWritten();
  void OnKeyLeaseRenewed(Time sent);
  // The lease has ended, and the key with it.
  void LeaseEnded();

 private:
  void Change(RecordStep next);

  DelegatedLease& delegated_lease_;
  RecordStep step_ = RecordStep::kRead;
  uint64_t mod_revision_ = 0;
  uint64_t lease_id_ = 0;
  Time lease_sent_ = 0;
};

}  // namespace oxbow
