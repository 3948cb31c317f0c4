// Health checks of instances: sends an HTTP request to the instance and
// evaluates the response with the expression that the operators declared.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader_context/actions.h"
#include "health_expression/health_expression.h"
#include "net/loop.h"

namespace oxbow::clients {

// Runs checks concurrently; each is one request on its own connection.
// Owns the compiled expressions, one per rollout. Must outlive its pending
// checks.
class HealthClient {
 public:
  explicit HealthClient(net::Loop& loop) : loop_(loop) {}

  // Sends one request and evaluates the answer.
  net::Task<CheckOutcome> Check(RunHealthCheck check);
  // Drops all compiled expressions.
  void Clear() { expressions_.clear(); }

 private:
  health_expression::HealthExpression& ExpressionFor(
      const RunHealthCheck& check);

  net::Loop& loop_;
  // By rollout name. A new declaration under an existing name may have a
  // different expression.
  struct Entry {
    std::string text;
    std::unique_ptr<health_expression::HealthExpression> expression;
  };
  std::map<std::string, Entry> expressions_;
};

}  // namespace oxbow::clients
