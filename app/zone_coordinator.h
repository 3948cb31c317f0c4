// A controller and the workers of its zone while the leader is in another zone.
// Forwards their heartbeats to the leader, so that they stay with this
// controller when the zone is cut off; then renews their leases under a
// delegated lease that the leader has granted before. Sends no commands and
// leads nothing. See docs/delegated-lease.md.
//
// Loops and spawned coroutines hold `this` and copies of their arguments: the
// coordinator must outlive the event loop's run.
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
    // The leader as far as is known; null: this controller, or nobody.
    std::function<clients::PeerClient*()> leader_peer;
    // This controller's core, where it leads by the lease of the leader key.
    std::function<Leader*()> active_leader;
    // Hands an event to the core, if that leadership has not ended.
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        deliver;
  };

  ZoneCoordinator(net::Loop& loop, const Settings& settings,
                  const Tuning& tuning, clients::KeyValueStoreClient& store,
                  const LeaderHealthCoordinator::Peers& peers,
                  std::string process_incarnation, Callbacks callbacks);
  // Starts the loops, if leases may be delegated to zones; once.
  void Start();

  // --- forwarding heartbeats
  // Of a forwarded heartbeat, or of its answer.
  static constexpr size_t kMaxForwardedBytes = 48 * 1024;
  struct ForwardedAnswer {
    bool answered = false;
    std::string text;  // the leader's answer, as it is to be sent
  };
  // Whether a heartbeat of that size should be forwarded to the leader.
  bool MayForward(const Heartbeat& heartbeat, size_t bytes) const;
  // Takes less time than a worker waits; by then it is known whether this
  // controller is cut off.
  net::Task<ForwardedAnswer> ForwardToLeader(std::string body);

  // --- the state of this controller
  // Whether neither the key-value store nor the leader can be reached.
  bool IsCutOff() const;
  // Whether neither the key-value store nor any controller has been reached for
  // a while: no user's request can be answered here.
  bool IsIsolated() const;
  enum class Renewal : uint8_t {
    kNo,
    kYes,         // the heartbeat may be answered here, without commands
    kRedirected,  // a leader reaches the worker: it is to turn to that one
  };
  // Whether this controller may renew the worker's lease.
  Renewal MayRenewWorkerLeases(const Heartbeat& heartbeat);
  // A controller of this zone that may renew leases where this one may not,
  // since it has restarted or was never granted a delegated lease; empty if
  // none is known.
  std::string DelegateInZone() const;

  // --- as the leader
  // The controller of the worker's own zone that it should turn to; empty to
  // stay here. Given once in a while only.
  std::string RedirectTargetFor(const Heartbeat& heartbeat, uint64_t revision);
  // Asks controllers to stop renewing leases for a moment.
  void RequestYields(const RequestLeaseYield& request, uint64_t revision);

  // --- as one who is asked
  static bool Handles(clients::PeerKind kind) {
    return kind == clients::PeerKind::kDelegateZone ||
           kind == clients::PeerKind::kRequestLeaseYield;
  }
  void OnPeer(const clients::PeerMessage& message, clients::PeerMessage* reply);

 private:
  static constexpr net::Time kNever = -1e9;  // before every time

  struct PendingAnswer {
    explicit PendingAnswer(net::Loop& loop) : done(loop) {}
    net::Event done;
    clients::PeerClient::Answer answer;
  };
  // A worker of another zone that sends its heartbeats here, to the leader.
  struct Visitor {
    int heartbeats = 0;
    net::Time redirected_at = kNever;
  };

  net::Task<void> RequestDelegationLoop();
  net::Task<void> RequestDelegation(clients::PeerClient* leader,
                                    net::Time sent);
  // Learns whether the key-value store answers now, in a bounded time.
  net::Task<void> ProbeStore();
  net::Task<void> SendStoreProbe();
  // While cut off: which peers answer, and which of them may renew leases.
  net::Task<void> ProbeNeighboursLoop();
  net::Task<void> ProbeNeighbour(clients::PeerClient* peer);
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
  // When the last question was sent that the leader answered, or this
  // controller led; and the last that it did not answer.
  net::Time leader_answered_at_ = kNever;
  net::Time leader_failed_at_ = kNever;
  net::Time store_failed_at_ = kNever;  // a probe was not answered in time
  bool probing_ = false;
  std::optional<net::Time> cut_off_since_;
  net::Time peer_answered_at_ = kNever;  // any of them, while cut off
  std::string neighbour_;                // in this zone, may renew leases
  net::Time neighbour_valid_until_ = kNever;
  // As the leader: when each controller last asked for a delegated lease.
  std::map<std::string, net::Time> peer_asked_at_;
  uint64_t visitors_revision_ = 0;  // of the leadership the visitors belong to
  std::unordered_map<std::string, Visitor> visitors_;  // by host
};

}  // namespace oxbow::app
