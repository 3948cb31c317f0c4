#include "logging/structured_log.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace oxbow::logging {
namespace {

void WriteAt(spdlog::level::level_enum level, const LogEvent& event) {
  if (spdlog::should_log(level)) spdlog::log(level, "{}", Render(event));
}

spdlog::level::level_enum LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
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

void Write(const LogEvent& event) { WriteAt(LevelOf(event.level), event); }

bool DebugEnabled() { return spdlog::should_log(spdlog::level::debug); }

}  // namespace oxbow::logging
