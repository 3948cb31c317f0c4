// Accepts submitted jobs, by this controller's own compare-and-swap in the
// key-value store or through another controller. A job counts as accepted once
// its record is written; a write of unknown outcome is read again.
//
// Coroutines hold `this` and copies of their arguments: the submitter must
// outlive the event loop's run.
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

  // Here, else through another controller while `timeout_seconds` last.
  net::Task<api::SubmitResult> Submit(std::shared_ptr<const JobSpec> spec,
                                      double timeout_seconds);
  // By this controller's own write only.
  net::Task<api::SubmitResult> SubmitLocally(
      std::shared_ptr<const JobSpec> spec);

 private:
  // Whether the cluster has as many live jobs or tasks as it takes.
  bool IsAtCapacity(const JobSpec& spec) const;
  bool FitsIntoStoreValue(const std::shared_ptr<const JobSpec>& spec) const;
  net::Task<clients::PeerMessage> AskPeers(std::shared_ptr<const JobSpec> spec,
                                           double timeout_seconds);
  net::Task<api::SubmitResult> WriteAcceptance(
      std::shared_ptr<const JobSpec> spec, DependencyState dependencies);
  void OnAccepted(const JobSpec& spec, const Acceptance& acceptance,
                  uint64_t revision);
  // Speeds the job up: the leader would learn of it from the store a moment
  // later.
  void NotifyLeader(const std::string& id, const Acceptance& acceptance,
                    uint64_t revision);

  const RequestContext& context_;
  JobStatusReader& status_reader_;
  DependencyAdmission admission_;
};

}  // namespace oxbow::app
