// The workers' reports and answers: which are news, what an answer carries, and
// whether what is sent has an effect.

#include <algorithm>
#include <utility>

#include "core/controller/controller.h"
#include "core/controller/machine_limits.h"

namespace oxbow {

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
  if (news) {
    m.last_report = now;
    m.relayed = report.relayed;
  }
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

}  // namespace oxbow
