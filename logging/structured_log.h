// The one way into the log: a stable message and named fields, written to
// standard error at the level of LOG_LEVEL. Levels by meaning: an error needs a
// person, a warning may, an info tells what the program has decided, a debug
// line is for a person who looks for a fault.
#pragma once

#include <string>

#include "core/model/log_event.h"

namespace oxbow::logging {

void Error(std::string message, LogFields fields = {});
void Warning(std::string message, LogFields fields = {});
void Info(std::string message, LogFields fields = {});
void Debug(std::string message, LogFields fields = {});

// An event of the core: info, or debug for a detail.
void Write(const LogEvent& event);

// Whether debug lines are written at all.
bool DebugEnabled();

}  // namespace oxbow::logging
