#include "app/leader_health_coordinator.h"

#include <spdlog/spdlog.h>

#include <sstream>
#include <utility>

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

constexpr double kProbeRatio = 0.06;       // of the workers' lease
constexpr double kProbeSocketShare = 0.1;  // of the sockets there are
// The probes' time and a little for the way. Not more: a peer that is down
// would hold up the question about machines that have just died.
constexpr double kWait = 1.3;
constexpr size_t kMostProbes = 128;
constexpr size_t kMostAsked = 64;  // in one question; more is not answered

}  // namespace

LeaderHealthCoordinator::LeaderHealthCoordinator(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    const Catalog& catalog, const Peers& peers, Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      reach_(loop, std::min(kMostProbes, static_cast<size_t>(
                                             kProbeSocketShare *
                                             settings.limits.max_connections))),
      leadership_transfers_(settings.workers.lease_seconds,
                            static_cast<int>(tuning.max_leadership_transfers)),
      probe_seconds_(kProbeRatio * settings.workers.lease_seconds),
      leader_lease_seconds_(tuning.leader_lease_ratio *
                            settings.workers.lease_seconds) {}

net::Task<void> LeaderHealthCoordinator::AskSelf(
    std::shared_ptr<Round> round, std::vector<std::string> endpoints,
    uint64_t revision) {
  clients::ReachClient::Result found =
      co_await reach_.Ask(std::move(endpoints), probe_seconds_);
  round->answers[0].answered = true;
  round->answers[0].machines = std::move(found.machines);
  callbacks_.tell(revision, [&](Leader& leader) {
    for (const Heartbeat& heartbeat : found.reports) {
      leader.OnProbeAnswer(heartbeat, loop_.Now());
    }
  });
  if (--round->left == 0) round->done.Set();
}

net::Task<void> LeaderHealthCoordinator::AskPeer(std::shared_ptr<Round> round,
                                                 size_t slot,
                                                 clients::PeerClient* peer,
                                                 PeerMessage ask,
                                                 size_t count) {
  const auto answer =
      co_await peer->Ask(std::move(ask), kWait * probe_seconds_);
  Reach& reach = round->answers[slot];
  if (answer.ok && IsReachText(answer.message.text, count)) {
    reach.answered = true;
    reach.may_lead = answer.message.answer == PeerAnswer::kYes;
    reach.machines = answer.message.text;
  }
  if (--round->left == 0) round->done.Set();
}

net::Task<void> LeaderHealthCoordinator::SurveyReachability(AskReach ask,
                                                            uint64_t revision) {
  auto round = std::make_shared<Round>(loop_);
  round->answers.resize(1 + peers_.size());
  round->left = 1 + peers_.size();
  round->answers[0].node = settings_.node;
  PeerMessage question;
  question.kind = ask.sample ? PeerKind::kReach : PeerKind::kSilent;
  question.node = settings_.node;
  for (const std::string& host : ask.hosts) question.text += host + "\n";
  net::Spawn(AskSelf(round, std::move(ask.endpoints), revision));
  for (size_t i = 0; i < peers_.size(); ++i) {
    round->answers[i + 1].node = peers_[i]->name();
    net::Spawn(
        AskPeer(round, i + 1, peers_[i].get(), question, ask.hosts.size()));
  }
  co_await round->done.Wait(kWait * probe_seconds_);
  // One that answers after this is not looked at any more.
  std::vector<Reach> answers = round->answers;
  callbacks_.tell(revision, [&](Leader& leader) {
    leader.OnReach(ask.round, std::move(answers), loop_.Now());
  });
}

net::Task<void> LeaderHealthCoordinator::OfferTransfer(
    OfferLeadershipTransfer offer, uint64_t revision) {
  const auto refused = [&](const std::string& why) {
    callbacks_.tell(revision, [&](Leader& leader) {
      leader.OnTransferRejected(why, loop_.Now());
    });
  };
  if (!leadership_transfers_.Allows(loop_.Now())) {
    refused("too many hand-overs within a lease, though " + offer.why);
    co_return;
  }
  clients::PeerClient* to = nullptr;
  for (const auto& peer : peers_) {
    if (peer->name() == offer.to) to = peer.get();
  }
  PeerMessage ask;
  ask.kind = PeerKind::kOfferLeadershipTransfer;
  ask.node = settings_.node;
  ask.text = offer.why;
  clients::PeerClient::Answer answer;
  if (to != nullptr) answer = co_await to->Ask(std::move(ask), probe_seconds_);
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    refused(offer.to + " does not take over, though " + offer.why);
    co_return;
  }
  // The leadership may have ended, and another begun, while it was asked.
  bool still = false;
  callbacks_.tell(revision, [&](Leader& leader) {
    still = true;
    leader.OnTransferAccepted();
  });
  if (!still) co_return;
  for (const auto& peer : peers_) {
    if (peer.get() == to) continue;
    PeerMessage aside;
    aside.kind = PeerKind::kDeferCandidacy;
    aside.node = settings_.node;
    aside.text = offer.to;
    net::Spawn(peer->Notify(std::move(aside)));
  }
  leadership_transfers_.Record(loop_.Now());
  callbacks_.step_down("hands over, " + offer.why);
}

