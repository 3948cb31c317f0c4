// The dialogue with the other controllers about the key-value store and its
// epoch.

#include <algorithm>
#include <utility>
#include <variant>

#include "app/recovery_coordinator.h"
#include "clients/retained_records_page.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// Shares of the workers' lease: their leases go on while a new epoch is opened,
// so all of it together has to stay well below one.
constexpr double kAskRatio = 0.08;

}  // namespace

net::Task<RecoveryCoordinator::Known> RecoveryCoordinator::AnybodyKnows(
    std::string id) {
  PeerMessage ask;
  ask.kind = PeerKind::kKnown;
  ask.node = settings_.node;
  ask.job_id = std::move(id);
  const std::vector<PeerMessage> answers =
      co_await AskAll(std::move(ask), /*hurried=*/true);
  for (const PeerMessage& a : answers) {
    if (a.answer == PeerAnswer::kYes) co_return Known::kYes;
  }
  co_return answers.size() == peers_.size() ? Known::kNobody
                                            : Known::kNobodyHeard;
}

// --- among the controllers

PeerMessage RecoveryCoordinator::Ledger() const {
  PeerMessage message;
  message.kind = PeerKind::kLedger;
  message.node = settings_.node;
  message.done = static_cast<uint32_t>(catalog_.epoch().number);
  message.text = catalog_.epoch().id;
  message.term = foreign_term_;
  if (!verification_.MaySeek()) {
    message.running = static_cast<uint32_t>(verification_.sign());
    message.job_id = sign_key_;
    // Found in its place is only what is as new: one that knows but the older
    // copy would stand by it, and the suspicion of the one that remembers more
    // would never end.
    if (!sign_key_.empty()) {
      message.mod_revision = catalog_.VersionOf(sign_key_).mod_revision;
    }
  }
  return message;
}

net::Task<void> RecoveryCoordinator::AskOne(std::shared_ptr<Ask> ask,
                                            clients::PeerClient* peer,
                                            PeerMessage message, bool waited) {
  const auto answer = co_await peer->Ask(
      std::move(message), kAskRatio * settings_.workers.lease_seconds);
  if (answer.ok) {
    silent_.erase(peer->name());
    ask->answers.push_back(answer.message);
  } else {
    silent_.insert(peer->name());
  }
  if (waited && --ask->left == 0) ask->done.Set();
}

net::Task<std::vector<PeerMessage>> RecoveryCoordinator::AskAll(
    PeerMessage message, bool hurried) {
  if (peers_.empty()) co_return std::vector<PeerMessage>{};
  auto ask = std::make_shared<Ask>(loop_);
  std::vector<bool> waited;
  for (const auto& peer : peers_) {
    waited.push_back(!hurried || !silent_.contains(peer->name()));
    ask->left += waited.back() ? 1 : 0;
  }
  if (ask->left == 0) ask->done.Set();
  for (size_t i = 0; i < peers_.size(); ++i) {
    net::Spawn(AskOne(ask, peers_[i].get(), message, waited[i]));
  }
  co_await ask->done.Wait(1.5 * kAskRatio * settings_.workers.lease_seconds);
  co_return ask->answers;
}

bool RecoveryCoordinator::IsPeer(const std::string& node) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& peer) { return peer->name() == node; });
}

bool RecoveryCoordinator::Handles(PeerKind kind) {
  return kind == PeerKind::kLedger || kind == PeerKind::kMemory ||
         kind == PeerKind::kEnded || kind == PeerKind::kKnown;
}

