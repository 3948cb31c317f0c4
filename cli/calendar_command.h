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
  std::string file;  // a declaration
  std::string author;
  std::string note;
  std::string config;  // settings, for a check of names and limits
  // A booking is changed only if it still has this version; 0: a new one, and
  // negative: whatever is there now.
  int64_t version = 0;
  double notice_seconds =
      90;  // what begins sooner is left out of a rule's times
  // Of the work that `next` is asked about.
  std::string job_class;
  std::string team;
  double cores = 0;  // of all tasks
  double accelerators = 0;
  double run_seconds = 0;
};

// Exit codes are those of cli/record_client.h.
int RunCalendar(const CalendarCommand& command);

}  // namespace oxbow::cli
