#include "app/action_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

using clients::StoreResult;
using clients::StoreStatus;
using clients::Urgency;

// Fraction of the duration of a worker's lease.
constexpr double kCommandTimeoutRatio = 0.15;
// Fraction of the heartbeat interval that passes before the core is told that a
// read has failed, upon which it reads again.
constexpr double kReadRetryRatio = 0.2;
constexpr size_t kMaxHostsInDeletion = 100;

WriteOutcome OutcomeOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return WriteOutcome::kApplied;
    case StoreStatus::kConflict:
      return WriteOutcome::kConflict;
    case StoreStatus::kNotExecuted:
      return WriteOutcome::kNotExecuted;
    case StoreStatus::kRefused:
      return WriteOutcome::kRefused;
    default:
      return WriteOutcome::kUnknown;
  }
}

}  // namespace

// Has one overload for each type of action, so that a new action type without
// an overload does not compile.
struct ActionExecutor::Dispatch {
  ActionExecutor& executor;
  const LeaderServices& services;
  const uint64_t revision;
  ActionSummary& summary;

  void operator()(SendCommands& commands) {
    net::Spawn(executor.SendCommandsToWorker(std::move(commands), revision));
  }
  void operator()(Probe& probe) {
    net::Spawn(executor.ProbeWorker(std::move(probe), revision));
  }
  void operator()(CompareAndSwap& transaction) {
    net::Spawn(
        executor.ExecuteCompareAndSwap(std::move(transaction), revision));
  }
  void operator()(ReadKeys& read) {
    net::Spawn(executor.ReadStoreKeys(std::move(read), revision));
  }
  void operator()(ReadFence& read) {
    net::Spawn(executor.ReadFenceKey(std::move(read), revision));
  }
  void operator()(RequestScaleOut& request) {
    net::Spawn(executor.RequestMachines(std::move(request), revision));
  }
  void operator()(DeleteMachines& deletion) {
    summary.hosts_to_delete.insert(summary.hosts_to_delete.end(),
                                   deletion.hosts.begin(),
                                   deletion.hosts.end());
  }
  void operator()(JobTerminated& terminated) {
    executor.terminal_state_waiters_.Notify(terminated);
  }
  void operator()(RunHealthCheck& check) {
    net::Spawn(executor.CheckInstanceHealth(std::move(check), revision));
  }
  void operator()(AskReach& survey) {
    net::Spawn(services.leader_health_coordinator.SurveyReachability(
        std::move(survey), revision));
  }
  void operator()(OfferLeadershipTransfer& offer) {
    net::Spawn(services.leader_health_coordinator.OfferTransfer(
        std::move(offer), revision));
  }
  void operator()(RequestLeaseYield& request) {
    services.zone_coordinator.RequestYields(request, revision);
  }
  void operator()(ReadDelegates&) {
    net::Spawn(executor.ReadZoneDelegates(revision));
  }
  void operator()(RequestJobRecord& job) {
    net::Spawn(services.recovery.CheckUnknownJob(std::move(job.id)));
  }
  void operator()(ReadTerminalState& job) {
    net::Spawn(executor.ReadJobTerminalState(std::move(job.id), revision));
  }
  void operator()(Resign& resign) {
    summary.resign_reason = resign.reason;
    summary.prefer_other_candidates = resign.prefer_other_candidates;
  }
  void operator()(LogEvent& event) { logging::Write(event); }
};

ActionExecutor::ActionExecutor(const LeaderServices& services,
                               TerminalStateWaiters& terminal_state_waiters,
                               Callbacks callbacks)
    : services_(services),
      terminal_state_waiters_(terminal_state_waiters),
      callbacks_(std::move(callbacks)),
      workers_(services.loop,
               kCommandTimeoutRatio * services.settings.workers.lease_seconds,
               services.settings.limits.worker_connections()),
      health_(services.loop) {}

void ActionExecutor::Clear() {
  workers_.Clear();
  health_.Clear();
}

void ActionExecutor::Execute(Action action, uint64_t revision,
                             ActionSummary* summary) {
  std::visit(Dispatch{*this, services_, revision, *summary}, action);
}

