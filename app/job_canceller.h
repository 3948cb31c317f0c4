// Cancels jobs: in this process if this controller leads, otherwise by asking
// the leader. A cancellation is confirmed only once the job's terminal state is
// recorded.
//
// Coroutines hold `this` and copies of their arguments, so the canceller must
// live as long as the event loop runs.
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

  // Cancels the job and returns its status. The presence is kUnknown if the
  // outcome is not known in time.
  net::Task<api::JobStatus> Cancel(std::string id);
  // Cancels the job on behalf of another controller, if this one leads. Returns
  // the job's terminal state; kNone if the job was not cancelled or the outcome
  // is not known in time.
  net::Task<TerminalState> CancelAsLeader(std::string id);

 private:
  const RequestContext& context_;
  JobStatusReader& status_reader_;
};

}  // namespace oxbow::app
