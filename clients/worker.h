// The workers' messages, and the client for their direct commands.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/controller/controller.h"
#include "core/model/report.h"
#include "net/http_client.h"

namespace oxbow::clients {

// Bytes of a report that are read at the most.
inline constexpr size_t kReportLimit = 128 * 1024;
// False when it is not a report.
bool ParseReport(std::string_view body, WorkerReport* out);
std::string EncodeReply(const ReportReply& reply);

class WorkerClients {
 public:
  WorkerClients(net::Loop& loop, double timeout_s)
      : loop_(loop), timeout_s_(timeout_s) {}

  struct Answer {
    OrderOutcome outcome = OrderOutcome::kNotSent;
    bool has_report = false;
    WorkerReport report;
  };

  net::Task<Answer> Send(SendOrders orders);
  net::Task<Answer> Probe(std::string endpoint);
  void Clear() { clients_.clear(); }

 private:
  std::shared_ptr<net::HttpClient> ClientFor(const std::string& endpoint);

  net::Loop& loop_;
  double timeout_s_;
  std::map<std::string, std::shared_ptr<net::HttpClient>> clients_;
};

}  // namespace oxbow::clients