void LeaderHealthCoordinator::OnLeadershipYielded() {
  const net::Time now = loop_.Now();
  unfit_until_ = now + settings_.workers.lease_seconds;
  // Long enough for another to win; not for ever, it may be the last one.
  constexpr double kGrace = 1.5;
  others_first_until_ = now + kGrace * leader_lease_seconds_;
}

net::Task<void> LeaderHealthCoordinator::OnReach(PeerMessage message,
                                                 PeerMessage* reply) {
  std::vector<std::string> endpoints;
  std::istringstream hosts(message.text);
  std::string host;
  while (endpoints.size() < kMostAsked && std::getline(hosts, host)) {
    // By this controller's own record: an address is not taken from a message.
    const auto it = catalog_.machines().find(host);
    endpoints.push_back(it == catalog_.machines().end() ? std::string()
                                                        : it->second.endpoint);
  }
  clients::ReachClient::Result found =
      co_await reach_.Ask(std::move(endpoints), probe_seconds_);
  // What it learns of itself: it lets others go first if it hears nobody.
  size_t reached = 0;
  size_t asked = 0;
  for (const char c : found.machines) {
    asked += c != Reach::kNotAsked;
    reached += c == Reach::kReached;
  }
  constexpr size_t kSample = 8;  // fewer may all be dead
  if (message.kind == PeerKind::kReach && asked >= kSample) {
    unfit_until_ =
        reached == 0 ? loop_.Now() + settings_.workers.lease_seconds : -1e9;
  }
  reply->text = std::move(found.machines);
  if (callbacks_.may_lead()) reply->answer = PeerAnswer::kYes;
}

void LeaderHealthCoordinator::OnOffer(const PeerMessage& message,
                                      PeerMessage* reply) {
  const net::Time now = loop_.Now();
  if (!callbacks_.may_lead() || now < unfit_until_ ||
      !leadership_transfers_.Allows(now)) {
    return;
  }
  spdlog::info("{} offers the lead: {}", message.node, message.text);
  leadership_transfers_.Record(now);
  others_first_until_ = -1e9;
  reply->answer = PeerAnswer::kYes;
}

void LeaderHealthCoordinator::OnStandAside(const PeerMessage& message) {
  const net::Time now = loop_.Now();
  spdlog::info("{} hands over to {}", message.node, message.text);
  leadership_transfers_.Record(now);
  others_first_until_ = now + leader_lease_seconds_ / 2;
}

bool LeaderHealthCoordinator::MaySeek(double free_for) const {
  const net::Time now = loop_.Now();
  if (now < others_first_until_) return false;
  return now >= unfit_until_ || free_for >= leader_lease_seconds_ / 2;
}

}  // namespace oxbow::app
