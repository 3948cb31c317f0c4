// The record of this controller's delegated lease in the key-value store. From
// these records a new leader knows which controllers may still renew workers'
// leases as delegates. See docs/delegated-lease.md.
#pragma once

#include <cstdint>

#include "core/lease/delegated_lease.h"
#include "core/model/settings.h"

namespace oxbow {

// The request that is made to the key-value store next.
enum class RecordStep : uint8_t {
  kRead,   // read the key's mod revision, the precondition of the write
  kLease,  // create a lease for the key
  kWrite,  // write the key, if its mod revision is still the one that was read
  kRenew,  // renew the lease of the key
};

// The state machine of writing and renewing the record. A controller writes its
// key after every start. Without a precondition, a write by an earlier process,
// or one that was not answered, could be applied late and attach the key to a
// lease that no process renews. The key would then expire while its owner
// relies on it, and a new leader would treat workers as expired whose leases
// the owner renews. With the mod revision as precondition, only one of two such
// writes succeeds, and the process whose write is rejected reads the key again.
// A write without an answer is known to have succeeded if the key is found
// attached to the lease of that write, since no other process writes under that
// lease.
class DelegatedLeaseRecord {
 public:
  explicit DelegatedLeaseRecord(DelegatedLease& lease)
      : delegated_lease_(lease) {}

  RecordStep step() const { return step_; }
  // The mod revision of the key as it was read; 0: the key does not exist.
  uint64_t mod_revision() const { return mod_revision_; }
  // The lease to write the key under, and to renew.
  uint64_t lease_id() const { return lease_id_; }

  // The key was read.
  void OnKeyRead(uint64_t mod_revision);
  // As above. `key_lease`: the lease that the key is attached to; 0 for none.
  void OnKeyReadWithLease(uint64_t mod_revision, uint64_t key_lease, Time now);
  // A lease for the key was created by a request sent at `sent`; it counts from
  // then.
  void LeaseGranted(uint64_t lease_id, Time sent);
  // The key was written.
  void OnRecordWritten(Time now);
  // The write of the key was rejected, or its outcome is unknown.
  void OnRecordNotWritten();
  // The lease of the key was renewed by a request sent at `sent`.
  void OnKeyLeaseRenewed(Time sent);
  // The lease has ended, and with it the key.
  void LeaseEnded();

 private:
  // The only function that changes the step.
  void Change(RecordStep next);

  DelegatedLease& delegated_lease_;
  RecordStep step_ = RecordStep::kRead;
  uint64_t mod_revision_ = 0;
  uint64_t lease_id_ = 0;
  Time lease_sent_ = 0;  // when the lease was requested
};

}  // namespace oxbow
