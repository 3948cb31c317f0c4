// The dialogue with the workers: what is on each machine, and when it is
// certain that something is not.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"

namespace oxbow {
namespace {

TaskState StateOf(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kFetching:
      return TaskState::kFetching;
    case TaskPhase::kWaiting:
      return TaskState::kWaiting;
    case TaskPhase::kRunning:
      return TaskState::kRunning;
    case TaskPhase::kSaving:
      return TaskState::kSaving;
    case TaskPhase::kExited:
      return TaskState::kPending;
  }
  return TaskState::kPending;
}

// A machine that is not trusted gets nothing for so many worker leases.
constexpr double kDistrustLeases = 3;

constexpr size_t kMostOrders = 300;  // in a message; about 24 KiB

bool SameAttempt(const Order& o, const Resident& r) {
  return o.task == r.task && o.attempt == r.attempt && o.job_id == r.job_id;
}

}  // namespace

Machine* Controller::FindMachine(const std::string& host) {
  const auto it = machine_index_.find(host);
  return it == machine_index_.end() ? nullptr : machines_[it->second].get();
}

Machine& Controller::AddMachine(const std::string& host,
                                const MachineRecord& record) {
  const auto index = static_cast<int32_t>(machines_.size());
  machines_.push_back(
      std::make_unique<Machine>(host, record, index, FirstToken(term_)));
  Machine& m = *machines_.back();
  machine_index_[host] = index;
  const auto type = types_.find(record.type);
  if (type != types_.end()) m.type = &type->second;
  return m;
}

Machine& Controller::MachineOf(const WorkerReport& report, Time now) {
  Machine* m = FindMachine(report.host);
  if (m == nullptr) {
    m = &AddMachine(report.host, {report.type, report.zone, report.spot, "",
                                  now + wall_minus_steady_, 0});
    m->rented = now;
    // While the state service's memory is being written back, a machine that
    // lives may be in no record.
    m->stranger = catalog_.epoch().rebuilt;
  }
  if (m->state() == MachineState::kBooting) {
    m->Change(MachineState::kUp);
    m->idle_since = now;
    Log("machine " + report.host + " is up: " + report.type + " in " +
        report.zone + (report.spot ? " (spot)" : ""));
  }
  if (m->endpoint != report.endpoint) m->endpoint = report.endpoint;
  // No task goes there before the record stands: a new leader must know every
  // machine that can hold one.
  // A copy of what a deleted machine said must write none: old jobs would wait
  // for it. A stranger shows our token first.
  if (m->stranger && report.token >= m->token) m->stranger = false;
  if (!m->recorded_up && m->state() == MachineState::kUp && !m->stranger) {
    writes_.Queue(
        {WriteKind::kMachineUp, report.host, TerminalState::kNone, {}});
    writes_.Flush(now);
  }
  return *m;
}

// Whether a message tells something that is not known. If not, it is a copy,
// was held back, was overtaken, or is of the past of a session.
bool Controller::IsNews(const Machine& m, const WorkerReport& report,
                        Time now) const {
  if (!m.session.MayBeNews(report.session)) return false;
  if (report.session != m.session.number()) return true;
  return report.seq > m.seq &&
         !m.delivery.MustBeOld(report.token, settings_.workers.lease_s,
                               zones_.MayBeRenewed(m.zone, now), now);
}

// Whether the worker may be waiting for the answer to this report. One that
// was overtaken by the answer to an order or a probe was sent before that was
// made, and is waited for no longer than 4 s. Each answer to a report moves on
// the time until which the machine's tasks may live: for a dead machine, copies
// of its reports do so for 4 s after the last news of it and not for ever.
bool Controller::MayBeWaitedFor(const Machine& m, const WorkerReport& report,
                                Time now) const {
  if (IsNews(m, report, now)) return true;
  return report.session == m.session.number() && m.session.alive() &&
         report.seq <= m.seq &&
         now - m.last_heard <= kReportTimeout_s * (1 + kDrift);
}

ReportReply Controller::OnReport(const WorkerReport& report, Time now) {
  ReportReply reply;
  if (gone_hosts_.contains(report.host)) {
    // A late message from a deleted machine.
    reply.refused = true;
    return reply;
  }
  const Machine* known = FindMachine(report.host);
  if (known != nullptr && !MayBeWaitedFor(*known, report, now)) {
    reply.refused = true;
    return reply;
  }
  Machine& m = MachineOf(report, now);
  if (LetsLapse(m, report.token, now)) {
    Absorb(m, report, /*by_report=*/false, now);
    Settle(now);
    reply.withheld = true;
    return reply;
  }
  // Even one that is no news: its worker takes the answer as a renewal.
  m.session.Change(SessionEvent::kAnswered, 0, now);
  if (m.first_answer < started_) m.first_answer = now;
  m.last_answer = now;
  const bool news = IsNews(m, report, now);
  answering_ = &m;
  Absorb(m, report, /*by_report=*/true, now);
  answering_ = nullptr;
  DropLateStarts(m, now);
  if (news) m.last_report = now;
  if (m.delivery.WantsQuestion(now)) {
    RaiseToken(m);
    m.delivery.Asked(m.token);
  }
  if ((now < m.direct_broken_until || HasCalendarStart(m)) && !m.batch &&
      m.confirmed() && !m.queue.empty()) {
    Batch batch{next_batch_++, {}, /*in_response=*/true};
    batch.orders.assign(m.queue.begin(), m.queue.end());
    m.queue.clear();
    for (auto& [key, r] : m.residents) {
      if (r.order == StartOrder::kQueued) r.order = StartOrder::kSent;
    }
    reply.orders = batch.orders;
    m.batch = std::move(batch);
  }
  AddKills(m, &reply);
  reply.token = m.token;
  if (news) {
    m.delivery.Answered(report.seq, m.token, report.token,
                        settings_.workers.lease_s,
                        zones_.MayBeRenewed(m.zone, now), now);
  }
  Settle(now);
  return reply;
}

