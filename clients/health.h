// Health checks of instances: HTTP against the instance, judged by the
// operators' expression.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader_context/actions.h"
#include "health_expression/health_expression.h"
#include "net/loop.h"

namespace oxbow::clients {

// Runs checks side by side; each is one request on a connection of its own.
// Owns the compiled expressions, one per rollout. Must outlive its pending
// checks.
class HealthClient {
 public:
  explicit HealthClient(net::Loop& loop) : loop_(loop) {}

  net::Task<CheckOutcome> Check(RunHealthCheck check);
  void Clear() { expressions_.clear(); }

 private:
  health_expression::HealthExpression& ExpressionFor(
      const RunHealthCheck& check);

  net::Loop& loop_;
  // By rollout; a new declaration under an old name brings its own text.
  struct Entry {
    std::string text;
    std::unique_ptr<health_expression::HealthExpression> expression;
  };
  std::map<std::string, Entry> expressions_;
};

}  // namespace oxbow::clients
