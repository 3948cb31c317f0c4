// Whether the key-value store has lost data: takes in every indication of a
// loss, settles the suspicion by fresh reads here and at the other controllers,
// and says what the store may be believed meanwhile. Owns the verification of
// the store; nobody else changes it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "app/recovery/peer_broadcast.h"
#include "app/recovery/recovery_context.h"
#include "app/recovery/store_inspector.h"
#include "clients/peer.h"
#include "core/recovery/store_verification.h"
#include "net/task.h"

namespace oxbow::app {

// The one state machine of the suspicion, see StoreVerification.
class DataLossDetector {
 public:
  // All arguments but the last must outlive this object, and this object the
  // event loop: its coroutines are detached. `on_loss` is called once a loss is
  // certain.
  DataLossDetector(const RecoveryContext& context, StoreInspector& inspector,
                   PeerBroadcast& broadcast, std::function<void()> on_loss);

  const StoreVerification& verification() const { return verification_; }
  // The highest term that a worker or a peer has shown.
  uint64_t foreign_term() const { return foreign_term_; }

  // Something indicates a loss; `key` is the record that is missing, if it is
  // one. Starts to settle the suspicion unless that is under way.
  void Report(DataLossIndication indication,
              const std::string& key = std::string());
  // A term that a worker or a peer has shown.
  void OnObservedTerm(uint64_t term);
  // As above, while an epoch is opened that is above that term.
  void RaiseForeignTerm(uint64_t term) { foreign_term_ = term; }
  // The epoch as recorded now.
  void OnEpoch(uint64_t number, bool rebuilt) {
    verification_.OnEpoch(number, rebuilt);
  }
  // Whether a write failed for not being one of the present epoch, given the
  // keys whose preconditions failed. Reports the indication.
  bool IsEpochPreconditionFailure(const std::vector<std::string>& failed_keys);

  // A confirmed loss is looked at again: it may have been this controller's
  // view alone.
  net::Task<void> ReexamineLoss();

  // How far this controller has seen, and what it suspects.
  clients::PeerMessage VerificationRequest() const;
  // Sends that to all other controllers.
  net::Task<std::vector<clients::PeerMessage>> AskPeers();
  // The same where nobody waits for the answers: whoever leads may have no
  // indication of its own.
  net::Task<void> NotifyPeers();
  // Answers the request of another controller. `reply` belongs to the awaiting
  // caller.
  net::Task<void> AnswerVerification(clients::PeerMessage request,
                                     clients::PeerMessage* reply);

 private:
  // Settles a suspicion, one round after the other.
  net::Task<void> SettleSuspicion();
  // Whether another controller finds nothing wrong with the store. Asked only
  // about what concerns the store as a whole.
  net::Task<PeerFinding> AskPeersFinding();
  // Looks again at what raised the suspicion.
  net::Task<StoreCheck> Examine();
  net::Task<StoreCheck> CheckNewestRecords();
  // What this controller finds for the request of another.
  net::Task<StoreCheck> VerifyFor(clients::PeerMessage request);
  net::Task<void> CheckObservedTerm();
  void ReportPeersIndication(const clients::PeerMessage& request);
  void FillReply(StoreCheck result, clients::PeerMessage* reply) const;
  bool IsOtherEpochRemembered() const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  PeerBroadcast& broadcast_;
  const std::function<void()> on_loss_;
  StoreVerification verification_;
  std::string suspected_key_;  // what the indication is about
  // The epoch that another controller remembers in place of the one here.
  uint64_t other_epoch_number_ = 0;
  std::string other_epoch_id_;
  uint64_t foreign_term_ = 0;
};

}  // namespace oxbow::app
