// Finds out whether the key-value store has lost data. The detector takes in
// every indication of data loss, confirms or clears the suspicion by fresh
// reads here and by the other controllers, and says how far the contents of the
// store may be relied on meanwhile. It owns the StoreVerification; no other
// class changes it.
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

// Carries out the checks for the state machine StoreVerification.
class DataLossDetector {
 public:
  // All arguments but the last must outlive this object, and this object the
  // event loop: its coroutines are detached. `on_loss` is called each time data
  // loss has been confirmed.
  DataLossDetector(const RecoveryContext& context, StoreInspector& inspector,
                   PeerBroadcast& broadcast, std::function<void()> on_loss);

  const StoreVerification& verification() const { return verification_; }
  // The highest term that a worker or another controller has shown.
  uint64_t foreign_term() const { return foreign_term_; }

  // Reports an indication of data loss. `key`: the key of the record that is
  // missing, if the indication is about one. Starts to examine the suspicion
  // unless one is being examined already.
  void Report(DataLossIndication indication,
              const std::string& key = std::string());
  // A worker or another controller has shown this term.
  void OnObservedTerm(uint64_t term);
  // Sets foreign_term without checking it against the store, for use while an
  // epoch is being opened whose terms will be above it.
  void RaiseForeignTerm(uint64_t term) { foreign_term_ = term; }
  // The epoch as it is recorded now.
  void OnEpoch(uint64_t number, bool rebuilt) {
    verification_.OnEpoch(number, rebuilt);
  }
  // Whether a write was rejected because the store does not hold the present
  // epoch, judged by the keys whose preconditions failed. If so, reports the
  // indication.
  bool IsEpochPreconditionFailure(const std::vector<std::string>& failed_keys);

  // Checks a confirmed data loss again: it may have been only this controller
  // that read a replica of the store that lags behind.
  net::Task<void> ReexamineLoss();

  // A message with the epoch and the highest term that this controller knows,
  // and the data loss that it suspects, if any.
  clients::PeerMessage VerificationRequest() const;
  // Sends that message to all other controllers and returns their answers.
  net::Task<std::vector<clients::PeerMessage>> AskPeers();
  // The same, ignoring the answers. The leader may have no indication of its
  // own and learns of the suspicion in this way.
  net::Task<void> NotifyPeers();
  // Answers the verification request of another controller. The caller owns
  // `reply` and awaits this coroutine.
  net::Task<void> AnswerVerification(clients::PeerMessage request,
                                     clients::PeerMessage* reply);

 private:
  // Makes rounds of checks until the suspicion is confirmed or cleared.
  net::Task<void> SettleSuspicion();
  // Whether another controller finds the store intact. Used only for
  // indications that concern the store as a whole.
  net::Task<PeerFinding> AskPeersFinding();
  // Checks by a fresh read what the present indication is about.
  net::Task<StoreCheck> Examine();
  net::Task<StoreCheck> CheckNewestRecords();
  // Makes the checks that another controller asks for.
  net::Task<StoreCheck> VerifyFor(clients::PeerMessage request);
  // Checks foreign_term_ against the store.
  net::Task<void> CheckObservedTerm();
  // Reports the indication that the request of another controller contains.
  void ReportPeersIndication(const clients::PeerMessage& request);
  void FillReply(StoreCheck result, clients::PeerMessage* reply) const;
  // Whether another controller has shown an epoch that is not older than the
  // present one and differs from it.
  bool IsOtherEpochRemembered() const;

  const RecoveryContext& context_;
  StoreInspector& inspector_;
  PeerBroadcast& broadcast_;
  const std::function<void()> on_loss_;
  StoreVerification verification_;
  std::string suspected_key_;  // of the record that the indication is about
  // The epoch that another controller has shown in place of the present one.
  uint64_t other_epoch_number_ = 0;
  std::string other_epoch_id_;
  uint64_t foreign_term_ = 0;
};

}  // namespace oxbow::app
