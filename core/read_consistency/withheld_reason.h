// Why a question about a job was answered "try again" instead of with the job's
// status. Counted and logged by reason, so that a person on call can tell an
// overloaded controller from one that may not tell.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oxbow {

// The names below are in the same order.
enum class WithheldReason : uint8_t {
  kTooManyRequests,   // as many in progress as this controller takes
  kIsolated,          // neither the store nor any controller is reached
  kStoreUnreachable,  // the store answers nothing; it is probed meanwhile
  kBeyondStoreShare,  // this controller's share of the store's requests is used
  kReadFailed,        // a read was refused or not answered
  kStoreUnverified,   // the store may have lost data
  kRecordMissing,     // known here, but the store has no record of it
  kTimedOut,          // nobody answered in the time that the user waits
};
inline constexpr size_t kWithheldReasons = 8;
inline constexpr std::array<std::string_view, kWithheldReasons>
    kWithheldReasonNames = {
        "too_many_requests",  "isolated",    "store_unreachable",
        "beyond_store_share", "read_failed", "store_unverified",
        "record_missing",     "timed_out",
};

}  // namespace oxbow
