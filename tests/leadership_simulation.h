// The simulation round the right to lead: three controllers, the state
// service, and workers that report to any of them.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/lease/leadership.h"
#include "tests/behavior_trail.h"

namespace oxbow::test::leadership {

inline constexpr double kStep = 0.05;  // s
inline constexpr double kLength = 120;
inline constexpr double kWorkerLease = 10;
inline constexpr double kLeaderLease = 2.5;
inline constexpr double kPromise = 6;
inline constexpr double kDelegation = 1.5;
inline constexpr int kNodes = 3;
inline constexpr int kWorkers = 4;

struct Key {
  int holder = -1;  // -1: the key is not there
  uint64_t process_incarnation = 0;
  uint64_t revision = 0;
  uint64_t lease = 0;
  bool renews_only = false;
  Time ends = 0;
};

struct Worker {
  Time counted = 0;  // when the last heartbeat that was answered was sent
  Time began = 0;    // its incarnation
  Time next_heartbeat = 0;
};

struct ControllerNode {
  std::unique_ptr<Leadership> right;  // null: the process is not there
  uint64_t process_incarnation = 0;
  Time back_at = 0;
  Time stalled_until = 0;
  Time refused_until = 0;  // by the key-value store alone
  Time apart_until = 0;    // from the key-value store and the other controllers
  bool fails = true;       // the last call to the key-value store
  Time next_renewal = 0;
  Time next_hello = 0;
  Time next_promise = 0;
  Time next_delegation = 0;
  Time next_look = 0;
  Time free_since = 1e18;
  Time wanted_until = 0;
  Key seen;
  // As leader: since when each worker's incarnation is counted.
  uint64_t office = 0;
  std::vector<Time> counted = std::vector<Time>(kWorkers, 0);
  std::vector<bool> over = std::vector<bool>(kWorkers, false);
};

class Simulation {
 public:
  // `calm`: nothing goes wrong by itself, no message is lost or held.
  explicit Simulation(uint64_t seed, bool calm = false)
      : random_(seed), calm_(calm) {
    lost_ = calm || Happens(0.4) ? 0 : Between(0, 0.15);
    held_ = calm || Happens(0.4) ? 0 : Between(0, 0.15);
    quick_ = Between(0, 1);
    nodes_.resize(kNodes);
    workers_.resize(kWorkers);
    for (int i = 0; i < kNodes; ++i) Launch(i);
  }

  virtual ~Simulation() = default;
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  // What went wrong first; empty if nothing did.
  std::string Play(double length = kLength) {
    for (; now_ < length && wrong_.empty(); now_ += kStep) Step();
    return wrong_;
  }
  int expired() const { return expired_; }
  int kept() const { return kept_; }
  int led() const { return led_; }

 protected:
  // What goes wrong by plan, at each step.
  virtual void Plan() {}
  struct Later {
    Time at;
    int node;  // -1: of nobody
    uint64_t process_incarnation;
    std::function<void()> what;
  };

  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  bool Every(double seconds) { return !calm_ && Happens(kStep / seconds); }
  static std::string Name(int i) { return std::string(1, 'a' + i); }
  std::string Life(int i) const {
    return std::to_string(nodes_[i].process_incarnation);
  }
  void Wrong(const std::string& what) {
    if (wrong_.empty()) wrong_ = fmt::format("at {:.2f} s: {}", now_, what);
  }

  void Launch(int i) {
    std::vector<std::string> peers;
    for (int other = 0; other < kNodes; ++other) {
      if (other != i) peers.push_back(Name(other));
    }
    ControllerNode& n = nodes_[i];
    const Time refused = n.refused_until;
    const Time apart = n.apart_until;
    n = ControllerNode();
    n.refused_until = refused;
    n.apart_until = apart;
    n.process_incarnation = ++lives_;
    n.right = std::make_unique<Leadership>(peers, kLeaderLease, kPromise,
                                           kDelegation, now_);
  }
  void End(int i) {
    End(i, Happens(quick_) ? Between(0.05, 0.5) : Between(1, 10));
  }
  void End(int i, double away) {
    nodes_[i].right.reset();
    nodes_[i].back_at = now_ + away;
  }

