// What the parts of the RecoveryCoordinator share.
#pragma once

#include "clients/key_value_store.h"

namespace oxbow::app {

// Of the heartbeat interval.
inline constexpr double kRoundPause = 0.1;

// The job that a record of one that waits or lives is about; empty for others.
inline std::string JobOf(const std::string& key) {
  for (const std::string_view prefix : {keys::kJob, keys::kWaiting}) {
    if (key.starts_with(prefix)) return key.substr(prefix.size());
  }
  return {};
}

inline bool Answered(const clients::StoreResult& result) {
  return result.ok() || result.status == clients::StoreStatus::kNotFound;
}

}  // namespace oxbow::app
