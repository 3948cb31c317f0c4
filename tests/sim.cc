#include "tests/sim.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "tests/behavior_trail.h"
#include "wire/moves_json.h"
#include "wire/tiers_json.h"

namespace oxbow::test {
namespace {

constexpr double kStep = 0.05;
constexpr double kLatency = 0.004;

std::string Name(const std::string& job, uint32_t task, uint64_t attempt) {
  return job + "/" + std::to_string(task) + "#" + std::to_string(attempt);
}

bool Present(const SimTask& task) {
  return task.phase != TaskPhase::kExited && task.phase != TaskPhase::kFetching;
}

}  // namespace

std::optional<double> RandomFaults::Travel() {
  if (Happens(lost)) return std::nullopt;
  if (Happens(held)) return Between(0.5, longest_seconds);
  return Between(0.0, 0.1);
}

Sim::Sim() {
  settings.node = "a";
  settings.nodes = 1;
  settings.workers = {1.0, 10.0, 40.0, 4.0, 40.0};
  settings.store.txn_ops = 16;
}

void Sim::AddWorker(const std::string& host, const std::string& type,
                    const std::string& zone, bool spot) {
  SimWorker worker;
  worker.host = host;
  worker.type = type;
  worker.zone = zone;
  worker.spot = spot;
  worker.up_at = now_;
  worker.lease_from = now_;
  worker.next_heartbeat = now_ + 0.1;
  workers_[host] = worker;
}

void Sim::SetFate(const std::string& host, Fate fate, double late_seconds) {
  fates_[host] = {fate, late_seconds};
}

void Sim::AskForZones() {
  for (auto& [name, controller] : controllers_) {
    if (controller.zone.empty() || controller.gone) continue;
    if (!controller.lease) {
      controller.lease.emplace(settings.workers);
      controller.lease->RecordedAnew(now_, now_);
    }
    if (state_down) {
      controller.recorded_until =
          now_ + DelegatedLeaseRecordTerm(settings.workers);
    } else if (!controller.no_state) {
      if (now_ > controller.recorded_until)
        controller.lease->RecordedAnew(now_, now_);
      controller.lease->Recorded(now_);
      controller.recorded_until =
          now_ + DelegatedLeaseRecordTerm(settings.workers);
    }
    if (name == leading_ || controller.refused || !leader_ ||
        now_ < stalled_until_ || now_ < controller.next_ask) {
      continue;
    }
    controller.next_ask = now_ + LeaseYieldSeconds(settings.workers);
    if (leader_->OnDelegationAsked(name, "life", now_, now_)) {
      controller.lease->Granted(now_);
      TrailEvent(now_, "delegated", name);
    }
  }
}

bool Sim::KeptInZone(const SimWorker& worker) {
  for (auto& [name, controller] : controllers_) {
    if (name != leading_ && !controller.gone && controller.refused &&
        controller.zone == worker.zone && controller.lease &&
        controller.lease->Renew(now_)) {
      return true;
    }
  }
  return false;
}

std::set<std::string> Sim::RecordedDelegates() const {
  std::set<std::string> names;
  for (const auto& [name, controller] : controllers_) {
    if (now_ < controller.recorded_until) names.insert(name);
  }
  return names;
}

void Sim::AddController(const std::string& name) {
  controllers_[name];
  settings.peers.clear();
  ++settings.nodes;
}

void Sim::Lead(const std::string& name) {
  leader_.reset();
  stalled_until_ = 0;
  leading_ = name;
  settings.node = name;
  settings.peers.clear();
  for (const auto& [other, node] : controllers_) {
    if (other != name) settings.peers.push_back({other, node.zone, ""});
  }
  LeaderRecord record{name, std::to_string(revision_), 0};
  store_[std::string(keys::kLeader)] = {record, ++revision_};
  news_.clear();
  // A new process reads everything afresh.
  const bool rebuilds = std::exchange(remembers_, false);
  if (!rebuilds) catalog_ = Catalog();
  for (const auto& [key, value] : store_) {
    if (old_version && key.starts_with(keys::kWaiting)) continue;
    catalog_.Put(key, value.first, value.second);
  }
  catalog_.AdvanceWatch(revision_);
  leads_since_ = now_;
  for (auto& [host, worker] : workers_) {
    worker.seen_incarnation = 0;
    worker.risen = worker.unproven = false;
  }
  leader_ =
      std::make_unique<Leader>(settings, tuning, catalog_, revision_, now_,
                               kEpochOffset, 7, RecordedDelegates());
  if (rebuilds) leader_->OnUnrecordedTerminalStates({}, /*whole=*/true);
  FollowTiers();
  leader_->UseTiers(tiers_in_force_[leading_].set());
  bookings_told_.clear();
  ReadBookings();
  PublishMaintenanceWindows();
  LookAtClocks();
  leader_->UseMoves(wire::kMoveCodec, now_);
  std::vector<MachineType> all;
  for (const auto& [name, type] : types) all.push_back(type);
  leader_->OnTypes(all);
  ExecuteActions();
  for (const Heartbeat& heartbeat : std::exchange(kept_, {}))
    Copy(heartbeat, 0);
}

void Sim::OpenEpoch() {
  StoreEpoch epoch;
  epoch.number = ++epoch_;
  epoch.id = "e" + std::to_string(epoch_);
  epoch.base = epoch_ << 30;
  epoch.rebuilt = epoch_ == 1;
  ++revision_;
  const std::string mark = keys::Of(keys::kEpochMark, epoch.id);
  store_[mark] = {EpochMark{epoch_, 0}, revision_};
  store_[std::string(keys::kEpoch)] = {epoch, revision_};
  catalog_.Put(mark, EpochMark{epoch_, 0}, revision_);
  catalog_.Put(std::string(keys::kEpoch), epoch, revision_);
}

void Sim::LoseRecords() {
  leader_.reset();
  store_.clear();
  news_.clear();
  records_lost_ = true;
  OpenEpoch();
  remembers_ = true;
}

void Sim::Submit(const JobSpec& spec) {
  StoredJob submitted;
  submitted.spec = spec;
  submitted.submitted = now_;
  jobs_[spec.id] = std::move(submitted);
  if (!spec.dependencies.empty()) {
    const std::string waiting = keys::Of(keys::kWaiting, spec.id);
    const WaitingRecord record{std::make_shared<JobSpec>(spec),
                               now_ + kEpochOffset, 0};
    store_[waiting] = {record, ++revision_};
    news_.emplace_back(waiting, revision_);
    if (old_version) return;
    catalog_.Put(waiting, record, revision_);
    if (leader_) {
      leader_->OnWaitingRecord(spec.id, now_);
      ExecuteActions();
    }
    return;
  }
  const std::string key = keys::Of(keys::kJob, spec.id);
  const JobRecord record{std::make_shared<JobSpec>(spec), now_ + kEpochOffset,
                         TerminalState::kNone, 0};
  store_[key] = {record, ++revision_};
  news_.emplace_back(key, revision_);
  catalog_.Put(key, record, revision_);
  if (leader_) {
    leader_->OnJobRecord(spec.id, now_);
    ExecuteActions();
  }
}

void Sim::RecordTiers(std::optional<TiersRecord> record) {
  tiers_record_ = std::move(record);
  ++tiers_version_;
  const std::string key = keys::Of(keys::kOperator, wire::kTiersRecord);
  if (tiers_record_) {
    tiers_record_->version = tiers_version_;
    store_[key] = {OperatorRecord{"tiers", tiers_record_->text, tiers_version_,
                                  "", "", 0, tiers_record_->withdrawn, 0},
                   ++revision_};
  } else {
    store_.erase(key);
    ++revision_;
  }
  news_.emplace_back(key, revision_);
}

void Sim::FollowTiers() {
  if (state_down) return;
  controllers_[leading_];
  for (const auto& [name, node] : controllers_) {
    const bool leads = name == leading_;
    if (node.gone || node.no_state || tiers_seen_[name] == tiers_version_ ||
        (leads && now_ < stalled_until_)) {
      continue;
    }
    tiers_seen_[name] = tiers_version_;
    TiersInForce& in_force = tiers_in_force_[name];
    if (!tiers_record_) {
      in_force.OnNoRecord();
    } else if (tiers_record_->withdrawn) {
      in_force.OnWithdrawn();
    } else {
      wire::TakeTiers(tiers_record_->text, tiers_record_->version,
                      TierBounds::From(settings), &in_force);
    }
    if (leads && leader_) leader_->UseTiers(in_force.set());
  }
}

void Sim::Book(const MaintenanceWindow& booking) {
  bookings_[booking.id] = {booking, ++revision_, false};
}

void Sim::CancelBooking(const std::string& id) {
  const auto it = bookings_.find(id);
  if (it == bookings_.end()) return;
  it->second.withdrawn = true;
  it->second.version = ++revision_;
}

void Sim::ReadBookings() {
  if (state_down || now_ < rebuilt_at_) return;
  if (std::exchange(rebuilt_at_, 0) > 0) {
    for (const auto& [name, view] : booking_views_) {
      for (const auto& [id, b] : view.bookings) {
        SimBooking& known = bookings_[id];
        if (known.version < b.version) known = b;
      }
    }
  }
  std::vector<std::string> names = {leading_};
  for (const auto& [name, controller] : controllers_) names.push_back(name);
  for (const std::string& name : names) {
    if (controllers_.contains(name) && controllers_.at(name).no_state) continue;
    BookingView& view = booking_views_[name];
    for (const auto& [id, booking] : bookings_) view.bookings[id] = booking;
    view.read = now_;
  }
}

void Sim::PublishMaintenanceWindows() {
  for (const auto& [id, b] : booking_views_[leading_].bookings) {
    uint64_t& told = bookings_told_[id];
    if (told >= b.version) continue;
    told = b.version;
    if (b.withdrawn) {
      leader_->OnBookingWithdrawn(id, b.version, now_);
    } else {
      leader_->OnBooking(b.booking, b.version, now_);
    }
  }
}

// As the shell does before every event.
void Sim::LookAtClocks() {
  double off = 0;
  const auto it = controllers_.find(leading_);
  if (it != controllers_.end()) off = it->second.wall_off;
  leader_->OnClocks({true_wall() + off, now_, now_},
                    booking_views_[leading_].read, now_);
}

void Sim::Declare(const RolloutSpec& spec) {
  RolloutRecord record;
  record.spec = std::make_shared<RolloutSpec>(spec);
  const std::string key = keys::Of(keys::kRollout, spec.id);
  store_[key] = {record, ++revision_};
  news_.emplace_back(key, revision_);
}

void Sim::RequestRollout(const std::string& id, RolloutRequest request) {
  const std::string key = keys::Of(keys::kRollout, id);
  const auto it = store_.find(key);
  if (it == store_.end()) return;
  std::get<RolloutRecord>(it->second.first).request = request;
  it->second.second = ++revision_;
  news_.emplace_back(key, revision_);
}

std::optional<RolloutRecord> Sim::RolloutOf(const std::string& id) const {
  for (const std::string_view prefix : {keys::kRollout, keys::kRolloutEnd}) {
    const auto it = store_.find(keys::Of(prefix, id));
    if (it != store_.end()) return std::get<RolloutRecord>(it->second.first);
  }
  return std::nullopt;
}

void Sim::Watch() {
  if (!leader_ || state_down || now_ < stalled_until_) return;
  const auto news = std::exchange(news_, {});
  for (const auto& [key, revision] : news) {
    const auto it = store_.find(key);
    if (it == store_.end()) {
      catalog_.Erase(key, revision);
      continue;
    }
    if (old_version && key.starts_with(keys::kWaiting)) continue;
    catalog_.Put(key, it->second.first, it->second.second);
    if (!leader_) return;
    if (key.starts_with(keys::kJob)) {
      leader_->OnJobRecord(key.substr(keys::kJob.size()), now_);
    } else if (key.starts_with(keys::kWaiting)) {
      leader_->OnWaitingRecord(key.substr(keys::kWaiting.size()), now_);
    } else if (key.starts_with(keys::kRollout)) {
      leader_->OnRolloutRecord(key.substr(keys::kRollout.size()), now_);
    } else if (key.starts_with(keys::kOperator)) {
      leader_->OnOperatorRecord(key.substr(keys::kOperator.size()), now_);
    }
    ExecuteActions();
  }
  catalog_.AdvanceWatch(revision_);
}

bool Sim::Well(const SimTask& task) const {
  if (task.phase != TaskPhase::kRunning) return false;
  const auto it = illness.find(task.job);
  if (it == illness.end()) return true;
  const Illness& ill = it->second;
  const double ran = now_ - task.running_since;
  if (now_ >= ill.sick_from || ran >= ill.sick_after) return false;
  return ill.flap_seconds <= 0 ||
         static_cast<int64_t>(ran / ill.flap_seconds) % 2 == 0;
}

int Sim::CountWell() const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    if (worker.dead || worker.Hangs(now_)) continue;
    for (const auto& [name, status] : worker.tasks) {
      n += std::count(floor_jobs.begin(), floor_jobs.end(), status.job) > 0 &&
           Well(status);
    }
  }
  return n;
}

