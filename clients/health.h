// Health checks of instances: HTTP against the instance, the verdict by the
// operators' expression.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/leader_context/actions.h"
#include "health_expression/health_expression.h"
#include "net/loop.h"

namespace oxbow::clients {

class HealthClient {
 public:
  explicit HealthClient(net::Loop& loop) : loop_(loop) {}

  net::Task<CheckOutcome> Check(CheckInstance check);
  void Clear() { verdicts_.clear(); }

 private:
  health_expression::HealthExpression& AdmissionOf(const CheckInstance& check);

  net::Loop& loop_;
  // By rollout; a new declaration under an old name brings its own text.
  struct Entry {
    std::string text;
    std::unique_ptr<health_expression::HealthExpression> verdict;
  };
  std::map<std::string, Entry> verdicts_;
};

}  // namespace oxbow::clients
