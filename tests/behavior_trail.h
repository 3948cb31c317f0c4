// A record of what the core does in a simulation, to compare two versions of
// the source: everything that leaves the core, in order and with its virtual
// time, one event a line, with values as they are sent or stored. Log lines are
// left out, so that the record does not depend on any name in the code.
//
// Nothing is written unless the environment variable OXBOW_TRAIL_DIR names a
// directory; then every run writes one file in it. tools/compare-behavior
// writes and compares the files of two versions.
//
// Not thread-safe: one run at a time in a process.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/leader_context/actions.h"

namespace oxbow::test {

// A run of a simulation, for as long as this object exists; the functions below
// write to its file. Outside of any run they do nothing.
class TrailedRun {
 public:
  // The names are those of files, and the same in the versions to compare:
  // literals, nothing that is derived from identifiers.
  explicit TrailedRun(const std::string& name);
  TrailedRun(const std::string& simulation, uint64_t seed);
  ~TrailedRun();
  TrailedRun(const TrailedRun&) = delete;
  TrailedRun& operator=(const TrailedRun&) = delete;
};

// Whether a run is being written: to spare the work of describing an event.
bool TrailIsWritten();

// Virtual times are in seconds.
void TrailActions(double now, const std::vector<Action>& actions);
// The answer to a worker's report.
void TrailReply(double now, const std::string& host,
                const HeartbeatResponse& reply);
// How its user is told that a job stands, when that has changed: the word, and
// how many of its tasks.
void TrailStatus(double now, const std::string& job, std::string_view status);
void TrailTasks(double now, const std::string& job, const JobView& view);
// Anything else that happened: `kind` is a fixed word of the trail.
void TrailEvent(double now, std::string_view kind, std::string_view text);
// What holds at present of a subject: written when it has changed.
void TrailState(double now, const std::string& subject, std::string_view text);

}  // namespace oxbow::test
