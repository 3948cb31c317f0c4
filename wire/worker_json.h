// Parses the workers' heartbeats and writes the leader's replies and commands,
// as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/heartbeat.h"
#include "wire/json.h"

namespace oxbow::wire {

// The maximum size of a heartbeat, in bytes.
inline constexpr size_t kReportLimit = 128 * 1024;
// Parses a heartbeat. Returns false if the body is not a valid one.
bool ParseReport(std::string_view body, Heartbeat* out);
std::string EncodeReply(const HeartbeatResponse& reply);
// Writes the field with the commands into the object that the caller has
// started.
void WriteOrders(json::Writer& writer,
                 const std::vector<WorkerCommand>& commands);

}  // namespace oxbow::wire