void Sim::Check(const CheckInstance& check) {
  const uint64_t revision = leader_->revision();
  const auto answer = [this, check, revision](CheckOutcome outcome) {
    OnLeader(revision, [this, check, outcome] {
      leader_->OnHealth(check.rollout, check.key, outcome, now_);
    });
  };
  for (auto& [host, worker] : workers_) {
    const auto it = worker.tasks.find(
        Name(check.key.job_id, check.key.task, check.key.attempt));
    if (it == worker.tasks.end() || worker.dead || worker.Hangs(now_) ||
        unchecked_zones.contains(worker.zone)) {
      continue;
    }
    const bool well = Well(it->second);
    const auto ill = illness.find(check.key.job_id);
    const bool mute = ill != illness.end() && ill->second.mute && !well;
    if (it->second.phase != TaskPhase::kRunning || mute) break;
    After(kLatency, [answer, well] { answer({true, well, kLatency}); });
    return;
  }
  After(check.spec->check.timeout_seconds, [answer] { answer({}); });
}

void Sim::CancelJob(const std::string& id) {
  if (!leader_) return;
  cancel_asked_.insert(id);
  const bool known = leader_->Cancel(id, now_);
  TrailEvent(now_, known ? "cancel" : "cancel-of-unknown", id);
  ExecuteActions();
}

void Sim::CancelBurst(int count, double hang_seconds) {
  constexpr double kWithin = 0.2;
  constexpr size_t kMostHang = 8;
  std::set<std::string> chosen;
  std::set<std::string> hosts;
  for (auto& [host, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [name, status] : worker.tasks) {
      const bool known = chosen.contains(status.job);
      if (status.phase != TaskPhase::kRunning ||
          cancel_asked_.contains(status.job) ||
          (!known && chosen.size() >= static_cast<size_t>(count))) {
        continue;
      }
      chosen.insert(status.job);
      if (hosts.size() < kMostHang) hosts.insert(host);
    }
  }
  int nth = 0;
  for (const std::string& id : chosen) {
    After(kWithin * nth++ / count, [this, id] { CancelJob(id); });
  }
  if (hang_seconds <= 0) return;
  for (const std::string& host : hosts) {
    workers_.at(host).hangs_until = now_ + hang_seconds;
  }
}

void Sim::RequestOddly() {
  if (!leader_ || now_ < stalled_until_) return;
  for (const auto& [id, job] : jobs_) {
    if (!job.end.empty()) {
      CancelJob(id);
    } else if (store_.contains(keys::Of(keys::kJob, id))) {
      leader_->OnJobRecord(id, now_);
      ExecuteActions();
    }
    if (!leader_) return;
  }
}

void Sim::After(double seconds, std::function<void()> what) {
  later_.push_back({now_ + seconds, std::move(what)});
}

void Sim::Run(double seconds) {
  const Time end = now_ + seconds;
  while (now_ < end - kStep / 2) Step();
}

void Sim::Step() {
  now_ += kStep;
  ReadBookings();
  if (leader_ && now_ >= stalled_until_) {
    PublishMaintenanceWindows();
    LookAtClocks();
  }
  std::vector<Later> due;
  std::erase_if(later_, [&](Later& l) {
    if (l.at > now_) return false;
    due.push_back(std::move(l));
    return true;
  });
  std::stable_sort(due.begin(), due.end(),
                   [](const Later& a, const Later& b) { return a.at < b.at; });
  for (Later& l : due) l.what();
  if (tuning.rollouts_at_once > 0) Watch();
  if (tuning.tiers > 0) FollowTiers();
  AskForZones();
  for (auto& [host, worker] : workers_) AdvanceWorker(worker);
  if (leader_ && now_ >= stalled_until_) {
    leader_->Tick(now_, !by_promises);
    ExecuteActions();
  }
  RecordIncarnations();
  if (!controllers_.empty()) WatchReach();
  if (troubles.Happens(troubles.odd_requests * kStep)) RequestOddly();
  NoteCancelled();
  NoteTold();
  NoteRoom();
  CheckRules();
  CheckAnswers();
  CheckIndices();
}

