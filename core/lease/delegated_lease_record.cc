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
  CheckedTransition(step_, next, kChanges, "delegated lease record");
}

void DelegatedLeaseRecord::OnKeyRead(uint64_t mod_revision) {
  Change(kLease);
  mod_revision_ = mod_revision;
}

void DelegatedLeaseRecord::OnKeyReadWithLease(uint64_t mod_revision,
                                              uint64_t key_lease, Time now) {
  if (lease_id_ != 0 && key_lease == lease_id_) {
    OnRecordWritten(now);
  } else {
    OnKeyRead(mod_revision);
  }
}

void DelegatedLeaseRecord::LeaseGranted(uint64_t lease_id, Time sent) {
  Change(kWrite);
  lease_id_ = lease_id;
  lease_sent_ = sent;
}

void DelegatedLeaseRecord::OnRecordWritten(Time now) {
  Change(kRenew);
  delegated_lease_.OnRecordRewritten(lease_sent_, now);
}

void DelegatedLeaseRecord::OnRecordNotWritten() { Change(kRead); }

void DelegatedLeaseRecord::OnKeyLeaseRenewed(Time sent) {
  if (step_ == kRenew) delegated_lease_.OnRecordRenewed(sent);
}

void DelegatedLeaseRecord::LeaseEnded() {
  Change(kRead);
  lease_id_ = 0;
}

}  // namespace oxbow
