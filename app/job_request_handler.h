// Users' and workers' requests: accepted by this controller's own conditional
// write, denied by its own fresh read, answered from the leader's picture or
// handed to another controller once. Owns no state of a job. What may be told
// of one the answer gate decides (core/answers).
#pragma once

#include <memory>
#include <string>

#include "api/api.h"
#include "app/dependency_admission.h"
#include "app/leader_election.h"
#include "app/leader_health_coordinator.h"
#include "app/leader_runtime.h"
#include "app/recovery_coordinator.h"
#include "app/request_forwarder.h"
#include "app/store_watcher.h"
#include "app/version_coordinator.h"
#include "app/zone_coordinator.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/catalog/catalog.h"
#include "core/read_consistency/read_consistency_gate.h"

namespace oxbow::app {

class JobRequestHandler : public api::Service {
 public:
  JobRequestHandler(net::Loop& loop, const Settings& settings, Catalog& catalog,
                    clients::KeyValueStoreClient& state, StoreWatcher& watcher,
                    LeaderElection& election, LeaderRuntime& leader_runtime,
                    const LeaderHealthCoordinator::Peers& peers,
                    ZoneCoordinator& zone_coordinator,
                    RecoveryCoordinator& recovery,
                    VersionCoordinator& versions);

  // api::Service
  bool Ready() override;
  const std::map<std::string, MachineType>* Types() override;
  const std::vector<TeamQuota>& Teams() override { return settings_.teams; }
  bool KnownHere(const std::string& id) override;
  net::Task<api::Status> Poll(std::string id) override;
  net::Task<api::Submitted> Submit(
      std::shared_ptr<const JobSpec> spec) override;
  net::Task<api::Status> Cancel(std::string id) override;
  net::Task<api::HeartbeatAnswer> OnHeartbeat(Heartbeat heartbeat,
                                              std::string body) override;
  api::LeaderView CurrentLeader() override;

  // A request, or news of one, from another controller; false if it is not of
  // that kind.
  static bool Handles(clients::PeerKind kind);
  net::Task<void> OnPeer(clients::PeerMessage message,
                         clients::PeerMessage* reply);

 private:
  // One answer, of which a user waits only so long.
  template <typename Answer>
  struct PendingAnswer {
    explicit PendingAnswer(net::Loop& loop) : done(loop) {}
    net::Event done;
    Answer answer;
  };
  using PendingStatus = std::shared_ptr<PendingAnswer<api::Status>>;
  using PendingSubmission = std::shared_ptr<PendingAnswer<api::Submitted>>;

  // A request about a job that is answered by its status.
  struct StatusRequest {
    net::Task<api::Status> (JobRequestHandler::*here)(std::string id);
    clients::PeerKind relay;  // what it is to a controller it is handed to
    double within;            // s until its user is told to come again
    double apart;             // s between the peers that are asked
  };
  static const StatusRequest kPollRequest;
  static const StatusRequest kCancelRequest;

  // Whether one more request may be under way here.
  bool Admits() const;
  // Here, else at another controller, in time or not at all.
  net::Task<api::Status> Answer(const StatusRequest& request, std::string id);
  net::Task<void> AnswerInto(const StatusRequest& request, std::string id,
                             PendingStatus out);
  net::Task<void> SubmitInto(std::shared_ptr<const JobSpec> spec,
                             PendingSubmission out);
  net::Task<api::Submitted> SubmitAnywhere(std::shared_ptr<const JobSpec> spec);
  net::Task<api::Status> PollLocally(std::string id);
  net::Task<api::Status> CancelOrPass(std::string id);
  net::Task<api::Submitted> SubmitLocally(std::shared_ptr<const JobSpec> spec);
  // Writes the acceptance and says what came of it.
  net::Task<api::Submitted> Accept(std::shared_ptr<const JobSpec> spec,
                                   NamedJobs named);
  // To the leader, which would learn of it a moment later.
  void NotifyLeader(const std::string& id, const Acceptance& acceptance,
                    uint64_t revision);
  net::Task<DependencyAdmission::Accepted> WasAccepted(std::string id);
  // Whether a user's request may wait for the key-value store.
  bool StateAnswers();
  net::Task<void> ProbeState();
  // Whether the job waits for others, read afresh.
  net::Task<DependencyAdmission::Accepted> ReadWaiting(std::string id);
  // Reads the job afresh; brings the catalog up to date. `unseen`: the leader
  // has just said that it knows nothing of it.
  net::Task<api::Status> FreshRead(std::string id, bool unseen = false);
  // Fills in what may be told of the job, by what is known here and by a read
  // that began after the question.
  StatusDecision ResolveStatus(const std::string& id, RecordRead read,
                               api::Status* out);
  api::Status StatusAsRead(const std::string& id, RecordRead read);
  // The leader's own sight of the job; kUnseen where this is not the leader.
  JobObservation ObservationOf(const std::string& id, JobView* out);
  bool SeenUnrecorded(const std::string& id);
  // What is said of a job that has no record.
  net::Task<api::Status> NotFound(std::string id, bool unseen);
  // The leader's core takes the heartbeat; false if this is not the leader.
  bool ProcessHeartbeatAsLeader(const Heartbeat& heartbeat,
                                HeartbeatResponse* reply);
  bool TerminalStateKnown(const std::string& id, api::Status* out) const;
  // Its end, of which only the kind may be known.
  bool TerminalStatusOf(const std::string& id, api::Status* out) const;
  // Whether this one leads, has heard all machines, and knows nothing of it.
  bool UnseenHere(const std::string& id);

  net::Loop& loop_;
  const Settings& settings_;
  Catalog& catalog_;
  clients::KeyValueStoreClient& store_;
  StoreWatcher& watcher_;
  LeaderElection& election_;
  LeaderRuntime& leader_runtime_;
  ZoneCoordinator& zone_coordinator_;
  RecoveryCoordinator& recovery_;
  VersionCoordinator& versions_;
  DependencyAdmission admission_;
  RequestForwarder forwarder_;
  size_t under_way_ = 0;  // users' requests
  bool probing_ = false;  // the key-value store, on nobody's behalf
  net::Time next_probe_ = 0;
};

}  // namespace oxbow::app