void Sim::RecordIncarnations() {
  if (!leader_) return;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    if (it == workers_.end()) continue;
    SimWorker& worker = it->second;
    const uint64_t seen = m->incarnation.number();
    if (worker.seen_incarnation != 0 && seen > worker.seen_incarnation) {
      // The first may have been over before this leader heard of it.
      worker.unproven = worker.risen;
      worker.risen = true;
    }
    worker.seen_incarnation = seen;
  }
}

void Sim::AdvanceWorker(SimWorker& worker) {
  if (worker.dead || now_ < worker.up_at) return;
  // Holds for a hung machine too: what it finds first when it goes on is that
  // its lease has ended.
  if (now_ - worker.lease_from > settings.workers.lease_seconds) {
    worker.tasks.clear();
    ++worker.incarnation;
    worker.lease_from = now_;
  }
  if (worker.Hangs(now_)) return;
  bool changed = false;
  for (auto& [name, status] : worker.tasks) {
    const JobSpec& spec = jobs_.at(status.job).spec;
    if (status.phase == TaskPhase::kFetching && now_ >= status.ready_at) {
      worker.images.insert(spec.image);
      changed = true;
      if (completed_[status.job].contains(status.task)) {
        status.phase = TaskPhase::kExited;
        status.reason = ExitReason::kDone;
      } else if (worker.faulty) {
        status.phase = TaskPhase::kExited;
        status.reason = ExitReason::kError;
      } else {
        status.phase = spec.kind == JobKind::kGang ? TaskPhase::kWaiting
                                                   : TaskPhase::kRunning;
        status.running_since = now_;
      }
    }
    if (status.phase == TaskPhase::kSaving && now_ >= status.ready_at) {
      status.phase = TaskPhase::kExited;
      status.reason = ExitReason::kStopped;
      status.saved = true;
      changed = true;
    }
    if (status.phase == TaskPhase::kRunning && spec.kind != JobKind::kService &&
        now_ - status.running_since >= spec.estimate_seconds) {
      status.phase = TaskPhase::kExited;
      status.reason = ExitReason::kDone;
      EndTask(status);
      changed = true;
    }
    if (status.phase == TaskPhase::kWaiting) {
      // The gang starts together once its last task has its image.
      size_t ready = 0;
      for (auto& [h, other] : workers_) {
        for (auto& [n, mate] : other.tasks) {
          ready += mate.job == status.job && mate.attempt == status.attempt &&
                   (mate.phase == TaskPhase::kWaiting ||
                    mate.phase == TaskPhase::kRunning);
        }
      }
      if (ready == spec.tasks) {
        status.phase = TaskPhase::kRunning;
        status.running_since = now_;
        changed = true;
      }
    }
  }
  if (now_ >= worker.next_heartbeat ||
      (changed && now_ + 0.5 >= worker.next_heartbeat)) {
    SendHeartbeat(worker);
  }
}

void Sim::EndTask(const SimTask& task) {
  completed_[task.job].insert(task.task);
  if (completed_[task.job].size() < jobs_.at(task.job).spec.tasks) return;
  if (cancel_at_end_.contains(task.job) ||
      troubles.Happens(troubles.cancel_at_end)) {
    After(0, [this, id = task.job] { CancelJob(id); });
  }
}

Heartbeat Sim::HeartbeatOf(SimWorker& worker) {
  Heartbeat heartbeat;
  heartbeat.host = worker.host;
  heartbeat.endpoint = "10.0.0.1:" + std::to_string(1000 + worker.host.size());
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.spot = worker.spot;
  heartbeat.incarnation = worker.incarnation;
  heartbeat.seq = ++worker.seq;
  heartbeat.token = worker.token;
  heartbeat.notice_seconds = worker.notice;
  heartbeat.forwarded = !worker.by_way.empty();
  for (const auto& [name, status] : worker.tasks) {
    heartbeat.tasks.push_back({status.job, status.task, status.attempt,
                               status.phase, status.reason, status.saved});
  }
  return heartbeat;
}

void Sim::SendHeartbeat(SimWorker& worker) {
  worker.next_heartbeat = now_ + settings.workers.heartbeat_interval_seconds;
  if (faults) return SendHeartbeatWithFaults(worker);
  // One report in flight.
  if (now_ < worker.waits_until) {
    worker.next_heartbeat = worker.waits_until;
    return;
  }
  if (worker.kept) {
    worker.lease_from = now_;
    return;
  }
  if (!worker.by_way.empty() && controllers_[worker.by_way].gone) {
    // Refused; so is the next one that it tries, perhaps.
    worker.by_way.clear();
    worker.waits_until = now_ + 2 * kRetryPauseSeconds;
    return;
  }
  const Heartbeat heartbeat = HeartbeatOf(worker);
  sent_[worker.host] = heartbeat;
  if (worker.copy_after > 0) Copy(heartbeat, worker.copy_after);
  if (troubles.Happens(troubles.heartbeats_for_next)) KeepForNext(heartbeat);
  if (worker.heartbeats_cut || !leader_ || !LeaderNode().Hears(worker.host)) {
    if (KeptInZone(worker)) worker.lease_from = now_;
    return;
  }
  const Time sent = now_;
  const uint64_t incarnation = worker.incarnation;
  const HeartbeatResponse reply = leader_->OnHeartbeat(heartbeat, now_);
  TrailReply(now_, heartbeat.host, reply);
  ExecuteActions();
  if (worker.answers_cut) {
    worker.waits_until = now_ + worker.retry_seconds;
    return;
  }
  if (reply.withheld) {
    NoteWithheld(worker);
    worker.waits_until = now_ + kRetryPauseSeconds;
    return;
  }
  if (reply.refused) {
    Break("refused a report that is waited for: " + worker.host);
    worker.waits_until = now_ + kRetryPauseSeconds;
    return;
  }
  AcceptReply(worker, reply, incarnation, sent);
}

// Only one that has heard nothing of this leader is left without an answer, and
// once its lease has ended.
void Sim::NoteWithheld(const SimWorker& worker) {
  if (leader_ && worker.heard_from == leader_->revision()) {
    Break("answers withheld from one that hears: " + worker.host);
  }
}

void Sim::Copy(const Heartbeat& heartbeat, double after) {
  After(after, [this, heartbeat] {
    if (!leader_) return;
    OnLeader(leader_->revision(), [this, heartbeat] {
      TrailReply(now_, heartbeat.host, leader_->OnHeartbeat(heartbeat, now_));
    });
  });
}

void Sim::AcceptReply(SimWorker& worker, const HeartbeatResponse& reply,
                      uint64_t incarnation, Time sent) {
  if (reply.token < worker.token || incarnation != worker.incarnation) return;
  worker.unproven = false;
  worker.heard_from = reply.token >> kTokenBits;
  worker.token = reply.token;
  worker.lease_from = sent;
  Execute(worker, reply.commands);
}

void Sim::OnLeader(uint64_t revision, std::function<void()> what) {
  if (!leader_ || leader_->revision() != revision) return;
  if (now_ < stalled_until_) {
    After(stalled_until_ - now_,
          [this, revision, what = std::move(what)]() mutable {
            OnLeader(revision, std::move(what));
          });
    return;
  }
  what();
  ExecuteActions();
}

void Sim::OnWorker(const std::string& host,
                   std::function<void(SimWorker&)> what) {
  const auto it = workers_.find(host);
  if (it == workers_.end() || it->second.dead || now_ < it->second.up_at) {
    return;
  }
  if (it->second.Hangs(now_)) {
    After(kStep, [this, host, what = std::move(what)]() mutable {
      OnWorker(host, std::move(what));
    });
    return;
  }
  what(it->second);
}

