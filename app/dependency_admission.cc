#include "app/dependency_admission.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {

bool DependencyAdmission::AllDone(const JobSpec& spec) const {
  return std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
                     [this](const std::string& id) {
                       return catalog_.FindTerminalState(id) ==
                              TerminalState::kDone;
                     });
}

net::Task<NamedJobs> DependencyAdmission::Look(
    std::shared_ptr<const JobSpec> spec) {
  if (spec->dependencies.empty()) co_return NamedJobs::kNone;
  // An earlier version would answer 404 for a job that waits, or, sent the same
  // submission, start it at once.
  if (!callbacks_.all_know_chains()) co_return NamedJobs::kCannotTell;
  for (const std::string& id : spec->dependencies) {
    if (catalog_.Accepted(id)) continue;
    const Accepted accepted = co_await callbacks_.fresh_read(id);
    if (accepted == Accepted::kNo) co_return NamedJobs::kNeverAccepted;
    if (accepted == Accepted::kCannotTell) co_return NamedJobs::kCannotTell;
  }
  co_return AllDone(*spec) ? NamedJobs::kAllDone : NamedJobs::kWaitedFor;
}

Acceptance DependencyAdmission::Of(std::shared_ptr<const JobSpec> spec,
                                   NamedJobs named, double wall) {
  Acceptance out;
  const std::string& id = spec->id;
  // Whatever the job's record is by now: an acceptance that arrives late finds
  // that the job waits, runs or has ended.
  for (const std::string_view prefix :
       {keys::kWaiting, keys::kJob, keys::kTerminal}) {
    out.preconditions.push_back({keys::Of(prefix, id), 0});
  }
  out.waits = named == NamedJobs::kWaitedFor;
  out.key = keys::Of(out.waits ? keys::kWaiting : keys::kJob, id);
  if (out.waits) {
    out.record = WaitingRecord{std::move(spec), wall, 0};
  } else {
    JobRecord record{std::move(spec), wall, TerminalState::kNone, 0};
    if (named == NamedJobs::kAllDone) record.released_wall = wall;
    out.record = std::move(record);
  }
  return out;
}

}  // namespace oxbow::app
