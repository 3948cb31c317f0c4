#include "app/leader_health_coordinator.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerKind;
using clients::PeerMessage;

// The timeout of a probe, as a fraction of the workers' lease.
constexpr double kProbeTimeoutRatio = 0.06;
// The sockets that probes may use, as a fraction of the connection limit.
constexpr double kProbeSocketShare = 0.1;
// The timeout of a survey, as a fraction of the probes' timeout. It covers the
// probes and a short time for the network. With a longer timeout, a peer that
// is down would delay the survey of machines that have just failed.
constexpr double kSurveyTimeoutRatio = 1.3;
constexpr size_t kMaxProbes = 128;  // at the same time
// Hosts after this many in one request are not probed.
constexpr size_t kMaxHostsInQuestion = 64;
// The fewest machines from which a controller that reaches none of them
// concludes that it is unfit; fewer machines might all have failed.
constexpr size_t kMinSample = 8;
// How long a controller defers after it has yielded, as a fraction of the
// leader lease. Long enough for another controller to win the key, but limited,
// since this controller may be the only one left.
constexpr double kDeferAfterYieldRatio = 1.5;

}  // namespace

LeaderHealthCoordinator::LeaderHealthCoordinator(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    const Catalog& catalog, const Peers& peers, Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      catalog_(catalog),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      reach_(loop, std::min(kMaxProbes, static_cast<size_t>(
                                            kProbeSocketShare *
                                            settings.limits.max_connections))),
      transfers_(settings.workers.lease_seconds,
                 static_cast<int>(tuning.max_leadership_transfers)),
      probe_timeout_seconds_(kProbeTimeoutRatio *
                             settings.workers.lease_seconds),
      leader_lease_seconds_(tuning.leader_lease_ratio *
                            settings.workers.lease_seconds) {}

void LeaderHealthCoordinator::FinishOne(Round& round) const {
  if (--round.pending == 0) round.done.Set();
}

net::Task<void> LeaderHealthCoordinator::AskSelf(
    std::shared_ptr<Round> round, std::vector<std::string> endpoints,
    uint64_t revision) {
  clients::ReachClient::Result found =
      co_await reach_.Ask(std::move(endpoints), probe_timeout_seconds_);
  round->answers[0].answered = true;
  round->answers[0].machines = std::move(found.machines);
  callbacks_.deliver(revision, [&](Leader& leader) {
    for (const Heartbeat& heartbeat : found.reports) {
      leader.OnProbeAnswer(heartbeat, loop_.Now());
    }
  });
  FinishOne(*round);
}

net::Task<void> LeaderHealthCoordinator::AskPeer(std::shared_ptr<Round> round,
                                                 size_t slot,
                                                 clients::PeerClient* peer,
                                                 PeerMessage ask,
                                                 size_t count) {
  const auto answer = co_await peer->Ask(
      std::move(ask), kSurveyTimeoutRatio * probe_timeout_seconds_);
  ReachabilityAnswer& reach = round->answers[slot];
  if (answer.ok && IsReachabilityText(answer.message.text, count)) {
    reach.answered = true;
    reach.may_lead = answer.message.answer == PeerAnswer::kYes;
    reach.machines = answer.message.text;
  }
  FinishOne(*round);
}

net::Task<void> LeaderHealthCoordinator::SurveyReachability(AskReach ask,
                                                            uint64_t revision) {
  auto round = std::make_shared<Round>(loop_);
  round->answers.resize(1 + peers_.size());
  round->pending = 1 + peers_.size();
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
  co_await round->done.Wait(kSurveyTimeoutRatio * probe_timeout_seconds_);
  // Answers that arrive after this copy are ignored.
  std::vector<ReachabilityAnswer> answers = round->answers;
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnReachabilityAnswers(ask.round, std::move(answers), loop_.Now());
  });
}

void LeaderHealthCoordinator::RejectTransfer(const std::string& reason,
                                             uint64_t revision) {
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnTransferRejected(reason, loop_.Now());
  });
}

clients::PeerClient* LeaderHealthCoordinator::FindPeer(
    const std::string& name) const {
  const auto it =
      std::find_if(peers_.begin(), peers_.end(),
                   [&](const auto& peer) { return peer->name() == name; });
  return it == peers_.end() ? nullptr : it->get();
}

