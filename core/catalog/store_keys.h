// The keys of the key-value store. Everything live is under one prefix, so that
// one watch covers it. Terminal records move out of it and stay for ever.
#pragma once

#include <string>
#include <string_view>

namespace oxbow {

namespace keys {
inline constexpr std::string_view kLive = "ob/live/";
inline constexpr std::string_view kLeader = "ob/live/leader";
// These two sort before all other live keys, so the first page of a listing
// shows which epoch the rest belongs to.
inline constexpr std::string_view kEpochMark = "ob/live/e/";
inline constexpr std::string_view kEpoch = "ob/live/epoch";
inline constexpr std::string_view kJob = "ob/live/j/";
// Jobs that wait for others. A release moves one to kJob, a cancellation to
// kTerminal, each in one transaction.
inline constexpr std::string_view kWaiting = "ob/live/w/";
// The versions that the controllers run; see VersionGate.
inline constexpr std::string_view kVersion = "ob/live/v/";
inline constexpr std::string_view kMachine = "ob/live/m/";
inline constexpr std::string_view kScaleOut = "ob/live/r/";
inline constexpr std::string_view kRollout = "ob/live/o/";
inline constexpr std::string_view kOperator = "ob/live/p/";
// Delegated leases to renew the workers of a zone; not watched.
inline constexpr std::string_view kZone = "ob/zone/";
// Written once each and never watched, see WriteFence.
inline constexpr std::string_view kFence = "ob/fence/";
inline constexpr std::string_view kTerminal = "ob/final/";
inline constexpr std::string_view kEndedRollout = "ob/ended/o/";
// Earlier versions of operators' records, NAME/VERSION.
inline constexpr std::string_view kOperatorHistory = "ob/ended/p/";

inline std::string Of(std::string_view prefix, std::string_view name) {
  std::string out(prefix);
  out += name;
  return out;
}
}  // namespace keys

}  // namespace oxbow
