// Carries out the actions of the leader with the fakes.
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tests/behavior_trail.h"
#include "tests/sim.h"
#include "tests/simulation/sim_common.h"

namespace oxbow::test {

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
        DeliverCommands(*send);
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
        After(kLatencySeconds, [this, leader, host = probe->host] {
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
        After(kLatencySeconds,
              [this, leader, keys = read->keys, id = read->id] {
                if (!leader_ || leader_->revision() != leader) return;
                if (!state_down) {
                  for (const std::string& key : keys) {
                    const auto it = store_.find(key);
                    if (it == store_.end()) {
                      catalog_.MarkMissing(key, revision_);
                    } else {
                      catalog_.Put(key, it->second.first, it->second.second);
                    }
                  }
                }
                leader_->OnReadAnswer(id, !state_down, now_);
                ExecuteActions();
              });
      } else if (const auto* fence = std::get_if<ReadFence>(&action)) {
        After(kLatencySeconds, [this, leader, read = *fence] {
          const bool exists = !state_down && store_.contains(read.key);
          OnLeader(leader, [this, number = read.number, exists] {
            leader_->OnFenceRead(
                number,
                exists ? FenceReadResult::kExists : FenceReadResult::kNotShown,
                now_);
          });
        });
      } else if (const auto* check = std::get_if<RunHealthCheck>(&action)) {
        Check(*check);
      } else if (const auto* rent = std::get_if<RequestScaleOut>(&action)) {
        ScaleOut(*rent);
      } else if (const auto* gone = std::get_if<DeleteMachines>(&action)) {
        After(0.2, [this, leader, hosts = gone->hosts] {
          for (const std::string& host : hosts) {
            const auto it = workers_.find(host);
            // The leader probes once per heartbeat interval and waits for
            // twice the probe timeout.
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
          After(kLatencySeconds, [this, leader, name, sent = now_,
                                  ago = controller.lease->RenewedAgo(now_)] {
            OnLeader(leader, [this, name, ago, sent] {
              leader_->OnLeaseYielded(name, "life", now_, ago, sent, now_);
            });
          });
        }
      } else if (std::holds_alternative<ReadDelegates>(action)) {
        if (state_down) continue;
        After(kLatencySeconds,
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
        After(kLatencySeconds, [this, leader, id = job->id] {
          const auto end = store_.find(keys::Of(keys::kTerminal, id));
          if (!leader_ || leader_->revision() != leader || state_down ||
              end == store_.end()) {
            return;
          }
          catalog_.RememberTerminalState(
              id, std::get<TerminalRecord>(end->second.first));
        });
      } else if (const auto* ask = std::get_if<ReadTerminalState>(&action)) {
        After(kLatencySeconds, [this, leader, id = ask->id] {
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
        After(0, [this, leader,
                  prefer_other_candidates = quit->prefer_other_candidates] {
          if (!leader_ || leader_->revision() != leader) return;
          leader_.reset();
          if (prefer_other_candidates) Succeed("");
        });
      }
    }
  }
}

}  // namespace oxbow::test
