// Cancels jobs: as the leader by its own core, else through the leader. A
// cancellation is answered only once the job's terminal state is recorded.
//
// Coroutines hold `this` and copies of their arguments: the canceller must
// outlive the event loop's run.
#pragma once

#include <string>

#include "api/api.h"
#include "app/job_status_reader.h"
#include "app/request_context.h"
#include "core/model/job.h"
#include "net/task.h"

namespace oxbow::app {

// Cancels jobs; one per controller.
class JobCanceller {
 public:
  JobCanceller(const RequestContext& context, JobStatusReader& status_reader)
      : context_(context), status_reader_(status_reader) {}

  // Here or at the leader. kUnknown: the outcome is not known in time.
  net::Task<api::JobStatus> Cancel(std::string id);
  // As the leader, on behalf of another controller. The job's terminal state;
  // kNone: not cancelled, or not known in time.
  net::Task<TerminalState> CancelAsLeader(std::string id);

 private:
  const RequestContext& context_;
  JobStatusReader& status_reader_;
};

}  // namespace oxbow::app
