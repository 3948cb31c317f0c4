// Detects machines that have fallen silent, asks the other controllers whether
// they can reach them, and decides which machines the leader may remove. Of the
// machines it changes only the fields about these surveys (peers_last_asked,
// last_reached_by_peer, last_unreached_by_peers). Owns LeaderHealth and the
// RemovalLimiter.
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

// One per leadership. Does no I/O: its questions to the other controllers and
// its log entries are appended to `actions`.
class LivenessMonitor {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  LivenessMonitor(const Settings& settings, const Tuning& tuning,
                  const SilenceTimeouts& timeouts, const Machines& machines,
                  Time started, uint64_t seed, std::vector<Action>& actions);

  // Counts the machines that are silent or troubled, updates the leader's
  // health from these numbers and ends alarms that are over. Called once per
  // tick, before any decision that depends on the numbers.
  void CountSilentMachines(Time now);
  // Starts the surveys that are due: asks every controller which of the silent
  // machines, and which of a sample of all machines, it can reach.
  void StartSurveys(Time now);
  // Evaluates the answers to the survey with the number `round`; this
  // controller's own answer is the first. Returns false if this controller must
  // stop leading.
  [[nodiscard]] bool OnReachabilityAnswers(
      uint64_t round, std::vector<ReachabilityAnswer> answers, Time now);
  void OnTransferAccepted() { leader_health_.TransferAccepted(); }
  void OnTransferRejected(const std::string& why, Time now);

  // Whether a machine has been silent, or has received no responses, for long
  // enough to be given up.
  bool SilentTooLong(const Machine& machine, Time now) const;
  // Whether a machine for which SilentTooLong() holds may be given up: few
  // machines are silent, and no other controller reaches this one.
  bool MayGiveUp(const Machine& machine, Time now) const;
  // Whether the limits on removals allow this machine to be removed for this
  // cause now. If so, counts the removal against the limits; if not, raises an
  // alarm.
  bool RemovalAllowed(const Machine& machine, RemovalCause cause, Time now);

  LeaderHealthState leader_health() const { return leader_health_.state(); }
  const HeartbeatsReceived& heartbeats_received() const {
    return heartbeats_received_;
  }
  // The alarms in force, one readable line each: that few heartbeats arrive,
  // and each cause for which removals are refused at present.
  std::vector<std::string> Alarms() const;

 private:
  enum class SurveyKind : uint8_t {
    kSilent,  // asks about silent machines before they are given up
    kSample,  // asks about a sample of all machines to compare the controllers
  };
  // A question to all controllers that has not been answered yet.
  struct Survey {
    std::vector<Machine*> machines;
    Time asked_at = 0;
  };

  // Whether the machine's next heartbeat is late, although its messages of
  // other kinds may still arrive.
  bool HeartbeatOverdue(const Machine& machine, Time now) const;
  // Whether so few machines are silent that the machines themselves are the
  // likely cause, and not a network fault.
  bool FewMachinesSilent() const;
  HeartbeatsReceived CountReceived(Time now) const;
  void SurveySilentMachines(Time now);
  void SurveyMachineSample(Time now);
  // Sends the question; returns its number, the round.
  uint64_t StartSurvey(const std::vector<Machine*>& machines, SurveyKind kind,
                       Time now);
  // Stores what the answers say about the machine at position `index` of the
  // survey. In this controller's own answer, marks the machine as not reached
  // if its heartbeats are overdue.
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
  // The survey of each kind that is in progress; 0 if there is none.
  uint64_t sample_survey_round_ = 0;
  uint64_t silent_survey_round_ = 0;
  std::map<uint64_t, Survey> surveys_;  // in progress, by round
  // For each cause of removal: the latest decision, and when a removal was last
  // refused.
  std::array<RemovalDecision, kRemovalCauses> latest_decisions_{};
  std::array<Time, kRemovalCauses> last_refused_at_{};
  std::mt19937_64 sample_rng_;
};

}  // namespace oxbow
