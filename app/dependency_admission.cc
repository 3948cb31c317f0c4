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

net::Task<DependencyState> DependencyAdmission::Check(
    std::shared_ptr<const JobSpec> spec) {
  if (spec->dependencies.empty()) co_return DependencyState::kNoDependencies;
  // A controller of a version without dependencies would answer 404 for a
  // waiting job or, if it received the same submission, start the job at once.
  if (!callbacks_.all_support_dependencies()) {
    co_return DependencyState::kUnknown;
  }
  for (const std::string& id : spec->dependencies) {
    if (catalog_.WasAccepted(id)) continue;
    const RecordPresence acceptance = co_await callbacks_.read_acceptance(id);
    if (acceptance == RecordPresence::kMissing) {
      co_return DependencyState::kNeverAccepted;
    }
    if (acceptance == RecordPresence::kUnknown) {
      co_return DependencyState::kUnknown;
    }
  }
  co_return AllDone(*spec) ? DependencyState::kAllDone
                           : DependencyState::kPending;
}

Acceptance DependencyAdmission::BuildAcceptance(
    std::shared_ptr<const JobSpec> spec, DependencyState dependencies,
    double wall_seconds) {
  Acceptance acceptance;
  const std::string& id = spec->id;
  // The job must have no record of any kind, so that an acceptance that arrives
  // late fails if the job is already waiting, live or terminated.
  for (const std::string_view prefix :
       {keys::kWaiting, keys::kJob, keys::kTerminal}) {
    acceptance.preconditions.push_back({keys::Of(prefix, id), 0});
  }
  acceptance.waits = dependencies == DependencyState::kPending;
  acceptance.key = keys::Of(acceptance.waits ? keys::kWaiting : keys::kJob, id);
  if (acceptance.waits) {
    acceptance.record = WaitingRecord{std::move(spec), wall_seconds, 0};
  } else {
    JobRecord record{std::move(spec), wall_seconds, TerminalState::kNone, 0};
    if (dependencies == DependencyState::kAllDone) {
      record.released_wall = wall_seconds;
    }
    acceptance.record = std::move(record);
  }
  return acceptance;
}

}  // namespace oxbow::app