// One report in flight; an answer is good for 4 s after its heartbeat was sent.
void Sim::SendHeartbeatWithFaults(SimWorker& sim_worker) {
  constexpr double kHeartbeatLifetimeSeconds = 4.0;
  if (now_ < sim_worker.waits_until) {
    sim_worker.next_heartbeat = sim_worker.waits_until;
    return;
  }
  const uint64_t number = ++sim_worker.heartbeats;
  const Heartbeat heartbeat = HeartbeatOf(sim_worker);
  if (troubles.Happens(troubles.heartbeats_for_next)) KeepForNext(heartbeat);
  sim_worker.waits_until = now_ + kHeartbeatLifetimeSeconds;
  const std::optional<double> there = faults->Travel();
  std::optional<double> back = faults->Travel();
  if (sim_worker.answers_cut) back.reset();
  if (faults->copied > 0 && faults->Happens(faults->copied)) {
    Copy(heartbeat, faults->Between(0.5, faults->latest_copy_seconds));
  }
  if (!leader_ && state_down && delegated && there && back) {
    sim_worker.waits_until = 0;
    sim_worker.lease_from = now_;
    return;
  }
  if (sim_worker.heartbeats_cut || !there ||
      !LeaderNode().Hears(sim_worker.host)) {
    if (KeptInZone(sim_worker)) {
      sim_worker.waits_until = 0;
      sim_worker.lease_from = now_;
    }
    return;
  }
  After(*there, [this, heartbeat, number, back, sent = now_] {
    if (!leader_) return;
    OnLeader(leader_->revision(), [this, heartbeat, number, back, sent] {
      const HeartbeatResponse reply = leader_->OnHeartbeat(heartbeat, now_);
      TrailReply(now_, heartbeat.host, reply);
      if (!back) return;
      After(*back, [this, heartbeat, number, reply, sent] {
        OnWorker(heartbeat.host, [this, heartbeat, number, reply,
                                  sent](SimWorker& worker) {
          if (worker.heartbeats != number ||
              now_ > sent + kHeartbeatLifetimeSeconds) {
            return;
          }
          worker.waits_until = 0;
          if (reply.withheld) {
            NoteWithheld(worker);
            worker.waits_until = now_ + kRetryPauseSeconds;
            return;
          }
          if (reply.refused) {
            if (worker.incarnation == heartbeat.incarnation) {
              Break("refused a report that is waited for: " + worker.host);
            }
            worker.waits_until = now_ + kRetryPauseSeconds;
            return;
          }
          AcceptReply(worker, reply, heartbeat.incarnation, sent);
        });
      });
    });
  });
}

void Sim::DoWithFaults(const SendCommands& commands) {
  constexpr double kTimeout = 1.5;
  const uint64_t revision = leader_->revision();
  auto answered = std::make_shared<bool>(false);
  const auto answer = [this, commands, revision, answered](
                          CommandOutcome outcome,
                          std::optional<Heartbeat> heartbeat) {
    OnLeader(revision, [this, commands, answered, outcome,
                        heartbeat = std::move(heartbeat)] {
      if (std::exchange(*answered, true)) return;
      leader_->OnCommandResponse(commands.host, commands.batch, outcome,
                                 heartbeat ? &*heartbeat : nullptr, now_);
    });
  };
  const auto it = workers_.find(commands.host);
  const bool cut = it == workers_.end() || it->second.commands_cut ||
                   !LeaderNode().Sends(commands.host);
  if (faults->Happens(faults->refused)) {
    After(kLatency, [answer] { answer(CommandOutcome::kNotSent, {}); });
    return;
  }
  After(kTimeout, [answer] { answer(CommandOutcome::kUnknown, {}); });
  const std::optional<double> there = faults->Travel();
  const std::optional<double> back = faults->Travel();
  if (cut || !there) return;
  After(*there, [this, commands, answer, back] {
    OnWorker(commands.host, [this, commands, answer, back](SimWorker& worker) {
      const bool good = commands.token >= worker.token &&
                        commands.incarnation == worker.incarnation;
      if (good) {
        worker.token = commands.token;
        Execute(worker, commands.commands);
      }
      if (!back) return;
      After(*back, [answer, good, heartbeat = HeartbeatOf(worker)] {
        answer(good ? CommandOutcome::kExecuted : CommandOutcome::kRefused,
               heartbeat);
      });
    });
  });
}

void Sim::Execute(SimWorker& worker,
                  const std::vector<WorkerCommand>& commands) {
  for (const WorkerCommand& command : commands) {
    const std::string name =
        Name(command.job_id, command.task, command.attempt);
    const auto it = worker.tasks.find(name);
    switch (command.kind) {
      case CommandKind::kStart:
        if (it == worker.tasks.end()) StartTask(worker, command);
        break;
      case CommandKind::kStop: {
        if (it == worker.tasks.end() ||
            it->second.phase == TaskPhase::kExited) {
          break;
        }
        SimTask& task = it->second;
        const JobSpec& spec = jobs_.at(task.job).spec;
        if (task.phase == TaskPhase::kRunning && spec.checkpoint_seconds > 0 &&
            command.grace_seconds >= spec.save_seconds) {
          task.phase = TaskPhase::kSaving;
          task.ready_at = now_ + spec.save_seconds;
        } else if (task.phase != TaskPhase::kSaving ||
                   command.grace_seconds <= 0) {
          task.phase = TaskPhase::kExited;
          task.reason = ExitReason::kStopped;
        }
        break;
      }
      case CommandKind::kForget:
        if (it != worker.tasks.end() &&
            it->second.phase == TaskPhase::kExited) {
          worker.tasks.erase(it);
        }
        break;
    }
  }
  if (!commands.empty())
    worker.next_heartbeat = std::min(worker.next_heartbeat, now_ + 0.5);
}

void Sim::StartTask(SimWorker& worker, const WorkerCommand& command) {
  const JobSpec& spec = jobs_.at(command.job_id).spec;
  SimTask task;
  task.job = command.job_id;
  task.task = command.task;
  task.attempt = command.attempt;
  const MachineType& type = types.at(worker.type);
  Resources used = spec.need;
  for (const auto& [name, other] : worker.tasks) {
    if (other.phase != TaskPhase::kExited) {
      used += jobs_.at(other.job).spec.need;
    }
  }
  if (!used.FitsIn(type.total)) {
    task.phase = TaskPhase::kExited;
    task.reason = ExitReason::kNoRoom;
    Break("refused: " + command.job_id + " does not fit on " + worker.host);
  } else {
    ++starts_;
    CheckChainStart(spec);
    starts_on_deaf_ += worker.unproven;
    if (jobs_.at(command.job_id).told) {
      Break("started after its cancellation was told: " + command.job_id);
    }
    if (forbidden) {
      const std::string why = forbidden(spec, true_wall());
      if (!why.empty()) Break("heavy start: " + command.job_id + " " + why);
    }
    const double fetch = worker.images.contains(spec.image)
                             ? 0
                             : spec.image_gb / type.fetch_gb_per_second;
    task.ready_at = now_ + fetch;
    if (!spec.AllowsType(worker.type) || !spec.AllowsZone(worker.zone) ||
        (worker.spot && !spec.spot)) {
      Break("wrong_place: " + command.job_id + " on " + worker.host);
    }
    std::map<std::string, uint32_t> zones;
    ++zones[worker.zone];
    for (const auto& [host, other] : workers_) {
      if (other.dead) continue;
      for (const auto& [n, mate] : other.tasks) {
        if (mate.job != command.job_id || mate.phase == TaskPhase::kExited)
          continue;
        ++zones[other.zone];
        if (mate.task == command.task) {
          Break("ran_twice: " + n + " on " + host + " while it starts on " +
                worker.host);
        }
      }
    }
    if (spec.one_zone && zones.size() > 1) {
      Break("wrong_place: " + command.job_id + " in two zones");
    }
    if (spec.spread && zones[worker.zone] > (spec.tasks + 1) / 2) {
      Break("wrong_place: too much of " + command.job_id + " in " +
            worker.zone);
    }
  }
  worker.tasks[Name(command.job_id, command.task, command.attempt)] = task;
}

