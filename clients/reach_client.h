// Asks many workers for their status concurrently, to learn which of them this
// controller can reach.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/model/heartbeat.h"
#include "net/loop.h"

namespace oxbow::clients {

// Runs survey rounds over a bounded number of connections. Must outlive its
// pending rounds.
class ReachClient {
 public:
  // `most_at_once`: the maximum number of concurrent connections of all rounds.
  ReachClient(net::Loop& loop, size_t most_at_once)
      : loop_(loop), most_at_once_(most_at_once) {}

  struct Result {
    // One ReachabilityAnswer for each endpoint, in the order of the endpoints.
    std::string machines;
    std::vector<Heartbeat> reports;
  };
  // Returns when all requests have ended, shortly after `timeout_seconds` at
  // the latest. An empty endpoint, or one beyond the maximum number of
  // connections, counts as not asked.
  net::Task<Result> Ask(std::vector<std::string> endpoints,
                        double timeout_seconds);

 private:
  struct Round {
    explicit Round(net::Loop& loop) : done(loop) {}
    net::Event done;
    Result found;
    size_t left = 0;
  };
  net::Task<void> QueryWorker(std::shared_ptr<Round> round, size_t i,
                              std::string endpoint, double timeout_seconds);

  net::Loop& loop_;
  size_t most_at_once_;
  size_t open_ = 0;
};

}  // namespace oxbow::clients
