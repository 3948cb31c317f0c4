// Leader election, as seen by one controller. The leader is the controller that
// holds a leased key in the key-value store. During an outage of the store the
// leader continues on promises of all other controllers not to campaign for the
// key. The class does no I/O and reads no clock: the caller passes the time and
// makes the requests. Only the functions declared here change the state.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "core/model/state_machine.h"

namespace oxbow {

// The controller's own right to lead, from the campaign for the leader key to
// the end of the leadership.
enum class LeaderState : uint8_t {
  kFollower,     // another controller leads, or none does
  kCampaigning,  // creates a lease and writes the leader key
  kRenewing,     // holds the key, but another controller may still lead by a
                 // promise that an earlier process of this controller gave:
                 // renews workers' leases and sends no commands
  kLeading,      // the lease of the key is known to be valid
  kLeadingByPromises,  // the lease has expired while the store is unavailable;
                       // the promises of all other controllers are valid
  kExpired,  // the right to lead has expired; a follower again after the
             // leader's state has been torn down
};

// What a controller reports about itself in every answer to another controller:
// whether it relies on promises, and on which kind.
enum class LeaderRole : uint8_t {
  kNone,              // relies on no promise
  kLeads,             // may rely on promises to a leader (`promise_seconds`)
  kRenewsByKey,       // holds the leader key and relies on no promise
  kRenewsByPromises,  // relies on promises to a delegate, which are shorter
                      // (`delegation_seconds`)
};

// The state machine of one controller's right to lead, by the lease of the
// leader key or by the other controllers' promises. It makes no requests; its
// owner reports what was sent and answered. Times are seconds of the steady
// clock.
class Leadership {
 public:
  // `peers`: the names of the other controllers. `lease_seconds`: the lease of
  // the leader key. `promise_seconds`: how long a promise to the leader lasts.
  // `delegation_seconds`: how long a promise to a delegate lasts, that is, to a
  // controller that renews workers' leases without leading; 0: there are no
  // delegates. `started`: when this process started.
  Leadership(std::vector<std::string> peers, double lease_seconds,
             double promise_seconds, double delegation_seconds, Time started);

  LeaderState state() const { return state_; }
  uint64_t revision() const { return revision_; }
  uint64_t lease_id() const { return lease_id_; }

  // Whether this controller may act as the leader at this moment. Changes the
  // state when the right to lead has expired, so once the answer is false it
  // stays false until the key has been won again.
  bool MayActAsLeader(Time now);

  // --- Winning and renewing the leader key.
  // Whether this controller may campaign for leadership. A process that has
  // just started does not know which promises an earlier process of this
  // controller gave: it waits until the longest promise must have expired,
  // unless every other controller answers that it does not lead.
  bool MayCampaign(Time now) const;
  // Whether this controller may take a free leader key, if only to renew
  // workers' leases.
  bool MayTakeFreeKey(Time now) const;
  // Whether no other controller can still rely on a promise that an earlier
  // process of this controller gave.
  bool ForgottenPromisesExpired(Time now) const;
  // The same where the leader key is this controller's own, written by an
  // earlier process: no other controller has won the key since, so only
  // promises to delegates count. A controller that still leads by a key that
  // the key-value store has lost is known from its own answer
  // (LeaderRole::kLeads).
  bool ForgottenDelegationsExpired(Time now) const;
  // `seen`: the revision of the leader key on which the decision to campaign
  // was based. The write of the key has this revision as its precondition, and
  // not a later one that the watch delivers meanwhile: that may be the revision
  // of a controller that has just won.
  void OnCampaignStarted(uint64_t seen);
  uint64_t seen() const { return seen_; }
  void OnCampaignFailed();
  // `sent`: when the request was sent from which the lease counts. `leads`:
  // ForgottenPromisesExpired or ForgottenDelegationsExpired was true by then;
  // if false, this controller holds the key and only renews workers' leases.
  void OnElected(uint64_t revision, uint64_t lease_id, Time sent,
                 bool leads = true);
  // Makes a controller in kRenewing the leader once ForgottenPromisesExpired is
  // true. Returns whether it became the leader.
  bool PromoteToLeader(Time now);
  // The lease of the leader key was renewed by a request sent at `sent`.
  void RenewGranted(Time sent);
  // The leader key was written again, while the right to lead was still valid,
  // because the key-value store had lost the key or its lease.
  void OnKeyRewritten(uint64_t revision, uint64_t lease_id, Time sent);
  // The key-value store has lost data, possibly including the key of a leader.
  // As after a start, every controller has to be asked for its role, or the
  // longest promise has to expire.
  void ResetAfterDataLoss(Time now);
  // The leader key belongs to another controller, or does not exist any more.
  void OnKeyLost();
  // Becomes a follower once the leader's state has been torn down.
  void BecomeFollower();

