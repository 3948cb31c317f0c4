// The client for direct commands to workers.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader_context/actions.h"
#include "core/model/heartbeat.h"
#include "net/http_client.h"

namespace oxbow::clients {

// One HTTP client per worker address, created when first used. Must outlive its
// pending calls; Clear drops the idle clients when a leadership ends.
class WorkerClients {
 public:
  WorkerClients(net::Loop& loop, double timeout_seconds)
      : loop_(loop), timeout_seconds_(timeout_seconds) {}

  struct Answer {
    CommandOutcome outcome = CommandOutcome::kNotSent;
    bool has_heartbeat = false;
    Heartbeat heartbeat;
  };

  net::Task<Answer> Send(SendCommands commands);
  net::Task<Answer> Probe(std::string endpoint);
  void Clear() { clients_.clear(); }

 private:
  std::shared_ptr<net::HttpClient> ClientFor(const std::string& endpoint);

  net::Loop& loop_;
  double timeout_seconds_;
  std::map<std::string, std::shared_ptr<net::HttpClient>> clients_;
};

}  // namespace oxbow::clients
