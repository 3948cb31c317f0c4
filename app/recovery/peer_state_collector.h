// Collects what all controllers remember for the leader of a new store epoch:
// first how jobs have ended, then the retained records. What it collects goes
// into the catalog; the leader's core writes it back.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/recovery/epoch_history.h"
#include "app/recovery/recovery_context.h"
#include "clients/peer.h"
#include "clients/retained_records_page.h"
#include "core/leader/leader.h"
#include "core/recovery/terminal_state_index.h"
#include "net/task.h"

namespace oxbow::app {

// The asking side of a PeerStateProvider.
class PeerStateCollector {
 public:
  // Calls the function with the leader of that revision if there is one.
  using DeliverToLeader = std::function<void(
      uint64_t revision, const std::function<void(Leader&)>&)>;

  // `context` and `history` must outlive this object, and this object the event
  // loop: a collection is a detached coroutine.
  PeerStateCollector(const RecoveryContext& context,
                     const EpochHistory& history,
                     DeliverToLeader deliver_to_leader);

  // Whether the leader of that revision knows all that is remembered. Starts to
  // collect if it does not.
  bool HasCollected(uint64_t revision);
  // Another epoch: what was collected was for an earlier one.
  void OnLaterEpoch() { collected_term_ = 0; }
  // From every other controller at once; true if each has sent all it knows.
  net::Task<bool> CollectTerminalStates();

 private:
  // Shared by a collection and its requests, one for each peer.
  struct Collection {
    explicit Collection(net::Loop& loop) : done(loop) {}
    net::Event done;
    size_t outstanding = 0;
    bool is_complete = true;
  };
  // Collects one kind of state from one peer; true if it has sent all it knows.
  using PeerCollector =
      net::Task<bool> (PeerStateCollector::*)(clients::PeerClient*);

  net::Task<void> CollectForTerm(uint64_t term);
  net::Task<bool> CollectFromAll(PeerCollector collector);
  net::Task<void> CollectFromOne(std::shared_ptr<Collection> collection,
                                 PeerCollector collector,
                                 clients::PeerClient* peer);
  net::Task<bool> CollectTerminalStatesFrom(clients::PeerClient* peer);
  // The encoded states of one kind; nothing if the peer has not sent all.
  net::Task<std::optional<std::string>> ReadTerminalStatesPart(
      clients::PeerClient* peer, TerminalState part);
  net::Task<bool> CollectRetainedRecordsFrom(clients::PeerClient* peer);
  void RetainRecord(const clients::RetainedRecord& retained);

  // Tells the leader of that term which known terminal states the store does
  // not hold.
  net::Task<void> ReportUnrecordedTerminalStates(uint64_t term,
                                                 bool is_complete);
  // Those that the store holds; nothing once the term or epoch has changed.
  net::Task<std::optional<TerminalStateIndex>> ListTerminalStates(
      uint64_t term);
  double PageTimeoutSeconds() const;

  const RecoveryContext& context_;
  const EpochHistory& history_;
  const DeliverToLeader deliver_to_leader_;
  uint64_t collected_term_ = 0;  // for the leader of that term
  uint64_t collecting_term_ = 0;
};

}  // namespace oxbow::app