void Sim::Do(const SendCommands& commands) {
  if (faults) return DoWithFaults(commands);
  auto [fate, late] = fates_.contains(commands.host)
                          ? fates_[commands.host]
                          : std::pair{Fate::kNormal, 0.0};
  fates_.erase(commands.host);
  const uint64_t revision = leader_->revision();
  const auto answer = [this, commands, revision](CommandOutcome outcome,
                                                 const Heartbeat* heartbeat) {
    if (!leader_ || leader_->revision() != revision) return;
    leader_->OnCommandResponse(commands.host, commands.batch, outcome,
                               heartbeat, now_);
    ExecuteActions();
  };
  const auto execute = [this, commands]() -> std::optional<bool> {
    const auto it = workers_.find(commands.host);
    if (it == workers_.end() || it->second.dead || it->second.Hangs(now_) ||
        it->second.commands_cut || !LeaderNode().Sends(commands.host)) {
      return {};
    }
    SimWorker& worker = it->second;
    if (commands.token < worker.token ||
        commands.incarnation != worker.incarnation)
      return false;
    worker.token = commands.token;
    Execute(worker, commands.commands);
    return true;
  };
  const auto it = workers_.find(commands.host);
  const bool silent = it == workers_.end() || it->second.dead ||
                      it->second.Hangs(now_) || it->second.commands_cut ||
                      !LeaderNode().Sends(commands.host);
  if (fate == Fate::kRefusedConnection) {
    After(kLatency, [answer] { answer(CommandOutcome::kNotSent, nullptr); });
    return;
  }
  if (silent || fate != Fate::kNormal) {
    After(1.5, [answer] { answer(CommandOutcome::kUnknown, nullptr); });
    if (fate == Fate::kLostAnswer) After(kLatency, [execute] { execute(); });
    if (fate == Fate::kLate) After(late, [execute] { execute(); });
    return;
  }
  After(kLatency, [this, commands, execute, answer] {
    const std::optional<bool> done = execute();
    if (!done) return answer(CommandOutcome::kUnknown, nullptr);
    const Heartbeat heartbeat = HeartbeatOf(workers_.at(commands.host));
    answer(*done ? CommandOutcome::kExecuted : CommandOutcome::kRefused,
           &heartbeat);
  });
}

// What has moved to the ended ones never lives again, and an end never changes.
void Sim::CheckChange(const Mutation& change) {
  const bool deletes = std::holds_alternative<std::monostate>(change.record);
  const auto ended = [&](std::string_view live, std::string_view end) {
    return !deletes && change.key.starts_with(live) &&
           store_.contains(keys::Of(end, change.key.substr(live.size())));
  };
  if (ended(keys::kJob, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kTerminal) ||
      ended(keys::kWaiting, keys::kJob) ||
      ended(keys::kRollout, keys::kRolloutEnd)) {
    Break("lives again: " + change.key);
  }
  if (!change.key.starts_with(keys::kTerminal)) return;
  const auto known = store_.find(change.key);
  const auto* next = std::get_if<TerminalRecord>(&change.record);
  if (known != store_.end() &&
      (next == nullptr ||
       std::get<TerminalRecord>(known->second.first).state != next->state)) {
    Break("went_back: " + change.key);
  }
}

// Who leads next knows of a rental's machines by its record, or by theirs.
void Sim::CheckSettled(const CompareAndSwap& txn) {
  for (const Mutation& change : txn.mutations) {
    if (!std::holds_alternative<std::monostate>(change.record) ||
        !change.key.starts_with(keys::kScaleOut)) {
      continue;
    }
    for (const std::string& host :
         rented_[change.key.substr(keys::kScaleOut.size())]) {
      if (workers_.contains(host) &&
          !store_.contains(keys::Of(keys::kMachine, host))) {
        Break("rented and not recorded: " + host);
      }
    }
  }
}

uint64_t Sim::ApplyLate(const CompareAndSwap& txn) {
  std::vector<std::string> failed;
  const uint64_t at = Apply(txn, &failed);
  ++late_writes_tried_;
  if (at == 0) return 0;
  for (const Mutation& change : txn.mutations) {
    late_changes_.push_back(change.key);
  }
  return at;
}

uint64_t Sim::Apply(const CompareAndSwap& txn,
                    std::vector<std::string>* failed) {
  for (const Precondition& precondition : txn.preconditions) {
    const auto it = store_.find(precondition.key);
    if ((it == store_.end() ? 0 : it->second.second) !=
        precondition.mod_revision) {
      failed->push_back(precondition.key);
    }
  }
  if (!failed->empty()) return 0;
  ++revision_;
  for (const Mutation& change : txn.mutations) {
    if (const auto* job = std::get_if<JobRecord>(&change.record)) {
      TerminalState& told = told_[job->spec->id];
      if (told != TerminalState::kNone && told != job->terminal_state) {
        Break("went_back: " + job->spec->id);
      }
      told = job->terminal_state;
      if (told == TerminalState::kDone) ends_elsewhere_.insert(job->spec->id);
      if (told == TerminalState::kDone &&
          completed_[job->spec->id].size() != job->spec->tasks) {
        Break("not_done: " + job->spec->id);
      }
    }
    // From here on any controller tells the job's user that it is cancelled.
    const auto* end = std::get_if<TerminalRecord>(&change.record);
    if (end != nullptr && end->state == TerminalState::kAborted) {
      const std::string id = change.key.substr(keys::kTerminal.size());
      jobs_.at(id).nothing_left = true;
      ends_elsewhere_.insert(id);
    }
    CheckChange(change);
    news_.emplace_back(change.key, revision_);
    if (std::holds_alternative<std::monostate>(change.record)) {
      store_.erase(change.key);
    } else {
      store_[change.key] = {change.record, revision_};
    }
  }
  CheckSettled(txn);
  return revision_;
}

void Sim::Write(const CompareAndSwap& txn) {
  ++transactions_;
  const uint64_t id = txn.id;
  const uint64_t leader = leader_->revision();
  const auto answer = [this, id, leader](
                          WriteOutcome outcome, uint64_t at,
                          const std::vector<std::string>& failed) {
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnWriteAnswer(id, outcome, at, failed, now_);
    ExecuteActions();
  };
  if (state_down) {
    After(kLatency, [answer] { answer(WriteOutcome::kNotExecuted, 0, {}); });
    return;
  }
  if (txn.mutations.size() > state_takes) {
    After(kLatency, [answer] { answer(WriteOutcome::kRefused, 0, {}); });
    return;
  }
  Fate fate = std::exchange(next_write, Fate::kNormal);
  double late = next_write_late_seconds;
  double again = std::exchange(next_write_again_seconds, 0);
  if (late_writes) {
    LateWrites& w = *late_writes;
    const auto happens = [&](double share) {
      return std::bernoulli_distribution(share)(w.random);
    };
    const auto seconds = [&] {
      return std::uniform_real_distribution<double>(
          w.least_seconds, w.longest_seconds)(w.random);
    };
    if (fate == Fate::kNormal && happens(w.unanswered)) {
      fate = Fate::kLate;
      late = seconds();
    }
    if (fate == Fate::kNormal && w.answer_lost > 0 && happens(w.answer_lost)) {
      fate = Fate::kLostAnswer;
    }
    if (again <= 0 && happens(w.copied)) again = seconds();
  }
  const double delay = fate == Fate::kLate ? late : kLatency;
  After(delay, [this, txn, fate, answer] {
    std::vector<std::string> failed;
    const uint64_t at =
        fate == Fate::kLate ? ApplyLate(txn) : Apply(txn, &failed);
    if (fate != Fate::kNormal) return;
    answer(at > 0 ? WriteOutcome::kApplied : WriteOutcome::kConflict, at,
           failed);
  });
  if (again > 0) After(delay + again, [this, txn] { ApplyLate(txn); });
  if (fate != Fate::kNormal) {
    After(1.5, [answer] { answer(WriteOutcome::kUnknown, 0, {}); });
  }
}

void Sim::Rent(const RequestScaleOut& rent) {
  const std::string name = rent.name;
  const uint64_t leader = leader_->revision();
  After(rent_seconds, [this, name, rent, leader] {
    auto& hosts = rented_[name];
    if (hosts.empty()) {
      int room = rent.scale_out.count;
      const auto limit = capacity.find(rent.scale_out.type);
      if (limit != capacity.end()) {
        room = std::min(room, limit->second);
        limit->second -= room;
      }
      for (int i = 0; i < room; ++i) {
        const std::string host = "n-" + std::to_string(next_host_++);
        AddWorker(host, rent.scale_out.type, rent.scale_out.zone,
                  rent.scale_out.spot);
        SimWorker& worker = workers_[host];
        worker.up_at =
            never_boot ? 1e12 : now_ + types.at(worker.type).boot_seconds;
        worker.lease_from = worker.up_at;
        worker.next_heartbeat = worker.up_at;
        hosts.push_back(host);
      }
    }
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnScaleOutResponse(name,
                                hosts.empty() ? ScaleOutOutcome::kNoCapacity
                                              : ScaleOutOutcome::kGranted,
                                hosts, now_);
    ExecuteActions();
  });
}

