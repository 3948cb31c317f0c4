#include "app/delegated_lease_record_writer.h"

#include <utility>
#include <vector>

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

// Fractions of the duration of a worker's lease: the pause between two steps,
// and the time-out of a renewal request.
constexpr double kIntervalRatio = 0.1;
constexpr double kRenewalTimeoutRatio = 0.1;

}  // namespace

DelegatedLeaseRecordWriter::DelegatedLeaseRecordWriter(
    net::Loop& loop, const Settings& settings,
    clients::KeyValueStoreClient& store, std::string process_incarnation,
    DelegatedLease& delegated_lease)
    : loop_(loop),
      settings_(settings),
      store_(store),
      process_incarnation_(std::move(process_incarnation)),
      key_(keys::Of(keys::kZone, settings.node)),
      record_(delegated_lease) {}

net::Task<void> DelegatedLeaseRecordWriter::Run() {
  for (;;) {
    const RecordStep before = record_.step();
    co_await Advance();
    // The next step follows at once if this one succeeded. After a failure, and
    // while the record only needs to be renewed, the loop pauses.
    const bool advanced = record_.step() != before &&
                          before != RecordStep::kWrite &&
                          record_.step() != RecordStep::kRenew;
    if (!advanced) {
      co_await loop_.Sleep(kIntervalRatio * settings_.workers.lease_seconds);
    }
  }
}

net::Task<void> DelegatedLeaseRecordWriter::Advance() {
  switch (record_.step()) {
    case RecordStep::kRead:
      co_await ReadRecord();
      break;
    case RecordStep::kLease:
      co_await CreateLease();
      break;
    case RecordStep::kWrite:
      co_await WriteRecord();
      break;
    case RecordStep::kRenew:
      co_await RenewLease();
      break;
  }
}

net::Task<void> DelegatedLeaseRecordWriter::ReadRecord() {
  const StoreResult read = co_await store_.Get(key_, Urgency::kLease);
  if (read.ok()) {
    const clients::KeyValue& found = read.items[0];
    record_.OnKeyReadWithLease(found.mod_revision, found.lease,
                               loop_.Refresh());
  }
  if (read.status == StoreStatus::kNotFound) record_.OnKeyRead(0);
}

net::Task<void> DelegatedLeaseRecordWriter::CreateLease() {
  const net::Time sent = loop_.Refresh();
  const StoreResult granted =
      co_await store_.CreateLease(DelegatedLeaseRecordTerm(settings_.workers));
  if (granted.ok()) record_.LeaseGranted(granted.lease_id, sent);
}

net::Task<void> DelegatedLeaseRecordWriter::WriteRecord() {
  std::vector<Precondition> preconditions{{key_, record_.mod_revision()}};
  std::vector<Mutation> mutations{
      {key_, LeaderRecord{settings_.node, process_incarnation_, 0, false}}};
  const StoreResult written =
      co_await store_.Write(std::move(preconditions), std::move(mutations),
                            Urgency::kLease, record_.lease_id());
  if (written.ok()) {
    record_.OnRecordWritten(loop_.Refresh());
  } else {
    record_.OnRecordNotWritten();
  }
}

net::Task<void> DelegatedLeaseRecordWriter::RenewLease() {
  const net::Time sent = loop_.Refresh();
  const StoreResult renewed = co_await store_.Renew(
      record_.lease_id(),
      kRenewalTimeoutRatio * settings_.workers.lease_seconds);
  if (renewed.ok()) record_.OnKeyLeaseRenewed(sent);
  if (renewed.status == StoreStatus::kNotFound) record_.LeaseEnded();
}

}  // namespace oxbow::app
