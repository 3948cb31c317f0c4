// The workers' messages and the leader's orders, as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/controller/actions.h"
#include "core/model/report.h"
#include "wire/json.h"

namespace oxbow::wire {

// Bytes of a report that are read at the most.
inline constexpr size_t kReportLimit = 128 * 1024;
// False when it is not a report.
bool ParseReport(std::string_view body, WorkerReport* out);
std::string EncodeReply(const ReportReply& reply);
// The field of an object that the caller has begun.
void WriteOrders(json::Writer& w, const std::vector<Order>& orders);

}  // namespace oxbow::wire
