// Whether a job that depends on others may be accepted, and what its acceptance
// writes. A job names only jobs that were accepted before it and is accepted
// under the condition that it is not known itself, so no job can depend on
// itself through others. Owns no state.
//
// Check() holds `this` and its arguments across reads: the object must outlive
// the event loop's run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/job.h"
#include "net/task.h"

namespace oxbow::app {

// What a read of a record, or of all records of one job, has shown.
enum class RecordPresence : uint8_t { kPresent, kMissing, kUnknown };

// The state of the jobs that a submission depends on.
enum class DependencyState : uint8_t {
  kNoDependencies,
  kAllDone,        // each is recorded as done: the job need not wait
  kPending,        // all were accepted, not all are done
  kNeverAccepted,  // one was not, by a fresh read
  kUnknown,        // can't be determined now
};

// The compare-and-swap that accepts a job: it is not known yet, and now it is.
struct Acceptance {
  std::string key;
  Record record;
  std::vector<Precondition> preconditions;
  bool waits = false;  // for its dependencies
};

// Decides whether a job may be accepted by its dependencies.
class DependencyAdmission {
 public:
  struct Callbacks {
    // Whether no controller runs a version that ignores dependencies.
    std::function<bool()> all_support_dependencies;
    // Reads afresh whether the job was accepted.
    std::function<net::Task<RecordPresence>(std::string id)> read_acceptance;
  };
  DependencyAdmission(const Catalog& catalog, Callbacks callbacks)
      : catalog_(catalog), callbacks_(std::move(callbacks)) {}

  // The state of the submission's dependencies; reads those that are not known
  // here from the store.
  net::Task<DependencyState> Check(std::shared_ptr<const JobSpec> spec);

  // What accepts the job at that wall clock time (s since the epoch).
  static Acceptance BuildAcceptance(std::shared_ptr<const JobSpec> spec,
                                    DependencyState dependencies,
                                    double wall_seconds);

 private:
  bool AllDone(const JobSpec& spec) const;

  const Catalog& catalog_;
  const Callbacks callbacks_;
};

}  // namespace oxbow::app
