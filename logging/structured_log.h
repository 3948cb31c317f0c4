// The interface through which all code logs. A log line is a stable message
// with named fields, written to standard error if its level reaches LOG_LEVEL.
// An error requires action by an operator, a warning may require it, an info
// line reports a decision of the program, and a debug line helps to find a
// fault.
#pragma once

#include <string>

#include "core/model/log_event.h"

namespace oxbow::logging {

void Error(std::string message, LogFields fields = {});
void Warning(std::string message, LogFields fields = {});
void Info(std::string message, LogFields fields = {});
void Debug(std::string message, LogFields fields = {});

// Logs an event of the core at its level.
void Write(const LogEvent& event);

// Whether debug lines are written.
bool DebugEnabled();

}  // namespace oxbow::logging
