// Who leads: a leased key in the key-value store, and promises between the
// controllers that let the leader continue through an outage of the store. No
// I/O, no clock: the caller tells the time and makes the requests. Owned by one
// controller; its state is changed by the functions here alone.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// The controller's own right to lead, from seeking the key to its end.
enum class LeaderState : uint8_t {
  kFollower,     // somebody else leads, or nobody
  kCampaigning,  // a lease is asked for, the key is being written
  kRenewing,  // has the key, but somebody may still lead by a promise that this
              // process has forgotten: renews workers' leases, no commands
  kLeading,   // the lease is known to be granted
  kProlonged,  // the store is unavailable; every other controller has promised
  kExpired,    // was leader, the lease has expired; becomes follower again
};

// What a controller is to the others, sent with every answer to them.
enum class LeaderRole : uint8_t {
  kNone,              // relies on no promise
  kLeads,             // may come to rely on promises, the longest-lived ones
  kRenewsByKey,       // has the key and relies on no promise
  kRenewsByPromises,  // relies on short-lived promises
};

// The state machine of one controller's right to lead, by the lease of the
// leader key or by promises of the others. Makes no requests; its owner reports
// what was sent and answered. Times are of the steady clock, s.
class Leadership {
 public:
  // `peers`: the names of the other controllers. `promise_seconds`: how long a
  // promise to the leader lasts. `delegation_seconds`: how long one to a
  // delegate lasts; 0: there are no delegates.
  Leadership(std::vector<std::string> peers, double lease_seconds,
             double promise_seconds, double delegation_seconds, Time started);

  LeaderState state() const { return state_; }
  uint64_t revision() const { return revision_; }
  uint64_t lease_id() const { return lease_id_; }

  // Whether this controller may act as the leader at this moment. Changes the
  // state when the right has expired, so the answer never changes back to true
  // without a new revision.
  bool MayActAsLeader(Time now);

  // --- winning and renewing the key
  // Whether to try to become the leader. A starting controller has forgotten
  // what it promised: it waits out the longest promise, unless every other one
  // answers that it does not lead.
  bool MayCampaign(Time now) const;
  // Whether it may take a free key, at least to renew.
  bool MayTakeFreeKey(Time now) const;
  // Whether nobody can rely on a promise that this process has forgotten.
  bool ForgottenPromisesExpired(Time now) const;
  // The same where the key is this controller's own, from before a restart:
  // nobody has led since, so only delegates by promises have to be waited for.
  // Whoever leads by data that the key-value store has lost would have answered
  // so.
  bool ForgottenDelegationsExpired(Time now) const;
  // `seen` is the leader key's revision that the search was decided on. The
  // write needs it as precondition, not what the watch delivers meanwhile: that
  // may be the key of a controller that has just won.
  void OnCampaignStarted(uint64_t seen);
  uint64_t seen() const { return seen_; }
  void OnCampaignFailed();
  // `sent`: when the request was sent that the lease counts from. `leads`: it
  // was proven by then (Proven, ForgottenDelegationsExpired); else this
  // controller only renews.
  void OnElected(uint64_t revision, uint64_t lease_id, Time sent,
                 bool leads = true);
  // A controller that renews by the key leads once that is proven. True if it
  // does from now on.
  bool PromoteToLeader(Time now);
  void RenewGranted(Time sent);
  // The key was written anew while the right to lead was still valid: into a
  // store that had lost it.
  void Rewon(uint64_t revision, uint64_t lease_id, Time sent);
  // The key-value store has lost data, and with it perhaps the key of a leader:
  // as after a start, every controller has to be asked, or the longest promise
  // waited out.
  void ResetAfterDataLoss(Time now);
  // The key is known to be another's, or gone.
  void OnKeyLost();
  // Becomes a follower once the leader's state has been torn down.
  void BecomeFollower();

  // --- promises, as the one that needs them
  bool WantsPromises(Time now) const;
  void PromiseGranted(const std::string& peer, Time sent);

  // --- promises, as the one that gives them
  // `state_fails`: this controller cannot reach the key-value store. One that
  // can must refuse, or a leader that alone is partitioned off would lead for
  // ever. False: refused.
  bool OnPromiseRequested(bool state_fails, Time now);
  void SetPeerRole(const std::string& peer, LeaderRole role);
  void PeerDoesNotLead(const std::string& peer) {
    SetPeerRole(peer, LeaderRole::kNone);
  }
  Time promised_until() const { return promised_until_; }
  double promise_seconds() const { return promise_seconds_; }
  LeaderRole Role(Time now) const;

  // --- renewing workers' leases without leading: heartbeats are answered
  // without commands while nobody can lead. Any number of controllers may do so
  // at the same time; but no leader may treat an incarnation as expired whose
  // lease another controller renews. So a delegate by promises has every other
  // controller's promise not to seek, and a delegate by the key has the key; a
  // leader by promises, which a delegate may not know of, treats no incarnation
  // as expired (Leader::Tick).
  bool MayRenewWorkerLeases(Time now);
  double delegation_seconds() const { return delegation_seconds_; }
  // The promises of all others are asked for. Returns the number of the
  // request, to be sent with it and released with EndDelegation.
  uint64_t StartDelegationRequest(Time sent);
  void DelegationGranted(const std::string& peer, Time sent);
  // Stops relying on promises. Returns the number of the last request, to
  // release it and all before; 0: did not rely on any.
  uint64_t EndDelegation(Time now);
  // As the one that promises. `process_incarnation`: of the asking process.
  // False: refused.
  bool OnDelegationPromiseRequested(const std::string& peer,
                                    const std::string& process_incarnation,
                                    uint64_t number, bool state_fails,
                                    Time now);
  // The promise is released. A delayed release may be older than the promise.
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
  // May rely on promises to delegates, for delegation_seconds_ from the start.
  std::set<std::string> delegates_;
  std::set<std::string> leading_;  // when last asked
  struct DelegationPromise {
    std::string process_incarnation;
    uint64_t number = 0;
    Time until = -1e9;
  };
  double delegation_seconds_;
  uint64_t delegation_number_ = 0;
  Time delegation_asked_ = -1e9;  // the last request
  // Promises in answer to requests before this are void.
  Time delegation_over_ = -1e9;
  std::map<std::string, Time> delegation_granted_;
  std::map<std::string, DelegationPromise> delegation_promised_;
};

}  // namespace oxbow
