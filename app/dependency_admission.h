// Decides whether a job that depends on other jobs may be accepted, and builds
// the transaction that accepts it. A job may only depend on jobs that were
// accepted before it, and it is accepted only if its own id is not in use yet.
// Dependencies therefore cannot form a cycle. Owns no state.
//
// The coroutine Check() holds `this` and its arguments while it reads from the
// store, so the object must outlive the event loop's run.
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

// Whether a read found the record, or any record of one job; kUnknown if the
// read could not tell.
enum class RecordPresence : uint8_t { kPresent, kMissing, kUnknown };

// The state of the jobs that a submission depends on.
enum class DependencyState : uint8_t {
  kNoDependencies,
  kAllDone,        // all are recorded as done, so the job need not wait
  kPending,        // all were accepted, but not all are done
  kNeverAccepted,  // a fresh read showed that one was never accepted
  kUnknown,        // cannot be determined now
};

// The compare-and-swap that accepts a job: it creates the job's first record
// under the preconditions that the job has no record yet.
struct Acceptance {
  std::string key;
  Record record;
  std::vector<Precondition> preconditions;
  bool waits = false;  // whether the job waits for its dependencies
};

// Decides whether the dependencies of a job allow the job to be accepted.
class DependencyAdmission {
 public:
  struct Callbacks {
    // Whether every controller runs a version that supports dependencies.
    std::function<bool()> all_support_dependencies;
    // Reads from the store whether the job was accepted.
    std::function<net::Task<RecordPresence>(std::string id)> read_acceptance;
  };
  DependencyAdmission(const Catalog& catalog, Callbacks callbacks)
      : catalog_(catalog), callbacks_(std::move(callbacks)) {}

  // Returns the state of the job's dependencies. Reads from the store those
  // jobs that are not in the catalog.
  net::Task<DependencyState> Check(std::shared_ptr<const JobSpec> spec);

  // Builds the write that accepts the job at this wall-clock time (s since the
  // Unix epoch).
  static Acceptance BuildAcceptance(std::shared_ptr<const JobSpec> spec,
                                    DependencyState dependencies,
                                    double wall_seconds);

 private:
  bool AllDone(const JobSpec& spec) const;

  const Catalog& catalog_;
  const Callbacks callbacks_;
};

}  // namespace oxbow::app