// Whether the machine has heard nothing of this leader for so long that its
// lease has ended: in a whole one no answer has had an effect, and neither has
// an order. No more are given until the last has surely ended as well: then
// what former leaders have started there and sent there is over, whatever it
// shows. As long as it was answered, a machine that reports and hears nothing
// kept every old job, and every job of a capped team, waiting without an end.
bool Controller::LetsLapse(const Machine& m, uint64_t shown, Time now) const {
  return m.recorded_up && !m.reported && m.first_answer >= started_ &&
         (std::max(m.seen_token, shown) >> kTokenBits) < term_ &&
         now > TasksMayLiveUntil(m.first_answer, settings_.workers.lease_s) +
                   kReportTimeout_s;
}

bool Controller::Lapsed(const Machine& m, Time now) const {
  return LetsLapse(m, m.seen_token, now) && !zones_.MayBeRenewed(m.zone, now) &&
         now > TasksMayLiveUntil(m.last_answer, settings_.workers.lease_s);
}

// An answer renews the lease, and may be the only one for long that gets
// through. So each has the orders to end what must not be there any more;
// repeating one does no harm, and they count for nothing else.
void Controller::AddKills(const Machine& m, ReportReply* reply) const {
  for (const auto& [key, r] : m.residents) {
    if (reply->orders.size() >= kMostOrders) return;
    if (r.job == nullptr || r.phase == TaskPhase::kExited ||
        r.order == StartOrder::kQueued || !r.job->ended_by_record()) {
      continue;
    }
    reply->orders.push_back({OrderKind::kStop, r.job_id, r.task, r.attempt, 0});
  }
}

void Controller::OnProbeAnswer(const WorkerReport& report, Time now) {
  if (gone_hosts_.contains(report.host)) return;
  Machine& m = MachineOf(report, now);
  Absorb(m, report, /*by_report=*/false, now);
  Pump(m, now);
  Settle(now);
}

void Controller::Absorb(Machine& m, const WorkerReport& report, bool by_report,
                        Time now) {
  if (!IsNews(m, report, now)) return;
  if (report.token > m.token && (report.token >> kTokenBits) > term_) {
    if (!resigned_) {
      actions_.push_back(Resign{m.host() + " has seen a newer leader's token"});
    }
    resigned_ = true;
    return;
  }
  const DeliveryState before = m.delivery.state();
  const bool met = m.session.number() > 0;
  if (m.session.Change(SessionEvent::kShown, report.session, now)) {
    if (met) m.delivery.SessionEnded(settings_.workers, now);
    LoseAll(m, "its lease expired, new session");
  }
  if (by_report) {
    m.delivery.Reported(report.seq, report.token, now - m.last_report,
                        LacksOrders(m, report), settings_.workers, now);
  }
  m.delivery.Shown(report.token, m.token, settings_.workers, now);
  SayDelivery(m, before);
  m.seq = report.seq;
  m.seen_token = std::max(m.seen_token, report.token);
  m.last_heard = now;
  if (m.batch && ((m.batch_lost && report.token >= m.token) ||
                  (m.batch->in_response && by_report))) {
    SettleBatch(m);
  }
  if (m.confirmed() && !m.reported) {
    m.reported = true;
    dirty_ = true;
  }
  for (const TaskReport& task : report.tasks) {
    const auto it = m.residents.find({task.job_id, task.task, task.attempt});
    if (it == m.residents.end()) {
      Adopt(m, task, now);
    } else {
      it->second.last_seq = report.seq;
      UpdateResident(m, it->second, task, now);
    }
  }
  std::vector<ResidentKey> gone;
  for (const auto& [key, r] : m.residents) {
    // Not listed, and nothing sent can still bring it: it is not there.
    if (r.last_seq != report.seq && r.order == StartOrder::kSettled) {
      gone.push_back(key);
    }
  }
  for (const ResidentKey& key : gone) Gone(m, key);
  if (report.notice_s) {
    const Time until = now + *report.notice_s;
    if (!m.notice_until) {
      m.notice_until = until;
      Drain(m, now, "spot notice");
    }
    m.notice_until = std::min(*m.notice_until, until);
  }
  if (m.residents.empty()) {
    if (m.idle_since <= 0) m.idle_since = now;
  } else {
    m.idle_since = 0;
  }
  Pump(m, now);
}