  // --- Promises, on the side of the leader that needs them.
  // Whether to ask the other controllers for promises now.
  bool WantsPromises(Time now) const;
  // `peer` has promised, in answer to a request sent at `sent`.
  void PromiseGranted(const std::string& peer, Time sent);

  // --- Promises, on the side of the controller that gives them.
  // The leader asks this controller to promise not to campaign. Returns false
  // if the promise is refused. `store_fails`: this controller cannot reach the
  // key-value store. A controller that can reach it must refuse, or a leader
  // that is the only one cut off from the store would lead for ever.
  bool OnPromiseRequested(bool store_fails, Time now);
  // A peer has answered that it has this role.
  void SetPeerRole(const std::string& peer, LeaderRole role);
  void PeerDoesNotLead(const std::string& peer) {
    SetPeerRole(peer, LeaderRole::kNone);
  }
  // Until when this controller has promised a leader not to campaign.
  Time promised_until() const { return promised_until_; }
  double promise_seconds() const { return promise_seconds_; }
  // This controller's own role, to be reported to the others.
  LeaderRole Role(Time now) const;

  // --- Renewing workers' leases without leading: heartbeats are answered
  // without commands while no controller can lead. Several controllers may do
  // so at the same time, but no leader may treat a worker incarnation as
  // expired while another controller renews its lease. Therefore a delegate
  // either holds the leader key, or has every other controller's promise not to
  // campaign. A leader that leads by promises may exist unknown to a delegate,
  // and therefore treats no incarnation as expired (Leader::Tick). Whether this
  // controller may renew workers' leases now.
  bool MayRenewWorkerLeases(Time now);
  double delegation_seconds() const { return delegation_seconds_; }
  // This controller asks all others for promises to a delegate. Returns the
  // number of the request, which is sent along with it.
  uint64_t StartDelegationRequest(Time sent);
  // `peer` has promised, in answer to a request sent at `sent`.
  void DelegationGranted(const std::string& peer, Time sent);
  // This controller stops relying on promises to a delegate. Returns the number
  // of its last request, to be sent to the others so that they release their
  // promises up to that request; 0 if it relied on none.
  uint64_t EndDelegation(Time now);
  // A delegate asks this controller to promise not to campaign. Returns false
  // if the promise is refused. `process_incarnation`: of the asking process.
  // `number`: of its request. `store_fails`: as for OnPromiseRequested.
  bool OnDelegationPromiseRequested(const std::string& peer,
                                    const std::string& process_incarnation,
                                    uint64_t number, bool store_fails,
                                    Time now);
  // The delegate releases the promises up to request `number`. Has no effect on
  // a promise to a later request or to another process: the release may have
  // been delayed.
  void DelegationReleased(const std::string& peer,
                          const std::string& process_incarnation,
                          uint64_t number);

 private:
  // The only function that changes the state.
  void Change(LeaderState next);
  // Until when all other controllers' promises to this leader are valid.
  Time PeerPromisesUntil() const;
  // Whether a promise that this process has given is still valid.
  bool IsBoundByPromise(Time now) const;
  // Whether no peer can rely on a promise that an earlier process of this
  // controller gave. `delegations_are_over`: promises to delegates don't count.
  bool NoPeerReliesOnPromises(bool delegations_are_over) const;
  // Whether promises to delegates that an earlier process gave have expired.
  bool DelegationsAreOver(Time now) const;

  LeaderState state_ = LeaderState::kFollower;
  std::vector<std::string> peers_;
  double lease_seconds_;
  double promise_seconds_;
  Time started_;           // of the process, or when data loss was found
  uint64_t revision_ = 0;  // of the leader key won last
  uint64_t lease_id_ = 0;
  uint64_t seen_ = 0;
  Time lease_expires_at_ = -1e9;
  std::map<std::string, Time> peer_promises_until_;
  Time promised_until_ = -1e9;
  // Peers that rely on no promise of an earlier process of this controller.
  std::set<std::string> idle_peers_;
  // Peers that may rely on an earlier process's promise to a delegate, for at
  // most delegation_seconds_ from started_.
  std::set<std::string> delegate_peers_;
  std::set<std::string> leading_peers_;  // those that led when last asked
  struct DelegationPromise {
    std::string process_incarnation;
    uint64_t number = 0;
    Time until = -1e9;
  };
  double delegation_seconds_;
  uint64_t delegation_number_ = 0;       // of the last request
  Time delegation_requested_at_ = -1e9;  // when the last request was sent
  // Promises in answer to requests sent up to this time are void.
  Time delegation_ended_at_ = -1e9;
  std::map<std::string, Time> peer_delegations_until_;
  std::map<std::string, DelegationPromise> given_delegation_promises_;
};

}  // namespace oxbow
