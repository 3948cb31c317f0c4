// Health checks of instances: HTTP against the instance, the verdict by the
// operators' expression.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/controller/actions.h"
#include "net/loop.h"
#include "script/verdict.h"

namespace oxbow::clients {

class HealthClient {
 public:
  explicit HealthClient(net::Loop& loop) : loop_(loop) {}

  net::Task<CheckOutcome> Check(CheckInstance check);
  void Clear() { verdicts_.clear(); }

 private:
  script::Verdict& VerdictOf(const CheckInstance& check);

  net::Loop& loop_;
  // By roll-out; a new declaration under an old name brings its own text.
  struct Entry {
    std::string text;
    std::unique_ptr<script::Verdict> verdict;
  };
  std::map<std::string, Entry> verdicts_;
};

}  // namespace oxbow::clients
