// Sends the records that this controller remembers to another controller that
// collects them: its retained records and the terminal states of jobs, page by
// page.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "app/recovery/epoch_history.h"
#include "app/recovery/peer_broadcast.h"
#include "app/recovery/recovery_context.h"
#include "clients/peer.h"

namespace oxbow::app {

// The answering side of a PeerStateCollector.
class PeerStateProvider {
 public:
  // All arguments must outlive this object. Nothing here suspends.
  PeerStateProvider(const RecoveryContext& context, const EpochHistory& history,
                    const PeerBroadcast& broadcast)
      : context_(context), history_(history), broadcast_(broadcast) {}

  // Both functions fill `reply` only if the request is from a controller that
  // is named in the settings. Sends a page of retained records, beginning after
  // the key in the request.
  void FillRetainedRecords(const clients::PeerMessage& request,
                           clients::PeerMessage* reply);
  // Sends a page of the encoded terminal states, beginning at the offset in the
  // request.
  void FillTerminalStates(const clients::PeerMessage& request,
                          clients::PeerMessage* reply);

 private:
  // A copy of the data that is being sent to one controller, as of its request
  // for the first page. Each controller has a copy of its own, since several
  // may collect at the same time after many restarts: with a shared copy, the
  // end of one transfer would also end the others.
  struct Transfer {
    std::vector<std::string> record_keys;             // sorted
    std::map<uint32_t, std::string> terminal_states;  // by part, encoded
  };

  std::vector<std::string> SortedRecordKeys() const;

  const RecoveryContext& context_;
  const EpochHistory& history_;
  const PeerBroadcast& broadcast_;
  std::map<std::string, Transfer> transfers_;  // by the name of the controller
};

}  // namespace oxbow::app
