// Compares the store's records with the catalog, a page at a time, while
// nothing indicates a loss. A leader does not: its writes show it as well.
#pragma once

#include <string>
#include <unordered_set>

#include "app/recovery/data_loss_detector.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "core/recovery/terminal_state_index.h"
#include "net/task.h"

namespace oxbow::app {

// Audits live records and terminal states in turn.
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
    std::string after;  // the page holds all keys between these two
    std::string last;
    bool is_final = false;  // it holds all keys above `after`
    uint64_t revision = 0;
  };

  net::Task<void> Run();
  bool IsAuditDue() const;
  // Each audits one page and moves its position.
  net::Task<void> AuditLivePage();
  net::Task<void> AuditTerminalStatesPage();

  // Waits until the watch has delivered that revision; whether it has, and the
  // store may still be believed.
  net::Task<bool> WatchHasReached(uint64_t revision);
  // The key of a record that the catalog has and the page lacks, if any.
  std::string MissingKey(const LivePage& page) const;
  void AddTerminalStates(const clients::StoreResult& page);
  // A job whose terminal state was known when the round began and is not in
  // the store, if any.
  std::string JobWithMissingState() const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  DataLossDetector& detector_;
  // After which key the next page begins; empty: a round begins.
  std::string live_position_;
  std::string terminal_position_;
  TerminalStateIndex stored_states_;  // in this round of pages
  TerminalStateIndex known_states_;   // when the round began
};

}  // namespace oxbow::app
