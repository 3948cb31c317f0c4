// Answers messages from other controllers about jobs and workers: forwarded
// requests of users, questions to the leader about a job, notices of accepted
// jobs, and relayed heartbeats of workers.
//
// Coroutines hold `this` and copies of messages. `reply` must outlive the task;
// the peer server keeps it until it has been sent.
#pragma once

#include <string>

#include "app/job_canceller.h"
#include "app/job_status_reader.h"
#include "app/job_submitter.h"
#include "app/request_context.h"
#include "app/worker_heartbeat_handler.h"
#include "clients/peer.h"
#include "net/task.h"

namespace oxbow::app {

// Answers other controllers' messages; one per controller.
class PeerRequestHandler {
 public:
  PeerRequestHandler(const RequestContext& context,
                     JobStatusReader& status_reader, JobSubmitter& submitter,
                     JobCanceller& canceller,
                     WorkerHeartbeatHandler& heartbeat_handler)
      : context_(context),
        status_reader_(status_reader),
        submitter_(submitter),
        canceller_(canceller),
        heartbeat_handler_(heartbeat_handler) {}

  // Whether this handler answers messages of `kind`.
  static bool Handles(clients::PeerKind kind);
  // Answers a message for which Handles() is true.
  net::Task<void> Handle(clients::PeerMessage message,
                         clients::PeerMessage* reply);

 private:
  net::Task<void> AnswerStatusQuestion(std::string id,
                                       clients::PeerMessage* reply);
  net::Task<void> CancelAsLeader(std::string id, clients::PeerMessage* reply);
  net::Task<void> SubmitLocally(clients::PeerMessage message,
                                clients::PeerMessage* reply);
  void OnJobAccepted(const clients::PeerMessage& message);
  void OnRelayedHeartbeat(const clients::PeerMessage& message,
                          clients::PeerMessage* reply);

  const RequestContext& context_;
  JobStatusReader& status_reader_;
  JobSubmitter& submitter_;
  JobCanceller& canceller_;
  WorkerHeartbeatHandler& heartbeat_handler_;
};

}  // namespace oxbow::app