// Whether a report lacks what orders in the answer before it must have brought.
bool Controller::LacksOrders(const Machine& m,
                             const WorkerReport& report) const {
  if (!m.batch || !m.batch->in_response) return false;
  return std::any_of(
      m.batch->orders.begin(), m.batch->orders.end(), [&](const Order& o) {
        return o.kind == OrderKind::kStart &&
               std::none_of(report.tasks.begin(), report.tasks.end(),
                            [&](const TaskReport& t) {
                              return t.task == o.task &&
                                     t.attempt == o.attempt &&
                                     t.job_id == o.job_id;
                            });
      });
}

void Controller::SayDelivery(const Machine& m, DeliveryState before) {
  const DeliveryState after = m.delivery.state();
  if (after == before) return;
  dirty_ = true;
  if (after == DeliveryState::kDeaf) {
    Log("machine " + m.host() + " reports, but answers have no effect there");
  } else if (before == DeliveryState::kDeaf) {
    Log("machine " + m.host() + " hears again");
  }
}

bool Controller::IsCurrent(const Machine& m, const Resident& r) const {
  if (r.job == nullptr) return false;
  const TaskSlot& slot = r.job->task(r.task);
  return slot.machine == m.index() && slot.attempt == r.attempt;
}

void Controller::Adopt(Machine& m, const TaskReport& task, Time now) {
  Resident r;
  r.job_id = task.job_id;
  r.task = task.task;
  r.attempt = task.attempt;
  r.last_seq = m.seq;
  r.phase = TaskPhase::kFetching;
  r.started = now;
  const auto it = jobs_.find(task.job_id);
  if (it != jobs_.end() && task.task < it->second->size()) {
    r.job = it->second.get();
    Job& job = *r.job;
    if (task.phase != TaskPhase::kExited) {
      m.QueueImage(job.spec().image, job.spec().image_gb, now);
    }
    Claim(job, m, r, task.phase != TaskPhase::kExited);
  }
  const bool there = task.phase != TaskPhase::kExited;
  UpdateResident(m, Put(m, std::move(r), there), task, now);
}

void Controller::Claim(Job& job, Machine& m, Resident& r, bool there) {
  const TaskSlot& slot = job.task(r.task);
  // Of two attempts that are shown the later one counts, also one that has
  // exited. The other may be what an old copy says of a machine that has shown
  // nothing of this leader: heard first by a new one, it had the living task
  // killed as a second copy, or hid that the task is done.
  const bool by_hearsay =
      slot.state != TaskState::kPending && slot.state != TaskState::kDone &&
      slot.machine >= 0 && slot.attempt < r.attempt &&
      !machines_[static_cast<size_t>(slot.machine)]->reported;
  if (by_hearsay) job.ChangeTask(r.task, TaskState::kPending);
  if (job.task(r.task).state != TaskState::kPending) return;
  job.Place(r.task, m.index(), r.attempt);
  if (there) job.ChangeTask(r.task, TaskState::kStarting);
}

Resident& Controller::Put(Machine& m, Resident r, bool there) {
  if (r.job != nullptr) r.job->ChangePresence(m.index(), 0, 1);
  if (IsOrphan(r)) ++m.orphans;
  Resident& added = m.residents.emplace(KeyOf(r), std::move(r)).first->second;
  if (added.job != nullptr && there) Hold(m, added);
  return added;
}

void Controller::UpdateResident(Machine& m, Resident& r, const TaskReport& task,
                                Time now) {
  r.order = StartOrder::kSettled;
  const bool has_image =
      task.phase != TaskPhase::kFetching &&
      !(task.phase == TaskPhase::kExited && task.reason != ExitReason::kDone);
  if (r.job != nullptr && has_image && r.phase == TaskPhase::kFetching) {
    m.ImageCached(r.job->spec().image, r.job->spec().image_gb, now);
  }
  if (task.phase == TaskPhase::kExited) {
    if (r.phase != TaskPhase::kExited) OnExit(m, r, task, now);
    return;
  }
  if (task.phase == TaskPhase::kRunning && r.phase != TaskPhase::kRunning) {
    r.running_since = now;
    LogDetail([&] {
      return "task " + r.job_id + "/" + std::to_string(r.task) + " runs on " +
             m.host() + " after " + std::to_string(now - r.started) + " s";
    });
  }
  r.phase = task.phase;
  const bool wanted = IsCurrent(m, r) && r.job->live();
  if (IsCurrent(m, r)) {
    const TaskState state = StateOf(task.phase);
    const TaskState known = r.job->task(r.task).state;
    // A gang that lost a task is reported as running until it exits.
    if (known != state && !(known == TaskState::kSaving)) {
      if (state > known) r.job->ChangeTask(r.task, state);
    }
  }
  // Of a job that is cancelled, over or unknown, or a second copy.
  const bool recording = r.job != nullptr && IsCurrent(m, r) &&
                         (r.job->state() == JobState::kRecordingAbort ||
                          r.job->state() == JobState::kRecordingDone);
  if (r.job == nullptr && !MayDropUnknown(r, now)) return;
  if (!wanted && !recording && !r.stopping) QueueStop(m, r, 0, now);
}