  // Arrives if the process it was sent to is still there; a connection ends
  // with its process.
  void Send(int to, std::function<void()> what) {
    if (Happens(lost_)) return;
    const double way = Happens(held_) ? Between(0.1, 5) : Between(0, 0.02);
    later_.push_back(
        {now_ + way, to, nodes_[to].process_incarnation, std::move(what)});
  }
  // A question and its answer; `answer` runs there, `take` here if it comes.
  template <typename Answer, typename Take>
  void Ask(int from, int to, Answer answer, Take take) {
    if (now_ < nodes_[from].apart_until || now_ < nodes_[to].apart_until) {
      return;
    }
    Send(to, [this, from, to, answer, take,
              process_incarnation = nodes_[from].process_incarnation] {
      const auto said = answer(nodes_[to]);
      if (nodes_[from].process_incarnation != process_incarnation) return;
      Send(from, [this, from, take, said] { take(nodes_[from], said); });
    });
  }

  bool Reaches(const ControllerNode& n) const {
    return now_ >= outage_until_ && now_ >= n.refused_until &&
           now_ >= n.apart_until;
  }
  // A call to the key-value store; false: refused.
  bool Call(ControllerNode& n) {
    n.fails = !Reaches(n);
    return !n.fails;
  }

  void Step() {
    Plan();
    if (Every(25)) {
      outage_until_ = now_ + Between(1, 25);
    }
    // After an outage every lease has its full time again.
    if (now_ < outage_until_) key_.ends = now_ + kLeaderLease;
    if (key_.holder >= 0 && now_ > key_.ends)
      key_ = {-1, 0, ++revision_, 0, false, 0};
    std::vector<Later> due;
    std::erase_if(later_, [&](Later& l) {
      const bool stalled = l.node >= 0 && now_ < nodes_[l.node].stalled_until;
      if (l.at > now_ || stalled) return false;
      due.push_back(std::move(l));
      return true;
    });
    for (Later& l : due) {
      if (l.node >= 0 &&
          (!nodes_[l.node].right ||
           nodes_[l.node].process_incarnation != l.process_incarnation)) {
        continue;
      }
      l.what();
    }
    for (int i = 0; i < kNodes; ++i) {
      ControllerNode& n = nodes_[i];
      if (!n.right) {
        if (now_ >= n.back_at) Launch(i);
        continue;
      }
      if (Every(20)) End(i);
      if (Every(40)) n.refused_until = now_ + Between(0.5, 12);
      if (Every(40)) n.stalled_until = now_ + Between(0.2, 6);
      if (n.right && now_ >= n.stalled_until) Act(i);
    }
    if (Every(60)) {
      for (int i = 0; i < kNodes; ++i) End(i);
    }
    int leaders = 0;
    for (ControllerNode& n : nodes_)
      leaders += n.right && n.right->MayActAsLeader(now_);
    if (leaders > 1) Wrong("two leaders");
    // Who keeps may be unknown to a leader by promises alone, and that one
    // takes nothing for over.
    bool by_lease = false;
    bool keeps = false;
    for (ControllerNode& n : nodes_) {
      if (!n.right) continue;
      by_lease = by_lease || (n.right->MayActAsLeader(now_) &&
                              n.right->state() == LeaderState::kLeading);
      keeps = keeps || n.right->MayRenewWorkerLeases(now_);
    }
    if (by_lease && keeps) Wrong("kept while somebody leads by its lease");
    for (int w = 0; w < kWorkers; ++w) Work(w);
    if (TrailIsWritten()) WriteTrail();
  }

  // What the rights have led to, for the comparison of two versions: who holds
  // the key, what each controller may do, what the workers count from.
  void WriteTrail() {
    TrailState(
        now_, "key",
        fmt::format("{} {} {} {} {:.3f}", key_.holder, key_.process_incarnation,
                    key_.revision, key_.renews_only, key_.ends));
    for (int i = 0; i < kNodes; ++i) {
      const ControllerNode& n = nodes_[i];
      TrailState(now_, "node " + Name(i),
                 n.right ? fmt::format("{} {} {}", n.process_incarnation,
                                       n.right->revision(),
                                       static_cast<int>(n.right->state()))
                         : "gone");
    }
    for (int w = 0; w < kWorkers; ++w) {
      TrailState(
          now_, fmt::format("worker {}", w),
          fmt::format("{:.3f} {:.3f}", workers_[w].counted, workers_[w].began));
    }
    TrailState(
        now_, "tally",
        fmt::format("{} {} {} {}", led_, kept_, expired_, later_.size()));
  }

