// The verdict on a health check's answer: an expression of the operators, in
// Lua, without I/O, bounded in memory and instructions.
#pragma once

#include <memory>
#include <string>
#include <string_view>

struct lua_State;

namespace oxbow::health_expression {

// What an expression sees:
//   status      the HTTP status
//   body        the body, as text
//   latency_ms  from the request to the whole answer
//   has(text)   whether the body contains the text
//   count(p)    elements of the array or object at JSON pointer p; -1: none
//   value(p)    string, number or boolean at JSON pointer p; nil: none
//
//   status == 200 and count("/chargers") > 0
class HealthExpression {
 public:
  struct Limits {
    size_t memory = 256 * 1024;  // bytes, of one expression
    int instructions = 20'000;   // for one answer
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

  // What keeps the expression from being used; empty when it is good.
  const std::string& error() const { return error_; }
  // True and false are as they say, anything else, a fault or a limit reached
  // is an error, which no caller may take for good.
  Result Judge(const Answer& answer);

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
