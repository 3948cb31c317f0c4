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

bool Present(const SimTask& t) {
  return t.phase != TaskPhase::kExited && t.phase != TaskPhase::kFetching;
}

}  // namespace

std::optional<double> RandomFaults::Travel() {
  if (Happens(lost)) return std::nullopt;
  if (Happens(held)) return Between(0.5, longest_s);
  return Between(0.0, 0.1);
}

Sim::Sim() {
  settings.node = "a";
  settings.nodes = 1;
  settings.workers = {1.0, 10.0, 40.0, 4.0, 40.0};
  settings.state.txn_ops = 16;
}

void Sim::AddWorker(const std::string& host, const std::string& type,
                    const std::string& zone, bool spot) {
  SimWorker w;
  w.host = host;
  w.type = type;
  w.zone = zone;
  w.spot = spot;
  w.up_at = now_;
  w.lease_from = now_;
  w.next_report = now_ + 0.1;
  workers_[host] = w;
}

void Sim::SetFate(const std::string& host, Fate fate, double late_s) {
  fates_[host] = {fate, late_s};
}

void Sim::AskForZones() {
  for (auto& [name, c] : controllers_) {
    if (c.zone.empty() || c.gone) continue;
    if (!c.lease) {
      c.lease.emplace(settings.workers);
      c.lease->RecordedAnew(now_, now_);
    }
    if (state_down) {
      c.recorded_until = now_ + DelegatedLeaseRecordTerm(settings.workers);
    } else if (!c.no_state) {
      if (now_ > c.recorded_until) c.lease->RecordedAnew(now_, now_);
      c.lease->Recorded(now_);
      c.recorded_until = now_ + DelegatedLeaseRecordTerm(settings.workers);
    }
    if (name == leading_ || c.refused || !leader_ || now_ < stalled_until_ ||
        now_ < c.next_ask) {
      continue;
    }
    c.next_ask = now_ + StandBackFor(settings.workers);
    if (leader_->OnDelegationAsked(name, "life", now_, now_)) {
      c.lease->Granted(now_);
      TrailEvent(now_, "delegated", name);
    }
  }
}

bool Sim::KeptInZone(const SimWorker& w) {
  for (auto& [name, c] : controllers_) {
    if (name != leading_ && !c.gone && c.refused && c.zone == w.zone &&
        c.lease && c.lease->Renew(now_)) {
      return true;
    }
  }
  return false;
}

