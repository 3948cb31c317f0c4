// What each class of the recovery from data loss in the key-value store works
// with. The RecoveryCoordinator owns the one instance; the objects referred to
// live as long as the process, so a coroutine may use them over a suspension.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "app/leader_health_coordinator.h"
#include "app/store_watcher.h"
#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/settings.h"
#include "core/recovery/store_epoch.h"
#include "net/loop.h"

namespace oxbow::app {

// References to the rest of the controller, and what follows from them.
struct RecoveryContext {
  net::Loop& loop;
  const Settings& settings;
  const Tuning& tuning;
  Catalog& catalog;
  clients::KeyValueStoreClient& store;
  StoreWatcher& watcher;
  const LeaderHealthCoordinator::Peers& peers;
  // Whether this controller acts as the leader at this moment.
  std::function<bool()> is_leading;

  // Whether data loss is looked for at all.
  bool IsEnabled() const { return tuning.recovery_checks > 0; }

  // Seconds between two rounds of something that is tried until it succeeds.
  double RoundPauseSeconds() const {
    constexpr double kHeartbeatIntervals = 0.1;
    return kHeartbeatIntervals * settings.workers.heartbeat_interval_seconds;
  }

  // The highest term that a leader known to this controller can have.
  uint64_t HighestTerm() const {
    return TermOf(catalog.epoch(), store.highest());
  }
};

// The job that a live or waiting record belongs to; empty for other records.
inline std::string JobIdOfKey(const std::string& key) {
  for (const std::string_view prefix : {keys::kJob, keys::kWaiting}) {
    if (key.starts_with(prefix)) return key.substr(prefix.size());
  }
  return {};
}

// Whether the store said if the key exists.
inline bool IsAnswered(const clients::StoreResult& result) {
  return result.ok() || result.status == clients::StoreStatus::kNotFound;
}

// The same, where a revision below an earlier one is expected.
inline bool IsAnsweredOrSteppedBack(const clients::StoreResult& result) {
  return IsAnswered(result) || result.revision_decreased;
}

}  // namespace oxbow::app
