#include "app/controller_node.h"

#include <random>
#include <utility>

#include "app/calendar_records.h"
#include "logging/structured_log.h"
#include "wire/calendar_json.h"
#include "wire/tiers_json.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// Parsing cannot fail, because ParseSettings() has checked the address.
net::Address AddressOf(const std::string& text) {
  net::Address address;
  net::ParseAddress(text, &address);
  return address;
}

LeaderHealthCoordinator::Peers PeersOf(net::Loop& loop,
                                       const Settings& settings) {
  LeaderHealthCoordinator::Peers peers;
  for (const PeerSettings& peer : settings.peers) {
    peers.push_back(std::make_unique<clients::PeerClient>(
        loop, peer.name, AddressOf(peer.address)));
  }
  return peers;
}

std::string NewIncarnation() {
  std::random_device device;
  return std::to_string((static_cast<uint64_t>(device()) << 32) | device());
}

// Returns the kinds of operators' records, each with the validation of the
// subsystem that uses it.
std::vector<RecordKind> RecordKinds(const Settings& settings,
                                    const Tuning& tuning,
                                    const Catalog& catalog,
                                    const StoreWatcher& watcher) {
  std::vector<RecordKind> kinds;
  if (tuning.tiers > 0) {
    const TierBounds bounds = TierBounds::From(settings);
    kinds.push_back({std::string(wire::kTiersRecord), "tiers",
                     [bounds](const std::string&, const std::string& text) {
                       std::vector<Tier> tiers;
                       return wire::ReadTiers(text, bounds, &tiers);
                     }});
  }
  if (tuning.calendar_on > 0) {
    kinds.push_back({std::string(wire::kCalendarPrefix), "booking",
                     [&settings, &catalog, &watcher](const std::string& name,
                                                     const std::string& text) {
                       return CheckBooking(settings, catalog, watcher, name,
                                           text);
                     }});
  }
  return kinds;
}

net::HttpServer::Limits ServerLimits(const Settings& settings) {
  net::HttpServer::Limits limits;
  limits.connections = settings.limits.client_connections();
  return limits;
}

}  // namespace

ControllerNode::ControllerNode(net::Loop& loop, const Settings& settings,
                               const Tuning& tuning)
    : settings_(settings),
      store_(loop, AddressOf(settings.store_address), settings),
      cloud_(loop, AddressOf(settings.cloud_address), settings),
      process_incarnation_(NewIncarnation()),
      peers_(PeersOf(loop, settings)),
      watcher_(loop, settings, store_, cloud_, catalog_,
               {[this](const std::string& key) {
                  if (key == keys::kEpoch) recovery_.OnEpochRecord();
                  leader_runtime_.OnRecord(key);
                },
                [this] { leader_runtime_.ExecuteActions(); },
                [this](const std::vector<MachineType>& types) {
                  leader_runtime_.OnMachineTypes(types);
                },
                [this] {
                  recovery_.ReportDataLoss(DataLossIndication::kEpochMissing);
                }}),
      leader_health_coordinator_(
          loop, settings, tuning, catalog_, peers_,
          {[this](uint64_t revision, const auto& event) {
             leader_runtime_.Deliver(revision, event);
           },
           [this] { return election_.MayLead(); },
           [this](const std::string& why) {
             election_.StepDown(why);
             leader_health_coordinator_.OnLeadershipYielded();
           }}),
      zone_coordinator_(
          loop, settings, tuning, store_, peers_, process_incarnation_,
          {[this] { return election_.LeaderPeer(); },
           [this] {
             return election_.ByLease() ? leader_runtime_.ActiveLeader()
                                        : nullptr;
           },
           [this](uint64_t revision, const auto& event) {
             leader_runtime_.Deliver(revision, event);
           }}),
      recovery_(loop, settings, tuning, catalog_, store_, watcher_, peers_,
                {[this] { election_.OnStoreLoss(); },
                 [this] { election_.OnLaterEpoch(); },
                 [this] { return leader_runtime_.ActiveLeader() != nullptr; },
                 [this](uint64_t mod_revision) {
                   election_.OnOrphanedKey(mod_revision);
                 },
                 [this](uint64_t revision, const auto& event) {
                   leader_runtime_.Deliver(revision, event);
                 }}),
      election_(loop, settings, tuning, store_, catalog_, watcher_,
                leader_health_coordinator_, peers_, recovery_,
                process_incarnation_,
                {[this] { return leader_runtime_.is_leading(); },
                 [this](uint64_t revision, const auto& delegates) {
                   leader_runtime_.StartLeading(revision, delegates);
                 },
                 [this] { leader_runtime_.StopLeading(); }}),
      leader_runtime_(
          {loop, settings, catalog_, store_, cloud_, watcher_, election_,
           leader_health_coordinator_, zone_coordinator_, recovery_},
          tuning),
      version_coordinator_(loop, settings, catalog_, store_,
                           {[this] { return watcher_.synced(); },
                            [this] { return recovery_.MayAccept(); },
                            [this](std::vector<Precondition>* preconditions) {
                              recovery_.AddEpochPrecondition(preconditions);
                            },
                            [this](const std::string& key, const Record& record,
                                   uint64_t mod_revision) {
                              watcher_.Apply(key, record, mod_revision);
                            }}),
      request_forwarder_(loop, settings, election_, peers_),
      job_request_handler_({loop, settings, catalog_, store_, watcher_,
                            election_, leader_runtime_, zone_coordinator_,
                            recovery_, version_coordinator_,
                            request_forwarder_}),
      rollout_coordinator_(settings, tuning, catalog_, store_,
                           {[this](const std::string& key, const Record& record,
                                   uint64_t mod_revision) {
                              watcher_.Apply(key, record, mod_revision);
                            },
                            [this] { return watcher_.ever_synced(); },
                            [this](std::vector<Precondition>* preconditions) {
                              recovery_.AddEpochPrecondition(preconditions);
                            },
                            [this] { return leader_runtime_.ActiveLeader(); },
                            [&loop] { return loop.Now(); }}),
      rollout_routes_(rollout_coordinator_),
      record_coordinator_(settings, catalog_, store_,
                          RecordKinds(settings, tuning, catalog_, watcher_),
                          {[this](const std::string& key, const Record& record,
                                  uint64_t mod_revision) {
                             watcher_.Apply(key, record, mod_revision);
                           },
                           [this] { return watcher_.ever_synced(); },
                           [this](std::vector<Precondition>* preconditions) {
                             recovery_.AddEpochPrecondition(preconditions);
                           },
                           [this] { return recovery_.MayAccept(); }}),
      record_routes_(record_coordinator_),
      api_(job_request_handler_, &rollout_routes_, &record_routes_,
           [this] { return server_.counters(); }),
      peer_server_(
          loop, AddressOf(settings.peer_listen),
          [this](PeerMessage message) { return OnPeer(std::move(message)); }),
      server_(
          loop, AddressOf(settings.listen), ServerLimits(settings),
          [this](net::HttpRequest request) {
            return api_.Handle(std::move(request));
          },
          api::ClassifyClient),
      connection_log_(loop, settings, server_, leader_runtime_) {}

