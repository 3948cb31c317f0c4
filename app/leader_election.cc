#include "app/leader_election.h"

#include <utility>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;

// The duration of a promise, as a fraction of the workers' lease.
constexpr double kPromiseRatio = 0.6;
// How long a controller that could use the key only to renew workers' leases
// leaves a free key to controllers that may lead, as a fraction of the leader's
// lease.
constexpr double kLeadersFirstRatio = 0.1;
// Rounds of the election loop per leader's lease.
constexpr double kRoundsPerLease = 50;
// Bounds of the random pause after a failed campaign, as fractions of the
// leader's lease. The pause keeps the controllers from retrying all at the same
// moment.
constexpr double kMinJitterRatio = 0.02;
constexpr double kMaxJitterRatio = 0.1;

std::vector<std::string> PeerNames(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) names.push_back(peer.name);
  return names;
}

double LeaderLeaseSeconds(const Settings& settings, const Tuning& tuning) {
  return tuning.leader_lease_ratio * settings.workers.lease_seconds;
}

}  // namespace

LeaderElection::LeaderElection(
    net::Loop& loop, const Settings& settings, const Tuning& tuning,
    clients::KeyValueStoreClient& store, const Catalog& catalog,
    StoreWatcher& watcher,
    const LeaderHealthCoordinator& leader_health_coordinator,
    const LeaderHealthCoordinator::Peers& peers, RecoveryCoordinator& recovery,
    std::string incarnation, Callbacks callbacks)
    : leader_health_coordinator_(leader_health_coordinator),
      callbacks_(std::move(callbacks)),
      leadership_(PeerNames(settings), LeaderLeaseSeconds(settings, tuning),
                  kPromiseRatio * settings.workers.lease_seconds,
                  tuning.delegation_ratio * settings.workers.lease_seconds,
                  loop.Now()),
      context_{loop,
               settings,
               std::move(incarnation),
               LeaderLeaseSeconds(settings, tuning),
               store,
               catalog,
               watcher,
               peers,
               recovery,
               leadership_,
               callbacks_.stop_leading},
      key_writer_(context_),
      promise_exchange_(context_),
      lease_renewer_(context_, key_writer_,
                     [this] { StepDown("its lease has ended"); }),
      epoch_election_(context_, key_writer_,
                      [this] { lease_renewer_.OnKeyWritten(); }),
      peer_role_survey_(loop, settings, peers, leadership_),
      delegation_requester_(context_) {}

void LeaderElection::Start() {
  peer_role_survey_.Start();
  net::Spawn(Run());
}

std::string LeaderElection::LeaderName() const {
  return context_.catalog.leader().mod_revision > 0
             ? context_.catalog.leader().node
             : std::string();
}

clients::PeerClient* LeaderElection::LeaderPeer() {
  const std::string name = LeaderName();
  for (const auto& peer : context_.peers) {
    if (peer->name() == name) return peer.get();
  }
  return nullptr;
}

bool LeaderElection::MayLead() {
  return context_.watcher.synced() && !context_.store.Failing() &&
         !context_.watcher.types().empty() &&
         leadership_.MayCampaign(context_.loop.Refresh());
}

// --- renewing workers' leases while nobody leads

bool LeaderElection::MayRenewWorkerLeases(uint64_t term) {
  const net::Time now = context_.loop.Refresh();
  if (leadership_.state() == LeaderState::kRenewing) {
    // A worker that has seen the token of a later leader must not have its
    // lease renewed here.
    return term < TermOf(context_.catalog.epoch(), leadership_.revision()) &&
           leadership_.MayRenewWorkerLeases(now);
  }
  delegation_requester_.OnUnansweredWorker(now);
  return leadership_.MayRenewWorkerLeases(now);
}

// --- the end of a leadership

void LeaderElection::StepDown(const std::string& reason) {
  if (leadership_.state() == LeaderState::kFollower) return;
  logging::Info("stepped down",
                {{"node", context_.settings.node}, {"reason", reason}});
  leadership_.OnKeyLost();
  leadership_.BecomeFollower();
  callbacks_.stop_leading();
  net::Spawn(EndLease(leadership_.lease_id()));
}

