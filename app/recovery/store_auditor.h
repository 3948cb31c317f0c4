// Compares the store's records with the catalog, one page at a time, while
// nothing indicates data loss. A leader does not need the audit, since its
// writes show a data loss too.
#pragma once

#include <string>
#include <unordered_set>

#include "app/recovery/data_loss_detector.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "core/recovery/terminal_state_index.h"
#include "net/task.h"

namespace oxbow::app {

// Audits pages of live records and of terminal states alternately.
class StoreAuditor {
 public:
  // All arguments must outlive this object, and this object the event loop:
  // the audit is a detached coroutine.
  StoreAuditor(const RecoveryContext& context, StoreInspector& inspector,
               DataLossDetector& detector)
      : context_(context), inspector_(inspector), detector_(detector) {}

  void Start();

 private:
  // One page of a listing of the live records.
  struct LivePage {
    std::unordered_set<std::string> keys;
    // The page holds all keys above `after`, up to and including `last`.
    std::string after;
    std::string last;
    bool is_final =
        false;  // if true, there are no keys above those in the page
    uint64_t revision = 0;  // of the store, as of the listing
  };

  net::Task<void> Run();
  bool IsAuditDue() const;
  // Each function audits one page and advances its position.
  net::Task<void> AuditLivePage();
  net::Task<void> AuditTerminalStatesPage();

  // Waits until the watch has delivered this revision. Returns whether it has
  // in time and the store is still verified.
  net::Task<bool> WatchHasReached(uint64_t revision);
  // The key of a record that the catalog has and the page lacks; empty if there
  // is none.
  std::string MissingKey(const LivePage& page) const;
  void AddTerminalStates(const clients::StoreResult& page);
  // The id of a job whose terminal state was known when the pass over the
  // terminal states began and is not in the store; empty if there is none.
  std::string JobWithMissingState() const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  // The key after which the next page begins; empty: a new pass begins.
  std::string live_position_;
  std::string terminal_position_;
  TerminalStateIndex stored_states_;  // read from the store in this pass
  TerminalStateIndex known_states_;   // known when this pass began
};

}  // namespace oxbow::app
