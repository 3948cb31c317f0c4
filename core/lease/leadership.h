// Who leads: a leased key in the key-value store, and promises between the
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
  kFollower,  // somebody else leads, or nobody
  kSeeking,   // a lease is asked for, the key is being written
  kRenewing,  // holds the key, but somebody may still lead by a promise that
              // this process has forgotten: renews workers' leases, no commands
  kLeading,   // the lease is known to be granted
  kProlonged,  // the service is out; every other controller has promised
  kLapsed,     // was leader, the right has run out; becomes follower again
};

// What a controller is to the others, told with every answer to them.
enum class LeaderRole : uint8_t {
  kNone,         // relies on no promise
  kLeads,        // may come to rely on promises, for the longest right there is
  kRenewsByKey,  // holds the key and relies on no promise
  kRenewsByPromises,  // relies on promises, for a short right
};

class Leadership {
 public:
  // `delegation_s`: how long a promise to a delegate lasts; 0: there are no
  // delegates.
  Leadership(std::vector<std::string> peers, double lease_seconds,
             double promise_seconds, double delegation_seconds, Time started);

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
  // Whether it may take a free key, at least to renew.
  bool MayTakeKey(Time now) const;
  // Whether nobody can rest on a promise that this process has forgotten.
  bool Proven(Time now) const;
  // The same where the key is this controller's own, from a life in which it
  // led: nobody has led since, so only delegates by promises have to be
  // waited for. Who leads by data that the key-value store has lost would have
  // said so.
  bool OwnProven(Time now) const;
  // `seen` is the leader key's revision that the search was decided on. The
  // write has to be conditioned on it, not on what the watch brings meanwhile:
  // that may be the key of somebody who has just won.
  void SeekStarted(uint64_t seen);
  uint64_t seen() const { return seen_; }
  void SeekFailed();
  // `sent` is when the request that the lease counts from was sent. `leads`:
  // it was proven by then; else it only renews.
  void Won(uint64_t revision, uint64_t lease_id, Time sent, bool leads = true);
  // One that renews by the key, and for whom it is proven by now, leads. True
  // if it does.
  bool Promote(Time now);
  void RenewGranted(Time sent);
  // The key was written anew under a right that still stood: into a state
  // service that had lost it.
  void Rewon(uint64_t revision, uint64_t lease_id, Time sent);
  // The key-value store has lost data, and with it perhaps the key of somebody
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
  // `state_fails`: this controller itself cannot reach the key-value store. One
  // that can must refuse, or a leader cut off alone would lead on for ever.
  bool AskedToPromise(bool state_fails, Time now);
  void PeerIs(const std::string& peer, LeaderRole role);
  void PeerDoesNotLead(const std::string& peer) {
    PeerIs(peer, LeaderRole::kNone);
  }
  Time promised_until() const { return promised_until_; }
  double promise_seconds() const { return promise_seconds_; }
  LeaderRole Role(Time now) const;

  // --- renewing workers' leases without leading: reports are answered without
  // commands while nobody can lead. Any number of controllers may at the same
  // time; what must not be is a leader who takes an incarnation for over that
  // another renews. So a delegate by promises holds every other controller's
  // promise not to seek, and a delegate by the key holds the key; a leader by
  // promises, of whom a delegate may not know, takes no incarnation for over
  // (Leader::Tick).
  bool MayRenew(Time now);
  double delegation_seconds() const { return delegation_seconds_; }
  // The number goes into the question, and back with DelegationOver.
  uint64_t DelegationAsked(Time sent);
  void DelegationGranted(const std::string& peer, Time sent);
  // Relies on no promise any more; the number up to which. 0: did not.
  uint64_t DelegationOver(Time now);
  // As the one who promises. `life`: the asker's incarnation.
  bool AskedToDelegate(const std::string& peer,
                       const std::string& process_incarnation, uint64_t number,
                       bool state_fails, Time now);
  // A release that was held back on its way may be older than the promise.
  void DelegationReleased(const std::string& peer,
                          const std::string& process_incarnation,
                          uint64_t number);

 private:
  void Change(LeaderState next);
  Time PromisedUntil() const;
  bool Bound(Time now) const;
  bool AllIdle(bool delegations_are_over) const;
  bool DelegationsAreOver(Time now) const;

  LeaderState state_ = LeaderState::kFollower;
  std::vector<std::string> peers_;
  double lease_seconds_;
  double promise_seconds_;
  Time started_;
  uint64_t revision_ = 0;
  uint64_t lease_id_ = 0;
  uint64_t seen_ = 0;
  Time lease_until_ = -1e9;
  std::map<std::string, Time> granted_until_;
  Time promised_until_ = -1e9;
  std::set<std::string> known_idle_;  // rely on nothing forgotten here
  std::set<std::string> delegates_;  // for delegation_s_ from the start at most
  std::set<std::string> leading_;    // when last asked
  struct DelegationPromise {
    std::string process_incarnation;
    uint64_t number = 0;
    Time until = -1e9;
  };
  double delegation_seconds_;
  uint64_t delegation_number_ = 0;
  Time delegation_asked_ = -1e9;  // the last question
  Time delegation_over_ = -1e9;  // what was granted to questions before is void
  std::map<std::string, Time> delegation_granted_;
  std::map<std::string, DelegationPromise> delegation_promised_;
};

}  // namespace oxbow
