// Asks workers for their status, many at once, to learn whom this controller
// reaches.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/model/heartbeat.h"
#include "net/loop.h"

namespace oxbow::clients {

// Must outlive its pending rounds. Bounded by `most_at_once` connections.
class ReachClient {
 public:
  // `most_at_once`: connections open for this purpose at any moment.
  ReachClient(net::Loop& loop, size_t most_at_once)
      : loop_(loop), most_at_once_(most_at_once) {}

  struct Result {
    std::string
        machines;  // as in core/leader_health/reach.h, in the order asked
    std::vector<Heartbeat> reports;
  };
  // Answers after `timeout_s` at the latest. An empty endpoint, and what is
  // more than may be open at once, counts as not asked.
  net::Task<Result> Ask(std::vector<std::string> endpoints,
                        double timeout_seconds);

 private:
  struct Round {
    explicit Round(net::Loop& loop) : done(loop) {}
    net::Event done;
    Result found;
    size_t left = 0;
  };
  net::Task<void> One(std::shared_ptr<Round> round, size_t i,
                      std::string endpoint, double timeout_seconds);

  net::Loop& loop_;
  size_t most_at_once_;
  size_t open_ = 0;
};

}  // namespace oxbow::clients
