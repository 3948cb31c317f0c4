// Messages between the leader and the workers, and their faults.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "tests/behavior_trail.h"
#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

std::optional<double> RandomFaults::Travel() {
  if (Happens(lost)) return std::nullopt;
  if (Happens(held)) return Between(0.5, longest_seconds);
  return Between(0.0, 0.1);
}

void Sim::SetFate(const std::string& host, Fate fate, double late_seconds) {
  fates_[host] = {fate, late_seconds};
}

void Sim::SendHeartbeat(SimWorker& worker) {
  worker.next_heartbeat = now_ + settings.workers.heartbeat_interval_seconds;
  if (faults) return SendHeartbeatWithFaults(worker);
  // At most one heartbeat is in flight.
  if (now_ < worker.waits_until) {
    worker.next_heartbeat = worker.waits_until;
    return;
  }
  if (worker.kept) {
    worker.lease_from = now_;
    return;
  }
  if (!worker.by_way.empty() && controllers_[worker.by_way].gone) {
    // The connection is refused; the next one may be refused as well.
    worker.by_way.clear();
    worker.waits_until = now_ + 2 * kRetryPauseSeconds;
    return;
  }
  const Heartbeat heartbeat = HeartbeatOf(worker);
  sent_[worker.host] = heartbeat;
  if (worker.copy_after > 0) Copy(heartbeat, worker.copy_after);
  if (troubles.Happens(troubles.heartbeats_for_next)) KeepForNext(heartbeat);
  if (worker.heartbeats_cut || !leader_ || !LeaderNode().Hears(worker.host)) {
    if (RenewedInZone(worker)) worker.lease_from = now_;
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
    RecordViolation("refused a report that is waited for: " + worker.host);
    worker.waits_until = now_ + kRetryPauseSeconds;
    return;
  }
  AcceptReply(worker, reply, incarnation, sent);
}

// A leader may withhold answers only from a worker that has received none of
// its answers, and only to let that worker's lease expire.
void Sim::NoteWithheld(const SimWorker& worker) {
  if (leader_ && worker.heard_from == leader_->revision()) {
    RecordViolation("answers withheld from one that hears: " + worker.host);
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
  worker.heard_from = TermOfToken(reply.token);
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
    After(kStepSeconds, [this, host, what = std::move(what)]() mutable {
      OnWorker(host, std::move(what));
    });
    return;
  }
  what(it->second);
}

// At most one heartbeat is in flight; its answer is valid for 4 s after the
// heartbeat was sent.
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
    if (RenewedInZone(sim_worker)) {
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
        OnWorker(heartbeat.host,
                 [this, heartbeat, number, reply, sent](SimWorker& worker) {
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
                       RecordViolation("refused a report that is waited for: " +
                                       worker.host);
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

bool Sim::ExecuteDirect(SimWorker& worker, const SendCommands& commands) {
  if (commands.token < worker.token ||
      commands.incarnation != worker.incarnation) {
    return false;
  }
  worker.token = commands.token;
  Execute(worker, commands.commands);
  return true;
}

void Sim::OnCommandsAnswered(const SendCommands& commands) {
  for (const WorkerCommand& command : commands.commands) {
    answered_[{commands.host, command.kind}] = commands;
  }
  if (!repeated_commands || commands.commands.empty()) return;
  RepeatedCommands& repeated = *repeated_commands;
  std::bernoulli_distribution happens(repeated.share);
  std::uniform_real_distribution<double> after(repeated.least_seconds,
                                               repeated.longest_seconds);
  while (happens(repeated.random)) {
    DeliverAgain(commands, after(repeated.random));
  }
}

void Sim::RepeatCommands(const std::string& host, CommandKind kind,
                         double after) {
  DeliverAgain(answered_.at({host, kind}), after);
}

void Sim::DeliverAgain(const SendCommands& commands, double after) {
  After(after, [this, commands] {
    OnWorker(commands.host, [this, commands](SimWorker& worker) {
      if (ExecuteDirect(worker, commands)) {
        ++repeats_executed_;
      } else {
        ++repeats_refused_;
      }
    });
  });
}

void Sim::DeliverCommandsWithFaults(const SendCommands& commands) {
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
    After(kLatencySeconds, [answer] { answer(CommandOutcome::kNotSent, {}); });
    return;
  }
  After(kTimeout, [answer] { answer(CommandOutcome::kUnknown, {}); });
  const std::optional<double> there = faults->Travel();
  const std::optional<double> back = faults->Travel();
  if (cut || !there) return;
  After(*there, [this, commands, answer, back] {
    OnWorker(commands.host, [this, commands, answer, back](SimWorker& worker) {
      const bool good = ExecuteDirect(worker, commands);
      if (!back) return;
      After(*back, [this, commands, answer, good,
                    heartbeat = HeartbeatOf(worker)] {
        if (good) OnCommandsAnswered(commands);
        answer(good ? CommandOutcome::kExecuted : CommandOutcome::kRefused,
               heartbeat);
      });
    });
  });
}

void Sim::DeliverCommands(const SendCommands& commands) {
  if (faults) return DeliverCommandsWithFaults(commands);
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
    return ExecuteDirect(it->second, commands);
  };
  const auto it = workers_.find(commands.host);
  const bool silent = it == workers_.end() || it->second.dead ||
                      it->second.Hangs(now_) || it->second.commands_cut ||
                      !LeaderNode().Sends(commands.host);
  if (fate == Fate::kRefusedConnection) {
    After(kLatencySeconds,
          [answer] { answer(CommandOutcome::kNotSent, nullptr); });
    return;
  }
  if (silent || fate != Fate::kNormal) {
    After(1.5, [answer] { answer(CommandOutcome::kUnknown, nullptr); });
    if (fate == Fate::kLostAnswer)
      After(kLatencySeconds, [execute] { execute(); });
    if (fate == Fate::kLate) After(late, [execute] { execute(); });
    return;
  }
  After(kLatencySeconds, [this, commands, execute, answer] {
    const std::optional<bool> done = execute();
    if (!done) return answer(CommandOutcome::kUnknown, nullptr);
    const Heartbeat heartbeat = HeartbeatOf(workers_.at(commands.host));
    if (*done) OnCommandsAnswered(commands);
    answer(*done ? CommandOutcome::kExecuted : CommandOutcome::kRefused,
           &heartbeat);
  });
}

}  // namespace oxbow::test
