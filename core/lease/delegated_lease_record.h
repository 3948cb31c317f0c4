// The record of a delegated lease, in the key-value store: by it a
// new leader tells whom it has to wait for. See docs/delegated-lease.md.
#pragma once

#include <cstdint>

#include "core/lease/delegated_lease.h"
#include "core/model/settings.h"

namespace oxbow {

// What has to be asked of the key-value store next, each once in a while.
enum class RecordStep : uint8_t {
  kRead,   // the key's stamp, which the write is conditioned on
  kLease,  // a lease for the key
  kWrite,  // the key, under the stamp that was read
  kRenew,  // its lease
};

// A controller writes its key in every life. Written without a condition, the
// write of a former life, or one that stayed unanswered, could arrive late and
// hang the key on a lease that nobody renews: it goes while its owner counts
// with it, and a new leader takes for over what is kept. Under the stamp that
// was read, of two such writes one is refused, and who is refused reads again.
class DelegatedLeaseRecord {
 public:
  explicit DelegatedLeaseRecord(DelegatedLease& lease)
      : delegated_lease_(lease) {}

  RecordStep step() const { return step_; }
  uint64_t mod_revision() const {
    return mod_revision_;
  }                                                // of the key, 0: not there
  uint64_t lease_id() const { return lease_id_; }  // to write with, to renew

  void WasRead(uint64_t mod_revision);
  // `sent`: when the lease was asked for, which it counts from.
  void LeaseGranted(uint64_t lease_id, Time sent);
  void Written(Time now);
  // Refused, or of unknown outcome.
  void NotWritten();
  void Renewed(Time sent);
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