// What a task holds of its machine and of its team's limit.
void Controller::Hold(Machine& m, Resident& r) {
  const JobSpec& spec = r.job->spec();
  r.need = spec.need;
  r.holds = true;
  m.used += r.need;
  m.used_by[static_cast<size_t>(spec.priority)] += r.need;
  if (spec.kind == JobKind::kService) m.staying += r.need;
  if (spec.kind != JobKind::kArray) m.lasting += r.need;
  if (r.stopping) m.leaving += r.need;
  if (r.job->team() >= 0) teams_[r.job->team()].used += r.need;
  tiers_.Hold(r.job->tier, r.need);
  r.job->ChangePresence(m.index(), 1, 0);
}

void Controller::Release(Machine& m, Resident& r) {
  if (!r.holds) return;
  const JobSpec& spec = r.job->spec();
  m.used -= r.need;
  m.used_by[static_cast<size_t>(spec.priority)] -= r.need;
  if (spec.kind == JobKind::kService) m.staying -= r.need;
  if (spec.kind != JobKind::kArray) m.lasting -= r.need;
  if (r.stopping) m.leaving -= r.need;
  if (r.job->team() >= 0) teams_[r.job->team()].used -= r.need;
  tiers_.Release(r.job->tier, r.need);
  r.job->ChangePresence(m.index(), -1, 0);
  r.need = {};
  r.holds = false;
  if (spec.priority == Priority::kProduction) urgent_dirty_ = true;
  if (r.phase == TaskPhase::kFetching) {
    // The fetch is given up when no task waits for it any more.
    const bool shared =
        std::any_of(m.residents.begin(), m.residents.end(), [&](const auto& e) {
          return &e.second != &r && e.second.job != nullptr &&
                 e.second.phase == TaskPhase::kFetching &&
                 e.second.job->spec().image == r.job->spec().image;
        });
    if (!shared) m.DropQueuedImage(r.job->spec().image);
  }
  dirty_ = true;
}

void Controller::SetStopping(Machine& m, Resident& r, bool stopping) {
  if (r.stopping == stopping) return;
  r.stopping = stopping;
  if (stopping && r.job != nullptr && !in_rollout_.empty()) {
    const auto it = in_rollout_.find(r.job_id);
    if (it != in_rollout_.end()) {
      rollouts_.at(it->second).NoteStopping(KeyOf(r));
    }
  }
  if (!r.holds) return;
  if (stopping) {
    m.leaving += r.need;
  } else {
    m.leaving -= r.need;
  }
}

void Controller::OnExit(Machine& m, Resident& r, const TaskReport& task,
                        Time now) {
  Release(m, r);
  if (IsOrphan(r)) --m.orphans;
  const bool was_running = r.phase == TaskPhase::kRunning;
  r.phase = TaskPhase::kExited;
  r.reason = task.reason;
  Job* job = r.job;
  if (job == nullptr || !IsCurrent(m, r) || !job->live()) {
    if (job != nullptr || MayDropUnknown(r, now)) QueueForget(m, r);
    if (job != nullptr) {
      // Its place may be the last that holds the job's record.
      if (IsCurrent(m, r) && task.reason != ExitReason::kDone &&
          job->task(r.task).state != TaskState::kDone) {
        job->ChangeTask(r.task, TaskState::kPending);
      }
      RetireIfClear(*job);
    }
    return;
  }
  const JobSpec& spec = job->spec();
  const bool service = spec.kind == JobKind::kService;
  if (task.reason == ExitReason::kDone && !service) {
    if (was_running) {
      ClassStats& stats = class_stats_[spec.job_class];
      const double run = now - r.running_since;
      ++stats.seen;
      stats.run_s += (run - stats.run_s) / std::min(stats.seen, 50);
    }
    job->errors = 0;
    if (job->task(r.task).state != TaskState::kDone) {
      job->ChangeTask(r.task, TaskState::kDone);
    }
    // Kept on the machine, uncleared, until the job's end is recorded: a new
    // leader learns from it that this task need not run again.
    if (job->finished()) FinishJob(*job, TerminalState::kDone);
    return;
  }
  if (job->task(r.task).state != TaskState::kPending) {
    job->ChangeTask(r.task, TaskState::kPending);
  }
  LogDetail([&] {
    return "task " + spec.id + "/" + std::to_string(r.task) + " left " +
           m.host() + ", reason " +
           std::to_string(static_cast<int>(task.reason));
  });
  switch (task.reason) {
    case ExitReason::kError: {
      ++job->errors;
      if (std::find(m.failed_jobs.begin(), m.failed_jobs.end(), spec.id) ==
          m.failed_jobs.end()) {
        m.failed_jobs.push_back(spec.id);
      }
      // One job's errors may be the job's own fault. Several jobs' are the
      // machine's, unless these jobs fail everywhere.
      constexpr size_t kJobsThatAccuse = 2;
      // Two jobs with a mistake each would have every machine distrusted that
      // they come to, and nothing could be placed any more.
      if (m.failed_jobs.size() >= kJobsThatAccuse) {
        m.failed_jobs.clear();
        TakeAway(m, LossCause::kDistrusted, now);
      }
      const double backoff = settings_.workers.report_s *
                             (1 << std::min<uint32_t>(job->errors, 6));
      // Many tasks of one array failing at once are one event.
      job->not_before =
          std::max(job->not_before,
                   now + std::min(backoff, 2 * kDistrustLeases *
                                               settings_.workers.lease_s));
      break;
    }
    case ExitReason::kNoRoom:
    case ExitReason::kUnknownTask:
    case ExitReason::kBusy:
      job->not_before =
          std::max(job->not_before, now + settings_.workers.report_s / 2);
      break;
    default:
      break;
  }
  if (spec.kind == JobKind::kGang && spec.tasks > 1 &&
      !HasLaterAttempt(*job, r.attempt)) {
    // The gang is broken; what is left of it goes too, and the next attempt
    // starts once every task of this one is surely gone.
    StopTasks(*job, 0, now);
  }
  QueueForget(m, r);
}

