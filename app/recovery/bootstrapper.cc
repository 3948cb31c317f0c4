#include "app/recovery/bootstrapper.h"

#include <algorithm>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerMessage;

}  // namespace

void Bootstrapper::Start() { net::Spawn(Run()); }

net::Task<void> Bootstrapper::Run() {
  const double pause = context_.RoundPauseSeconds();
  const net::Time deadline =
      context_.loop.Now() + context_.settings.workers.lease_seconds;
  PeerView peers = co_await AskPeers();
  // Somebody remembers another store than the one that is read here: it will
  // open a new epoch, and none may be opened beside it. Not for ever: a peer
  // that alone reads a stale copy would keep this controller out.
  while (peers.remembers_other_store && context_.loop.Now() < deadline) {
    co_await context_.loop.Sleep(pause);
    peers = co_await AskPeers();
  }
  // The watch shows how jobs end from the start on; what was before that the
  // others know, and the store may lose it once they are gone.
  co_await collector_.CollectTerminalStates();
  // An older copy may hold as live what the others know to have ended: whoever
  // leads by it runs a cancelled job again.
  while (!context_.watcher.ever_synced()) co_await context_.loop.Sleep(pause);
  is_complete_ = true;
  const std::string revived_key = inspector_.RevivedJobKey();
  if (!revived_key.empty()) {
    detector_.Report(DataLossIndication::kRecordMissing, revived_key);
  }
  co_await CompareTerms(peers.highest_term);
}

net::Task<Bootstrapper::PeerView> Bootstrapper::AskPeers() {
  // This controller remembers nothing, so it can't recognize an older copy: the
  // others are asked to check that all that changed last is in the store.
  PeerMessage request = detector_.VerificationRequest();
  request.running =
      static_cast<uint32_t>(DataLossIndication::kRevisionDecreased);
  const std::vector<PeerMessage> answers =
      co_await broadcast_.Ask(std::move(request));
  co_return Summarize(answers);
}

Bootstrapper::PeerView Bootstrapper::Summarize(
    const std::vector<PeerMessage>& answers) const {
  const StoreEpoch& epoch = context_.catalog.epoch();
  PeerView view;
  for (const PeerMessage& answer : answers) {
    const bool has_later_epoch = answer.done > epoch.number;
    const bool has_other_epoch = answer.done == epoch.number &&
                                 answer.done > 0 && answer.text != epoch.id;
    const bool misses_records =
        answer.running == static_cast<uint32_t>(StoreCheck::kMissing);
    view.remembers_other_store = view.remembers_other_store ||
                                 has_later_epoch || has_other_epoch ||
                                 misses_records;
    if (answer.text == epoch.id) {
      view.highest_term = std::max(view.highest_term, answer.mod_revision);
    }
  }
  return view;
}

net::Task<void> Bootstrapper::CompareTerms(uint64_t highest_peer_term) {
  const StoreEpoch& epoch = context_.catalog.epoch();
  if (epoch.number == 0 || highest_peer_term <= context_.HighestTerm()) {
    co_return;
  }
  const StoreCheck result = co_await inspector_.CheckEpoch();
  if (result == StoreCheck::kIntact &&
      highest_peer_term > context_.HighestTerm()) {
    context_.store.Restart(highest_peer_term - epoch.base);
    detector_.Report(DataLossIndication::kRevisionDecreased);
  }
}

}  // namespace oxbow::app
