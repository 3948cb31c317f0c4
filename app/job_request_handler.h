// Handles users' requests about jobs and workers' heartbeats from the HTTP
// interface. Limits how many requests are in progress and how long a user waits
// for each; forwards requests that this controller cannot answer to another
// one. JobSubmitter, JobStatusReader, JobCanceller and WorkerHeartbeatHandler
// do the work itself. The handler holds no state of jobs.
//
// A request continues after its user was told to try again, until the
// operations that it waits for have ended. Its coroutines hold `this` and
// copies of their arguments, so the handler must live as long as the event loop
// runs.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "api/api.h"
#include "app/job_canceller.h"
#include "app/job_status_reader.h"
#include "app/job_submitter.h"
#include "app/peer_request_handler.h"
#include "app/request_context.h"
#include "app/status_metrics.h"
#include "app/worker_heartbeat_handler.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Implements the service behind the HTTP interface; one per controller.
class JobRequestHandler : public api::Service {
 public:
  explicit JobRequestHandler(const RequestContext& context);

  // api::Service
  bool IsReady() override;
  const std::map<std::string, MachineType>* MachineTypes() override;
  const std::vector<TeamQuota>& TeamQuotas() override;
  bool IsKnownLocally(const std::string& id) override;
  net::Task<api::JobStatus> GetStatus(std::string id) override;
  net::Task<api::SubmitResult> Submit(
      std::shared_ptr<const JobSpec> spec) override;
  net::Task<api::JobStatus> Cancel(std::string id) override;
  net::Task<api::HeartbeatAnswer> OnHeartbeat(Heartbeat heartbeat,
                                              std::string body) override;
  api::LeaderView CurrentLeader() override;
  api::ControllerCounters Counters() override;

  // The handler of other controllers' requests.
  PeerRequestHandler& peer_requests() { return peer_requests_; }

 private:
  // How a request that is answered by a job's status is forwarded.
  struct StatusRequest {
    clients::PeerKind relay_kind;
    double timeout_seconds;        // until the user is told to try again
    double peer_interval_seconds;  // between asking one peer and the next
  };
  static const StatusRequest kStatusRequest;
  static const StatusRequest kCancelRequest;

  // The answer of a request that continues when its user has stopped waiting.
  template <typename Answer>
  struct PendingAnswer {
    explicit PendingAnswer(net::Loop& loop) : done(loop) {}
    net::Event done;
    Answer answer{};
  };

  // Whether the limits allow one more request.
  bool MayStartRequest() const;
  // Returns the answer of `work`, or a default answer after `timeout_seconds`;
  // the work then continues.
  template <typename Answer>
  net::Task<Answer> AnswerWithin(net::Task<Answer> work,
                                 double timeout_seconds);
  template <typename Answer>
  net::Task<void> Complete(net::Task<Answer> work,
                           std::shared_ptr<PendingAnswer<Answer>> pending);
  // Returns the answer of `local` or, if that is unknown and time remains, the
  // answer of another controller.
  net::Task<api::JobStatus> AnswerOrForward(StatusRequest request,
                                            net::Task<api::JobStatus> local,
                                            std::string id);

  // Determines a status that this controller cannot tell from memory, within
  // the limits of requests and time.
  net::Task<api::JobStatus> AskForStatus(std::string id);
  // Counts the status as answered or withheld, and returns it.
  api::JobStatus CountStatus(const std::string& id, api::JobStatus status);

  const RequestContext context_;
  JobStatusReader status_reader_;
  JobSubmitter submitter_;
  JobCanceller canceller_;
  WorkerHeartbeatHandler heartbeat_handler_;
  PeerRequestHandler peer_requests_;
  size_t requests_in_progress_ = 0;
  size_t users_waiting_ = 0;  // each keeps a connection open
  StatusMetrics metrics_;
};

}  // namespace oxbow::app
