// Which machines are silent, what the other controllers reach of them, and
// which may therefore be removed. Reads the machines; changes only the fields
// about surveys (peers_last_asked, last_reached_by_peer,
// last_unreached_by_peers). Owns LeaderHealth and the RemovalLimiter.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/leader_health/leader_health.h"
#include "core/limits/removal_limiter.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/model/timeouts.h"

namespace oxbow {

// One per leadership. Its questions to other controllers leave as actions.
class LivenessMonitor {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  LivenessMonitor(const Settings& settings, const Tuning& tuning,
                  const SilenceTimeouts& timeouts, const Machines& machines,
                  Time started, uint64_t seed, std::vector<Action>& actions);

  // Once in each tick, before anything is decided on it.
  void CountSilentMachines(Time now);
  // Asks the other controllers about machines whose state is uncertain.
  void StartSurveys(Time now);
  // The answers to a survey, this controller's first. False: this leadership is
  // over.
  [[nodiscard]] bool OnReachabilityAnswers(
      uint64_t round, std::vector<ReachabilityAnswer> answers, Time now);
  void OnTransferAccepted() { leader_health_.TransferAccepted(); }
  void OnTransferRejected(const std::string& why, Time now);

  // Whether a machine has been silent, or received no responses, for long
  // enough.
  bool SilentTooLong(const Machine& machine, Time now) const;
  // Whether such a machine may be given up.
  bool MayGiveUp(const Machine& machine, Time now) const;
  // Whether it may be removed for this cause; counts the removal if so.
  bool RemovalAllowed(const Machine& machine, RemovalCause cause, Time now);

  LeaderHealthState leader_health() const { return leader_health_.state(); }
  const HeartbeatsReceived& heartbeats_received() const {
    return heartbeats_received_;
  }
  // What is limited at this moment; a line each, for a person.
  std::vector<std::string> Alarms() const;

 private:
  enum class SurveyKind : uint8_t {
    kSilent,  // of silent machines, before they are given up
    kSample,  // of all machines, to compare the controllers
  };
  struct Survey {
    std::vector<Machine*> machines;
    Time asked_at = 0;
  };

  bool HeartbeatOverdue(const Machine& machine, Time now) const;
  // Whether so few are silent that it is the machines and not the network.
  bool FewSilent() const;
  HeartbeatsReceived CountReceived(Time now) const;
  void SurveySilentMachines(Time now);
  void SurveySample(Time now);
  // Returns the number of the round.
  uint64_t StartSurvey(const std::vector<Machine*>& machines, SurveyKind kind,
                       Time now);
  // Applies what the answers say about the machine, whose index in the survey
  // is given, and corrects this controller's own answer.
  void ApplyAnswers(Machine& machine, size_t index, Time asked_at,
                    std::vector<ReachabilityAnswer>* answers, Time now) const;
  void Log(std::string message, LogFields fields = {});

  const Settings& settings_;
  const SilenceTimeouts& timeouts_;
  const Machines& machines_;
  const Time started_;
  std::vector<Action>& actions_;
  LeaderHealth leader_health_;
  RemovalLimiter limiter_;
  HeartbeatsReceived heartbeats_received_;
  uint64_t next_round_ = 1;
  uint64_t health_round_ = 0;  // in progress; 0: none
  uint64_t silent_round_ = 0;
  std::map<uint64_t, Survey> surveys_;  // in progress, by round
  // The latest decision on each cause, and when one was last refused.
  std::array<RemovalDecision, kRemovalCauses> refusals_{};
  std::array<Time, kRemovalCauses> refused_at_{};
  std::mt19937_64 sampling_;
};

}  // namespace oxbow