net::Task<void> LeaderElection::EndLease(uint64_t lease_id) {
  co_await context_.store.EndLease(lease_id);
}

void LeaderElection::OnStoreLoss() {
  if (MayActAsLeader())
    return;  // no other controller can lead; this one opens the new epoch
  if (leadership_.state() == LeaderState::kRenewing) {
    StepDown("the key-value store has lost data");
  }
  const net::Time now = context_.loop.Now();
  leadership_.ResetAfterDataLoss(now);
  peer_role_survey_.Restart(now);
}

void LeaderElection::OnLaterEpoch() {
  if (!epoch_election_.IsOpeningEpoch()) {
    StepDown("another controller has opened a new store epoch");
  }
}

// --- the loop

net::Task<void> LeaderElection::Run() {
  for (;;) {
    const std::optional<double> pause_seconds = co_await RunRound();
    if (pause_seconds) co_await context_.loop.Sleep(*pause_seconds);
  }
}

net::Task<std::optional<double>> LeaderElection::RunRound() {
  const double pause_seconds = context_.lease_seconds / kRoundsPerLease;
  const net::Time now = context_.loop.Refresh();
  const bool is_valid = leadership_.MayActAsLeader(now);
  UpdateKeyFreeSince(now);
  // The state becomes kExpired at the first check after the right to lead has
  // run out, which may have been made by this loop or by a request since the
  // last round. This controller steps down here in both cases: if it stayed in
  // kExpired, it could never lead again.
  if (leadership_.state() == LeaderState::kExpired) {
    StepDown("its right to lead has run out");
  }
  if (context_.recovery.verification().state() ==
          StoreVerificationState::kLost &&
      (is_valid || leadership_.MayCampaign(now))) {
    co_await epoch_election_.OpenEpoch();
    co_return pause_seconds;
  }
  if (is_valid) {
    co_await Lead(now);
  } else if (leadership_.state() == LeaderState::kRenewing) {
    if (leadership_.PromoteToLeader(now)) {
      logging::Info("leads by the key that it held to renew workers' leases",
                    {{"node", context_.settings.node}});
      co_return std::nullopt;
    }
    lease_renewer_.RenewIfDue(now);
  } else if (const SeekPlan plan = PlanSeek(now); plan.seeks) {
    co_await Seek(plan.may_lead);
    if (leadership_.state() != LeaderState::kFollower) co_return std::nullopt;
    std::uniform_real_distribution<double> jitter(kMinJitterRatio,
                                                  kMaxJitterRatio);
    const double jitter_ratio = jitter(random_);
    co_return context_.lease_seconds* jitter_ratio;
  }
  if (leadership_.state() == LeaderState::kFollower) {
    delegation_requester_.Update(now);
  }
  co_return pause_seconds;
}

void LeaderElection::UpdateKeyFreeSince(net::Time now) {
  if (!LeaderName().empty()) {
    key_free_since_.reset();
  } else if (!key_free_since_) {
    key_free_since_ = now;
  }
}

net::Task<void> LeaderElection::Lead(net::Time now) {
  if (!callbacks_.is_leading() && context_.watcher.synced() &&
      context_.catalog.watched_revision() >= leadership_.revision() &&
      context_.recovery.HasCollected(leadership_.revision())) {
    const uint64_t revision = leadership_.revision();
    const auto delegates = co_await ReadDelegates();
    if (MayActAsLeader() && leadership_.revision() == revision) {
      callbacks_.start_leading(revision, delegates);
    }
  }
  lease_renewer_.RenewIfDue(now);
  promise_exchange_.RequestIfDue(now);
}

// After a data loss (an epoch number above 1) the zone keys in the store may be
// incomplete without any sign of it, so the delegates are then unknown.
net::Task<std::optional<std::set<std::string>>>
LeaderElection::ReadDelegates() {
  const StoreResult list =
      co_await context_.store.List(std::string(keys::kZone), "");
  if (!list.ok() || list.more || context_.catalog.epoch().number > 1) {
    co_return std::nullopt;
  }
  std::set<std::string> delegates;
  for (const clients::KeyValue& item : list.items) {
    delegates.insert(item.key.substr(keys::kZone.size()));
  }
  co_return delegates;
}

