#include "logging/structured_log.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace oxbow::logging {
namespace {

void WriteAt(spdlog::level::level_enum level, const LogEvent& event) {
  if (spdlog::should_log(level)) spdlog::log(level, "{}", Render(event));
}

}  // namespace

void Error(std::string message, LogFields fields) {
  WriteAt(spdlog::level::err, {std::move(message), std::move(fields)});
}

void Warning(std::string message, LogFields fields) {
  WriteAt(spdlog::level::warn, {std::move(message), std::move(fields)});
}

void Info(std::string message, LogFields fields) {
  WriteAt(spdlog::level::info, {std::move(message), std::move(fields)});
}

void Debug(std::string message, LogFields fields) {
  WriteAt(spdlog::level::debug, {std::move(message), std::move(fields)});
}

void Write(const LogEvent& event) {
  WriteAt(event.detail ? spdlog::level::debug : spdlog::level::info, event);
}

bool DebugEnabled() { return spdlog::should_log(spdlog::level::debug); }

}  // namespace oxbow::logging