  void Act(int i) {
    ControllerNode& n = nodes_[i];
    Leadership& r = *n.right;
    for (int other = 0; other < kNodes; ++other) {
      if (other == i || now_ < n.next_hello ||
          r.ForgottenPromisesExpired(now_)) {
        continue;
      }
      Ask(
          i, other, [this](ControllerNode& to) { return to.right->Role(now_); },
          [other](ControllerNode& me, LeaderRole role) {
            me.right->SetPeerRole(Name(other), role);
          });
    }
    if (now_ >= n.next_hello) n.next_hello = now_ + 0.2;
    if (now_ >= n.next_look) {  // the watch, and checks now and then
      n.next_look = now_ + 0.1;
      if (Call(n)) {
        n.seen = key_;
        n.free_since = key_.holder < 0 ? std::min(n.free_since, now_) : 1e18;
      }
    }
    const bool valid = r.MayActAsLeader(now_);
    if (r.state() == LeaderState::kExpired) {
      r.BecomeFollower();
      n.office = 0;
    }
    if (valid) {
      Lead(n);
      if (r.WantsPromises(now_) && now_ >= n.next_promise) {
        n.next_promise = now_ + 0.5;
        AskPromises(i);
      }
    } else if (r.state() == LeaderState::kRenewing) {
      r.PromoteToLeader(now_);
    } else if (r.state() == LeaderState::kFollower) {
      if (!n.fails) Seek(i);
      if (r.state() == LeaderState::kFollower) AskForDelegation(i);
    }
    if ((valid || r.state() == LeaderState::kRenewing) &&
        now_ >= n.next_renewal) {
      n.next_renewal = now_ + 0.2;
      if (Call(n)) {
        if (key_.revision == r.revision()) {
          key_.ends = now_ + kLeaderLease;
          r.RenewGranted(now_);
        } else {
          r.OnKeyLost();
          r.BecomeFollower();
          n.office = 0;
        }
      }
    }
  }

  void AskPromises(int i) {
    const uint64_t revision = nodes_[i].right->revision();
    for (int other = 0; other < kNodes; ++other) {
      if (other == i) continue;
      Ask(
          i, other,
          [this](ControllerNode& to) {
            return to.right->OnPromiseRequested(!Call(to), now_);
          },
          [other, revision, sent = now_](ControllerNode& me, bool yes) {
            if (yes && me.right->revision() == revision) {
              me.right->PromiseGranted(Name(other), sent);
            }
          });
    }
  }

  void Seek(int i) {
    ControllerNode& n = nodes_[i];
    Leadership& r = *n.right;
    const bool proven = r.MayCampaign(now_);
    if (!proven && !r.MayTakeFreeKey(now_)) return;
    const bool mine = n.seen.holder == i &&
                      n.seen.process_incarnation != n.process_incarnation;
    const bool own =
        mine && !n.seen.renews_only && r.ForgottenDelegationsExpired(now_);
    const bool first = proven || now_ >= n.free_since + 0.25 || mine;
    if (!first || (!mine && n.seen.holder >= 0)) return;
    r.OnCampaignStarted(n.seen.revision);
    // Written at once or a little later; the answer is of unknown outcome if
    // the process has ended meanwhile.
    const Time sent = now_;
    const bool leads = proven || own;
    later_.push_back({now_ + Between(0, 0.3), i, n.process_incarnation,
                      [this, i, sent, leads] {
                        ControllerNode& me = nodes_[i];
                        if (!Call(me) || key_.revision != me.right->seen()) {
                          me.right->OnCampaignFailed();
                          return;
                        }
                        key_ = {i,      me.process_incarnation, ++revision_, 0,
                                !leads, sent + kLeaderLease};
                        me.right->OnElected(key_.revision, 1, sent, leads);
                        me.seen = key_;
                      }});
  }

