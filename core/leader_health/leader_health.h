// Whether the leader is the right one to lead. When it receives few heartbeats:
// are the machines dead, is the network down for all, or only its own? No I/O,
// no clock; safety never rests on what is decided here, only on the lease and
// the fencing tokens. Used by LivenessMonitor.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/leader_health/reachability_survey.h"
#include "core/model/settings.h"

namespace oxbow {

// Whether this controller is fit to lead, by the heartbeats that it receives.
enum class LeaderHealthState : uint8_t {
  kHealthy,   // as many machines send heartbeats as should
  kSuspect,   // too few do: the other controllers are to be asked
  kAsking,    // a survey of them is in progress
  kOffering,  // another is surely better placed, and is offered leadership
  kYielding,  // it has agreed; this leadership ends
};

// What may change that.
enum class LeaderHealthEvent : uint8_t {
  kFewReports,
  kEnoughReports,
  kAsked,
  kNoneBetter,  // or nothing could be compared
  kOneIsBetter,
  kRefused,  // the other can't, or there were too many transfers lately
  kAgreed,
  kBlind,  // nobody answers and next to nothing is received
};

// From how much of the fleet messages arrive, counted in one pass over it.
struct HeartbeatsReceived {
  int recorded = 0;  // machines that may hold tasks
  // Of them: no message, or no heartbeat, for longer than one may take, or
  // commands or responses that don't get through.
  int troubled = 0;
  int silent = 0;  // no message for longer than a heartbeat may take
};

// Decides when the other controllers are asked and when leadership is offered
// to one of them. Makes no requests itself.
class LeaderHealth {
 public:
  struct Limits {
    double troubled_share = 0;  // troubled machines that make it suspect
    // Receiving from a smaller share, it can't lead whoever else can.
    double minimum_received_share = 0;
    double survey_pause_seconds = 0;  // between two rounds, at first
    double max_survey_pause_seconds = 0;
    double step_down_after_seconds =
        0;  // of receiving too few with nobody to ask
    double min_leadership_seconds =
        0;  // after taking office, before any leadership transfer
  };
  struct Decision {
    enum class Kind : uint8_t { kStay, kOfferLeadershipTransfer, kStepDown };
    Kind kind = Kind::kStay;
    std::string to;  // of an offer
    std::string why;
  };

  LeaderHealth(const Limits& limits, Time started)
      : limits_(limits), started_(started) {}

  LeaderHealthState state() const { return state_; }
  bool healthy() const { return state_ == LeaderHealthState::kHealthy; }

  // With each count. A gap in the calls (the process was stalled) is no time in
  // which anything could have been received.
  void Observe(const HeartbeatsReceived& received, Time now);
  // Whether a round should be asked now; the caller asks it.
  bool IsSurveyDue(Time now) const;
  void OnSurveyStarted(Time now);
  // The answers, this controller's first.
  Decision OnSurveyAnswered(const std::vector<ReachabilityAnswer>& answers,
                            Time now);
  void OfferRefused(Time now);
  void TransferAccepted() { Change(LeaderHealthEvent::kAgreed); }

 private:
  // The one function for a change.
  void Change(LeaderHealthEvent event);
  bool ReceivesTooFew() const;
  // Restarts the rounds when messages of too few machines arrive.
  void NoteTooFew(Time now);

  Limits limits_;
  Time started_;
  LeaderHealthState state_ = LeaderHealthState::kHealthy;
  HeartbeatsReceived heartbeats_received_;
  Time observed_ = -1e9;
  Time next_round_ = 0;
  std::optional<Time> too_few_since_;
  double pause_seconds_ = 0;
};

// The leadership transfers that this controller has seen, its own and others'.
// They are bounded, so that two controllers that receive little don't pass the
// leadership to and fro.
class LeadershipTransferLog {
 public:
  LeadershipTransferLog(double window_seconds, int max_in_window)
      : window_seconds_(window_seconds), max_in_window_(max_in_window) {}
  bool Allows(Time now);
  void Record(Time now) { times_.push_back(now); }

 private:
  double window_seconds_;
  int max_in_window_;
  std::vector<Time> times_;
};

}  // namespace oxbow
