#include "core/model/log_event.h"

#include <algorithm>

namespace oxbow {
namespace {

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\';
         });
}

std::string Quoted(const std::string& value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  quoted += '"';
  return quoted;
}

}  // namespace

std::string Render(const LogEvent& event) {
  std::string line = "msg=" + Quoted(event.message);
  for (const LogField& field : event.fields) {
    line += " " + field.name + "=";
    line += NeedsQuotes(field.value) ? Quoted(field.value) : field.value;
  }
  return line;
}

}  // namespace oxbow
