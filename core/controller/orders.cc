// Orders to the workers: queued, sent in batches, answered or not.

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

#include "core/controller/controller.h"
#include "core/controller/machine_limits.h"

namespace oxbow {

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

}  // namespace oxbow
