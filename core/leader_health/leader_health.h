// Whether the leader is the right one to lead. It hears little: is that the
// machines, the network of all, or only its own network? No I/O, no clock;
// safety never rests on what is decided here, only on the lease and the tokens.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/leader_health/reachability_survey.h"
#include "core/model/settings.h"

namespace oxbow {

enum class LeaderHealthState : uint8_t {
  kHealthy,   // as many machines report as should
  kSuspect,   // too few do: the others are to be asked
  kAsking,    // a question is under way
  kOffering,  // another is surely better placed, and is asked to take over
  kYielding,  // it has agreed; this leadership ends
};

enum class LeaderHealthEvent : uint8_t {
  kFewReports,
  kEnoughReports,
  kAsked,
  kNoneBetter,  // or nothing could be compared
  kOneIsBetter,
  kRefused,  // the other can't, or too many leadership transfers lately
  kAgreed,
  kBlind,  // nobody answers and next to nothing is heard
};

// How much of the fleet is heard, counted in one pass over it.
struct HeartbeatsReceived {
  int recorded = 0;  // machines that may hold tasks
  // Of them: no message, or no heartbeat, for longer than one may take, or
  // commands that don't get through.
  int troubled = 0;
  int silent = 0;  // no message for longer than a heartbeat may take
};

class LeaderHealth {
 public:
  struct Limits {
    double troubled_share = 0;  // troubled machines that make it suspect
    double deaf_share = 0;      // heard so few, it can't lead whoever else can
    double pause_seconds = 0;   // between two rounds, at first
    double longest_pause_seconds = 0;
    double blind_after_seconds = 0;  // of being deaf with nobody to ask
    double settle_seconds =
        0;  // after taking office, before any leadership transfer
  };
  struct Verdict {
    enum class Kind : uint8_t { kStay, kOfferLeadershipTransfer, kStepDown };
    Kind kind = Kind::kStay;
    std::string to;  // of an offer
    std::string why;
  };

  LeaderHealth(const Limits& limits, Time started)
      : limits_(limits), started_(started) {}

  LeaderHealthState state() const { return state_; }
  bool healthy() const { return state_ == LeaderHealthState::kHealthy; }

  // With each count. A gap in the calls (the process stood still) is no time in
  // which anything could have been heard.
  void Observe(const HeartbeatsReceived& heard, Time now);
  // Whether a round should be asked now; the caller asks it.
  bool WantsRound(Time now) const;
  void RoundAsked(Time now);
  // The answers, this controller's first.
  Verdict RoundAnswered(const std::vector<Reach>& answers, Time now);
  void OfferRefused(Time now);
  void TransferAccepted() { Change(LeaderHealthEvent::kAgreed); }

 private:
  // The one function for a change.
  void Change(LeaderHealthEvent event);
  bool Deaf() const;

  Limits limits_;
  Time started_;
  LeaderHealthState state_ = LeaderHealthState::kHealthy;
  HeartbeatsReceived heartbeats_received_;
  Time observed_ = -1e9;
  Time next_round_ = 0;
  Time deaf_since_ = 1e18;
  double pause_seconds_ = 0;
};

// Hand-overs this controller has seen, its own and others': there is a bound to
// them, so that two deaf controllers don't pass the key to and fro.
class HandOverLog {
 public:
  HandOverLog(double window_seconds, int most)
      : window_seconds_(window_seconds), most_(most) {}
  bool Allows(Time now);
  void Note(Time now) { times_.push_back(now); }

 private:
  double window_seconds_;
  int most_;
  std::vector<Time> times_;
};

}  // namespace oxbow