void ControllerNode::Start() {
  logging::Info("controller starting", {{"node", settings_.node},
                                        {"zone", settings_.zone},
                                        {"listen", settings_.listen}});
  net::Spawn(server_.Run());
  net::Spawn(peer_server_.Run());
  watcher_.Start();
  election_.Start();
  recovery_.Start();
  zone_coordinator_.Start();
  leader_runtime_.Start();
  version_coordinator_.Start();
  connection_log_.Start();
}

net::Task<PeerMessage> ControllerNode::OnPeer(PeerMessage message) {
  PeerMessage reply;
  reply.node = settings_.node;
  reply.role = election_.Role();
  if (PeerRequestHandler::Handles(message.kind)) {
    co_await job_request_handler_.peer_requests().Handle(std::move(message),
                                                         &reply);
    co_return reply;
  }
  if (RecoveryCoordinator::Handles(message.kind)) {
    co_await recovery_.OnPeer(std::move(message), &reply);
    co_return reply;
  }
  if (ZoneCoordinator::Handles(message.kind)) {
    zone_coordinator_.OnPeer(message, &reply);
    co_return reply;
  }
  switch (message.kind) {
    case PeerKind::kPromise: {
      const bool promised = co_await election_.Promise();
      if (promised) reply.answer = PeerAnswer::kYes;
      break;
    }
    case PeerKind::kDelegate: {
      const bool promised = co_await election_.PromiseToDelegate(message);
      if (promised) reply.answer = PeerAnswer::kYes;
      break;
    }
    case PeerKind::kDelegationOver:
      election_.OnDelegationReleased(message);
      break;
    case PeerKind::kReach:
    case PeerKind::kSilent:
      co_await leader_health_coordinator_.OnReachabilityQuestion(
          std::move(message), &reply);
      break;
    case PeerKind::kOfferLeadershipTransfer:
      leader_health_coordinator_.OnTransferOffer(message, &reply);
      break;
    case PeerKind::kDeferCandidacy:
      leader_health_coordinator_.OnDeferCandidacy(message);
      break;
    default:
      break;
  }
  co_return reply;
}

}  // namespace oxbow::app
