// Sends what this controller remembers to another controller that collects it:
// its retained records and how jobs have ended, page by page.
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

  // Each fills `reply`, for a controller of the settings only.
  // A page of retained records after the key of the request.
  void FillRetainedRecords(const clients::PeerMessage& request,
                           clients::PeerMessage* reply);
  // A page of the encoded terminal states from the offset of the request on.
  void FillTerminalStates(const clients::PeerMessage& request,
                          clients::PeerMessage* reply);

 private:
  // What is being sent to one controller, as it was when the first page was
  // asked for. Several may ask at once after many have restarted: with one copy
  // for all, the end of the first one's pages would be the end of the second's.
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