net::Task<void> RecoveryCoordinator::OnPeer(PeerMessage message,
                                            PeerMessage* reply) {
  if (!on()) co_return;
  switch (message.kind) {
    case PeerKind::kLedger: {
      const uint64_t number = catalog_.epoch().number;
      if (number > 0 && message.done >= number &&
          message.text != catalog_.epoch().id) {
        // Founded over a loss by one that had nothing to remember.
        other_number_ = message.done;
        other_id_ = message.text;
        ReportDataLoss(DataLossIndication::kOtherEpoch);
      }
      const auto sign = static_cast<DataLossIndication>(message.running);
      if (sign == DataLossIndication::kRecordMissing ||
          sign == DataLossIndication::kUnknownTask) {
        ReportDataLoss(sign, message.job_id);
      }
      TermSeen(message.term);
      StoreCheck says = StoreCheck::kNoAnswer;
      if (number > 0) says = co_await Check();
      // One who suspects a loss asks for more than a revision, which may have
      // grown past what was lost.
      if (says == StoreCheck::kStands && sign != DataLossIndication::kNone) {
        says = co_await LookForNewest();
      }
      // A newcomer knows nothing of what is missed, and may read as far by now:
      // it stands by what it finds.
      if (says == StoreCheck::kStands && !message.job_id.empty()) {
        const bool found = co_await Finds(message.job_id, message.mod_revision);
        if (!found) says = StoreCheck::kNoAnswer;
      }
      if (says == StoreCheck::kGone)
        ReportDataLoss(DataLossIndication::kStepBack);
      FillLedger(says, reply);
      break;
    }
    case PeerKind::kKnown:
      if (catalog_.Accepted(message.job_id)) {
        reply->answer = PeerAnswer::kYes;
      }
      break;
    case PeerKind::kMemory:
      if (IsPeer(message.node)) FillMemory(message, reply);
      break;
    case PeerKind::kEnded:
      FillEnded(message, reply);
      break;
    default:
      break;
  }
}

void RecoveryCoordinator::FillLedger(StoreCheck says,
                                     PeerMessage* reply) const {
  if (says == StoreCheck::kStands) reply->answer = PeerAnswer::kYes;
  reply->done = static_cast<uint32_t>(catalog_.epoch().number);
  reply->running = static_cast<uint32_t>(says);
  reply->text = catalog_.epoch().id;
  reply->mod_revision = HighestTerm();
  reply->term = foreign_term_;
}

void RecoveryCoordinator::FillMemory(const PeerMessage& ask,
                                     PeerMessage* reply) {
  std::vector<std::string>& order = sending_[ask.node].memory_keys;
  const std::string& after = ask.job_id;
  if (after.empty() || order.empty()) {
    // In order once for all pages; what comes later stands in this epoch.
    order.clear();
    const auto collect = [&](const auto& map, std::string_view prefix) {
      for (const auto& [name, record] : map) {
        order.push_back(keys::Of(prefix, name));
      }
    };
    catalog_.EachKind(collect);
    std::sort(order.begin(), order.end());
  }
  std::vector<clients::Memory> page;
  size_t bytes = 0;
  for (auto key = std::upper_bound(order.begin(), order.end(), after);
       key != order.end(); ++key) {
    const Record known = catalog_.RecordOf(*key);
    if (std::holds_alternative<std::monostate>(known)) continue;
    std::string record = wire::EncodeRecord(known);
    bytes += key->size() + record.size() + 24;
    if (!page.empty() && bytes > clients::kMemoryPage) break;
    page.push_back({*key, catalog_.VersionOf(*key), std::move(record)});
  }
  if (page.empty()) order = {};
  reply->answer = PeerAnswer::kYes;
  reply->running = static_cast<uint32_t>(first_epoch_);
  reply->text = clients::EncodeMemory(page);
}

void RecoveryCoordinator::FillEnded(const PeerMessage& ask,
                                    PeerMessage* reply) {
  const auto part = static_cast<TerminalState>(ask.done);
  if (part != TerminalState::kDone && part != TerminalState::kAborted) return;
  if (!IsPeer(ask.node)) return;
  std::string& bytes = sending_[ask.node].ended_parts[ask.done];
  if (ask.mod_revision == 0) bytes = catalog_.ended().Encode(part);
  if (ask.mod_revision > bytes.size()) return;
  reply->answer = PeerAnswer::kYes;
  reply->text = bytes.substr(ask.mod_revision, clients::kMemoryPage);
  reply->running = ask.mod_revision + reply->text.size() < bytes.size() ? 1 : 0;
  if (reply->running == 0) bytes = {};
}

}  // namespace oxbow::app
