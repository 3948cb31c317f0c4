#include "core/lease/zone_record.h"

#include <array>
#include <utility>

#include "core/model/state_machine.h"

namespace oxbow {
namespace {

using enum RecordStep;

constexpr std::array kChanges = {
    std::pair{kRead, kLease},  std::pair{kLease, kWrite},
    std::pair{kWrite, kRenew}, std::pair{kWrite, kRead},
    std::pair{kRenew, kRead},
};

}  // namespace

void ZoneRecord::Change(RecordStep next) {
  CheckedChange(step_, next, kChanges, "zone record");
}

void ZoneRecord::WasRead(uint64_t stamp) {
  Change(kLease);
  stamp_ = stamp;
}

void ZoneRecord::LeaseGranted(uint64_t lease_id, Time sent) {
  Change(kWrite);
  lease_id_ = lease_id;
  lease_sent_ = sent;
}

void ZoneRecord::Written(Time now) {
  Change(kRenew);
  keeper_.RecordedAnew(lease_sent_, now);
}

void ZoneRecord::NotWritten() { Change(kRead); }

void ZoneRecord::Renewed(Time sent) {
  if (step_ == kRenew) keeper_.Recorded(sent);
}

void ZoneRecord::LeaseEnded() { Change(kRead); }

}  // namespace oxbow
