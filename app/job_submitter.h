// Accepts submitted jobs by a compare-and-swap write to the key-value store, or
// through another controller if this one cannot write. A job is accepted once
// its record is written. If the outcome of the write is unknown, the record is
// read to find out.
//
// Coroutines hold `this` and copies of their arguments, so the submitter must
// live as long as the event loop runs.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "api/api.h"
#include "app/dependency_admission.h"
#include "app/job_status_reader.h"
#include "app/request_context.h"
#include "net/task.h"

namespace oxbow::app {

// Accepts submitted jobs; one per controller.
class JobSubmitter {
 public:
  JobSubmitter(const RequestContext& context, JobStatusReader& status_reader);

  // Submits the job by this controller's own write or, if that is not possible,
  // through another controller, as long as `timeout_seconds` have not passed.
  net::Task<api::SubmitResult> Submit(std::shared_ptr<const JobSpec> spec,
                                      double timeout_seconds);
  // Submits the job by this controller's own write only.
  net::Task<api::SubmitResult> SubmitLocally(
      std::shared_ptr<const JobSpec> spec);

 private:
  // Whether the job would exceed the cluster's limit of live jobs or tasks.
  bool IsAtCapacity(const JobSpec& spec) const;
  // Whether every version of the job's record fits into one value of the store.
  bool FitsIntoStoreValue(const std::shared_ptr<const JobSpec>& spec) const;
  net::Task<clients::PeerMessage> AskPeers(std::shared_ptr<const JobSpec> spec,
                                           double timeout_seconds);
  net::Task<api::SubmitResult> WriteAcceptance(
      std::shared_ptr<const JobSpec> spec, DependencyState dependencies);
  void OnAccepted(const JobSpec& spec, const Acceptance& acceptance,
                  uint64_t revision);
  // Tells the leader of the job at once, so that the job starts sooner; the
  // leader would otherwise learn of it from the store a moment later.
  void NotifyLeader(const std::string& id, const Acceptance& acceptance,
                    uint64_t revision);

  const RequestContext& context_;
  JobStatusReader& status_reader_;
  DependencyAdmission admission_;
};

}  // namespace oxbow::app
