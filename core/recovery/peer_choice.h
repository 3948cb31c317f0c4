// Which of the other controllers is asked on a user's behalf, and when one
// that gives no answer is asked again. Without I/O: whoever asks tells what
// came of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

enum class PeerState : uint8_t {
  kAnswers,  // as far as is known
  kResting,  // gave none: nobody waits for it until its rest is over
  kOnTrial,  // the rest is over, and a question finds out
};

enum class PeerEvent : uint8_t { kAnswer, kSilence, kTrial };

class PeerChoice {
 public:
  // `rest_s`: after the first silence; doubled with each up to `most_rest_s`.
  // `vain_per_second`: requests a second that may be handed on though the one
  // before was of no use.
  PeerChoice(size_t peers, double rest_seconds, double most_rest_seconds,
             double vain_per_second);

  // Whether a request may be handed on. In an outage that all share asking
  // around for each would only add to the load. Limited by their number and
  // not by a pause: a pause that every request without an answer renews can
  // keep out, for ever, the one to which another has the answer.
  bool MayAskAround(Time now);
  // All peers, the one that helped last first: a request asks one after the
  // other, so that what one can tell does not hang on whose turn it is.
  std::vector<size_t> PreferenceOrder() const;
  // Whether a request may wait for this one.
  bool IsResponsive(size_t peer) const {
    return peers_[peer].state == PeerState::kAnswers;
  }
  // Whether to find out, on nobody's behalf, if one whose rest is over is back.
  // True begins the trial: its answer or its silence has to be told. A user who
  // waited for it would have each of its questions be the trial.
  bool MayTry(size_t peer, Time now);
  void Answered(size_t peer);
  void Silent(size_t peer, Time now);
  // The peer had what was asked for.
  void Helped(size_t peer);

  PeerState state(size_t peer) const { return peers_[peer].state; }

 private:
  struct Peer {
    PeerState state = PeerState::kAnswers;
    Time until = 0;
    double rest_seconds = 0;  // of the next rest
  };
  // The one function for a change.
  void Change(Peer& peer, PeerEvent event);

  std::vector<Peer> peers_;
  const double rest_seconds_;
  const double most_rest_seconds_;
  const double vain_per_seconds_;
  double vain_;  // that may be handed on now
  Time counted_ = 0;
  size_t first_ = 0;
};

}  // namespace oxbow
