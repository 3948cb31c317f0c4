// `oxbowbank calendar ...`: the operators' maintenance windows and peaks.
#pragma once

#include <string>
#include <vector>

namespace oxbow::cli {

// The arguments of the command.
struct CalendarCommand {
  std::string verb;     // book, list, show, cancel, check, next, extend
  std::string address;  // of any controller
  std::string id;
  std::string file;  // path of a declaration
  std::string author;
  std::string note;
  std::string config;  // path of the settings for `check`
  // The booking is changed only if this is its current version. 0: create a new
  // booking; negative: replace the current version, whichever it is.
  int64_t version = 0;
  double notice_seconds =
      90;  // times of a rule that start sooner than this are left out
  // The work for which `next` finds the next start.
  std::string job_class;
  std::string team;
  double cores = 0;  // of all tasks
  double accelerators = 0;
  double run_seconds = 0;
};

// Exit codes are those of cli/record_client.h.
int RunCalendar(const CalendarCommand& command);

}  // namespace oxbow::cli