// A later attempt begins when the one before is surely over: the exit that a
// new leader hears is an old one, and breaks no gang that lives.
bool Controller::HasLaterAttempt(const Job& job, uint64_t attempt) const {
  const auto all = ResidentsOf(job);
  return std::any_of(all.begin(), all.end(), [attempt](const auto& e) {
    return e.second.attempt > attempt;
  });
}

void Controller::Gone(Machine& m, const ResidentKey& key) {
  const auto it = m.residents.find(key);
  if (it == m.residents.end()) return;
  Resident& r = it->second;
  Release(m, r);
  if (IsOrphan(r)) --m.orphans;
  Job* job = r.job;
  if (job != nullptr && IsCurrent(m, r)) {
    const TaskState state = job->task(r.task).state;
    if (state != TaskState::kDone && state != TaskState::kPending) {
      job->ChangeTask(r.task, TaskState::kPending);
    }
  }
  std::erase_if(m.queue, [&](const Order& o) { return SameAttempt(o, r); });
  m.residents.erase(it);
  if (job != nullptr) {
    job->ChangePresence(m.index(), 0, -1);
    RetireIfClear(*job);
  }
  dirty_ = true;
}

// Everything on the machine is surely gone, and nothing sent to it before can
// be executed any more: its session has changed, expired, or the machine is
// deleted.
void Controller::LoseAll(Machine& m, const char* why) {
  if (!m.residents.empty()) {
    Log("lost " + std::to_string(m.residents.size()) + " tasks on " + m.host() +
        ": " + why);
  }
  m.batch.reset();
  m.batch_lost = false;
  m.queue.clear();
  std::vector<ResidentKey> keys;
  for (const auto& [key, r] : m.residents) keys.push_back(key);
  for (const ResidentKey& key : keys) Gone(m, key);
  // Nothing is left of it but what rounding may have left.
  m.used = m.staying = m.lasting = m.leaving = {};
  m.used_by = {};
  dirty_ = true;
}

bool Controller::SessionOver(const Machine& m, Time now) {
  const double lease = settings_.workers.lease_s;
  // The others are asked a little before, so that nobody waits for them.
  const double early = 2 * StandBackFor(settings_.workers);
  if (now <= m.session.MayLiveUntil(lease) - early) return false;
  const std::vector<std::string> asked = zones_.ToAsk(m.zone, now);
  if (!asked.empty()) actions_.push_back(AskStandBack{asked});
  return now > m.session.MayLiveUntil(lease) &&
         !zones_.MayBeRenewed(m.zone, now);
}

bool Controller::ZoneSettled(const std::string& zone, Time now) const {
  for (const auto& m : machines_) {
    // What it holds is not known yet.
    if (m->zone == zone && m->recorded_up && !m->reported &&
        m->state() != MachineState::kGone) {
      return false;
    }
  }
  const double margin = CancellationMargin(settings_.workers) / 2;
  for (const auto& [id, job] : jobs_) {
    if (job->state() != JobState::kAborted || job->holding() == 0 ||
        now - job->ended < margin) {
      continue;
    }
    for (const auto& [index, presence] : job->presence()) {
      if (presence.holding > 0 &&
          machines_[static_cast<size_t>(index)]->zone == zone) {
        return false;
      }
    }
  }
  return true;
}

bool Controller::OnDelegationAsked(const std::string& peer,
                                   const std::string& life, double age,
                                   Time now) {
  for (const PeerSettings& p : settings_.peers) {
    if (p.name != peer) continue;
    if (!ZoneSettled(p.zone, now)) return false;
    zones_.Grant(peer, life, age, now);
    return true;
  }
  return false;
}

void Controller::Expire(Machine& m, Time now) {
  m.session.Change(SessionEvent::kRanOut, 0, now);
  LoseAll(m, "no report answered for a whole lease");
  m.reported = true;  // accounted for
  m.idle_since = now;
  dirty_ = true;
}

