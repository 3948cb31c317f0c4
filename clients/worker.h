// Client for the commands and probes that the leader sends directly to workers.
#pragma once

#include <functional>
#include <string>

#include "core/leader_context/actions.h"
#include "core/model/heartbeat.h"
#include "net/http_client_pool.h"
#include "net/semaphore.h"

namespace oxbow::clients {

// Sends commands and probes to workers, over a bounded number of connections.
// Must outlive its pending calls. Clear() closes the idle connections, for when
// this controller stops leading.
class WorkerClients {
 public:
  WorkerClients(net::Loop& loop, double timeout_seconds,
                size_t max_connections);

  struct Answer {
    CommandOutcome outcome = CommandOutcome::kNotSent;
    bool has_heartbeat = false;
    Heartbeat heartbeat;
  };

  // `may_send`: whether this controller may still send the commands; called
  // just before they are sent.
  net::Task<Answer> Send(SendCommands commands, std::function<bool()> may_send);
  // Asks the worker at that endpoint for its status.
  net::Task<Answer> Probe(std::string endpoint);
  void Clear() { pool_.CloseAll(); }
  net::HttpClientPool::Counters counters() const { return pool_.counters(); }

 private:
  const double timeout_seconds_;
  net::HttpClientPool pool_;
  // Limits concurrent probes. A new leader probes all workers at once, and each
  // unreachable worker holds a connection until the timeout; the commands need
  // the remaining connections.
  net::Semaphore probes_;
};

}  // namespace oxbow::clients
