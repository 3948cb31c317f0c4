// Serves the workers of this controller's zone while the leader is in another
// zone. Forwards their heartbeats to the leader, so that the workers stay with
// this controller when a partition cuts the zone off. It then renews their
// leases under a delegated lease that the leader granted earlier, but sends
// them no commands and does not act as the leader. See docs/delegated-lease.md.
//
// Loops and spawned coroutines hold `this` and copies of their arguments, so
// the coordinator must live as long as the event loop runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/delegated_lease_record_writer.h"
#include "app/leader_health_coordinator.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/leader/leader.h"
#include "core/lease/delegated_lease.h"
#include "core/lease/partition_detector.h"
#include "core/model/heartbeat.h"
#include "net/loop.h"

namespace oxbow::app {

// Handles heartbeats across zones; one per controller.
class ZoneCoordinator {
 public:
  struct Callbacks {
    // The client for the known leader; null if that is this controller or no
    // leader is known.
    std::function<clients::PeerClient*()> leader_peer;
    // This controller's Leader, if it leads by the leader key's lease;
    // otherwise null.
    std::function<Leader*()> active_leader;
    // Delivers an event to the Leader unless the leadership of `revision` has
    // ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
  };

  ZoneCoordinator(net::Loop& loop, const Settings& settings,
                  const Tuning& tuning, clients::KeyValueStoreClient& store,
                  const LeaderHealthCoordinator::Peers& peers,
                  std::string process_incarnation, Callbacks callbacks);
  // Starts the loops if leases may be delegated to zones. Must be called once.
  void Start();

  // --- forwarding heartbeats
  // The largest heartbeat that is forwarded, and the largest answer to one.
  static constexpr size_t kMaxForwardedBytes = 48 * 1024;
  struct ForwardedAnswer {
    bool answered = false;
    std::string text;  // the leader's answer, as it is to be sent
  };
  // Whether a heartbeat of `bytes` should be forwarded to the leader.
  bool MayForward(const Heartbeat& heartbeat, size_t bytes) const;
  // Forwards a heartbeat to the leader. Takes less time than a worker waits for
  // its answer, and afterwards IsCutOff() is up to date.
  net::Task<ForwardedAnswer> ForwardToLeader(std::string body);

  // --- the state of this controller
  // Whether neither the key-value store nor the leader can be reached.
  bool IsCutOff() const;
  // Whether this controller has reached neither the key-value store nor any
  // other controller for a while, so that it cannot answer users' requests.
  bool IsIsolated() const;
  enum class Renewal : uint8_t {
    kNo,
    kYes,         // the heartbeat may be answered here, without commands
    kRedirected,  // a leader reaches the worker, which must turn to that leader
  };
  // Whether this controller may renew the worker's lease.
  Renewal MayRenewWorkerLeases(const Heartbeat& heartbeat);
  // The name of a controller of this zone that may renew leases, for use when
  // this one may not because it has restarted or was never granted a delegated
  // lease; empty if none is known.
  std::string DelegateInZone() const;

  // --- as the leader
  // The controller of the worker's own zone that the worker should turn to;
  // empty if it should stay here. Each worker is redirected only at long
  // intervals.
  std::string RedirectTargetFor(const Heartbeat& heartbeat, uint64_t revision);
  // Asks controllers to stop renewing leases for a short time.
  void RequestYields(const RequestLeaseYield& request, uint64_t revision);

  // --- requests from other controllers
  static bool Handles(clients::PeerKind kind) {
    return kind == clients::PeerKind::kDelegateZone ||
           kind == clients::PeerKind::kRequestLeaseYield;
  }
  // Answers a message for which Handles() is true.
  void OnPeer(const clients::PeerMessage& message, clients::PeerMessage* reply);

 private:
  static constexpr net::Time kNever = -1e9;  // before every time

  struct PendingAnswer {
    explicit PendingAnswer(net::Loop& loop) : done(loop) {}
    net::Event done;
    clients::PeerClient::Answer answer;
  };
  // A worker of another zone that sends its heartbeats directly to this
  // controller, the leader.
  struct RemoteWorker {
    int heartbeats = 0;
    net::Time redirected_at = kNever;
  };

  net::Task<void> RequestDelegationLoop();
  net::Task<void> RequestDelegation(clients::PeerClient* leader,
                                    net::Time sent);
  // Determines within a bounded time whether the key-value store answers.
  net::Task<void> ProbeStore();
  net::Task<void> SendStoreProbe();
  // While this controller is cut off or knows no leader, asks which peers
  // answer and which of them may renew leases.
  net::Task<void> ProbePeersLoop();
  net::Task<void> ProbeOnePeer(clients::PeerClient* peer);
  net::Task<void> AskLeader(clients::PeerClient* leader,
                            clients::PeerMessage message,
                            std::shared_ptr<PendingAnswer> pending);
  net::Task<void> RequestYield(clients::PeerClient* peer, uint64_t revision);
  void OnYieldRequest(clients::PeerMessage* reply);
  void OnDelegationRequest(const clients::PeerMessage& message,
                           clients::PeerMessage* reply);
  bool LeaderUnknown() const;
  bool IsInZone(const std::string& peer, const std::string& zone) const;
  std::vector<std::string> ActiveControllersIn(const std::string& zone) const;
  clients::PeerMessage MakeMessage(clients::PeerKind kind) const;

  net::Loop& loop_;
  const Settings& settings_;
  const bool enabled_;
  clients::KeyValueStoreClient& store_;
  const LeaderHealthCoordinator::Peers& peers_;
  const std::string process_incarnation_;
  const net::Time started_;
  Callbacks callbacks_;
  DelegatedLease delegated_lease_;
  DelegatedLeaseRecordWriter lease_record_writer_;
  PartitionDetector partition_detector_;
  // The last time that the leader was known to be reachable: when a message
  // that it answered was sent, its answer or request arrived, or this
  // controller led. Below it, when the last message that the leader did not
  // answer was sent.
  net::Time leader_answered_at_ = kNever;
  net::Time leader_failed_at_ = kNever;
  // When a probe of the key-value store last timed out.
  net::Time store_failed_at_ = kNever;
  bool probing_ = false;
  std::optional<net::Time> cut_off_since_;
  // When any peer last answered a probe.
  net::Time peer_answered_at_ = kNever;
  // The last peer of this zone that has said that it may renew leases.
  std::string zone_delegate_;
  net::Time zone_delegate_valid_until_ = kNever;
  // As the leader: when each controller last asked for a delegated lease.
  std::map<std::string, net::Time> peer_asked_at_;
  // The revision of the leadership that remote_workers_ belongs to.
  uint64_t remote_workers_revision_ = 0;
  std::unordered_map<std::string, RemoteWorker> remote_workers_;  // by host
};

}  // namespace oxbow::app
