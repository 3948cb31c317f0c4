// Whether a job that waits for others may be accepted, and what its acceptance
// writes. It names only jobs that were accepted before it and is accepted under
// a condition that it is not known itself, so no job can wait for itself
// through others.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clients/key_value_store.h"
#include "core/catalog/catalog.h"
#include "core/model/job.h"
#include "net/task.h"

namespace oxbow::app {

// How the jobs that a submission names stand.
enum class NamedJobs {
  kNone,           // it names none
  kAllDone,        // each is recorded as done: it need not wait
  kWaitedFor,      // all were accepted
  kNeverAccepted,  // one was not, by a fresh read
  kCannotTell,
};

// One conditional write: it is not known yet, and now it is.
struct Acceptance {
  std::string key;
  Record record;
  std::vector<Precondition> preconditions;
  bool waits = false;
};

class DependencyAdmission {
 public:
  enum class Accepted { kYes, kNo, kCannotTell };
  struct Callbacks {
    // Whether no controller runs a version that would not let a job wait.
    std::function<bool()> all_know_chains;
    // Reads afresh whether the job was accepted.
    std::function<net::Task<Accepted>(std::string id)> fresh_read;
  };
  DependencyAdmission(const Catalog& catalog, Callbacks callbacks)
      : catalog_(catalog), callbacks_(std::move(callbacks)) {}

  net::Task<NamedJobs> Look(std::shared_ptr<const JobSpec> spec);

  static Acceptance Of(std::shared_ptr<const JobSpec> spec, NamedJobs named,
                       double wall);

 private:
  bool AllDone(const JobSpec& spec) const;

  const Catalog& catalog_;
  const Callbacks callbacks_;
};

}  // namespace oxbow::app
