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
  // A controller that remembers other contents of the store will open a new
  // epoch, and this controller must not open another one beside it. The wait is
  // bounded, since a single peer that reads a replica of the store that lags
  // behind would otherwise keep this controller from starting.
  while (peers.remembers_other_store && context_.loop.Now() < deadline) {
    co_await context_.loop.Sleep(pause);
    peers = co_await AskPeers();
  }
  // From now on the watch delivers the terminal states of jobs. The earlier
  // ones are collected from the other controllers, since the store may lose
  // them after those controllers have ended.
  co_await collector_.CollectTerminalStates();
  // If the store was reset to an older copy, jobs may be live in it that other
  // controllers know to have ended. A leader that relied on such a copy would
  // run a cancelled job again.
  while (!context_.watcher.ever_synced()) co_await context_.loop.Sleep(pause);
  is_complete_ = true;
  const std::string revived_key = inspector_.RevivedJobKey();
  if (!revived_key.empty()) {
    detector_.Report(DataLossIndication::kRecordMissing, revived_key);
  }
  co_await CompareTerms(peers.highest_term);
}

net::Task<Bootstrapper::PeerView> Bootstrapper::AskPeers() {
  // This controller remembers nothing yet, so it can't recognize an older copy
  // of the store. It asks the others to check that the records that changed
  // last are in the store.
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
    const bool store_lacks_records =
        answer.running == static_cast<uint32_t>(StoreCheck::kMissing);
    view.remembers_other_store = view.remembers_other_store ||
                                 has_later_epoch || has_other_epoch ||
                                 store_lacks_records;
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
