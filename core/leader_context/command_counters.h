// Counters of a leadership about commands to workers, for the operator on call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oxbow {

// Why a machine got a higher fencing token. In the order of
// kTokenRaiseReasonNames.
enum class TokenRaiseReason : uint8_t {
  kCommandsUnanswered,  // the outcome of a direct batch is unknown
  kDeliveryCheck,       // heartbeat responses have to be shown to arrive
  kExitsForgotten,      // the worker is about to forget attempts whose start
                        // commands could be executed once more
};
// The number of reasons.
inline constexpr size_t kTokenRaiseReasons = 3;
// As they appear in metrics and logs.
inline constexpr std::array<std::string_view, kTokenRaiseReasons>
    kTokenRaiseReasonNames = {
        "commands_unanswered",
        "delivery_check",
        "exits_forgotten",
};

// Counts since the beginning of the leadership. Each is changed by the module
// that detects the event.
struct CommandCounters {
  std::array<uint64_t, kTokenRaiseReasons> tokens_raised{};
  uint64_t batches_refused =
      0;  // by the worker, for their token or incarnation
  // Attempts of this leader that a worker shows although the leader has had
  // them forgotten or considers them never started. Always a fault.
  uint64_t unexpected_attempts = 0;
  // Attempts that are shown while another attempt of their task is present on
  // another machine.
  uint64_t duplicate_attempts = 0;
};

}  // namespace oxbow
