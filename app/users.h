// Users' and workers' requests: accepted by this controller's own conditional
// write, denied by its own fresh read, answered from the leader's picture or
// handed to another controller once. Owns no state of a job.
#pragma once

#include <memory>
#include <string>

#include "api/api.h"
#include "app/election.h"
#include "app/follower.h"
#include "app/leader_health_coordinator.h"
#include "app/leader_service.h"
#include "app/recovery_coordinator.h"
#include "app/relays.h"
#include "app/zone_coordinator.h"
#include "clients/peer.h"
#include "clients/state.h"
#include "core/controller/catalog.h"

namespace oxbow::app {

class Users : public api::Service {
 public:
  Users(net::Loop& loop, const Settings& settings, Catalog& catalog,
        clients::StateClient& state, Follower& follower, Election& election,
        LeaderService& leader_service,
        const LeaderHealthCoordinator::Peers& peers,
        ZoneCoordinator& zone_coordinator, RecoveryCoordinator& recovery);

  // api::Service
  bool Ready() override;
  const std::map<std::string, MachineType>* Types() override;
  const std::vector<TeamSettings>& Teams() override { return settings_.teams; }
  bool KnownHere(const std::string& id) override;
  net::Task<api::Status> Poll(std::string id) override;
  net::Task<api::Submitted> Submit(
      std::shared_ptr<const JobSpec> spec) override;
  net::Task<api::Status> Cancel(std::string id) override;
  net::Task<api::Reported> Report(WorkerReport report,
                                  std::string body) override;
  api::LeaderView Leader() override;

  // A request, or news of one, from another controller; false if it is not of
  // that kind.
  static bool Takes(clients::PeerKind kind);
  net::Task<void> OnPeer(clients::PeerMessage message,
                         clients::PeerMessage* reply);

 private:
  // One answer, of which a user waits only so long.
  template <typename Answer>
  struct Awaited {
    explicit Awaited(net::Loop& loop) : done(loop) {}
    net::Event done;
    Answer answer;
  };
  using AwaitedStatus = std::shared_ptr<Awaited<api::Status>>;
  using AwaitedSubmitted = std::shared_ptr<Awaited<api::Submitted>>;

  // Whether one more request may be under way here.
  bool Takes() const;
  net::Task<void> PollInto(std::string id, AwaitedStatus out);
  net::Task<void> CancelInto(std::string id, AwaitedStatus out);
  net::Task<void> SubmitInto(std::shared_ptr<const JobSpec> spec,
                             AwaitedSubmitted out);
  net::Task<api::Submitted> SubmitAnywhere(std::shared_ptr<const JobSpec> spec);
  net::Task<api::Status> PollHere(std::string id);
  net::Task<api::Status> CancelOrPass(std::string id);
  net::Task<api::Submitted> SubmitHere(std::shared_ptr<const JobSpec> spec);
  // Whether a user's request may wait for the state service.
  bool StateAnswers();
  net::Task<void> ProbeState();
  // Reads the job afresh; brings the catalog up to date. `unseen`: the leader
  // has just said that it knows nothing of it.
  net::Task<api::Status> FreshRead(std::string id, bool unseen = false);
  // What is said of a job that has no record.
  net::Task<api::Status> NotFound(std::string id, bool unseen);
  // The leader's core takes the report; false if this is not the leader.
  bool TakeReport(const WorkerReport& report, ReportReply* reply);
  bool TerminalStateKnown(const std::string& id, api::Status* out) const;
  // Its end, of which only the kind may be known.
  bool EndTold(const std::string& id, api::Status* out) const;
  bool ViewHere(const std::string& id, api::Status* out);
  // Whether this one leads, has heard all machines, and knows nothing of it.
  bool UnseenHere(const std::string& id);

  net::Loop& loop_;
  const Settings& settings_;
  Catalog& catalog_;
  clients::StateClient& state_;
  Follower& follower_;
  Election& election_;
  LeaderService& leader_service_;
  ZoneCoordinator& zone_coordinator_;
  RecoveryCoordinator& recovery_;
  Relays relays_;
  size_t under_way_ = 0;  // users' requests
  bool probing_ = false;  // the state service, on nobody's behalf
  net::Time next_probe_ = 0;
};

}  // namespace oxbow::app
