// Log events: a stable message and named fields. The leader's logic does no
// I/O, so it returns its log events as actions, and the application writes
// them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace oxbow {

// A field of a log event, with its value as text.
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

// How severe an event of the core is.
enum class LogLevel : uint8_t {
  kDebug,  // frequent, and useful only for debugging
  kInfo,
  kError,  // an invariant is violated
};

// One line of the log.
struct LogEvent {
  std::string message;  // constant text; variable parts go into `fields`
  LogFields fields = {};
  LogLevel level = LogLevel::kInfo;
};

// The text of the event, such as
// `msg="draining machine" host=n-3 reason="spot notice"`.
std::string Render(const LogEvent& event);

}  // namespace oxbow
