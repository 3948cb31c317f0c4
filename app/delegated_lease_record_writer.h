// Keeps the record of this controller's delegated lease in the key-value store,
// under a store lease, so that the store deletes the record once this
// controller no longer renews it. DelegatedLeaseRecord decides which step comes
// next; this class sends the requests.
//
// The coroutine Run() holds `this`, so the writer must outlive the event loop's
// run.
#pragma once

#include <string>

#include "clients/key_value_store.h"
#include "core/lease/delegated_lease.h"
#include "core/lease/delegated_lease_record.h"
#include "core/model/settings.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Writes and renews the record of one delegated lease.
class DelegatedLeaseRecordWriter {
 public:
  DelegatedLeaseRecordWriter(net::Loop& loop, const Settings& settings,
                             clients::KeyValueStoreClient& store,
                             std::string process_incarnation,
                             DelegatedLease& delegated_lease);

  // Reads, writes and renews the record. Never returns.
  net::Task<void> Run();

 private:
  // Sends the one store request that the current step of the record requires.
  net::Task<void> Advance();
  net::Task<void> ReadRecord();
  net::Task<void> CreateLease();
  net::Task<void> WriteRecord();
  net::Task<void> RenewLease();

  net::Loop& loop_;
  const Settings& settings_;
  clients::KeyValueStoreClient& store_;
  const std::string process_incarnation_;
  const std::string key_;
  DelegatedLeaseRecord record_;
};

}  // namespace oxbow::app
