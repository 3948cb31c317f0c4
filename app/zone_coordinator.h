// A controller and the workers of its zone, where the leader is in another one.
// Their reports are handed on to the leader, so that they stay where they are
// when the zone is cut off; then they are kept alive by a right that has been
// asked for before. Gives no orders and leads nothing. See
// docs/delegated-lease.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "app/leader_health_coordinator.h"
#include "clients/key_value_store.h"
#include "clients/peer.h"
#include "core/leader/leader.h"
#include "core/lease/delegated_lease.h"
#include "core/lease/delegated_lease_record.h"
#include "core/lease/partition_detector.h"
#include "core/model/heartbeat.h"
#include "net/loop.h"

namespace oxbow::app {

class ZoneCoordinator {
 public:
  struct Callbacks {
    // The leader as far as is known; null: this one, or nobody.
    std::function<clients::PeerClient*()> leader;
    // This controller's core, where it leads by the lease of the key.
    std::function<Leader*()> leading;
    std::function<void(uint64_t revision, const std::function<void(Leader&)>&)>
        tell;
  };

  ZoneCoordinator(net::Loop& loop, const Settings& settings,
                  const Tuning& tuning, clients::KeyValueStoreClient& state,
                  const LeaderHealthCoordinator::Peers& peers,
                  std::string process_incarnation, Callbacks callbacks);
  void Start();

  // --- reports handed on
  static constexpr size_t kMostBytes = 48 * 1024;  // of one, or of its answer
  struct Relayed {
    bool answered = false;
    std::string text;
  };
  // Whether the heartbeat is one to hand on to the leader.
  bool MayForward(const Heartbeat& heartbeat, size_t bytes) const;
  // Back within less than a worker waits; by then it is known whether this
  // controller is cut off.
  net::Task<Relayed> Relay(std::string body);
  // As the leader: the controller of the worker's own zone it should report to,
  // empty to stay here. Says so once in a while.
  std::string BetterPlaceFor(const Heartbeat& heartbeat, uint64_t revision);

  // Whether neither the key-value store nor the leader can be reached.
  bool CutOff() const;
  // A controller of the own zone that may, where this one has forgotten its
  // right, or never had one; empty if none is known.
  std::string Neighbour() const;
  // Whether it has reached neither the key-value store nor any controller for a
  // while: nothing that a user asks can be answered here.
  bool Apart() const;
  enum class Renewal : uint8_t {
    kNo,
    kYes,         // the heartbeat may be answered here, without commands
    kRedirected,  // a leader reaches the worker: it is to look for that one
  };
  Renewal MayRenew(const Heartbeat& heartbeat);

  // --- as the leader
  void RequestYields(const RequestLeaseYield& ask, uint64_t revision);

  static bool Handles(clients::PeerKind kind) {
    return kind == clients::PeerKind::kDelegateZone ||
           kind == clients::PeerKind::kRequestLeaseYield;
  }
  void OnPeer(const clients::PeerMessage& message, clients::PeerMessage* reply);

 private:
  struct Handing {
    explicit Handing(net::Loop& loop) : done(loop) {}
    net::Event done;
    clients::PeerClient::Answer answer;
  };
  net::Task<void> AskLoop();
  // Whether the key-value store answers right now, without waiting long.
  net::Task<void> Probe();
  // Keeps the record of the right alive, which ends by itself.
  net::Task<void> RecordLoop();
  net::Task<void> RecordOnce();
  // While cut off: who is reached all the same, and who of them may keep.
  net::Task<void> NeighbourLoop();
  bool LeaderUnknown() const;
  net::Task<void> AskNeighbour(clients::PeerClient* peer);
  net::Task<void> AskOne(clients::PeerClient* peer, uint64_t revision);
  clients::PeerMessage Message(clients::PeerKind kind) const;

  net::Loop& loop_;
  const Settings& settings_;
  const bool on_;
  clients::KeyValueStoreClient& store_;
  const LeaderHealthCoordinator::Peers& peers_;
  const std::string process_incarnation_;  // incarnation of this process
  const net::Time started_;
  Callbacks callbacks_;
  DelegatedLease delegated_lease_;
  DelegatedLeaseRecord record_;
  PartitionDetector partition_detector_;
  net::Time leader_met_ = -1e9;     // asked when it answered, or was this one
  net::Time leader_missed_ = -1e9;  // asked when it did not
  net::Time state_missed_ = -1e9;   // probed when it did not answer in time
  bool probing_ = false;
  net::Time cut_since_ = 1e18;   // as far as is known
  net::Time peer_heard_ = -1e9;  // any of them, while cut off
  std::string neighbour_;        // in the own zone, that may keep
  net::Time neighbour_until_ = -1e9;
  // As the leader.
  std::map<std::string, net::Time> peer_met_;  // by its asking
  struct Visitor {
    int reports = 0;
    net::Time sent_away = -1e9;
  };
  uint64_t visited_ = 0;  // the leadership that the visitors are of
  std::unordered_map<std::string, Visitor> visitors_;
};

}  // namespace oxbow::app