// One branch for each action of the leader.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
void Sim::ExecuteActions() {
  while (leader_) {
    const std::vector<Action> actions = leader_->TakeActions();
    if (actions.empty()) return;
    TrailActions(now_, actions);
    const uint64_t leader = leader_->revision();
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendCommands>(&action)) {
        Do(*send);
      } else if (const auto* probe = std::get_if<Probe>(&action);
                 probe != nullptr && faults) {
        const std::optional<double> there = faults->Travel();
        const std::optional<double> back = faults->Travel();
        if (!there || !back || !LeaderNode().Sends(probe->host)) continue;
        After(*there, [this, leader, host = probe->host, back] {
          OnWorker(host, [this, leader, back](SimWorker& worker) {
            if (worker.commands_cut) return;
            After(*back, [this, leader, heartbeat = HeartbeatOf(worker)] {
              OnLeader(leader, [this, heartbeat] {
                leader_->OnProbeAnswer(heartbeat, now_);
              });
            });
          });
        });
      } else if (probe != nullptr) {
        After(kLatency, [this, leader, host = probe->host] {
          const auto it = workers_.find(host);
          if (it == workers_.end() || it->second.dead ||
              it->second.Hangs(now_) || now_ < it->second.up_at ||
              it->second.commands_cut || !leader_ ||
              !LeaderNode().Sends(host) || leader_->revision() != leader) {
            return;
          }
          leader_->OnProbeAnswer(HeartbeatOf(it->second), now_);
          ExecuteActions();
        });
      } else if (const auto* txn = std::get_if<CompareAndSwap>(&action)) {
        Write(*txn);
      } else if (const auto* read = std::get_if<ReadKeys>(&action)) {
        After(kLatency, [this, leader, keys = read->keys, id = read->id] {
          if (!leader_ || leader_->revision() != leader) return;
          if (!state_down) {
            for (const std::string& key : keys) {
              const auto it = store_.find(key);
              if (it == store_.end()) {
                catalog_.Missing(key, revision_);
              } else {
                catalog_.Put(key, it->second.first, it->second.second);
              }
            }
          }
          leader_->OnReadAnswer(id, !state_down, now_);
          ExecuteActions();
        });
      } else if (const auto* check = std::get_if<CheckInstance>(&action)) {
        Check(*check);
      } else if (const auto* rent = std::get_if<RequestScaleOut>(&action)) {
        Rent(*rent);
      } else if (const auto* gone = std::get_if<DeleteMachines>(&action)) {
        After(0.2, [this, leader, hosts = gone->hosts] {
          for (const std::string& host : hosts) {
            const auto it = workers_.find(host);
            // Asked once a heartbeat, and twice the probes' time for the
            // answer.
            if (it != workers_.end() && !it->second.notice &&
                CountOn(host) > 0 &&
                now_ - it->second.reachable_from >
                    2.5 * settings.workers.heartbeat_interval_seconds) {
              ++lost_alive_;
            }
            deletions_ += static_cast<int>(workers_.erase(host));
          }
          if (!leader_ || leader_->revision() != leader) return;
          leader_->OnDeleteAnswer(hosts, true, now_);
          ExecuteActions();
        });
      } else if (const auto* note = std::get_if<LogEvent>(&action);
                 note != nullptr && std::getenv("OXBOW_SIM_LOG") != nullptr) {
        std::fprintf(stderr, "%.2f %s\n", now_, Render(*note).c_str());
      } else if (const auto* ask = std::get_if<AskReach>(&action)) {
        AnswerReach(*ask);
      } else if (const auto* back = std::get_if<RequestLeaseYield>(&action)) {
        for (const std::string& name : back->peers) {
          SimController& controller = controllers_[name];
          if (controller.gone || controller.refused || !controller.lease ||
              !controller.lease->OnYieldRequested(now_)) {
            continue;
          }
          After(kLatency, [this, leader, name, sent = now_,
                           ago = controller.lease->RenewedAgo(now_)] {
            OnLeader(leader, [this, name, ago, sent] {
              leader_->OnLeaseYielded(name, "life", now_, ago, sent, now_);
            });
          });
        }
      } else if (std::holds_alternative<ReadDelegates>(action)) {
        if (state_down) continue;
        After(kLatency,
              [this, leader, sent = now_, read = RecordedDelegates()] {
                OnLeader(leader, [this, read, sent] {
                  leader_->OnDelegatesRead(read, sent, now_);
                });
              });
      } else if (const auto* offer =
                     std::get_if<OfferLeadershipTransfer>(&action)) {
        AnswerTransferOffer(*offer);
      } else if (const auto* job = std::get_if<RequestJobRecord>(&action)) {
        // The shell reads the live record, then how it ended.
        After(kLatency, [this, leader, id = job->id] {
          const auto end = store_.find(keys::Of(keys::kTerminal, id));
          if (!leader_ || leader_->revision() != leader || state_down ||
              end == store_.end()) {
            return;
          }
          catalog_.RememberTerminalState(
              id, std::get<TerminalRecord>(end->second.first));
        });
      } else if (const auto* ask = std::get_if<ReadTerminalState>(&action)) {
        After(kLatency, [this, leader, id = ask->id] {
          if (!leader_ || leader_->revision() != leader) return;
          for (const std::string_view prefix :
               {keys::kWaiting, keys::kJob, keys::kTerminal}) {
            const auto it = store_.find(keys::Of(prefix, id));
            if (state_down || it == store_.end()) continue;
            if (const auto* end =
                    std::get_if<TerminalRecord>(&it->second.first)) {
              catalog_.RememberTerminalState(id, *end);
            } else {
              catalog_.Put(it->first, it->second.first, it->second.second);
            }
            break;
          }
          leader_->OnTerminalStateRead(id, now_);
          ExecuteActions();
        });
      } else if (const auto* quit = std::get_if<Resign>(&action)) {
        After(0, [this, leader, unfit = quit->unfit] {
          if (!leader_ || leader_->revision() != leader) return;
          leader_.reset();
          if (unfit) Succeed("");
        });
      }
    }
  }
}

bool Sim::Reaches(const SimController& controller,
                  const SimWorker& worker) const {
  return !worker.dead && !worker.Hangs(now_) && !worker.commands_cut &&
         now_ >= worker.up_at && controller.Sends(worker.host);
}

void Sim::WatchReach() {
  for (auto& [host, w] : workers_) {
    const bool reached = std::any_of(
        controllers_.begin(), controllers_.end(), [&, &worker = w](auto& c) {
          return !c.second.gone && !c.second.refused && c.first != leading_ &&
                 Reaches(c.second, worker);
        });
    if (!reached) w.reachable_from = now_;
  }
  std::erase_if(transferred_at_, [&](Time t) {
    return t <= now_ - settings.workers.lease_seconds;
  });
  const SimController& self = controllers_[leading_];
  constexpr int kEnough = 4;
  const bool another =
      leader_ != nullptr &&
      std::any_of(controllers_.begin(), controllers_.end(), [&](const auto& c) {
        return c.first != leading_ && !c.second.gone && !c.second.refused &&
               !c.second.no_state && !c.second.in_cut &&
               std::count_if(leader_->machines().begin(),
                             leader_->machines().end(), [&](const auto& m) {
                               const auto w = workers_.find(m->host());
                               return m->recorded_up && w != workers_.end() &&
                                      Reaches(c.second, w->second);
                             }) >= kEnough;
      });
  const bool unfit = another && now_ >= stalled_until_ && !state_down &&
                     self.in_cut && self.out_cut &&
                     transferred_at_.size() <
                         static_cast<size_t>(tuning.max_leadership_transfers);
  if (!unfit) fit_at_ = now_;
}

// Every controller asks at the same time and waits as long.
void Sim::AnswerReach(const AskReach& ask) {
  constexpr double kWait = 0.6;
  const uint64_t revision = leader_->revision();
  std::vector<Reach> answers(1);
  for (const auto& [name, node] : controllers_) {
    const bool self = name == leading_;
    Reach reach;
    reach.node = name;
    reach.answered = self || (!node.gone && !node.refused);
    reach.may_lead = !self && !node.gone && !node.no_state && !state_down;
    if (reach.answered) {
      for (const std::string& host : ask.hosts) {
        const auto it = workers_.find(host);
        reach.machines += it != workers_.end() && Reaches(node, it->second)
                              ? Reach::kReached
                              : Reach::kNotReached;
      }
    }
    if (self) {
      for (size_t i = 0; i < ask.hosts.size(); ++i) {
        if (!reach.Reaches(i)) continue;
        After(kLatency, [this, revision, host = ask.hosts[i]] {
          OnLeader(revision, [this, host] {
            const auto it = workers_.find(host);
            if (it == workers_.end()) return;
            leader_->OnProbeAnswer(HeartbeatOf(it->second), now_);
          });
        });
      }
      answers[0] = std::move(reach);
    } else {
      answers.push_back(std::move(reach));
    }
  }
  After(kWait, [this, revision, round = ask.round, answers] {
    OnLeader(revision, [this, round, answers] {
      leader_->OnReach(round, answers, now_);
    });
  });
}