// --- seeking the key

LeaderElection::SeekPlan LeaderElection::PlanSeek(net::Time now) const {
  const bool may_campaign = leadership_.MayCampaign(now);
  if (!context_.watcher.synced() || !context_.recovery.MayCampaign() ||
      !(may_campaign || leadership_.MayTakeFreeKey(now))) {
    return {};
  }
  const LeaderRecord& leader = context_.catalog.leader();
  const bool key_exists = leader.mod_revision > 0;
  // The key names an earlier process of this controller. That process has
  // ended, so there is no need to wait for its lease to run out.
  const bool is_own = key_exists && leader.node == context_.settings.node &&
                      leader.incarnation != context_.incarnation;
  // The store never removes a key whose lease it has lost.
  const bool is_orphaned =
      key_exists && leader.mod_revision == orphaned_key_revision_;
  const bool has_asked_all = peer_role_survey_.HasAskedAll();
  const bool may_lead_by_own_key = is_own && !leader.renews_only &&
                                   has_asked_all &&
                                   leadership_.delegation_seconds() > 0 &&
                                   leadership_.ForgottenDelegationsExpired(now);
  const bool has_waited_for_leaders =
      key_free_since_ &&
      now - *key_free_since_ >= kLeadersFirstRatio * context_.lease_seconds;
  const bool may_try =
      may_campaign || has_waited_for_leaders || (is_own && has_asked_all);
  const bool seeks =
      (may_try && is_own) || (may_campaign && is_orphaned) ||
      (may_try && !key_exists && key_free_since_ &&
       leader_health_coordinator_.MayCampaign(now - *key_free_since_));
  return {seeks, may_campaign || may_lead_by_own_key};
}

net::Task<void> LeaderElection::Seek(bool may_lead) {
  leadership_.OnCampaignStarted(context_.catalog.leader().mod_revision);
  const net::Time sent_at = context_.loop.Refresh();
  const StoreResult lease =
      co_await context_.store.CreateLease(context_.lease_seconds);
  if (!lease.ok()) {
    leadership_.OnCampaignFailed();
    co_return;
  }
  const std::string key(keys::kLeader);
  const LeaderRecord record = context_.LeaderRecordFor(may_lead);
  const EpochOpening founding = context_.recovery.InitialEpoch();
  std::vector<Precondition> preconditions = founding.preconditions;
  if (preconditions.empty())
    context_.recovery.AddEpochPrecondition(&preconditions);
  preconditions.push_back({key, leadership_.seen()});
  std::vector<Mutation> mutations = founding.mutations;
  mutations.push_back({key, record});
  const auto revision =
      co_await key_writer_.Write(std::move(preconditions), std::move(mutations),
                                 lease.lease_id, leadership_.seen());
  if (!revision) {
    leadership_.OnCampaignFailed();
    context_.recovery.IsEpochPreconditionFailure(revision.error().failed_keys);
    // Without the lease the store refuses the write if it still arrives late.
    co_await context_.store.EndLease(lease.lease_id);
    co_return;
  }
  leadership_.OnElected(*revision, lease.lease_id, sent_at, may_lead);
  OnKeyWon(*revision, record, founding);
}

void LeaderElection::OnKeyWon(uint64_t revision, const LeaderRecord& record,
                              const EpochOpening& founding) {
  lease_renewer_.OnKeyWritten();
  context_.recovery.OnEpochOpened(founding, revision);
  context_.watcher.Apply(std::string(keys::kLeader), record, revision);
  if (record.renews_only) {
    logging::Info("holds the leader key to renew workers' leases",
                  {{"node", context_.settings.node}, {"revision", revision}});
  } else {
    logging::Info("won leadership",
                  {{"node", context_.settings.node}, {"revision", revision}});
  }
}

}  // namespace oxbow::app