void Controller::QueueStop(Machine& m, Resident& r, double grace_s, Time now) {
  if (r.phase == TaskPhase::kExited) return;
  if (r.order == StartOrder::kQueued) {
    // Its start was never sent, so it is not there.
    Gone(m, KeyOf(r));
    return;
  }
  SetStopping(m, r, true);
  r.stop_grace = grace_s;
  r.stop_sent = now;
  m.queue.push_back({OrderKind::kStop, r.job_id, r.task, r.attempt, grace_s});
  Pump(m, now);
}

void Controller::QueueForget(Machine& m, Resident& r) {
  // A start of this attempt that is still under way would be executed anew
  // once the worker has forgotten it; the batch has to be settled first.
  if (r.forgetting || r.phase != TaskPhase::kExited) return;
  if (!m.confirmed() || m.batch_lost) return;  // asked again by TickMachine
  r.forgetting = true;
  m.queue.push_back({OrderKind::kForget, r.job_id, r.task, r.attempt, 0});
}

std::vector<std::pair<Machine*, ResidentKey>> Controller::ResidentsOf(
    const Job& job) const {
  std::vector<std::pair<Machine*, ResidentKey>> out;
  for (const auto& [index, presence] : job.presence()) {
    Machine* m = machines_[static_cast<size_t>(index)].get();
    for (auto it = m->residents.lower_bound({job.id(), 0, 0});
         it != m->residents.end() && it->first.job_id == job.id(); ++it) {
      out.emplace_back(m, it->first);
    }
  }
  return out;
}

// Stops every task of the job that is not being stopped already.
void Controller::StopTasks(Job& job, double grace_s, Time now) {
  for (const auto& [m, key] : ResidentsOf(job)) {
    const auto it = m->residents.find(key);
    if (it != m->residents.end() && !it->second.stopping) {
      QueueStop(*m, it->second, grace_s, now);
    }
  }
}

// The job's end is recorded: its tasks go, its exits are forgotten.
void Controller::StopJob(Job& job, Time now) {
  for (const auto& [m, key] : ResidentsOf(job)) {
    const auto it = m->residents.find(key);
    if (it == m->residents.end()) continue;
    Resident& r = it->second;
    if (r.phase == TaskPhase::kExited) {
      QueueForget(*m, r);
    } else if (!r.stopping || r.stop_grace > 0) {
      QueueStop(*m, r, 0, now);
    }
  }
  for (const auto& [index, presence] : job.presence()) {
    Pump(*machines_[static_cast<size_t>(index)], now);
  }
}

void Controller::SettleBatch(Machine& m) {
  for (const Order& o : m.batch->orders) {
    if (o.kind != OrderKind::kStart) continue;
    const auto it = m.residents.find({o.job_id, o.task, o.attempt});
    if (it != m.residents.end()) it->second.order = StartOrder::kSettled;
  }
  m.batch.reset();
  m.batch_lost = false;
}

void Controller::RaiseToken(Machine& m) {
  const uint64_t next = NextNumber();
  if (next > m.token) m.token = next;
}

// Sends what is queued, one batch at a time. An empty batch under a token the
// worker has not shown yet settles what an earlier leader may have sent.
void Controller::Pump(Machine& m, Time now) {
  if (m.batch || m.endpoint.empty() || !m.session.alive() || resigned_ ||
      now < m.direct_broken_until || m.state() == MachineState::kGone ||
      m.state() == MachineState::kBooting) {
    return;
  }
  // While a question is open its token must not go this way.
  if (m.queue.empty() && (m.confirmed() || m.delivery.asks())) return;
  // Its report's answer takes everything: what went by itself now would be
  // under way, and no start could go with the answer.
  const bool in_answer = HasCalendarStart(m);
  if (in_answer && answering_ == &m) return;
  if (in_answer && m.confirmed() &&
      std::all_of(m.queue.begin(), m.queue.end(),
                  [&](const Order& o) { return GoesInAnswer(o); })) {
    return;
  }
  std::deque<Order> stay;
  Batch batch{next_batch_++, {}, false};
  while (!m.queue.empty() && batch.orders.size() < kMostOrders) {
    Order order = std::move(m.queue.front());
    m.queue.pop_front();
    if (in_answer && GoesInAnswer(order)) {
      stay.push_back(std::move(order));
      continue;
    }
    if (order.kind == OrderKind::kStart) {
      const auto it =
          m.residents.find({order.job_id, order.task, order.attempt});
      if (it == m.residents.end()) continue;
      it->second.order = StartOrder::kSent;
    }
    batch.orders.push_back(std::move(order));
  }
  m.delivery.OrdersSent(m.token);
  m.queue.insert(m.queue.begin(), std::make_move_iterator(stay.begin()),
                 std::make_move_iterator(stay.end()));
  actions_.push_back(SendOrders{m.host(), m.endpoint, batch.id, m.token,
                                m.session.number(), batch.orders});
  m.batch = std::move(batch);
}

