// What the core has to say in the log: a stable message and named fields. The
// core does no I/O; the shell renders and writes it.
#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace oxbow {

// A named value of a log event, already as text.
struct LogField {
  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, const char* field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, bool field_value)
      : name(field_name), value(field_value ? "true" : "false") {}
  template <typename Number,
            std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
  LogField(std::string_view field_name, Number field_value)
      : name(field_name), value(std::to_string(field_value)) {}

  std::string name;
  std::string value;
};

using LogFields = std::vector<LogField>;

// One line of the log.
struct LogEvent {
  std::string message;  // the same words each time
  LogFields fields = {};
  bool detail = false;  // one of many: for a person who looks for a fault
};

// `msg="draining machine" host=n-3 reason="spot notice"`
std::string Render(const LogEvent& event);

}  // namespace oxbow
