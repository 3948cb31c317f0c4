// The reasons why a query about a job was answered "try again" instead of with
// the job's status. They are counted and logged by reason, so that an operator
// can tell an overloaded controller from one that must not answer, because its
// answer could contradict an earlier one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oxbow {

// In the order of kWithheldReasonNames.
enum class WithheldReason : uint8_t {
  kTooManyRequests,   // this controller has the maximum of queries in progress
  kIsolated,          // neither the store nor another controller is reachable
  kStoreUnreachable,  // the store gives no answers; it is being probed
  kBeyondStoreShare,  // this controller has used up its share of the requests
                      // that the store can take
  kReadFailed,        // a read of the store was rejected or not answered
  kStoreUnverified,   // the store may have lost data
  kRecordMissing,  // the job is known here, but the store has no record of it
  kTimedOut,       // no answer was found within the time that a user waits
};
// The number of reasons.
inline constexpr size_t kWithheldReasons = 8;
// As they appear in metrics and logs.
inline constexpr std::array<std::string_view, kWithheldReasons>
    kWithheldReasonNames = {
        "too_many_requests",  "isolated",    "store_unreachable",
        "beyond_store_share", "read_failed", "store_unverified",
        "record_missing",     "timed_out",
};

}  // namespace oxbow
