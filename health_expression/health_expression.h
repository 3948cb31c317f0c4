// Evaluates the answer to a health check with a Lua expression that the
// operators declare. The evaluation does no I/O and is bounded in memory and
// instructions.
#pragma once

#include <memory>
#include <string>
#include <string_view>

struct lua_State;

namespace oxbow::health_expression {

// A compiled expression. The expression can use these names:
//   status      the HTTP status
//   body        the body, as text
//   latency_ms  milliseconds from the request to the whole answer
//   has(text)   whether the body contains the text
//   count(p)    number of elements of the array or object at JSON pointer p;
//               -1 if there is no array or object
//   value(p)    string, number or boolean at JSON pointer p; nil if there is
//               none
//
// Example:
//   status == 200 and count("/chargers") > 0
class HealthExpression {
 public:
  struct Limits {
    size_t memory = 256 * 1024;  // bytes that one expression may use
    int instructions = 20'000;   // Lua instructions for one answer
  };
  struct Answer {
    int status = 0;
    std::string_view body;
    double latency_ms = 0;
  };
  enum class Result { kGood, kBad, kError };

  HealthExpression(const std::string& expression, Limits limits);
  explicit HealthExpression(const std::string& expression)
      : HealthExpression(expression, Limits()) {}
  ~HealthExpression();
  HealthExpression(const HealthExpression&) = delete;
  HealthExpression& operator=(const HealthExpression&) = delete;

  // Why the expression cannot be used; empty when it is valid.
  const std::string& error() const { return error_; }
  // Returns kGood for true and kBad for false. Any other value, an error in the
  // expression or an exceeded limit gives kError, which no caller may treat as
  // good.
  Result Judge(const Answer& answer);

  // Compiles the expression and returns error().
  static std::string WhatIsWrong(const std::string& expression);

 private:
  struct Run;
  static void* Allocate(void* self, void* block, size_t old_size,
                        size_t new_size);

  Limits limits_;
  size_t used_ = 0;
  lua_State* lua_ = nullptr;
  std::string error_;
};

}  // namespace oxbow::health_expression