net::Task<void> ActionExecutor::SendCommandsToWorker(SendCommands commands,
                                                     uint64_t revision) {
  const std::string host = commands.host;
  const uint64_t batch = commands.batch;
  // Checks immediately before sending that this controller may still act as the
  // leader. The function is a named object because GCC 12 destroys a temporary
  // argument of an awaited call twice.
  std::function<bool()> may_send = [this] {
    return callbacks_.active_leader() != nullptr;
  };
  const clients::WorkerClients::Answer answer =
      co_await workers_.Send(std::move(commands), std::move(may_send));
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnCommandResponse(host, batch, answer.outcome,
                             answer.has_heartbeat ? &answer.heartbeat : nullptr,
                             services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::ProbeWorker(Probe probe, uint64_t revision) {
  const clients::WorkerClients::Answer answer =
      co_await workers_.Probe(probe.endpoint);
  if (!answer.has_heartbeat) co_return;
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnProbeAnswer(answer.heartbeat, services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::CheckInstanceHealth(RunHealthCheck check,
                                                    uint64_t revision) {
  const std::string rollout = check.rollout;
  const TaskAttemptKey key = check.key;
  const CheckOutcome outcome = co_await health_.Check(std::move(check));
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnHealthCheckResult(rollout, key, outcome, services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::ExecuteCompareAndSwap(
    CompareAndSwap transaction, uint64_t revision) {
  const uint64_t id = transaction.id;
  const StoreResult result = co_await services_.store.Write(
      std::move(transaction.preconditions), std::move(transaction.mutations),
      Urgency::kLeader, services_.election.LeaseOf(revision),
      clients::WhenUnanswered::kGiveUp);
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnWriteAnswer(id, OutcomeOf(result.status), result.revision,
                         result.failed, services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::ReadStoreKeys(ReadKeys read,
                                              uint64_t revision) {
  bool all_read = true;
  for (const std::string& key : read.keys) {
    all_read = co_await ReadStoreKey(key);
    if (!all_read) break;
  }
  if (!all_read) {
    co_await services_.loop.Sleep(
        kReadRetryRatio *
        services_.settings.workers.heartbeat_interval_seconds);
  }
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnReadAnswer(read.id, all_read, services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::ReadFenceKey(ReadFence read,
                                             uint64_t revision) {
  const StoreResult found =
      co_await services_.store.Get(read.key, Urgency::kLeader);
  const FenceReadResult result =
      found.ok() ? FenceReadResult::kExists : FenceReadResult::kNotShown;
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnFenceRead(read.number, result, services_.loop.Now());
  });
}

net::Task<bool> ActionExecutor::ReadStoreKey(std::string key) {
  const StoreResult result =
      co_await services_.store.Get(key, Urgency::kLeader);
  if (result.ok()) {
    services_.watcher.Apply(key, result.items[0].record,
                            result.items[0].mod_revision);
    co_return true;
  }
  if (result.status != StoreStatus::kNotFound) co_return false;
  const bool deleted = co_await IsSurelyDeleted(key);
  if (deleted) services_.catalog.MarkMissing(key, result.revision);
  co_return deleted;
}

// A record counts as deleted only while the store holds its epoch record. If
// the store has lost data, a record that it lacks may exist only in the memory
// of a controller.
net::Task<bool> ActionExecutor::IsSurelyDeleted(std::string key) {
  RecoveryCoordinator& recovery = services_.recovery;
  StoreCheck check = StoreCheck::kIntact;
  if (recovery.IsEnabled()) check = co_await recovery.CheckEpoch();
  if (check == StoreCheck::kMissing) {
    recovery.ReportDataLoss(DataLossIndication::kEpochMissing);
  }
  // A job's record is deleted only in the transaction that writes the job's
  // terminal state. If the job's record is missing and there is no terminal
  // state, the record is lost; a leader that treated it as deleted would forget
  // the job.
  if (check == StoreCheck::kIntact && recovery.IsEnabled()) {
    check = co_await recovery.IsDeleted(key);
  }
  co_return check == StoreCheck::kIntact;
}

// Reads the records in the order in which a job goes through them (waiting,
// live, terminal), so that a job that changes state between two reads is still
// found. A job that is not found may still exist.
net::Task<void> ActionExecutor::ReadJobTerminalState(std::string id,
                                                     uint64_t revision) {
  for (const std::string_view prefix :
       {keys::kWaiting, keys::kJob, keys::kTerminal}) {
    const StoreResult found =
        co_await services_.store.Get(keys::Of(prefix, id), Urgency::kLeader);
    if (found.ok()) {
      const clients::KeyValue& item = found.items[0];
      if (const auto* terminal = std::get_if<TerminalRecord>(&item.record)) {
        services_.catalog.RememberTerminalState(id, *terminal);
      } else {
        services_.watcher.Apply(item.key, item.record, item.mod_revision);
      }
    }
    if (found.status != StoreStatus::kNotFound) break;
  }
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnTerminalStateRead(id, services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::RequestMachines(RequestScaleOut request,
                                                uint64_t revision) {
  clients::CloudClient::Rented answer;
  if (callbacks_.active_leader() != nullptr) {
    answer = co_await services_.cloud.Rent(request.name, request.scale_out);
  }
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnScaleOutResponse(request.name, answer.outcome, answer.hosts,
                              services_.loop.Now());
  });
}

net::Task<void> ActionExecutor::ReadZoneDelegates(uint64_t revision) {
  const net::Time sent = services_.loop.Refresh();
  const auto delegates = co_await services_.election.ReadDelegates();
  if (!delegates) co_return;
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnDelegatesRead(*delegates, sent, services_.loop.Now());
  });
}

void ActionExecutor::DeleteHosts(const std::vector<std::string>& hosts,
                                 uint64_t revision) {
  for (size_t i = 0; i < hosts.size(); i += kMaxHostsInDeletion) {
    const size_t end = std::min(hosts.size(), i + kMaxHostsInDeletion);
    net::Spawn(DeleteCloudMachines({hosts.begin() + static_cast<long>(i),
                                    hosts.begin() + static_cast<long>(end)},
                                   revision));
  }
}

net::Task<void> ActionExecutor::DeleteCloudMachines(
    std::vector<std::string> hosts, uint64_t revision) {
  bool deleted = false;
  if (callbacks_.active_leader() != nullptr) {
    deleted = co_await services_.cloud.Delete(hosts);
  }
  callbacks_.deliver(revision, [&](Leader& leader) {
    leader.OnDeleteAnswer(hosts, deleted, services_.loop.Now());
  });
}

}  // namespace oxbow::app
