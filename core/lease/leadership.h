// Who leads: a leased key in the state service, and promises between the
// controllers that carry the leader through an outage of that service.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

enum class LeaderState : uint8_t {
  kFollower,   // somebody else leads, or nobody
  kSeeking,    // a lease is asked for, the key is being written
  kLeading,    // the lease is known to be granted
  kProlonged,  // the service is out; every other controller has promised
  kLapsed,     // was leader, the right has run out; becomes follower again
};

class Leadership {
 public:
  Leadership(std::vector<std::string> peers, double lease_s, double promise_s,
             Time started);

  LeaderState state() const { return state_; }
  uint64_t revision() const { return revision_; }
  uint64_t lease_id() const { return lease_id_; }

  // Whether this controller may act as the leader at this moment. Changes the
  // state when the right has run out, so the answer never goes back to yes
  // without a new revision.
  bool Valid(Time now);

  // --- seeking and holding
  // A starting controller has forgotten what it promised. It waits out the
  // longest promise, unless every other one says that it does not lead.
  bool MaySeek(Time now) const;
  // `seen` is the leader key's revision that the search was decided on. The
  // write has to be conditioned on it, not on what the watch brings meanwhile:
  // that may be the key of somebody who has just won.
  void SeekStarted(uint64_t seen);
  uint64_t seen() const { return seen_; }
  void SeekFailed();
  // `sent` is when the request that the lease counts from was sent.
  void Won(uint64_t revision, uint64_t lease_id, Time sent);
  void RenewGranted(Time sent);
  // The key was written anew under a right that still stood: into a state
  // service that had lost it.
  void Rewon(uint64_t revision, uint64_t lease_id, Time sent);
  // The state service has lost data, and with it perhaps the key of somebody
  // who leads by it: as after a start, everybody has to be asked, or the
  // longest right waited out.
  void Forget(Time now);
  // The key is known to be another's, or gone.
  void Lost();
  // Back to the ranks once the leader's state has been torn down.
  void Retire();

  // --- promises, as the one who needs them
  bool WantsPromises(Time now) const;
  void PromiseGranted(const std::string& peer, Time sent);

  // --- promises, as the one who gives them
  // `state_fails`: this controller itself cannot reach the state service. One
  // that can must refuse, or a leader cut off alone would lead on for ever.
  bool AskedToPromise(bool state_fails, Time now);
  void PeerDoesNotLead(const std::string& peer);
  Time promised_until() const { return promised_until_; }
  double promise_s() const { return promise_s_; }

 private:
  void Change(LeaderState next);
  Time PromisedUntil() const;

  LeaderState state_ = LeaderState::kFollower;
  std::vector<std::string> peers_;
  double lease_s_;
  double promise_s_;
  Time started_;
  uint64_t revision_ = 0;
  uint64_t lease_id_ = 0;
  uint64_t seen_ = 0;
  Time lease_until_ = -1e9;
  std::map<std::string, Time> granted_until_;
  Time promised_until_ = -1e9;
  std::set<std::string> known_idle_;
};

}  // namespace oxbow
