#include "core/lease/delegated_lease_record.h"

#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum RecordStep;

constexpr std::array kChanges = {
    std::pair{kRead, kLease},  std::pair{kLease, kWrite},
    std::pair{kWrite, kRenew}, std::pair{kWrite, kRead},
    std::pair{kRenew, kRead},  std::pair{kRead, kRenew},
};

}  // namespace

void DelegatedLeaseRecord::Change(RecordStep next) {
  CheckedChange(step_, next, kChanges, "delegated lease record");
}

void DelegatedLeaseRecord::WasRead(uint64_t mod_revision) {
  Change(kLease);
  mod_revision_ = mod_revision;
}

void DelegatedLeaseRecord::WasReadWithLease(uint64_t mod_revision,
                                            uint64_t key_lease, Time now) {
  if (lease_id_ != 0 && key_lease == lease_id_) {
    Written(now);
  } else {
    WasRead(mod_revision);
  }
}

void DelegatedLeaseRecord::LeaseGranted(uint64_t lease_id, Time sent) {
  Change(kWrite);
  lease_id_ = lease_id;
  lease_sent_ = sent;
}

void DelegatedLeaseRecord::Written(Time now) {
  Change(kRenew);
  delegated_lease_.RecordedAnew(lease_sent_, now);
}

void DelegatedLeaseRecord::NotWritten() { Change(kRead); }

void DelegatedLeaseRecord::Renewed(Time sent) {
  if (step_ == kRenew) delegated_lease_.Recorded(sent);
}

void DelegatedLeaseRecord::LeaseEnded() {
  Change(kRead);
  lease_id_ = 0;
}

}  // namespace oxbow
