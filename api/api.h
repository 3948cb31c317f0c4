// The HTTP interface of a controller: routes, checks, and JSON. What lies
// behind it is the Service.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "api/record_routes.h"
#include "api/rollout_routes.h"
#include "core/leader/leader.h"
#include "core/model/job.h"
#include "net/http.h"
#include "net/task.h"

namespace oxbow::api {

struct Status {
  enum class JobPresence { kYes, kNo, kCannotTell };
  JobPresence found = JobPresence::kCannotTell;
  std::string status;  // a word of the wire
  uint32_t done = 0;
  uint32_t running = 0;
};

struct Submitted {
  enum class Result { kAccepted, kKnown, kTooLarge, kNamesUnknown, kTryLater };
  Result result = Result::kTryLater;
};

struct HeartbeatAnswer {
  enum class Result { kAnswered, kForwarded, kElsewhere, kUnavailable };
  Result result = Result::kUnavailable;
  HeartbeatResponse reply;
  std::string forwarded;  // the leader's answer, as it is to be given
  std::string leader;     // empty when not known
};

// Who leads, and what the leader does not do and why.
struct LeaderView {
  std::string leader;  // empty when not known
  bool here = false;   // what follows is known at the leader only
  int machines = 0;    // recorded
  int silent = 0;
  std::vector<std::string> alarms;
  std::vector<std::string> waiting;  // jobs, and which others they wait for
};

class Service {
 public:
  virtual ~Service() = default;
  virtual bool Ready() = 0;
  // Nothing while the machine types are unknown.
  virtual const std::map<std::string, MachineType>* Types() = 0;
  virtual const std::vector<TeamQuota>& Teams() = 0;
  // Whether the job is known, from memory only.
  virtual bool KnownHere(const std::string& id) = 0;
  virtual net::Task<Status> Poll(std::string id) = 0;
  virtual net::Task<Submitted> Submit(std::shared_ptr<const JobSpec> spec) = 0;
  virtual net::Task<Status> Cancel(std::string id) = 0;
  // `body`: the same, as it came.
  virtual net::Task<HeartbeatAnswer> OnHeartbeat(Heartbeat heartbeat,
                                                 std::string body) = 0;
  virtual LeaderView CurrentLeader() = 0;
};

class Api {
 public:
  // `rollouts` and `records` may be null.
  explicit Api(Service& service, RolloutRoutes* rollouts = nullptr,
               RecordRoutes* records = nullptr)
      : service_(service), rollouts_(rollouts), records_(records) {}
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

 private:
  net::Task<net::HttpResponse> Submit(std::string body);
  net::Task<net::HttpResponse> Poll(std::string id);
  net::Task<net::HttpResponse> Cancel(std::string id);
  net::Task<net::HttpResponse> Refuse(std::string id, int status,
                                      std::string why);
  net::Task<net::HttpResponse> OnHeartbeat(std::string body);
  net::HttpResponse CurrentLeader();

  Service& service_;
  RolloutRoutes* rollouts_;
  RecordRoutes* records_;
};

}  // namespace oxbow::api