std::set<std::string> Sim::RecordedDelegates() const {
  std::set<std::string> names;
  for (const auto& [name, c] : controllers_) {
    if (now_ < c.recorded_until) names.insert(name);
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
  catalog_.Followed(revision_);
  leads_since_ = now_;
  for (auto& [host, w] : workers_) {
    w.seen_session = 0;
    w.risen = w.unproven = false;
  }
  leader_ =
      std::make_unique<Controller>(settings, tuning, catalog_, revision_, now_,
                                   kEpochOffset, 7, RecordedDelegates());
  if (rebuilds) leader_->OnEndsOwed({}, /*whole=*/true);
  FollowTiers();
  leader_->UseTiers(tiers_in_force_[leading_].set());
  bookings_told_.clear();
  ReadBookings();
  TellBookings();
  LookAtClocks();
  leader_->UseMoves(wire::kMoveCodec, now_);
  std::vector<MachineType> all;
  for (const auto& [name, type] : types) all.push_back(type);
  leader_->OnTypes(all);
  Perform();
  for (const WorkerReport& report : std::exchange(kept_, {})) Copy(report, 0);
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
  if (!spec.waits_on.empty()) {
    const std::string waiting = keys::Of(keys::kWaiting, spec.id);
    const WaitingRecord record{std::make_shared<JobSpec>(spec),
                               now_ + kEpochOffset, 0};
    store_[waiting] = {record, ++revision_};
    news_.emplace_back(waiting, revision_);
    if (old_version) return;
    catalog_.Put(waiting, record, revision_);
    if (leader_) {
      leader_->OnWaitingRecord(spec.id, now_);
      Perform();
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
    Perform();
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

void Sim::Book(const Booking& booking) {
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
  for (const auto& [name, c] : controllers_) names.push_back(name);
  for (const std::string& name : names) {
    if (controllers_.contains(name) && controllers_.at(name).no_state) continue;
    BookingView& view = booking_views_[name];
    for (const auto& [id, booking] : bookings_) view.bookings[id] = booking;
    view.read = now_;
  }
}

void Sim::TellBookings() {
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

void Sim::Wish(const std::string& id, RolloutWish wish) {
  const std::string key = keys::Of(keys::kRollout, id);
  const auto it = store_.find(key);
  if (it == store_.end()) return;
  std::get<RolloutRecord>(it->second.first).wish = wish;
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
    Perform();
  }
  catalog_.Followed(revision_);
}

bool Sim::Well(const SimTask& t) const {
  if (t.phase != TaskPhase::kRunning) return false;
  const auto it = illness.find(t.job);
  if (it == illness.end()) return true;
  const Illness& ill = it->second;
  const double ran = now_ - t.running_since;
  if (now_ >= ill.sick_from || ran >= ill.sick_after) return false;
  return ill.flap_s <= 0 || static_cast<int64_t>(ran / ill.flap_s) % 2 == 0;
}

int Sim::CountWell() const {
  int n = 0;
  for (const auto& [host, w] : workers_) {
    if (w.dead || w.Hangs(now_)) continue;
    for (const auto& [name, t] : w.tasks) {
      n += std::count(floor_jobs.begin(), floor_jobs.end(), t.job) > 0 &&
           Well(t);
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
  for (auto& [host, w] : workers_) {
    const auto it =
        w.tasks.find(Name(check.key.job_id, check.key.task, check.key.attempt));
    if (it == w.tasks.end() || w.dead || w.Hangs(now_) ||
        unchecked_zones.contains(w.zone)) {
      continue;
    }
    const bool well = Well(it->second);
    const auto ill = illness.find(check.key.job_id);
    const bool mute = ill != illness.end() && ill->second.mute && !well;
    if (it->second.phase != TaskPhase::kRunning || mute) break;
    After(kLatency, [answer, well] { answer({true, well, kLatency}); });
    return;
  }
  After(check.spec->check.timeout_s, [answer] { answer({}); });
}

void Sim::CancelJob(const std::string& id) {
  if (!leader_) return;
  cancel_asked_.insert(id);
  const bool known = leader_->Cancel(id, now_);
  TrailEvent(now_, known ? "cancel" : "cancel-of-unknown", id);
  Perform();
}

void Sim::CancelBurst(int count, double hang_s) {
  constexpr double kWithin = 0.2;
  constexpr size_t kMostHang = 8;
  std::set<std::string> chosen;
  std::set<std::string> hosts;
  for (auto& [host, w] : workers_) {
    if (w.dead) continue;
    for (const auto& [name, t] : w.tasks) {
      const bool known = chosen.contains(t.job);
      if (t.phase != TaskPhase::kRunning || cancel_asked_.contains(t.job) ||
          (!known && chosen.size() >= static_cast<size_t>(count))) {
        continue;
      }
      chosen.insert(t.job);
      if (hosts.size() < kMostHang) hosts.insert(host);
    }
  }
  int nth = 0;
  for (const std::string& id : chosen) {
    After(kWithin * nth++ / count, [this, id] { CancelJob(id); });
  }
  if (hang_s <= 0) return;
  for (const std::string& host : hosts) {
    workers_.at(host).hangs_until = now_ + hang_s;
  }
}

void Sim::RequestOddly() {
  if (!leader_ || now_ < stalled_until_) return;
  for (const auto& [id, job] : jobs_) {
    if (!job.end.empty()) {
      CancelJob(id);
    } else if (store_.contains(keys::Of(keys::kJob, id))) {
      leader_->OnJobRecord(id, now_);
      Perform();
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
    TellBookings();
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
  for (auto& [host, w] : workers_) AdvanceWorker(w);
  if (leader_ && now_ >= stalled_until_) {
    leader_->Tick(now_, !by_promises);
    Perform();
  }
  NoteSessions();
  if (!controllers_.empty()) WatchReach();
  if (troubles.Happens(troubles.odd_requests * kStep)) RequestOddly();
  NoteCancelled();
  NoteTold();
  NoteRoom();
  CheckRules();
  CheckAnswers();
  CheckIndices();
}

void Sim::NoteSessions() {
  if (!leader_) return;
  for (const auto& m : leader_->machines()) {
    const auto it = workers_.find(m->host());
    if (it == workers_.end()) continue;
    SimWorker& w = it->second;
    const uint64_t seen = m->session.number();
    if (w.seen_session != 0 && seen > w.seen_session) {
      // The first may have been over before this leader heard of it.
      w.unproven = w.risen;
      w.risen = true;
    }
    w.seen_session = seen;
  }
}

void Sim::AdvanceWorker(SimWorker& w) {
  if (w.dead || now_ < w.up_at) return;
  // Holds for a hung machine too: what it finds first when it goes on is that
  // its lease has ended.
  if (now_ - w.lease_from > settings.workers.lease_s) {
    w.tasks.clear();
    ++w.session;
    w.lease_from = now_;
  }
  if (w.Hangs(now_)) return;
  bool changed = false;
  for (auto& [name, t] : w.tasks) {
    const JobSpec& spec = jobs_.at(t.job).spec;
    if (t.phase == TaskPhase::kFetching && now_ >= t.ready_at) {
      w.images.insert(spec.image);
      changed = true;
      if (completed_[t.job].contains(t.task)) {
        t.phase = TaskPhase::kExited;
        t.reason = ExitReason::kDone;
      } else if (w.faulty) {
        t.phase = TaskPhase::kExited;
        t.reason = ExitReason::kError;
      } else {
        t.phase = spec.kind == JobKind::kGang ? TaskPhase::kWaiting
                                              : TaskPhase::kRunning;
        t.running_since = now_;
      }
    }
    if (t.phase == TaskPhase::kSaving && now_ >= t.ready_at) {
      t.phase = TaskPhase::kExited;
      t.reason = ExitReason::kStopped;
      t.saved = true;
      changed = true;
    }
    if (t.phase == TaskPhase::kRunning && spec.kind != JobKind::kService &&
        now_ - t.running_since >= spec.estimate_s) {
      t.phase = TaskPhase::kExited;
      t.reason = ExitReason::kDone;
      EndTask(t);
      changed = true;
    }
    if (t.phase == TaskPhase::kWaiting) {
      // The gang starts together once its last task has its image.
      size_t ready = 0;
      for (auto& [h, other] : workers_) {
        for (auto& [n, mate] : other.tasks) {
          ready += mate.job == t.job && mate.attempt == t.attempt &&
                   (mate.phase == TaskPhase::kWaiting ||
                    mate.phase == TaskPhase::kRunning);
        }
      }
      if (ready == spec.tasks) {
        t.phase = TaskPhase::kRunning;
        t.running_since = now_;
        changed = true;
      }
    }
  }
  if (now_ >= w.next_report || (changed && now_ + 0.5 >= w.next_report)) {
    SendReport(w);
  }
}

void Sim::EndTask(const SimTask& t) {
  completed_[t.job].insert(t.task);
  if (completed_[t.job].size() < jobs_.at(t.job).spec.tasks) return;
  if (cancel_at_end_.contains(t.job) ||
      troubles.Happens(troubles.cancel_at_end)) {
    After(0, [this, id = t.job] { CancelJob(id); });
  }
}

WorkerReport Sim::ReportOf(SimWorker& w) {
  WorkerReport r;
  r.host = w.host;
  r.endpoint = "10.0.0.1:" + std::to_string(1000 + w.host.size());
  r.type = w.type;
  r.zone = w.zone;
  r.spot = w.spot;
  r.session = w.session;
  r.seq = ++w.seq;
  r.token = w.token;
  r.notice_s = w.notice;
  r.relayed = !w.by_way.empty();
  for (const auto& [name, t] : w.tasks) {
    r.tasks.push_back({t.job, t.task, t.attempt, t.phase, t.reason, t.saved});
  }
  return r;
}

void Sim::SendReport(SimWorker& w) {
  w.next_report = now_ + settings.workers.report_s;
  if (faults) return ReportWithFaults(w);
  // One report in flight.
  if (now_ < w.waits_until) {
    w.next_report = w.waits_until;
    return;
  }
  if (w.kept) {
    w.lease_from = now_;
    return;
  }
  if (!w.by_way.empty() && controllers_[w.by_way].gone) {
    // Refused; so is the next one that it tries, perhaps.
    w.by_way.clear();
    w.waits_until = now_ + 2 * kRetryPause_s;
    return;
  }
  const WorkerReport report = ReportOf(w);
  sent_[w.host] = report;
  if (w.copy_after > 0) Copy(report, w.copy_after);
  if (troubles.Happens(troubles.reports_for_next)) KeepForNext(report);
  if (w.reports_cut || !leader_ || !LeaderNode().Hears(w.host)) {
    if (KeptInZone(w)) w.lease_from = now_;
    return;
  }
  const Time sent = now_;
  const uint64_t session = w.session;
  const ReportReply reply = leader_->OnReport(report, now_);
  TrailReply(now_, report.host, reply);
  Perform();
  if (w.answers_cut) {
    w.waits_until = now_ + w.retry_s;
    return;
  }
  if (reply.withheld) {
    NoteWithheld(w);
    w.waits_until = now_ + kRetryPause_s;
    return;
  }
  if (reply.refused) {
    Break("refused a report that is waited for: " + w.host);
    w.waits_until = now_ + kRetryPause_s;
    return;
  }
  AcceptReply(w, reply, session, sent);
}

// Only one that has heard nothing of this leader is left without an answer, and
// once its lease has ended.
void Sim::NoteWithheld(const SimWorker& w) {
  if (leader_ && w.heard_from == leader_->revision()) {
    Break("answers withheld from one that hears: " + w.host);
  }
}

void Sim::Copy(const WorkerReport& report, double after) {
  After(after, [this, report] {
    if (!leader_) return;
    OnLeader(leader_->revision(), [this, report] {
      TrailReply(now_, report.host, leader_->OnReport(report, now_));
    });
  });
}

void Sim::AcceptReply(SimWorker& w, const ReportReply& reply, uint64_t session,
                      Time sent) {
  if (reply.token < w.token || session != w.session) return;
  w.unproven = false;
  w.heard_from = reply.token >> kTokenBits;
  w.token = reply.token;
  w.lease_from = sent;
  Execute(w, reply.orders);
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
  Perform();
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

// One report in flight; an answer is good for 4 s after its report was sent.
void Sim::ReportWithFaults(SimWorker& w) {
  constexpr double kReportLifetime_s = 4.0;
  if (now_ < w.waits_until) {
    w.next_report = w.waits_until;
    return;
  }
  const uint64_t number = ++w.reports;
  const WorkerReport report = ReportOf(w);
  if (troubles.Happens(troubles.reports_for_next)) KeepForNext(report);
  w.waits_until = now_ + kReportLifetime_s;
  const std::optional<double> there = faults->Travel();
  std::optional<double> back = faults->Travel();
  if (w.answers_cut) back.reset();
  if (faults->copied > 0 && faults->Happens(faults->copied)) {
    Copy(report, faults->Between(0.5, faults->latest_copy_s));
  }
  if (!leader_ && state_down && delegated && there && back) {
    w.waits_until = 0;
    w.lease_from = now_;
    return;
  }
  if (w.reports_cut || !there || !LeaderNode().Hears(w.host)) {
    if (KeptInZone(w)) {
      w.waits_until = 0;
      w.lease_from = now_;
    }
    return;
  }
  After(*there, [this, report, number, back, sent = now_] {
    if (!leader_) return;
    OnLeader(leader_->revision(), [this, report, number, back, sent] {
      const ReportReply reply = leader_->OnReport(report, now_);
      TrailReply(now_, report.host, reply);
      if (!back) return;
      After(*back, [this, report, number, reply, sent] {
        OnWorker(report.host, [this, report, number, reply,
                               sent](SimWorker& worker) {
          if (worker.reports != number || now_ > sent + kReportLifetime_s) {
            return;
          }
          worker.waits_until = 0;
          if (reply.withheld) {
            NoteWithheld(worker);
            worker.waits_until = now_ + kRetryPause_s;
            return;
          }
          if (reply.refused) {
            if (worker.session == report.session) {
              Break("refused a report that is waited for: " + worker.host);
            }
            worker.waits_until = now_ + kRetryPause_s;
            return;
          }
          AcceptReply(worker, reply, report.session, sent);
        });
      });
    });
  });
}

void Sim::DoWithFaults(const SendOrders& orders) {
  constexpr double kTimeout = 1.5;
  const uint64_t revision = leader_->revision();
  auto answered = std::make_shared<bool>(false);
  const auto answer = [this, orders, revision, answered](
                          OrderOutcome outcome,
                          std::optional<WorkerReport> report) {
    OnLeader(revision,
             [this, orders, answered, outcome, report = std::move(report)] {
               if (std::exchange(*answered, true)) return;
               leader_->OnOrderAnswer(orders.host, orders.batch, outcome,
                                      report ? &*report : nullptr, now_);
             });
  };
  const auto it = workers_.find(orders.host);
  const bool cut = it == workers_.end() || it->second.orders_cut ||
                   !LeaderNode().Sends(orders.host);
  if (faults->Happens(faults->refused)) {
    After(kLatency, [answer] { answer(OrderOutcome::kNotSent, {}); });
    return;
  }
  After(kTimeout, [answer] { answer(OrderOutcome::kUnknown, {}); });
  const std::optional<double> there = faults->Travel();
  const std::optional<double> back = faults->Travel();
  if (cut || !there) return;
  After(*there, [this, orders, answer, back] {
    OnWorker(orders.host, [this, orders, answer, back](SimWorker& w) {
      const bool good = orders.token >= w.token && orders.session == w.session;
      if (good) {
        w.token = orders.token;
        Execute(w, orders.orders);
      }
      if (!back) return;
      After(*back, [answer, good, report = ReportOf(w)] {
        answer(good ? OrderOutcome::kExecuted : OrderOutcome::kRefused, report);
      });
    });
  });
}

void Sim::Execute(SimWorker& w, const std::vector<Order>& orders) {
  for (const Order& o : orders) {
    const std::string name = Name(o.job_id, o.task, o.attempt);
    const auto it = w.tasks.find(name);
    switch (o.kind) {
      case OrderKind::kStart:
        if (it == w.tasks.end()) StartTask(w, o);
        break;
      case OrderKind::kStop: {
        if (it == w.tasks.end() || it->second.phase == TaskPhase::kExited) {
          break;
        }
        SimTask& t = it->second;
        const JobSpec& spec = jobs_.at(t.job).spec;
        if (t.phase == TaskPhase::kRunning && spec.checkpoint_s > 0 &&
            o.grace_s >= spec.save_s) {
          t.phase = TaskPhase::kSaving;
          t.ready_at = now_ + spec.save_s;
        } else if (t.phase != TaskPhase::kSaving || o.grace_s <= 0) {
          t.phase = TaskPhase::kExited;
          t.reason = ExitReason::kStopped;
        }
        break;
      }
      case OrderKind::kForget:
        if (it != w.tasks.end() && it->second.phase == TaskPhase::kExited) {
          w.tasks.erase(it);
        }
        break;
    }
  }
  if (!orders.empty()) w.next_report = std::min(w.next_report, now_ + 0.5);
}

void Sim::StartTask(SimWorker& w, const Order& o) {
  const JobSpec& spec = jobs_.at(o.job_id).spec;
  SimTask t;
  t.job = o.job_id;
  t.task = o.task;
  t.attempt = o.attempt;
  const MachineType& type = types.at(w.type);
  Resources used = spec.need;
  for (const auto& [name, other] : w.tasks) {
    if (other.phase != TaskPhase::kExited) {
      used += jobs_.at(other.job).spec.need;
    }
  }
  if (!used.FitsIn(type.total)) {
    t.phase = TaskPhase::kExited;
    t.reason = ExitReason::kNoRoom;
    Break("refused: " + o.job_id + " does not fit on " + w.host);
  } else {
    ++starts_;
    CheckChainStart(spec);
    starts_on_deaf_ += w.unproven;
    if (jobs_.at(o.job_id).told) {
      Break("started after its cancellation was told: " + o.job_id);
    }
    if (forbidden) {
      const std::string why = forbidden(spec, true_wall());
      if (!why.empty()) Break("heavy start: " + o.job_id + " " + why);
    }
    const double fetch =
        w.images.contains(spec.image) ? 0 : spec.image_gb / type.fetch_gb_per_s;
    t.ready_at = now_ + fetch;
    if (!spec.AllowsType(w.type) || !spec.AllowsZone(w.zone) ||
        (w.spot && !spec.spot)) {
      Break("wrong_place: " + o.job_id + " on " + w.host);
    }
    std::map<std::string, uint32_t> zones;
    ++zones[w.zone];
    for (const auto& [host, other] : workers_) {
      if (other.dead) continue;
      for (const auto& [n, mate] : other.tasks) {
        if (mate.job != o.job_id || mate.phase == TaskPhase::kExited) continue;
        ++zones[other.zone];
        if (mate.task == o.task) {
          Break("ran_twice: " + n + " on " + host + " while it starts on " +
                w.host);
        }
      }
    }
    if (spec.one_zone && zones.size() > 1) {
      Break("wrong_place: " + o.job_id + " in two zones");
    }
    if (spec.spread && zones[w.zone] > (spec.tasks + 1) / 2) {
      Break("wrong_place: too much of " + o.job_id + " in " + w.zone);
    }
  }
  w.tasks[Name(o.job_id, o.task, o.attempt)] = t;
}

void Sim::Do(const SendOrders& orders) {
  if (faults) return DoWithFaults(orders);
  auto [fate, late] = fates_.contains(orders.host)
                          ? fates_[orders.host]
                          : std::pair{Fate::kNormal, 0.0};
  fates_.erase(orders.host);
  const uint64_t revision = leader_->revision();
  const auto answer = [this, orders, revision](OrderOutcome outcome,
                                               const WorkerReport* report) {
    if (!leader_ || leader_->revision() != revision) return;
    leader_->OnOrderAnswer(orders.host, orders.batch, outcome, report, now_);
    Perform();
  };
  const auto execute = [this, orders]() -> std::optional<bool> {
    const auto it = workers_.find(orders.host);
    if (it == workers_.end() || it->second.dead || it->second.Hangs(now_) ||
        it->second.orders_cut || !LeaderNode().Sends(orders.host)) {
      return {};
    }
    SimWorker& w = it->second;
    if (orders.token < w.token || orders.session != w.session) return false;
    w.token = orders.token;
    Execute(w, orders.orders);
    return true;
  };
  const auto it = workers_.find(orders.host);
  const bool silent = it == workers_.end() || it->second.dead ||
                      it->second.Hangs(now_) || it->second.orders_cut ||
                      !LeaderNode().Sends(orders.host);
  if (fate == Fate::kRefusedConnection) {
    After(kLatency, [answer] { answer(OrderOutcome::kNotSent, nullptr); });
    return;
  }
  if (silent || fate != Fate::kNormal) {
    After(1.5, [answer] { answer(OrderOutcome::kUnknown, nullptr); });
    if (fate == Fate::kLostAnswer) After(kLatency, [execute] { execute(); });
    if (fate == Fate::kLate) After(late, [execute] { execute(); });
    return;
  }
  After(kLatency, [this, orders, execute, answer] {
    const std::optional<bool> done = execute();
    if (!done) return answer(OrderOutcome::kUnknown, nullptr);
    const WorkerReport report = ReportOf(workers_.at(orders.host));
    answer(*done ? OrderOutcome::kExecuted : OrderOutcome::kRefused, &report);
  });
}

// What has moved to the ended ones never lives again, and an end never changes.
void Sim::CheckChange(const KeyChange& change) {
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
void Sim::CheckSettled(const WriteTransaction& txn) {
  for (const KeyChange& change : txn.changes) {
    if (!std::holds_alternative<std::monostate>(change.record) ||
        !change.key.starts_with(keys::kRental)) {
      continue;
    }
    for (const std::string& host :
         rented_[change.key.substr(keys::kRental.size())]) {
      if (workers_.contains(host) &&
          !store_.contains(keys::Of(keys::kMachine, host))) {
        Break("rented and not recorded: " + host);
      }
    }
  }
}

uint64_t Sim::ApplyLate(const WriteTransaction& txn) {
  std::vector<std::string> failed;
  const uint64_t at = Apply(txn, &failed);
  ++late_writes_tried_;
  if (at == 0) return 0;
  for (const KeyChange& change : txn.changes) {
    late_changes_.push_back(change.key);
  }
  return at;
}

uint64_t Sim::Apply(const WriteTransaction& txn,
                    std::vector<std::string>* failed) {
  for (const Condition& c : txn.conditions) {
    const auto it = store_.find(c.key);
    if ((it == store_.end() ? 0 : it->second.second) != c.stamp) {
      failed->push_back(c.key);
    }
  }
  if (!failed->empty()) return 0;
  ++revision_;
  for (const KeyChange& change : txn.changes) {
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

void Sim::Write(const WriteTransaction& txn) {
  ++transactions_;
  const uint64_t id = txn.id;
  const uint64_t leader = leader_->revision();
  const auto answer = [this, id, leader](
                          WriteOutcome outcome, uint64_t at,
                          const std::vector<std::string>& failed) {
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnWriteAnswer(id, outcome, at, failed, now_);
    Perform();
  };
  if (state_down) {
    After(kLatency, [answer] { answer(WriteOutcome::kNotExecuted, 0, {}); });
    return;
  }
  if (txn.changes.size() > state_takes) {
    After(kLatency, [answer] { answer(WriteOutcome::kRefused, 0, {}); });
    return;
  }
  Fate fate = std::exchange(next_write, Fate::kNormal);
  double late = next_write_late_s;
  double again = std::exchange(next_write_again_s, 0);
  if (late_writes) {
    LateWrites& w = *late_writes;
    const auto happens = [&](double share) {
      return std::bernoulli_distribution(share)(w.random);
    };
    const auto seconds = [&] {
      return std::uniform_real_distribution<double>(w.least_s,
                                                    w.longest_s)(w.random);
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

void Sim::Rent(const RentMachines& rent) {
  const std::string name = rent.name;
  const uint64_t leader = leader_->revision();
  After(rent_s, [this, name, rent, leader] {
    auto& hosts = rented_[name];
    if (hosts.empty()) {
      int room = rent.rental.count;
      const auto limit = capacity.find(rent.rental.type);
      if (limit != capacity.end()) {
        room = std::min(room, limit->second);
        limit->second -= room;
      }
      for (int i = 0; i < room; ++i) {
        const std::string host = "n-" + std::to_string(next_host_++);
        AddWorker(host, rent.rental.type, rent.rental.zone, rent.rental.spot);
        SimWorker& w = workers_[host];
        w.up_at = never_boot ? 1e12 : now_ + types.at(w.type).boot_s;
        w.lease_from = w.up_at;
        w.next_report = w.up_at;
        hosts.push_back(host);
      }
    }
    if (!leader_ || leader_->revision() != leader) return;
    leader_->OnRentAnswer(
        name, hosts.empty() ? RentOutcome::kNoCapacity : RentOutcome::kGranted,
        hosts, now_);
    Perform();
  });
}

void Sim::Perform() {
  while (leader_) {
    const std::vector<Action> actions = leader_->TakeActions();
    if (actions.empty()) return;
    TrailActions(now_, actions);
    const uint64_t leader = leader_->revision();
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendOrders>(&action)) {
        Do(*send);
      } else if (const auto* probe = std::get_if<Probe>(&action);
                 probe != nullptr && faults) {
        const std::optional<double> there = faults->Travel();
        const std::optional<double> back = faults->Travel();
        if (!there || !back || !LeaderNode().Sends(probe->host)) continue;
        After(*there, [this, leader, host = probe->host, back] {
          OnWorker(host, [this, leader, back](SimWorker& w) {
            if (w.orders_cut) return;
            After(*back, [this, leader, report = ReportOf(w)] {
              OnLeader(leader, [this, report] {
                leader_->OnProbeAnswer(report, now_);
              });
            });
          });
        });
      } else if (probe != nullptr) {
        After(kLatency, [this, leader, host = probe->host] {
          const auto it = workers_.find(host);
          if (it == workers_.end() || it->second.dead ||
              it->second.Hangs(now_) || now_ < it->second.up_at ||
              it->second.orders_cut || !leader_ || !LeaderNode().Sends(host) ||
              leader_->revision() != leader) {
            return;
          }
          leader_->OnProbeAnswer(ReportOf(it->second), now_);
          Perform();
        });
      } else if (const auto* txn = std::get_if<WriteTransaction>(&action)) {
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
          Perform();
        });
      } else if (const auto* check = std::get_if<CheckInstance>(&action)) {
        Check(*check);
      } else if (const auto* rent = std::get_if<RentMachines>(&action)) {
        Rent(*rent);
      } else if (const auto* gone = std::get_if<DeleteMachines>(&action)) {
        After(0.2, [this, leader, hosts = gone->hosts] {
          for (const std::string& host : hosts) {
            const auto it = workers_.find(host);
            // Asked once a report, and twice the probes' time for the answer.
            if (it != workers_.end() && !it->second.notice &&
                CountOn(host) > 0 &&
                now_ - it->second.reachable_from >
                    2.5 * settings.workers.report_s) {
              ++lost_alive_;
            }
            deletions_ += static_cast<int>(workers_.erase(host));
          }
          if (!leader_ || leader_->revision() != leader) return;
          leader_->OnDeleteAnswer(hosts, true, now_);
          Perform();
        });
      } else if (const auto* note = std::get_if<Note>(&action);
                 note != nullptr && std::getenv("OXBOW_SIM_LOG") != nullptr) {
        std::fprintf(stderr, "%.2f %s\n", now_, note->text.c_str());
      } else if (const auto* ask = std::get_if<AskReach>(&action)) {
        AnswerReach(*ask);
      } else if (const auto* back = std::get_if<AskStandBack>(&action)) {
        for (const std::string& name : back->peers) {
          SimController& c = controllers_[name];
          if (c.gone || c.refused || !c.lease ||
              !c.lease->AskedToStandBack(now_)) {
            continue;
          }
          After(kLatency, [this, leader, name, sent = now_,
                           ago = c.lease->RenewedAgo(now_)] {
            OnLeader(leader, [this, name, ago, sent] {
              leader_->OnStoodBack(name, "life", now_, ago, sent, now_);
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
      } else if (const auto* offer = std::get_if<OfferLead>(&action)) {
        AnswerOffer(*offer);
      } else if (const auto* job = std::get_if<AskJob>(&action)) {
        // The shell reads the live record, then how it ended.
        After(kLatency, [this, leader, id = job->id] {
          const auto end = store_.find(keys::Of(keys::kTerminal, id));
          if (!leader_ || leader_->revision() != leader || state_down ||
              end == store_.end()) {
            return;
          }
          catalog_.RememberEnd(id, std::get<TerminalRecord>(end->second.first));
        });
      } else if (const auto* ask = std::get_if<ReadEnd>(&action)) {
        After(kLatency, [this, leader, id = ask->id] {
          if (!leader_ || leader_->revision() != leader) return;
          for (const std::string_view prefix :
               {keys::kWaiting, keys::kJob, keys::kTerminal}) {
            const auto it = store_.find(keys::Of(prefix, id));
            if (state_down || it == store_.end()) continue;
            if (const auto* end =
                    std::get_if<TerminalRecord>(&it->second.first)) {
              catalog_.RememberEnd(id, *end);
            } else {
              catalog_.Put(it->first, it->second.first, it->second.second);
            }
            break;
          }
          leader_->OnEndRead(id, now_);
          Perform();
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

bool Sim::Reaches(const SimController& c, const SimWorker& w) const {
  return !w.dead && !w.Hangs(now_) && !w.orders_cut && now_ >= w.up_at &&
         c.Sends(w.host);
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
  std::erase_if(handed_over_,
                [&](Time t) { return t <= now_ - settings.workers.lease_s; });
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
  const bool unfit =
      another && now_ >= stalled_until_ && !state_down && self.in_cut &&
      self.out_cut &&
      handed_over_.size() < static_cast<size_t>(tuning.most_hand_overs);
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
            leader_->OnProbeAnswer(ReportOf(it->second), now_);
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

void Sim::AnswerOffer(const OfferLead& offer) {
  After(kLatency, [this, revision = leader_->revision(), offer] {
    OnLeader(revision, [this, offer] {
      SimController& to = controllers_[offer.to];
      if (to.gone || to.refused || to.no_state || state_down ||
          handed_over_.size() >= static_cast<size_t>(tuning.most_hand_overs)) {
        leader_->OnOfferRefused(offer.to + " does not take over", now_);
        return;
      }
      handed_over_.push_back(now_);
      leader_->OnOfferAgreed();
      leader_.reset();
      ++hand_overs_;
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
            : tuning.leader_lease_ratio * settings.workers.lease_s / 2 + 0.1;
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
  for (const auto& [host, w] : workers_) {
    if (w.zone != zone || !w.Sound(now_) || !spec.AllowsType(w.type) ||
        !spec.AllowsZone(w.zone) || (w.spot && !spec.spot)) {
      continue;
    }
    Resources used = spec.need;
    for (const auto& [name, t] : w.tasks) {
      if (t.phase != TaskPhase::kExited) used += jobs_.at(t.job).spec.need;
    }
    for (; tasks < spec.tasks && used.FitsIn(types.at(w.type).total);
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
  for (const auto& [host, w] : workers_) {
    for (const auto& [name, t] : w.tasks) {
      if (w.dead || t.job != spec.id || t.phase == TaskPhase::kExited) continue;
      zones.insert(w.zone);
      ++there;
    }
  }
  const auto done = completed_.find(spec.id);
  if (done != completed_.end()) {
    there += static_cast<uint32_t>(done->second.size());
  }
  if (there >= spec.tasks || (gang && there > 0)) return false;
  const uint32_t wanted = gang ? spec.tasks : 1;
  for (const TeamSettings& team : settings.teams) {
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
  for (const auto& [host, w] : workers_) all.insert(w.zone);
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
  for (const auto& [host, w] : workers_) {
    for (const auto& [name, t] : w.tasks) {
      if (w.dead || t.phase == TaskPhase::kExited) continue;
      const JobSpec& spec = jobs_.at(t.job).spec;
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
    for (const auto& [key, r] : m->residents) {
      const std::string name = Name(key.job_id, key.task, key.attempt);
      // A start that is under way may not be there yet.
      if (r.holds && r.order == StartOrder::kSettled &&
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
  for (const std::string& need : spec.waits_on) {
    if (completed_[need].size() != jobs_.at(need).spec.tasks ||
        RecordedAs(need) != "done") {
      Break("too_early: " + spec.id + " before " + need);
    }
  }
}

// Whom its user was told to be cancelled takes all along that need it.
void Sim::CheckOrphans() {
  for (const auto& [id, job] : jobs_) {
    if (job.spec.waits_on.empty()) continue;
    for (const std::string& need : job.spec.waits_on) {
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
    const bool over = job.told_before &&
                      now_ > *job.told_before + settings.workers.cancel_s &&
                      now_ > job.submitted + settings.workers.cancel_s;
    if (over && RecordedAs(id) != "aborted") Break("orphaned: " + id);
  }
}

void Sim::CheckRules() {
  CheckOrphans();
  std::map<std::string, Resources> teams;
  for (const auto& [host, w] : workers_) {
    if (w.dead) continue;
    for (const auto& [name, t] : w.tasks) {
      if (t.phase == TaskPhase::kExited) continue;
      const StoredJob& job = jobs_.at(t.job);
      if (Present(t)) teams[job.spec.team] += job.spec.need;
      if (job.told && now_ > *job.told + settings.workers.cancel_s) {
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
  for (const TeamSettings& team : settings.teams) {
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
    for (const auto& [key, r] : m->residents) {
      if (r.job == nullptr) continue;
      Presence& here = jobs[r.job][m->index()];
      ++here.listed;
      if (r.phase == TaskPhase::kExited) continue;
      ++here.holding;
      const Resources& need = r.job->spec().need;
      used += need;
      by_tier.at(r.job->tier) += need;
      used_by[static_cast<size_t>(r.job->spec().priority)] += need;
      if (r.stopping) leaving += need;
      const JobKind kind = r.job->spec().kind;
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
    for (const auto& [name, t] : it->second.tasks) {
      if (t.phase == TaskPhase::kExited ||
          m->residents.contains({t.job, t.task, t.attempt})) {
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
        std::any_of(m->residents.begin(), m->residents.end(),
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
  for (const auto& [host, w] : workers_) {
    for (const auto& [name, t] : w.tasks) {
      n += !w.dead && t.job == job && t.phase == TaskPhase::kRunning;
    }
  }
  return n;
}

int Sim::CountPresent(const std::string& job) const {
  int n = 0;
  for (const auto& [host, w] : workers_) {
    for (const auto& [name, t] : w.tasks) {
      n += !w.dead && t.job == job && t.phase != TaskPhase::kExited;
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
  const JobSight sight = leader_ ? leader_->View(id, &view) : JobSight::kUnseen;
  if (sight == JobSight::kUnseen) return "unknown";
  if (sight == JobSight::kInDoubt) return "in-doubt";
  TrailTasks(now_, id, view);
  return std::string(view.status);
}

// Whoever reads the state service tells an end as soon as it stands there; from
// then on the leader must not tell anything older by its own picture.
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