// A worker whose reports get through while nothing reaches its address must
// hear its orders in the responses. After an unanswered order it takes two
// reports until its token is confirmed; a pause of one, each time, had put
// every second try on the broken way again, and a cancelled task outlived the
// time it is given.
void Controller::DirectFailed(Machine& m, Time now) {
  constexpr uint32_t kMostDoublings = 4;
  const uint32_t doublings = std::min(m.direct_failures++, kMostDoublings);
  const double reports = doublings == 0 ? 1 : 1.5 * (1 << doublings);
  m.direct_broken_until = now + std::min(reports * settings_.workers.report_s,
                                         settings_.workers.lease_s);
}

void Controller::OnOrderAnswer(const std::string& host, uint64_t batch,
                               OrderOutcome outcome, const WorkerReport* report,
                               Time now) {
  Machine* m = FindMachine(host);
  if (m == nullptr) return;
  if (m->batch && m->batch->id == batch && !m->batch_lost) {
    switch (outcome) {
      case OrderOutcome::kExecuted:
      case OrderOutcome::kRefused: {
        // Forgotten exits go before the report is read: it no longer has them.
        const std::vector<Order> orders = m->batch->orders;
        m->direct_failures = 0;
        SettleBatch(*m);
        if (outcome == OrderOutcome::kRefused) {
          for (const Order& o : orders) {
            if (o.kind == OrderKind::kStart) continue;
            const auto it = m->residents.find({o.job_id, o.task, o.attempt});
            if (it == m->residents.end()) continue;
            SetStopping(*m, it->second, false);
            it->second.forgetting = false;
          }
        }
        break;
      }
      case OrderOutcome::kNotSent: {
        // Certainly not executed. Starts go elsewhere; the rest is kept.
        std::vector<Order> orders = std::move(m->batch->orders);
        m->batch.reset();
        DirectFailed(*m, now);
        for (auto it = orders.rbegin(); it != orders.rend(); ++it) {
          if (it->kind == OrderKind::kStart) {
            Gone(*m, {it->job_id, it->task, it->attempt});
          } else {
            m->queue.push_front(std::move(*it));
          }
        }
        break;
      }
      case OrderOutcome::kUnknown:
        // It may be executed minutes from now, unless the worker has by then
        // seen a higher token.
        m->batch_lost = true;
        DirectFailed(*m, now);
        for (const Order& o : m->batch->orders) {
          const auto it = m->residents.find({o.job_id, o.task, o.attempt});
          if (it == m->residents.end() || o.kind == OrderKind::kStart) continue;
          SetStopping(*m, it->second, false);
          it->second.forgetting = false;
        }
        RaiseToken(*m);
        Log("orders to " + host + " unanswered, token raised");
        break;
    }
  }
  if (report != nullptr) Absorb(*m, *report, /*by_report=*/false, now);
  Pump(*m, now);
  Settle(now);
}

bool Controller::Suspect(const Machine& m, Time now) const {
  return now - m.last_heard > timeouts_.suspect;
}

bool Controller::Usable(const Machine& m, Time now) const {
  return m.state() == MachineState::kUp && m.type != nullptr && m.recorded_up &&
         m.reported && m.confirmed() && !m.batch_lost && m.session.alive() &&
         m.orphans == 0 && now >= m.distrusted_until &&
         m.delivery.MayTakeWork() && now >= m.direct_broken_until &&
         !Suspect(m, now);
}

void Controller::Drain(Machine& m, Time now, const char* why) {
  if (m.state() != MachineState::kUp) return;
  m.Change(MachineState::kDraining);
  Log("machine " + m.host() + " draining: " + why);
  StopLeaving(m, now);
}

void Controller::StopLeaving(Machine& m, Time now) {
  std::vector<ResidentKey> all;
  for (const auto& [key, r] : m.residents) all.push_back(key);
  for (const ResidentKey& key : all) {
    const auto it = m.residents.find(key);
    if (it == m.residents.end()) continue;
    Resident& r = it->second;
    if (r.job == nullptr || r.phase == TaskPhase::kExited || r.stopping) {
      continue;
    }
    const JobSpec& spec = r.job->spec();
    const double left = m.notice_until ? *m.notice_until - now : 0;
    if (spec.kind == JobKind::kArray && spec.checkpoint_s <= 0) continue;
    if (!FloorAllows(key, *r.job, now)) continue;  // asked again
    // Services move at once, work that can save does so while there is time.
    // What can't save is left: it may yet end before the machine goes.
    if (spec.kind == JobKind::kService || spec.checkpoint_s > 0) {
      const double grace = spec.checkpoint_s > 0 && spec.save_s < left
                               ? std::max(spec.save_s, left)
                               : 0;
      if (spec.kind == JobKind::kGang && spec.tasks > 1) {
        // An orderly stop needs every task of the gang told in time.
        StopTasks(*r.job, grace, now);
      } else {
        QueueStop(m, r, grace, now);
      }
    }
  }
}

