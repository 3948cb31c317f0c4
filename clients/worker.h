// The client for direct commands to workers.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/controller/actions.h"
#include "core/model/report.h"
#include "net/http_client.h"

namespace oxbow::clients {

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
