// The workers' messages and the leader's commands, as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/heartbeat.h"
#include "wire/json.h"

namespace oxbow::wire {

// Bytes of a heartbeat that are read at the most.
inline constexpr size_t kReportLimit = 128 * 1024;
// False when it is not a report.
bool ParseReport(std::string_view body, Heartbeat* out);
std::string EncodeReply(const HeartbeatResponse& reply);
// The field of an object that the caller has begun.
void WriteOrders(json::Writer& writer,
                 const std::vector<WorkerCommand>& commands);

}  // namespace oxbow::wire
