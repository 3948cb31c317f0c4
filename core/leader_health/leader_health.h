// Decides whether the present leader should hand leadership over. When the
// leader receives few heartbeats, either the machines are down, or the network
// is down for all controllers, or only the leader's own network is. In the last
// case another controller is better placed. No I/O, no clock. Safety does not
// depend on these decisions, only on the lease and the fencing tokens. Used by
// LivenessMonitor.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/leader_health/reachability_survey.h"
#include "core/model/settings.h"

namespace oxbow {

// How well placed the leader is, judged by the heartbeats that it receives, and
// how far a transfer of leadership has come.
enum class LeaderHealthState : uint8_t {
  kHealthy,           // heartbeats of enough machines arrive
  kSuspect,           // too many machines have problems: a survey of the other
                      // controllers is due, now or after a pause
  kSurveying,         // a survey is in progress
  kOfferingTransfer,  // another controller is significantly better placed, and
                      // leadership is being offered to it
  kSteppingDown,      // this leadership ends: the offer was accepted, or this
                      // controller can neither receive heartbeats nor compare
};

// The events that may change the state.
enum class LeaderHealthEvent : uint8_t {
  kFewHeartbeats,
  kEnoughHeartbeats,
  kSurveyStarted,
  kNoBetterPeer,  // or no other controller's answer could be compared
  kBetterPeer,
  kTransferRefused,  // the other controller can't lead, or there have been too
                     // many transfers lately
  kTransferAccepted,
  kNothingReceived,  // no controller answers and hardly any heartbeat arrives
};

// How many machines messages arrive from, counted in one pass over the fleet.
struct HeartbeatsReceived {
  int recorded = 0;  // machines that may hold tasks
  // Of those, the machines from which no message, or no heartbeat, has arrived
  // for longer than a heartbeat may take, or which commands or responses don't
  // reach.
  int troubled = 0;
  // Of those, the machines from which no message has arrived for longer than a
  // heartbeat may take.
  int silent = 0;
};

// The state machine that decides when to survey the other controllers and when
// to offer leadership to one of them. It makes no requests itself.
class LeaderHealth {
 public:
  struct Limits {
    // The share of troubled machines from which on the leader is suspect.
    double troubled_share = 0;
    // A controller that receives messages from a smaller share of the machines
    // can't lead, whether another controller can or not.
    double minimum_received_share = 0;
    double survey_pause_seconds = 0;  // between two surveys, at first
    double max_survey_pause_seconds =
        0;  // between two surveys; it doubles up to it
    // How long too few machines must have sent messages, while no controller
    // answers, before the leader steps down.
    double step_down_after_seconds = 0;
    // No survey, and so no leadership transfer, earlier than this after the
    // beginning of the leadership.
    double min_leadership_seconds = 0;
  };
  struct Decision {
    enum class Kind : uint8_t { kStay, kOfferLeadershipTransfer, kStepDown };
    Kind kind = Kind::kStay;
    std::string to;   // the controller that leadership is offered to
    std::string why;  // the reason, for the log
  };

  // `started`: the beginning of this leadership.
  LeaderHealth(const Limits& limits, Time started)
      : limits_(limits), started_(started) {}

  LeaderHealthState state() const { return state_; }
  bool healthy() const { return state_ == LeaderHealthState::kHealthy; }

  // Takes in the latest count. A long gap between two calls means that the
  // process was stalled and could not receive anything, and does not count as a
  // time without messages.
  void Observe(const HeartbeatsReceived& received, Time now);
  // Whether a survey is due; the caller carries it out.
  bool IsSurveyDue(Time now) const;
  // A survey has been started.
  void OnSurveyStarted(Time now);
  // A survey has ended. `answers`: this controller's own first.
  Decision OnSurveyAnswered(const std::vector<ReachabilityAnswer>& answers,
                            Time now);
  // The controller to which leadership was offered has refused it.
  void OfferRefused(Time now);
  // It has accepted.
  void TransferAccepted() { Change(LeaderHealthEvent::kTransferAccepted); }

 private:
  // The only function that changes the state.
  void Change(LeaderHealthEvent event);
  // Whether less than Limits::minimum_received_share of the machines send
  // messages.
  bool ReceivesTooFewHeartbeats() const;
  // Updates too_few_since_, and has a survey made soon when it begins.
  void UpdateTooFewSince(Time now);

  Limits limits_;
  Time started_;
  LeaderHealthState state_ = LeaderHealthState::kHealthy;
  HeartbeatsReceived heartbeats_received_;  // the latest count
  Time last_observed_at_ = -1e9;
  Time next_survey_at_ = 0;
  std::optional<Time> too_few_since_;
  double pause_seconds_ = 0;  // the next pause between two surveys
};

// Limits how many leadership transfers may take place within a time window, so
// that two controllers that both receive few heartbeats don't pass leadership
// back and forth. It records the transfers that this controller has seen, its
// own and those of others.
class LeadershipTransferLog {
 public:
  LeadershipTransferLog(double window_seconds, int max_in_window)
      : window_seconds_(window_seconds), max_in_window_(max_in_window) {}
  // Whether another transfer is allowed now.
  bool Allows(Time now);
  void Record(Time now) { times_.push_back(now); }

 private:
  double window_seconds_;
  int max_in_window_;
  std::vector<Time> times_;
};

}  // namespace oxbow
