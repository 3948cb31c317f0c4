// The keys of the key-value store. All live records are under one prefix, so
// that one watch covers them. Records of ended jobs and rollouts are moved to
// other prefixes and are kept forever.
#pragma once

#include <string>
#include <string_view>

namespace oxbow {

namespace keys {
inline constexpr std::string_view kLive = "ob/live/";
inline constexpr std::string_view kLeader = "ob/live/leader";
// The following two sort before all other live keys, so that the first page of
// a listing shows the epoch that the other pages belong to.
inline constexpr std::string_view kEpochMark = "ob/live/e/";
inline constexpr std::string_view kEpoch = "ob/live/epoch";
inline constexpr std::string_view kJob = "ob/live/j/";
// Jobs that wait for others. The release of a job moves its record to kJob, its
// cancellation moves it to kTerminal, each in one transaction.
inline constexpr std::string_view kWaiting = "ob/live/w/";
// The versions that the controllers run; see VersionGate.
inline constexpr std::string_view kVersion = "ob/live/v/";
inline constexpr std::string_view kMachine = "ob/live/m/";
inline constexpr std::string_view kScaleOut = "ob/live/r/";
inline constexpr std::string_view kRollout = "ob/live/o/";
inline constexpr std::string_view kOperator = "ob/live/p/";
// Delegated leases: the right to renew the leases of the workers of a zone. Not
// watched.
inline constexpr std::string_view kZone = "ob/zone/";
// Fence keys. Each is written once; not watched. See WriteFence.
inline constexpr std::string_view kFence = "ob/fence/";
inline constexpr std::string_view kTerminal = "ob/final/";
inline constexpr std::string_view kEndedRollout = "ob/ended/o/";
// Earlier versions of operator records, under NAME/VERSION.
inline constexpr std::string_view kOperatorHistory = "ob/ended/p/";

// The key of the record with this name.
inline std::string Of(std::string_view prefix, std::string_view name) {
  std::string out(prefix);
  out += name;
  return out;
}
}  // namespace keys

}  // namespace oxbow