void Sim::AnswerTransferOffer(const OfferLeadershipTransfer& offer) {
  After(kLatency, [this, revision = leader_->revision(), offer] {
    OnLeader(revision, [this, offer] {
      SimController& to = controllers_[offer.to];
      if (to.gone || to.refused || to.no_state || state_down ||
          transferred_at_.size() >=
              static_cast<size_t>(tuning.max_leadership_transfers)) {
        leader_->OnTransferRejected(offer.to + " does not take over", now_);
        return;
      }
      transferred_at_.push_back(now_);
      leader_->OnTransferAccepted();
      leader_.reset();
      ++leadership_transfers_;
      if (to.dies_on_offer) to.gone = true;
      Succeed(offer.to);
    });
  });
}

void Sim::Succeed(const std::string& name) {
  // The one that has agreed goes at once. If it is gone, or nobody was asked,
  // another one does after half of the leader's lease.
  const bool there = !name.empty() && !controllers_[name].gone;
  const double wait =
      there ? 0.1
            : tuning.leader_lease_ratio * settings.workers.lease_seconds / 2 +
                  0.1;
  After(wait, [this, name, there, before = leading_] {
    if (leader_) return;
    if (there) return Lead(name);
    for (const auto& [other, node] : controllers_) {
      if (other != before && !node.gone && !node.no_state) return Lead(other);
    }
    Lead(before);
  });
}

void Sim::NoteCancelled() {
  for (const std::string& id : cancel_asked_) {
    StoredJob& job = jobs_.at(id);
    if (!job.told && JobStatus(id) == "aborted") job.told = now_;
  }
}

std::string Sim::RecordedStatus(const std::string& id) const {
  const auto end = store_.find(keys::Of(keys::kTerminal, id));
  if (end != store_.end()) {
    const bool done = std::get<TerminalRecord>(end->second.first).state ==
                      TerminalState::kDone;
    return done ? "done" : "aborted";
  }
  if (store_.contains(keys::Of(keys::kWaiting, id))) return "pending";
  const auto live = store_.find(keys::Of(keys::kJob, id));
  if (live == store_.end()) return "unknown";
  const bool done = std::get<JobRecord>(live->second.first).terminal_state ==
                    TerminalState::kDone;
  return done ? "done" : "pending";
}

// Not checked: that a leader tells no less than the records say of a write of
// its own whose answer was lost. The core does not decide that.
void Sim::NoteTold() {
  for (auto& [id, job] : jobs_) {
    std::vector<std::string> answers;
    const bool leader_answers = leader_ && now_ >= stalled_until_;
    // A leader that knows nothing of a job reads the records.
    std::string told = leader_answers ? JobStatus(id) : "unknown";
    TrailStatus(now_, id, told);
    if (told != "unknown") answers.push_back(told);
    if (!state_down && !records_lost_) answers.push_back(RecordedStatus(id));
    for (const std::string& status : answers) {
      if (!job.end.empty() && status != job.end) {
        Break("went_back: " + id + " was " + job.end + ", then " + status);
      }
      if (status == "unknown" && !records_lost_) Break("forgotten: " + id);
    }
    if (told == "done" || told == "aborted") job.end = std::move(told);
  }
}

uint32_t Sim::RoomIn(const JobSpec& spec, const std::string& zone) const {
  uint32_t tasks = 0;
  for (const auto& [host, worker] : workers_) {
    if (worker.zone != zone || !worker.Sound(now_) ||
        !spec.AllowsType(worker.type) || !spec.AllowsZone(worker.zone) ||
        (worker.spot && !spec.spot)) {
      continue;
    }
    Resources used = spec.need;
    for (const auto& [name, status] : worker.tasks) {
      if (status.phase != TaskPhase::kExited)
        used += jobs_.at(status.job).spec.need;
    }
    for (; tasks < spec.tasks && used.FitsIn(types.at(worker.type).total);
         used += spec.need) {
      ++tasks;
    }
  }
  return tasks;
}

bool Sim::HasRoom(const StoredJob& job,
                  const std::map<std::string, Resources>& teams) const {
  const JobSpec& spec = job.spec;
  const bool gang = spec.kind == JobKind::kGang;
  std::set<std::string> zones;  // in which tasks of it are
  uint32_t there = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      if (worker.dead || status.job != spec.id ||
          status.phase == TaskPhase::kExited)
        continue;
      zones.insert(worker.zone);
      ++there;
    }
  }
  const auto done = completed_.find(spec.id);
  if (done != completed_.end()) {
    there += static_cast<uint32_t>(done->second.size());
  }
  if (there >= spec.tasks || (gang && there > 0)) return false;
  const uint32_t wanted = gang ? spec.tasks : 1;
  for (const TeamQuota& team : settings.teams) {
    if (team.name != spec.team) continue;
    const auto held = teams.find(team.name);
    Resources used = held == teams.end() ? Resources() : held->second;
    for (uint32_t i = 0; i < wanted; ++i) used += spec.need;
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max)) {
      return false;
    }
  }
  std::set<std::string> all;
  for (const auto& [host, worker] : workers_) all.insert(worker.zone);
  uint32_t room = 0;
  for (const std::string& zone : all) {
    if (spec.one_zone && !zones.empty() && !zones.contains(zone)) continue;
    const uint32_t here = RoomIn(spec, zone);
    if (spec.one_zone && here >= wanted) return true;
    room += spec.one_zone ? 0 : here;
  }
  // What may go to each zone is not counted here.
  return room >= wanted && !spec.spread;
}

void Sim::NoteRoom() {
  constexpr double kEvery = 0.5;
  if (now_ < room_noted_ + kEvery) return;
  room_noted_ = now_;
  std::map<std::string, Resources> teams;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      if (worker.dead || status.phase == TaskPhase::kExited) continue;
      const JobSpec& spec = jobs_.at(status.job).spec;
      teams[spec.team] += spec.need;
    }
  }
  for (auto& [id, job] : jobs_) {
    const bool waits = store_.contains(keys::Of(keys::kWaiting, id));
    if (waits || !job.end.empty() || cancel_asked_.contains(id) ||
        !HasRoom(job, teams)) {
      job.room_since = now_;
    } else {
      job.room_since = std::min(job.room_since, now_);
    }
  }
}

double Sim::WaitedWithRoom(const std::string& id) const {
  double longest = 0;
  for (const auto& [name, job] : jobs_) {
    if (id.empty() || id == name) {
      longest = std::max(longest, now_ - job.room_since);
    }
  }
  return longest;
}

std::vector<std::string> Sim::Phantoms() const {
  std::vector<std::string> wrong;
  if (!leader_) return wrong;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    for (const auto& [key, attempt] : m->task_attempts) {
      const std::string name = Name(key.job_id, key.task, key.attempt);
      // A start that is under way may not be there yet.
      if (attempt.holds && attempt.start_progress == StartProgress::kSettled &&
          (it == workers_.end() || !it->second.tasks.contains(name))) {
        wrong.push_back("not there: " + name + " on " + m->host());
      }
    }
  }
  return wrong;
}

std::string Sim::RecordedAs(const std::string& id) const {
  if (store_.contains(keys::Of(keys::kWaiting, id))) return "waiting";
  const auto live = store_.find(keys::Of(keys::kJob, id));
  const auto ended = store_.find(keys::Of(keys::kTerminal, id));
  TerminalState state = TerminalState::kNone;
  if (live != store_.end()) {
    state = std::get<JobRecord>(live->second.first).terminal_state;
    if (state == TerminalState::kNone) return "live";
  } else if (ended != store_.end()) {
    state = std::get<TerminalRecord>(ended->second.first).state;
  } else {
    return "none";
  }
  return state == TerminalState::kDone ? "done" : "aborted";
}

