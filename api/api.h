// The HTTP interface of a controller: routes, validation, and JSON. A Service
// provides the contents of the answers.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "api/record_routes.h"
#include "api/rollout_routes.h"
#include "core/leader/leader.h"
#include "core/leader_context/command_counters.h"
#include "core/model/job.h"
#include "core/read_consistency/withheld_reason.h"
#include "net/http.h"
#include "net/http_server.h"
#include "net/task.h"

namespace oxbow::api {

// What a controller can tell a user about a job.
struct JobStatus {
  enum class Presence : uint8_t { kExists, kNotFound, kUnknown };
  Presence presence = Presence::kUnknown;
  std::string status;    // as it appears in the response
  uint32_t done = 0;     // finished tasks
  uint32_t running = 0;  // running tasks
  // Set if the presence is unknown for a reason other than a timeout.
  std::optional<WithheldReason> withheld;
};

// The outcome of a job submission.
enum class SubmitResult : uint8_t {
  kUnavailable,  // 503: the job can't be recorded now
  kAccepted,
  kAlreadyKnown,
  kTooLarge,           // its record does not fit into the key-value store
  kUnknownDependency,  // it names a job that was never accepted
};

// The answer to a worker's heartbeat.
struct HeartbeatAnswer {
  enum class Result : uint8_t {
    kUnavailable,
    kAnswered,    // by this controller: `response` is set
    kForwarded,   // by the leader: `forwarded` is set
    kRedirected,  // to the address in `leader`
  };
  Result result = Result::kUnavailable;
  HeartbeatResponse response;
  std::string forwarded;  // the leader's response body, sent unchanged
  std::string leader;     // address; empty if unknown
};

// Which controller is the leader and, on the leader itself, the work that it is
// holding back and why.
struct LeaderView {
  std::string leader;  // empty if unknown
  bool here = false;   // this is the leader; else the fields below are unset
  int machines = 0;    // machines in the records
  int silent = 0;      // machines that send no heartbeats
  // Counts only workers that sent a heartbeat again later in this leadership.
  uint64_t expired_leases = 0;
  CommandCounters commands;
  std::vector<std::string> alarms;
  std::vector<std::string> waiting;  // jobs and the jobs that they depend on
};

// Counters since the start of this controller, for the operator on call.
struct ControllerCounters {
  uint64_t answered = 0;  // status requests for jobs
  std::array<uint64_t, kWithheldReasons> withheld{};
  double oldest_withheld_seconds = 0;
  double longest_stall_seconds = 0;  // of the event loop
};

// The kind of client on a connection, determined by its latest request.
// kClientKindNames is in the same order.
enum class ClientKind : uint8_t {
  kNoRequest,
  kWorker,
  kUser,
  kProbe,
  kOperator
};
inline constexpr size_t kClientKinds = 5;
inline constexpr std::array<std::string_view, kClientKinds> kClientKindNames = {
    "no_request", "worker", "user", "probe", "operator",
};
// Returns the ClientKind of a request as an index; used as a
// net::HttpServer::Classifier.
size_t ClassifyClient(const net::HttpRequest& request);

// Provides the contents of the answers. Its coroutines may outlive the call
// that started them; the service must outlive the event loop's run.
class Service {
 public:
  virtual ~Service() = default;
  // Whether this controller is ready for requests from users and workers.
  virtual bool IsReady() = 0;
  // Null while the machine types are unknown.
  virtual const std::map<std::string, MachineType>* MachineTypes() = 0;
  virtual const std::vector<TeamQuota>& TeamQuotas() = 0;
  // Whether the job is known in memory; does not read the key-value store.
  virtual bool IsKnownLocally(const std::string& id) = 0;
  virtual net::Task<JobStatus> GetStatus(std::string id) = 0;
  virtual net::Task<SubmitResult> Submit(
      std::shared_ptr<const JobSpec> spec) = 0;
  // Cancels the job. Completes with its status once its terminal state is
  // recorded.
  virtual net::Task<JobStatus> Cancel(std::string id) = 0;
  // `body`: the heartbeat as received, unparsed.
  virtual net::Task<HeartbeatAnswer> OnHeartbeat(Heartbeat heartbeat,
                                                 std::string body) = 0;
  virtual LeaderView CurrentLeader() = 0;
  virtual ControllerCounters Counters() = 0;
};

// Routes requests, parses them and renders the answers.
class Api {
 public:
  // `rollouts` and `records` may be null; then their routes do not exist.
  // `connections` returns the connection counters of the server; it may be
  // empty.
  explicit Api(Service& service, RolloutRoutes* rollouts = nullptr,
               RecordRoutes* records = nullptr,
               std::function<net::HttpServer::Counters()> connections = {})
      : service_(service),
        rollouts_(rollouts),
        records_(records),
        connections_(std::move(connections)) {}
  // Answers one request. The api must outlive the task.
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::Task<net::HttpResponse> HandleJob(std::string path, std::string method);
  net::HttpResponse Readiness();
  net::Task<net::HttpResponse> Submit(std::string body);
  net::Task<net::HttpResponse> SubmitValid(std::shared_ptr<const JobSpec> spec);
  net::Task<net::HttpResponse> GetStatus(std::string id);
  net::Task<net::HttpResponse> Cancel(std::string id);
  // Rejects a submission with `status` and `reason` unless the job is already
  // known: a repeated submission of a known job is never rejected, even if its
  // description differs this time.
  net::Task<net::HttpResponse> RefuseUnlessKnown(std::string id, int status,
                                                 std::string reason);
  net::Task<net::HttpResponse> OnHeartbeat(std::string body);
  net::HttpResponse CurrentLeader();

  Service& service_;
  RolloutRoutes* rollouts_;
  RecordRoutes* records_;
  std::function<net::HttpServer::Counters()> connections_;
};

}  // namespace oxbow::api