  void AskForDelegation(int i) {
    ControllerNode& n = nodes_[i];
    Leadership& r = *n.right;
    if (!n.fails) {
      const uint64_t number = r.EndDelegation(now_);
      if (number == 0) return;
      for (int other = 0; other < kNodes; ++other) {
        if (other == i) continue;
        Send(other, [this, i, other, number, process_incarnation = Life(i)] {
          nodes_[other].right->DelegationReleased(Name(i), process_incarnation,
                                                  number);
        });
      }
      return;
    }
    if (now_ >= n.wanted_until || now_ < n.next_delegation) return;
    n.next_delegation = now_ + kDelegation / 4;
    const uint64_t number = r.StartDelegationRequest(now_);
    for (int other = 0; other < kNodes; ++other) {
      if (other == i) continue;
      Ask(
          i, other,
          [this, i, number, process_incarnation = Life(i)](ControllerNode& to) {
            return to.right->OnDelegationPromiseRequested(
                Name(i), process_incarnation, number, !Call(to), now_);
          },
          [other, sent = now_](ControllerNode& me, bool yes) {
            if (yes) me.right->DelegationGranted(Name(other), sent);
          });
    }
  }

  void Lead(ControllerNode& n) {
    Leadership& r = *n.right;
    if (n.office != r.revision()) {
      n.office = r.revision();
      ++led_;
      for (int w = 0; w < kWorkers; ++w) {
        n.counted[w] = now_;
        n.over[w] = false;
      }
    }
    if (r.state() != LeaderState::kLeading) return;  // as Leader::Tick
    for (int w = 0; w < kWorkers; ++w) {
      if (n.over[w] || now_ <= n.counted[w] +
                                   kWorkerLease * (1 + kMaxClockDriftRate) +
                                   0.05) {
        continue;
      }
      n.over[w] = true;
      ++expired_;
      if (workers_[w].began <= n.counted[w]) {
        Wrong(fmt::format("worker {}'s session is taken for over and lives on",
                          w));
      }
    }
  }

  void Work(int w) {
    Worker& worker = workers_[w];
    if (now_ - worker.counted > kWorkerLease) {
      worker.counted = worker.began = now_;
    }
    if (Every(30))
      worker.next_heartbeat = now_ + Between(5, 15);  // it is cut off
    if (now_ < worker.next_heartbeat) return;
    worker.next_heartbeat = now_ + Between(0.4, 0.8);
    const int to = static_cast<int>(Between(0, kNodes - 0.001));
    if (!nodes_[to].right) return;
    Send(to, [this, w, to, sent = now_, began = worker.began] {
      ControllerNode& n = nodes_[to];
      bool answered = false;
      if (n.right->MayActAsLeader(now_)) {
        if (n.office == n.right->revision()) {
          n.counted[w] = now_;
          n.over[w] = false;
          answered = true;
        }
      } else {
        answered = n.right->MayRenewWorkerLeases(now_);
        kept_ += answered;
        n.wanted_until = now_ + 1;
      }
      if (!answered || Happens(lost_)) return;
      later_.push_back({now_ + Between(0, 0.05), -1, 0, [this, w, sent, began] {
                          Worker& me = workers_[w];
                          if (me.began == began && now_ - sent < 4) {
                            me.counted = std::max(me.counted, sent);
                          }
                        }});
    });
  }

  std::mt19937_64 random_;
  const bool calm_;
  double lost_ = 0;
  double held_ = 0;
  double quick_ = 0;  // share of restarts within a fraction of a second
  Time now_ = 0;
  Time outage_until_ = 0;
  uint64_t revision_ = 10;
  uint64_t lives_ = 0;
  Key key_;
  std::vector<ControllerNode> nodes_;
  std::vector<Worker> workers_;
  std::vector<Later> later_;
  std::string wrong_;
  int expired_ = 0;
  int kept_ = 0;
  int led_ = 0;
};

}  // namespace oxbow::test::leadership