void Sim::CheckChainStart(const JobSpec& spec) {
  for (const std::string& need : spec.dependencies) {
    if (completed_[need].size() != jobs_.at(need).spec.tasks ||
        RecordedAs(need) != "done") {
      Break("too_early: " + spec.id + " before " + need);
    }
  }
}

// Whom its user was told to be cancelled takes all along that need it.
void Sim::CheckOrphanedTasks() {
  for (const auto& [id, job] : jobs_) {
    if (job.spec.dependencies.empty()) continue;
    for (const std::string& need : job.spec.dependencies) {
      StoredJob& before = jobs_.at(need);
      StoredJob& after = jobs_.at(id);
      if (before.told &&
          (!after.told_before || *before.told < *after.told_before)) {
        after.told_before = before.told;
      }
      if (before.told_before && !after.told_before) {
        after.told_before = before.told_before;
      }
    }
    const bool over =
        job.told_before &&
        now_ > *job.told_before + settings.workers.cancel_seconds &&
        now_ > job.submitted + settings.workers.cancel_seconds;
    if (over && RecordedAs(id) != "aborted") Break("orphaned: " + id);
  }
}

void Sim::CheckRules() {
  CheckOrphanedTasks();
  std::map<std::string, Resources> teams;
  for (const auto& [host, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [name, status] : worker.tasks) {
      if (status.phase == TaskPhase::kExited) continue;
      const StoredJob& job = jobs_.at(status.job);
      if (Present(status)) teams[job.spec.team] += job.spec.need;
      if (job.told && now_ > *job.told + settings.workers.cancel_seconds) {
        Break("ran_cancelled: " + name);
      }
      // What any controller takes for the proof that it may tell.
      if (job.nothing_left) Break("retired too early: " + name);
    }
  }
  // Held from the declaration to the recorded end.
  const auto live = store_.lower_bound(std::string(keys::kRollout));
  const bool watched =
      live != store_.end() && live->first.starts_with(keys::kRollout);
  if (watched && floor > 0 && CountWell() < floor) {
    Break("floor: " + std::to_string(CountWell()) + " are well at " +
          std::to_string(now_));
  }
  for (const TeamQuota& team : settings.teams) {
    const Resources used = teams[team.name];
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max + 1e-6) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max + 1e-6)) {
      Break("quota: " + team.name);
    }
  }
}

void Sim::CheckIndices() {
  if (!leader_) return;
  std::map<const Job*, std::map<int32_t, Presence>> jobs;
  const auto same = [](const Resources& a, const Resources& b) {
    return a.FitsIn(b) && b.FitsIn(a);
  };
  std::vector<Resources> by_tier(leader_->tiers().set().size());
  for (const auto& m : leader_->machines()) {
    Resources used;
    Resources staying;
    Resources lasting;
    Resources leaving;
    std::array<Resources, kPriorities> used_by;
    for (const auto& [key, attempt] : m->task_attempts) {
      if (attempt.job == nullptr) continue;
      Presence& here = jobs[attempt.job][m->index()];
      ++here.listed;
      if (attempt.phase == TaskPhase::kExited) continue;
      ++here.holding;
      const Resources& need = attempt.job->spec().need;
      used += need;
      by_tier.at(attempt.job->tier) += need;
      used_by[static_cast<size_t>(attempt.job->spec().priority)] += need;
      if (attempt.stopping) leaving += need;
      const JobKind kind = attempt.job->spec().kind;
      if (kind == JobKind::kService) staying += need;
      if (kind != JobKind::kArray) lasting += need;
    }
    if (!same(used, m->used) || !same(leaving, m->leaving) ||
        !same(staying, m->staying) || !same(lasting, m->lasting) ||
        !std::equal(used_by.begin(), used_by.end(), m->used_by.begin(), same)) {
      Break("sums of " + m->host());
    }
  }
  for (size_t place = 0; place < by_tier.size(); ++place) {
    if (!same(by_tier[place],
              leader_->tiers().held(static_cast<uint8_t>(place)))) {
      Break("what tier " + std::to_string(place) + " holds");
    }
  }
  for (const auto& [id, job] : leader_->jobs()) {
    int holding = 0;
    const auto& fresh = jobs[job.get()];
    for (const auto& [index, here] : fresh) holding += here.holding;
    const bool equal =
        holding == job->holding() &&
        std::equal(fresh.begin(), fresh.end(), job->presence().begin(),
                   job->presence().end(), [](const auto& a, const auto& b) {
                     return a.first == b.first &&
                            a.second.holding == b.second.holding &&
                            a.second.listed == b.second.listed;
                   });
    if (!equal) Break("presence of " + id);
  }
}

std::vector<std::string> Sim::WronglyGone() const {
  std::vector<std::string> wrong;
  if (!leader_) return wrong;
  for (const auto& m : leader_->machines()) {
    // Until a machine has been heard, nothing is taken for gone from it.
    if (m->recorded_up && !m->reported) continue;
    const auto it = workers_.find(m->host());
    if (it == workers_.end() || it->second.dead) continue;
    for (const auto& [name, status] : it->second.tasks) {
      if (status.phase == TaskPhase::kExited ||
          m->task_attempts.contains(
              {status.job, status.task, status.attempt})) {
        continue;
      }
      wrong.push_back("taken for gone: " + name + " on " + m->host());
    }
  }
  return wrong;
}

std::vector<std::string> Sim::HeldByTheDead(double bound) const {
  std::vector<std::string> held;
  if (!leader_ || now_ - leads_since_ < bound) return held;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    const bool dead = it == workers_.end() ||
                      (it->second.dead && now_ - it->second.died_at > bound &&
                       now_ - m->last_heard > bound);
    const bool holds =
        std::any_of(m->task_attempts.begin(), m->task_attempts.end(),
                    [](const auto& e) { return e.second.holds; });
    if (dead && it != workers_.end() && holds) {
      held.push_back("still counted on the dead " + m->host());
    }
  }
  return held;
}

void Sim::Break(const std::string& what) { broken_.push_back(what); }

int Sim::CountRunning(const std::string& job) const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      n += !worker.dead && status.job == job &&
           status.phase == TaskPhase::kRunning;
    }
  }
  return n;
}

int Sim::CountPresent(const std::string& job) const {
  int n = 0;
  for (const auto& [host, worker] : workers_) {
    for (const auto& [name, status] : worker.tasks) {
      n += !worker.dead && status.job == job &&
           status.phase != TaskPhase::kExited;
    }
  }
  return n;
}

int Sim::CountOn(const std::string& host) const {
  const auto it = workers_.find(host);
  if (it == workers_.end()) return 0;
  return static_cast<int>(std::count_if(
      it->second.tasks.begin(), it->second.tasks.end(),
      [](const auto& e) { return e.second.phase != TaskPhase::kExited; }));
}

int Sim::CountRecords(const std::string& prefix) const {
  int n = 0;
  for (auto it = store_.lower_bound(prefix);
       it != store_.end() && it->first.starts_with(prefix); ++it) {
    ++n;
  }
  return n;
}

int Sim::CountLateChanges(const std::string& prefix) const {
  return static_cast<int>(std::count_if(
      late_changes_.begin(), late_changes_.end(),
      [&](const std::string& key) { return key.starts_with(prefix); }));
}

int Sim::CountUp() const {
  return static_cast<int>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& e) { return !e.second.dead && e.second.up_at <= now_; }));
}

std::string Sim::JobStatus(const std::string& id) {
  const TerminalState state = catalog_.FindTerminalState(id);
  if (state == TerminalState::kDone) return "done";
  if (state == TerminalState::kAborted) return "aborted";
  JobView view;
  const JobObservation observation =
      leader_ ? leader_->View(id, &view) : JobObservation::kUnseen;
  if (observation == JobObservation::kUnseen) return "unknown";
  if (observation == JobObservation::kInDoubt) return "in-doubt";
  TrailTasks(now_, id, view);
  return std::string(view.status);
}

// Whoever reads the key-value store tells an end as soon as it stands there;
// from then on the leader must not tell anything older by its own picture.
void Sim::CheckAnswers() {
  if (!leader_ || now_ < stalled_until_) return;
  for (auto it = ends_elsewhere_.begin(); it != ends_elsewhere_.end();) {
    const std::string status = JobStatus(*it);
    if (status == "pending" || status == "running") {
      Break("went_back: " + *it + " is " + status + " to the leader");
    }
    const bool told = status == "done" || status == "aborted";
    it = told ? ends_elsewhere_.erase(it) : std::next(it);
  }
}

}  // namespace oxbow::test
