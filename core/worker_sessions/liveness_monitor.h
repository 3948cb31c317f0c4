// What the leader hears of its machines, what it asks the others about them,
// and what it may therefore do about those it does not hear. Reads the
// machines; writes only what was asked about one and what the others said.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/leader_health/leader_health.h"
#include "core/limits/loss_limiter.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/model/timeouts.h"

namespace oxbow {

class LivenessMonitor {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  LivenessMonitor(const Settings& settings, const Tuning& tuning,
                  const SilenceTimeouts& timeouts, const Machines& machines,
                  Time started, uint64_t seed, std::vector<Action>& actions);

  // Once in each tick, before anything is decided on it.
  void Count(Time now);
  // Asks the others about what is uncertain.
  void Ask(Time now);
  // What each controller reaches, this one's answer first. False: this
  // leadership is over.
  [[nodiscard]] bool OnReach(uint64_t round, std::vector<Reach> answers,
                             Time now);
  void OnTransferAccepted() { leader_health_.TransferAccepted(); }
  void OnTransferRejected(const std::string& why, Time now);

  // Whether a machine has been silent, or deaf, for long enough.
  bool SilentTooLong(const Machine& machine, Time now) const;
  // Whether such a machine may be given up.
  bool MayGiveUp(const Machine& machine, Time now) const;
  // Whether it may be taken away for this cause; counts it if so.
  bool LossAllowed(const Machine& machine, LossCause cause, Time now);

  LeaderHealthState leader_health() const { return leader_health_.state(); }
  const HeartbeatsReceived& heartbeats_received() const {
    return heartbeats_received_;
  }
  // What is held back at this moment; a line each.
  std::vector<std::string> Alarms() const;

 private:
  bool HeartbeatOverdue(const Machine& machine, Time now) const;
  // Whether so few are silent that it is the machines and not the network.
  bool FewSilent() const;
  void AskAboutSilent(Time now);
  void AskWhoReaches(Time now);
  uint64_t Ask(const std::vector<Machine*>& about, bool sample, Time now);
  void Log(std::string text);

  const Settings& settings_;
  const SilenceTimeouts& timeouts_;
  const Machines& machines_;
  const Time started_;
  std::vector<Action>& actions_;
  LeaderHealth leader_health_;
  LossLimiter limiter_;
  HeartbeatsReceived heartbeats_received_;
  uint64_t next_round_ = 1;
  uint64_t health_round_ = 0;  // under way; 0: none
  uint64_t silent_round_ = 0;
  struct Question {
    std::vector<Machine*> about;
    Time asked = 0;
  };
  std::map<uint64_t, Question> asked_;  // by round
  // The latest verdict on each cause, and when one was last refused.
  std::array<LossDecision, kLossCauses> refusals_{};
  std::array<Time, kLossCauses> refused_at_{};
  std::mt19937_64 sampling_;
};

}  // namespace oxbow
