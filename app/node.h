// One controller: sockets, timers and clients round the core.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "api/api.h"
#include "app/fitness_desk.h"
#include "app/rollout_desk.h"
#include "clients/cloud.h"
#include "clients/health.h"
#include "clients/peer.h"
#include "clients/state.h"
#include "clients/worker.h"
#include "core/controller/controller.h"
#include "core/lease/leadership.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace oxbow::app {

class Node : public api::Service {
 public:
  Node(net::Loop& loop, const Settings& settings, const Tuning& tuning);

  // Starts everything; the loop does the rest.
  void Start();

  // api::Service
  bool Ready() override;
  const std::map<std::string, MachineType>* Types() override;
  const std::vector<TeamSettings>& Teams() override { return settings_.teams; }
  bool KnownHere(const std::string& id) override;
  net::Task<api::Status> Poll(std::string id) override;
  net::Task<api::Submitted> Submit(
      std::shared_ptr<const JobSpec> spec) override;
  net::Task<api::Status> Cancel(std::string id) override;
  api::Reported Report(const WorkerReport& report) override;
  api::LeaderView Leader() override;

 private:
  struct FinalWaiter {
    explicit FinalWaiter(net::Loop& loop) : event(loop) {}
    net::Event event;
    FinalState state = FinalState::kNone;
  };

  // Following the state service.
  net::Task<void> FollowLoop();
  net::Task<bool> Resync();
  void Apply(const std::string& key, const Record& record, uint64_t stamp);

  // Leadership.
  net::Task<void> LeadershipLoop();
  net::Task<void> Seek();
  net::Task<void> Renew();
  net::Task<void> AskPromise(clients::PeerClient* peer);
  net::Task<void> MeetPeers();
  net::Task<void> ProbeState();
  bool Leads();
  void TakeOffice();
  void StepDown(const std::string& why);
  // Whether this controller could take office, were the key free.
  bool MayLead();
  std::string LeaderName() const;
  clients::PeerClient* LeaderPeer();

  // The leader's dealings.
  net::Task<void> TickLoop();
  net::Task<void> TypesLoop();
  net::Task<void> ListLoop();
  void Perform();
  // Hands an event to the core, if the leadership it belongs to still stands,
  // and carries out what comes of it. A defect in the core ends the leadership
  // instead of the process: the next leader rebuilds from what is recorded.
  void Tell(uint64_t revision, const std::function<void(Controller&)>& event);
  net::Task<void> DoSend(SendOrders orders, uint64_t revision);
  net::Task<void> DoProbe(Probe probe, uint64_t revision);
  net::Task<void> DoWrite(WriteTransaction txn, uint64_t revision);
  net::Task<void> DoRead(ReadKeys read, uint64_t revision);
  net::Task<void> DoRent(RentMachines rent, uint64_t revision);
  net::Task<void> DoCheck(CheckInstance check, uint64_t revision);
  net::Task<void> DoDelete(std::vector<std::string> hosts, uint64_t revision);

  net::Task<clients::PeerMessage> OnPeer(clients::PeerMessage message);
  // Hands a user's request to another controller, once and no further, when
  // this one cannot reach the state service.
  net::Task<clients::PeerMessage> Relay(clients::PeerMessage message);
  net::Task<api::Status> PollHere(std::string id);
  net::Task<api::Status> CancelOrPass(std::string id);
  net::Task<api::Submitted> SubmitHere(std::shared_ptr<const JobSpec> spec);
  net::Task<FinalState> CancelHere(std::string id);
  // Reads the job afresh; brings the catalog up to date.
  net::Task<api::Status> FreshRead(std::string id);
  bool FinalKnown(const std::string& id, api::Status* out) const;
  bool ViewHere(const std::string& id, api::Status* out);

  net::Loop& loop_;
  const Settings& settings_;
  const Tuning& tuning_;
  const std::string incarnation_;
  Catalog catalog_;
  clients::StateClient state_;
  clients::CloudClient cloud_;
  clients::WorkerClients workers_;
  clients::HealthClient health_;
  RolloutDesk rollout_desk_;
  api::RolloutRoutes rollout_routes_;
  FitnessDesk::Peers peers_;
  FitnessDesk fitness_desk_;
  std::unique_ptr<clients::PeerServer> peer_server_;
  api::Api api_;
  std::unique_ptr<net::HttpServer> server_;
  Leadership leadership_;
  std::unique_ptr<Controller> controller_;
  std::map<std::string, MachineType> types_;
  bool synced_ = false;
  bool ever_synced_ = false;
  bool renewing_ = false;
  bool probing_ = false;
  bool performing_ = false;
  size_t relay_to_ = 0;  // the peer that takes what is relayed
  net::Time relay_not_before_ = 0;
  net::Time next_renewal_ = 0;
  net::Time next_promise_ = 0;
  net::Time key_free_since_ = 1e18;
  net::Time started_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<FinalWaiter>>>
      final_waiters_;
};

}  // namespace oxbow::app