net::Task<void> LeaderHealthCoordinator::OfferTransfer(
    OfferLeadershipTransfer offer, uint64_t revision) {
  if (!transfers_.Allows(loop_.Now())) {
    RejectTransfer(
        "too many leadership transfers within a lease, though " + offer.why,
        revision);
    co_return;
  }
  clients::PeerClient* to = FindPeer(offer.to);
  PeerMessage question;
  question.kind = PeerKind::kOfferLeadershipTransfer;
  question.node = settings_.node;
  question.text = offer.why;
  clients::PeerClient::Answer answer;
  if (to != nullptr) {
    answer = co_await to->Ask(std::move(question), probe_timeout_seconds_);
  }
  if (!answer.ok || answer.message.answer != PeerAnswer::kYes) {
    RejectTransfer(offer.to + " does not accept, though " + offer.why,
                   revision);
    co_return;
  }
  // During the wait for the answer this leadership may have ended and another
  // one begun.
  bool leads = false;
  callbacks_.deliver(revision, [&](Leader& leader) {
    leads = true;
    leader.OnTransferAccepted();
  });
  if (!leads) co_return;
  AnnounceTransfer(offer.to);
  transfers_.Record(loop_.Now());
  callbacks_.step_down("leadership transfer, " + offer.why);
}

// Tells the other controllers to defer to the one that has accepted.
void LeaderHealthCoordinator::AnnounceTransfer(const std::string& to) {
  for (const auto& peer : peers_) {
    if (peer->name() == to) continue;
    PeerMessage notice;
    notice.kind = PeerKind::kDeferCandidacy;
    notice.node = settings_.node;
    notice.text = to;
    net::Spawn(peer->Notify(std::move(notice)));
  }
}

void LeaderHealthCoordinator::OnLeadershipYielded() {
  const net::Time now = loop_.Now();
  unfit_until_ = now + settings_.workers.lease_seconds;
  defers_until_ = now + kDeferAfterYieldRatio * leader_lease_seconds_;
}

net::Task<void> LeaderHealthCoordinator::OnReachabilityQuestion(
    PeerMessage message, PeerMessage* reply) {
  std::vector<std::string> endpoints;
  std::istringstream hosts(message.text);
  std::string host;
  while (endpoints.size() < kMaxHostsInQuestion && std::getline(hosts, host)) {
    // The address comes from this controller's own record, never from a
    // message.
    const auto it = catalog_.machines().find(host);
    endpoints.push_back(it == catalog_.machines().end() ? std::string()
                                                        : it->second.endpoint);
  }
  clients::ReachClient::Result found =
      co_await reach_.Ask(std::move(endpoints), probe_timeout_seconds_);
  // A controller that reaches none of the machines is unfit to lead and defers
  // to others.
  size_t reached = 0;
  size_t asked = 0;
  for (const char result : found.machines) {
    asked += result != ReachabilityAnswer::kNotAsked;
    reached += result == ReachabilityAnswer::kReached;
  }
  if (message.kind == PeerKind::kReach && asked >= kMinSample) {
    unfit_until_ =
        reached == 0 ? loop_.Now() + settings_.workers.lease_seconds : kNever;
  }
  reply->text = std::move(found.machines);
  if (callbacks_.may_lead()) reply->answer = PeerAnswer::kYes;
}

void LeaderHealthCoordinator::OnTransferOffer(const PeerMessage& message,
                                              PeerMessage* reply) {
  const net::Time now = loop_.Now();
  if (!callbacks_.may_lead() || now < unfit_until_ || !transfers_.Allows(now)) {
    return;
  }
  logging::Info("leadership transfer accepted",
                {{"from", message.node}, {"reason", message.text}});
  transfers_.Record(now);
  defers_until_ = kNever;
  reply->answer = PeerAnswer::kYes;
}

void LeaderHealthCoordinator::OnDeferCandidacy(const PeerMessage& message) {
  const net::Time now = loop_.Now();
  logging::Info("leadership transfer announced",
                {{"from", message.node}, {"to", message.text}});
  transfers_.Record(now);
  defers_until_ = now + leader_lease_seconds_ / 2;
}

bool LeaderHealthCoordinator::MayCampaign(double free_for_seconds) const {
  const net::Time now = loop_.Now();
  if (now < defers_until_) return false;
  return now >= unfit_until_ || free_for_seconds >= leader_lease_seconds_ / 2;
}

}  // namespace oxbow::app
