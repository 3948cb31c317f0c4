// Collects, for the leader of a new store epoch, the records that the other
// controllers remember: first the terminal states of jobs, then the retained
// records. They are added to the catalog, and the Leader writes them back to
// the store.
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
  // Calls the function with the Leader whose leader key has the given revision,
  // if there is one.
  using DeliverToLeader = std::function<void(
      uint64_t revision, const std::function<void(Leader&)>&)>;

  // `context` and `history` must outlive this object, and this object the event
  // loop: a collection is a detached coroutine.
  PeerStateCollector(const RecoveryContext& context,
                     const EpochHistory& history,
                     DeliverToLeader deliver_to_leader);

  // Whether the collection for the leader whose key has this revision is
  // complete or not needed. Starts the collection if it is needed.
  bool HasCollected(uint64_t revision);
  // A later epoch was observed: an earlier collection no longer counts.
  void OnLaterEpoch() { collected_term_ = 0; }
  // Collects from every other controller at the same time. Returns true if each
  // has sent all terminal states that it knows.
  net::Task<bool> CollectTerminalStates();

 private:
  // Shared by a collection and its requests, one for each peer.
  struct Collection {
    explicit Collection(net::Loop& loop) : done(loop) {}
    net::Event done;
    size_t outstanding = 0;
    bool is_complete = true;
  };
  // Collects one kind of state from one peer. Returns true if the peer has sent
  // everything it knows of that kind.
  using PeerCollector =
      net::Task<bool> (PeerStateCollector::*)(clients::PeerClient*);

  net::Task<void> CollectForTerm(uint64_t term);
  net::Task<bool> CollectFromAll(PeerCollector collector);
  net::Task<void> CollectFromOne(std::shared_ptr<Collection> collection,
                                 PeerCollector collector,
                                 clients::PeerClient* peer);
  net::Task<bool> CollectTerminalStatesFrom(clients::PeerClient* peer);
  // The encoded terminal states of one kind; nullopt if the peer has not sent
  // all of them.
  net::Task<std::optional<std::string>> ReadTerminalStatesPart(
      clients::PeerClient* peer, TerminalState part);
  net::Task<bool> CollectRetainedRecordsFrom(clients::PeerClient* peer);
  void RetainRecord(const clients::RetainedRecord& retained);

  // Tells the leader of this term which of the known terminal states the store
  // does not hold. `is_complete`: whether all that was remembered has been
  // collected.
  net::Task<void> ReportUnrecordedTerminalStates(uint64_t term,
                                                 bool is_complete);
  // The terminal states that the store holds; nullopt if the term or epoch has
  // changed meanwhile.
  net::Task<std::optional<TerminalStateIndex>> ListTerminalStates(
      uint64_t term);
  double PageTimeoutSeconds() const;

  const RecoveryContext& context_;
  const EpochHistory& history_;
  const DeliverToLeader deliver_to_leader_;
  // The terms of the leaders for which the last complete collection was made,
  // and for which the last collection was started.
  uint64_t collected_term_ = 0;
  uint64_t collecting_term_ = 0;
};

}  // namespace oxbow::app