bool Controller::TakeAway(Machine& m, LossCause cause, Time now) {
  if (!liveness_.LossAllowed(m, cause, now)) return false;
  static constexpr std::array<const char*, kLossCauses> kWhy = {
      "silent",
      "neither listed nor heard",
      "did not come up in time",
      "idle",
      "its replicas have room elsewhere",
      "several jobs failed there"};
  const char* why = kWhy[static_cast<size_t>(cause)];
  if (cause == LossCause::kMoved) {
    Drain(m, now, why);
    return true;
  }
  if (cause == LossCause::kDistrusted) {
    m.distrusted_until = now + kDistrustLeases * settings_.workers.lease_s;
    Log("machine " + m.host() + " distrusted: " + why);
    return true;
  }
  m.given_up = cause == LossCause::kSilent || cause == LossCause::kUnlisted;
  AskDelete(m, now, why);
  return true;
}

void Controller::AskDelete(Machine& m, Time now, const char* why) {
  if (m.state() == MachineState::kGone) return;
  if (m.state() != MachineState::kDeleting) {
    Log("delete " + m.host() + ": " + why);
    m.Change(MachineState::kDeleting);
  }
  m.delete_sent = now;
  actions_.push_back(DeleteMachines{{m.host()}});
}

void Controller::TickMachine(Machine& m, Time now, bool by_lease) {
  if (m.state() == MachineState::kGone) return;
  const double lease = settings_.workers.lease_s;
  const bool may_hold =
      !m.residents.empty() || m.batch || (m.recorded_up && !m.reported);
  if (by_lease && may_hold && m.session.state() != SessionState::kOver) {
    sessions_unsettled_ =
        sessions_unsettled_ ||
        now - std::max(m.last_heard, started_) > timeouts_.suspect;
    if (SessionOver(m, now)) {
      Expire(m, now);
    } else if (Lapsed(m, now)) {
      Log("machine " + m.host() + " hears nothing, what it held is over");
      LoseAll(m, "no answer to it for a whole lease");
      m.reported = true;
    }
  }
  if (m.state() == MachineState::kDeleting) {
    if (now - m.delete_sent > lease / 2) AskDelete(m, now, "again");
    return;
  }
  if (m.state() == MachineState::kBooting) {
    const double boot = m.type ? m.type->boot_s : 3 * lease;
    if (now - m.rented > tuning_.boot_timeout_ratio * boot) {
      TakeAway(m, LossCause::kNeverUp, now);
    }
    return;
  }
  if (m.state() == MachineState::kDraining) {
    const bool busy = std::any_of(
        m.residents.begin(), m.residents.end(),
        [](const auto& e) { return e.second.phase != TaskPhase::kExited; });
    if (!busy || (m.notice_until && now > *m.notice_until && Suspect(m, now))) {
      AskDelete(m, now, busy ? "its notice has run out" : "drained");
      return;
    }
  }
  // A silent machine is deleted before its lease ends: the confirmation frees
  // its tasks sooner. Not when many are silent at once, for then it is the
  // network, and they will be back.
  // One that a new leader has never heard counts from its takeover, in which
  // every machine was asked: what it may hold keeps all old jobs waiting.
  const bool matters =
      m.reported ? !m.residents.empty() && now - started_ > lease
                 : !m.residents.empty() || now < m.session.MayLiveUntil(lease);
  if (m.recorded_up && matters && liveness_.SilentTooLong(m, now) &&
      liveness_.MayGiveUp(m, now) && TakeAway(m, LossCause::kSilent, now)) {
    return;
  }
  // Looking through all that is there has no hurry: once a report.
  if (now < m.next_review) return;
  m.next_review = now + settings_.workers.report_s / 2;
  if (m.state() == MachineState::kDraining) StopLeaving(m, now);
  std::vector<ResidentKey> kept;
  size_t exited = 0;
  for (auto& [key, r] : m.residents) {
    if (r.phase == TaskPhase::kExited) {
      ++exited;
      const bool over = r.job == nullptr ? MayDropUnknown(r, now)
                                         : r.job->ended_by_record() ||
                                               r.reason != ExitReason::kDone ||
                                               !IsCurrent(m, r);
      // A done exit stays until the record of the job's end stands: if the
      // leader ended first, the next one would begin every task again.
      if (over) QueueForget(m, r);
      continue;
    }
    const double again = r.stop_grace + 2 * settings_.workers.report_s;
    const bool unwanted =
        r.job == nullptr ? MayDropUnknown(r, now) : r.job->ended_by_record();
    if ((r.stopping && now - r.stop_sent > again) ||
        (unwanted && !r.stopping && r.order != StartOrder::kQueued)) {
      kept.push_back(key);
    }
  }
  for (const ResidentKey& key : kept) {
    const auto it = m.residents.find(key);
    if (it != m.residents.end()) QueueStop(m, it->second, 0, now);
  }
  // A report holds every exit until it is cleared; its size has a limit.
  constexpr size_t kMostExits = 250;
  if (exited > kMostExits) {
    for (auto& [key, r] : m.residents) {
      if (r.phase == TaskPhase::kExited) QueueForget(m, r);
    }
  }
  Pump(m, now);
}

}  // namespace oxbow
