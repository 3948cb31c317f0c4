// Randomized simulations round zones that are cut off and controllers that are
// out of reach: zones cut, controllers without key-value store and peers but
// with their workers (one, several, all), outages, controllers that end and are
// back within a fraction of a second, messages late and lost, writes to the
// state service that arrive long after they were given up. A seed makes a run.
//
// What must hold: no leader takes an incarnation for over that lives on, a
// cancelled task is gone within `cancel_s`, and where a leader leads that
// reaches a worker both ways, nobody else keeps that worker for long.

#include "tests/zone_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <tuple>

#include "tests/behavior_trail.h"

namespace oxbow::test::zones {
namespace {

class RandomSimulation : public Simulation {
 public:
  using Simulation::Simulation;

  int over() const { return over_; }
  int kept() const { return kept_; }
  int led() const { return led_; }
  int sent_on() const { return sent_on_; }
  double longest_kept() const { return longest_kept_; }

 private:
  // --- a controller
  bool Leads(int i) const {
    return Up(i) && nodes_[i].office && now_ < nodes_[i].lease_until;
  }
  void Act(int i) override {
    ControllerNode& n = nodes_[i];
    if (now_ >= n.next_look) {
      n.next_look = now_ + 0.1;
      n.state_out = !ReachesState(i);
      if (!n.state_out) n.leader = holder_;
    }
    if (n.revision != 0 && now_ >= n.lease_until) {
      n.revision = 0;
      n.office.reset();
    }
    if (!n.state_out && holder_ < 0 && n.revision == 0 && Every(0.3)) Seek(i);
    if (n.revision != 0 && now_ >= n.next_renewal) {
      n.next_renewal = now_ + 0.5;
      if (ReachesState(i) && key_mod_revision_ == n.revision) {
        leases_[key_lease_] = now_ + kLeaderLease;
        n.lease_until = now_ + kLeaderLease * (1 - kMaxClockDriftRate);
      }
    }
    if (n.revision != 0 && !n.office) StartLeading(i);
    if (Leads(i)) Lead(i);
    AskForZone(i);
    KeepRecord(i);
  }
  void Seek(int i) {
    const uint64_t seen = key_mod_revision_;
    After(Between(0, 0.2),
          [this, i, seen, sent = now_,
           process_incarnation = nodes_[i].process_incarnation] {
            ControllerNode& n = nodes_[i];
            if (n.process_incarnation != process_incarnation ||
                !ReachesState(i) || key_mod_revision_ != seen)
              return;
            leases_.erase(key_lease_);
            key_lease_ = ++last_lease_;
            leases_[key_lease_] = now_ + kLeaderLease;
            holder_ = i;
            n.revision = key_mod_revision_ = ++revision_;
            n.lease_until = sent + kLeaderLease * (1 - kMaxClockDriftRate);
            n.leader = i;
          });
  }
  void StartLeading(int i) {
    ControllerNode& n = nodes_[i];
    std::optional<std::set<std::string>> recorded;
    if (ReachesState(i)) recorded = Recorded();
    n.office = std::make_unique<Office>();
    n.office->revision = n.revision;
    n.office->since = now_;
    n.office->rights =
        std::make_unique<DelegatedLeases>(settings_, now_, recorded);
    ++led_;
    for (int w = 0; w < kWorkers; ++w) {
      View& v = n.office->views[w];
      v.incarnation.Change(IncarnationEvent::kFailover, 0, now_);
      v.counted = now_;
      v.task = true;  // perhaps
      Probe(i, w);
    }
  }
  std::set<std::string> Recorded() const {
    std::set<std::string> names;
    for (int i = 0; i < kNodes; ++i) {
      if (records_[i].mod_revision != 0) names.insert(Name(i));
    }
    return names;
  }
  void AskForZone(int i) {
    ControllerNode& n = nodes_[i];
    if (now_ < n.next_ask) return;
    n.next_ask = now_ + 0.3;
    if (Leads(i)) {
      n.met = now_;
      if (Settled(i, kZoneOf[i])) n.lease->OnGranted(now_);
      return;
    }
    const int leader = n.leader;
    if (leader < 0 || leader == i) return;
    const Time sent = now_;
    n.missed = std::max(n.missed, sent);  // until it answers
    Ask(
        i, leader,
        [this, i, leader, process_incarnation = Life(i),
         age = Age(i)](ControllerNode& to) {
          if (!Leads(leader)) return 0;
          if (!Settled(leader, kZoneOf[i])) return 1;
          to.office->rights->Grant(Name(i), process_incarnation, age, now_);
          return 2;
        },
        [sent](ControllerNode& me, int said) {
          if (said > 0) me.met = std::max(me.met, sent + 0.3);
          if (said == 2) me.lease->OnGranted(sent);
        });
  }
  bool CutOff(int i) const {
    const ControllerNode& n = nodes_[i];
    if (!n.state_out) return false;
    if (n.leader < 0 || n.leader == i) return !Leads(i);
    return n.missed > n.met;
  }
  void KeepRecord(int i) {
    ControllerNode& n = nodes_[i];
    if (n.record_asked || now_ < n.next_record) return;
    n.next_record = now_ + 0.2;
    const Time sent = now_;
    switch (n.record->step()) {
      case RecordStep::kRead:
        AskState(
            i, [this, i] { return static_cast<int>(records_[i].mod_revision); },
            [](ControllerNode& me, int said) {
              if (said >= 0) me.record->OnKeyRead(static_cast<uint64_t>(said));
            });
        break;
      case RecordStep::kLease:
        AskState(
            i,
            [this] {
              leases_[++last_lease_] = now_ + RecordTtl();
              return static_cast<int>(last_lease_);
            },
            [sent](ControllerNode& me, int said) {
              if (said >= 0) {
                me.record->LeaseGranted(static_cast<uint64_t>(said), sent);
              }
            });
        break;
      case RecordStep::kWrite:
        AskState(
            i,
            [this, i, mod_revision = n.record->mod_revision(),
             lease = n.record->lease_id()] {
              if (records_[i].mod_revision != mod_revision ||
                  !LeaseStands(lease))
                return -1;
              records_[i] = {++revision_, lease};
              return 1;
            },
            [this](ControllerNode& me, int said) {
              if (said > 0) {
                me.record->OnRecordWritten(now_);
              } else {
                me.record->OnRecordNotWritten();
              }
            });
        break;
      case RecordStep::kRenew:
        AskState(
            i,
            [this, lease = n.record->lease_id()] {
              if (!LeaseStands(lease)) return 0;
              leases_[lease] = now_ + RecordTtl();
              return 1;
            },
            [sent](ControllerNode& me, int said) {
              if (said == 1) me.record->OnKeyLeaseRenewed(sent);
              if (said == 0) me.record->LeaseEnded();
            });
        break;
    }
  }

  // --- the leader
  // As Leader::ZoneMayBeDelegated.
  bool Settled(int i, int zone) const {
    for (int w = 0; w < kWorkers; ++w) {
      const View& v = nodes_[i].office->views[w];
      if (workers_[w].zone != zone) continue;
      if (!v.reported) return false;
      if (v.task && now_ - workers_[w].task_cancelled >=
                        CancellationMargin(settings_.workers) / 2) {
        return false;
      }
    }
    return true;
  }
  void Lead(int i) {
    Office& office = *nodes_[i].office;
    const double lease = settings_.workers.lease_seconds;
    for (int w = 0; w < kWorkers; ++w) {
      View& v = office.views[w];
      Worker& worker = workers_[w];
      const std::string zone(1, 'x' + worker.zone);
      // A user cancels the task, and is told so.
      if (v.task && v.reported && worker.task_cancelled > now_ && Every(60)) {
        worker.task_cancelled = now_;
      }
      if (now_ - std::max(v.heard, office.since) > 1.6 && now_ - v.asked > 1) {
        Probe(i, w);
      }
      if (v.incarnation.state() == IncarnationState::kExpired) continue;
      const double early = 2 * LeaseYieldSeconds(settings_.workers);
      if (now_ <= v.incarnation.MayLiveUntil(lease) - early) continue;
      for (const std::string& name :
           office.rights->PeersToAskToYield(zone, now_)) {
        AskToStandBack(i, name[0] - 'a');
      }
      if (now_ <= v.incarnation.MayLiveUntil(lease) ||
          office.rights->MayBeRenewed(zone, now_)) {
        continue;
      }
      v.incarnation.Change(IncarnationEvent::kExpire, 0, now_);
      v.task = false;
      v.reported = true;
      ++over_;
      if (worker.began <= v.counted) {
        Wrong(fmt::format("worker {}'s session is taken for over and lives on",
                          w));
      }
    }
    if (Every(1)) {
      const Time sent = now_;
      After(Between(0, 0.1), [=, this, revision = nodes_[i].revision] {
        if (!ReachesState(i) || !Leads(i) || nodes_[i].revision != revision) {
          return;
        }
        nodes_[i].office->rights->OnRecordsRead(Recorded(), sent, now_);
      });
    }
  }
  void AskToStandBack(int i, int to) {
    if (to == i) return;
    Ask(
        i, to,
        [this, to](ControllerNode& there) {
          there.met = now_ + 0.3;
          const bool yes = there.lease->OnYieldRequested(now_);
          return std::tuple{yes, Life(to), Age(to),
                            there.lease->RenewedAgo(now_)};
        },
        [this, i, to, sent = now_](ControllerNode& me, const auto& said) {
          if (!std::get<0>(said) || !Leads(i)) return;
          me.office->rights->LeaseYielded(Name(to), std::get<1>(said),
                                          std::get<2>(said), std::get<3>(said),
                                          sent, now_);
        });
  }
  Heartbeat HeartbeatOf(int w) {
    Worker& me = workers_[w];
    Heartbeat heartbeat;
    heartbeat.host = std::to_string(w);
    heartbeat.incarnation = me.incarnation;
    heartbeat.seq = ++me.seq;
    heartbeat.token = me.token;
    if (me.task) heartbeat.tasks.push_back({});
    return heartbeat;
  }
  void Probe(int i, int w) {
    nodes_[i].office->views[w].asked = now_;
    if (!ReachesWorker(i, workers_[w]) || Happens(lost_)) return;
    After(Between(0, 0.05), [=, this, revision = nodes_[i].revision] {
      if (!ReachesWorker(i, workers_[w]) || !Leads(i)) return;
      Expire(w);
      // Its order raises the token; the answer is its report.
      workers_[w].token = std::max(workers_[w].token, revision << 20);
      const Heartbeat heartbeat = HeartbeatOf(w);
      After(Way(), [=, this] {
        if (Leads(i) && nodes_[i].revision == revision)
          Heard(i, w, heartbeat, false);
      });
    });
  }
  // As Leader::OnHeartbeat and OnProbeAnswer.
  void Heard(int i, int w, const Heartbeat& heartbeat, bool by_heartbeat) {
    View& v = nodes_[i].office->views[w];
    if (by_heartbeat) {
      v.incarnation.Change(IncarnationEvent::kAnswered, 0, now_);
      v.counted = std::max(v.counted, now_);
    }
    if (!v.incarnation.MayBeCurrent(heartbeat.incarnation) ||
        (heartbeat.incarnation == v.incarnation.number() &&
         heartbeat.seq <= v.seq)) {
      return;
    }
    if (v.incarnation.Change(IncarnationEvent::kShown, heartbeat.incarnation,
                             now_)) {
      v.counted = now_;
    }
    v.seq = heartbeat.seq;
    v.heard = now_;
    v.reported = true;
    v.task = !heartbeat.tasks.empty();
  }

  // --- a worker
  void Expire(int w) {
    Worker& me = workers_[w];
    if (now_ - me.counted <= settings_.workers.lease_seconds) return;
    me.task = false;
    me.task_cancelled = 1e18;
    ++me.incarnation;
    me.seq = 0;
    me.counted = me.began = now_;
  }
  void Work(int w) override {
    Worker& me = workers_[w];
    Expire(w);
    if (me.task &&
        now_ > me.task_cancelled + settings_.workers.cancel_seconds) {
      Wrong(fmt::format("worker {}'s cancelled task is still there", w));
    }
    if (now_ < me.next_heartbeat || me.asked != 0) return;
    me.asked = ++reports_;
    const uint64_t number = me.asked;
    const int to = me.at;
    const Heartbeat heartbeat = HeartbeatOf(w);
    After(4, [=, this] { NoAnswer(w, number, /*next=*/true); });
    if (!ReachesWorker(to, me)) {
      // Silence behind a cut, a refusal where nothing listens.
      if (!Up(to)) NoAnswer(w, number, true);
      return;
    }
    if (Happens(lost_ / 4)) return;
    const double late = Happens(held_ / 4) ? Between(4, 20) : Between(0, 0.02);
    After(late, [=, this, sent = now_,
                 process_incarnation = nodes_[to].process_incarnation] {
      if (nodes_[to].process_incarnation == process_incarnation)
        Arrives(w, to, number, heartbeat, sent);
    });
  }
  void NoAnswer(int w, uint64_t number, bool next) {
    Worker& me = workers_[w];
    if (me.asked != number) return;
    me.asked = 0;
    if (next) me.at = (me.at + 1) % kNodes;
    me.next_heartbeat = now_ + 1;
  }
  void Arrives(int w, int i, uint64_t number, const Heartbeat& heartbeat,
               Time sent) {
    ControllerNode& n = nodes_[i];
    int leader = Leads(i) ? i : -1;
    // Handed on to a leader in another zone.
    if (leader < 0 && n.leader >= 0 && Reaches(i, n.leader) &&
        Leads(n.leader) && kZoneOf[n.leader] != kZoneOf[i] &&
        kZoneOf[i] == workers_[w].zone) {
      leader = n.leader;
      n.met = now_ + 0.3;
    }
    if (leader >= 0) {
      n.signs->Clear();
      Heard(leader, w, heartbeat, true);
      const uint64_t token = nodes_[leader].revision << 20;
      const int home = Happens(0.05) ? HomeOf(w, leader) : -1;
      Answer(w, i, number, heartbeat.incarnation, sent, home < 0 ? 200 : 421,
             home, token, workers_[w].task_cancelled <= now_);
      return;
    }
    // Until it is known whether it is cut off.
    const double wait = CutOff(i) ? 0.0 : 1.2;
    After(wait, [=, this, process_incarnation = n.process_incarnation] {
      ControllerNode& me = nodes_[i];
      if (me.process_incarnation != process_incarnation) return;
      bool keeps = false;
      if (heartbeat.token > 0 && kZoneOf[i] == workers_[w].zone && CutOff(i)) {
        if (me.signs->ShouldRedirect(heartbeat, now_)) {
          ++sent_on_;
        } else if (me.lease->Renew(now_)) {
          me.signs->OnAnswered(heartbeat, now_);
          keeps = true;
          ++kept_;
        }
      } else if (!CutOff(i)) {
        me.signs->Clear();
      }
      const int named = keeps || CutOff(i) || me.leader == i ? -1 : me.leader;
      Answer(w, i, number, heartbeat.incarnation, sent, keeps ? 200 : 421,
             named, heartbeat.token, false);
    });
  }
  int HomeOf(int w, int leader) {
    if (kZoneOf[leader] == workers_[w].zone) return -1;
    for (int i = 0; i < kNodes; ++i) {
      if (kZoneOf[i] == workers_[w].zone && Reaches(i, leader)) return i;
    }
    return -1;
  }
  void Answer(int w, int from, uint64_t number, uint64_t incarnation, Time sent,
              int status, int named, uint64_t token, bool kill) {
    if (!ReachesWorker(from, workers_[w]) || Happens(lost_ / 4)) return;
    After(Between(0, 0.02), [=, this] {
      Worker& me = workers_[w];
      if (me.asked != number) return;
      Expire(w);
      if (status == 421) {
        const bool other = named >= 0 && named != me.at;
        NoAnswer(w, number, !other);
        if (other) {
          me.at = named;
          me.next_heartbeat = now_ + Between(0, 0.5);
        }
        return;
      }
      me.asked = 0;
      me.next_heartbeat =
          now_ +
          Between(0.75, 1.25) * settings_.workers.heartbeat_interval_seconds;
      if (me.incarnation != incarnation || token < me.token) return;
      const bool raised = token > me.token;
      me.token = token;
      me.counted = std::max(me.counted, sent);
      if (kill && me.task) {
        me.task = false;
        me.task_cancelled = 1e18;
      } else if (!me.task && Happens(0.2)) {
        me.task = true;  // started again
        me.task_cancelled = 1e18;
      }
      NoteWhoRenews(w, from, raised);
    });
  }
  // For how long a worker is held by a delegate whom a leader waits for.
  void NoteWhoRenews(int w, int from, bool raised) {
    Worker& me = workers_[w];
    const int leader = holder_;
    const bool waits = leader >= 0 && leader != from && Leads(leader) &&
                       ReachesWorker(leader, me) && !Reaches(from, leader) &&
                       !raised;
    if (!waits) {
      me.kept_since = 1e18;
      return;
    }
    // Behind a cut of its own nobody kept it.
    constexpr double kRound = 5;
    if (now_ - me.kept_last > kRound || me.kept_from != key_mod_revision_) {
      me.kept_since = now_;
      me.kept_from = key_mod_revision_;
    }
    me.kept_last = now_;
    me.kept_since = std::min(me.kept_since, now_);
    longest_kept_ = std::max(longest_kept_, now_ - me.kept_since);
  }

  uint64_t reports_ = 0;
  int over_ = 0;
  int kept_ = 0;
  int led_ = 0;
  int sent_on_ = 0;
  double longest_kept_ = 0;
};

class ZoneSimulations : public testing::TestWithParam<int> {};

constexpr int kParts = 8;
// Leases. A right alone would keep them for three.
constexpr double kLongest = 2;

TEST_P(ZoneSimulations, NothingKeptIsTakenForOverAndNoneIsKeptFromALeader) {
  const char* text = std::getenv("OXBOW_SEEDS");
  const char* only = std::getenv("OXBOW_SEED");
  const int seeds = text == nullptr ? 30 : std::atoi(text);
  int over = 0;
  int kept = 0;
  int led = 0;
  int sent_on = 0;
  double longest = 0;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = static_cast<uint64_t>(GetParam() + kParts * i);
    if (only != nullptr && std::to_string(seed) != only) continue;
    const TrailedRun trailed("zones", seed);
    RandomSimulation simulation(seed);
    ASSERT_EQ(simulation.Play(), "") << "seed " << seed << ", after " << i;
    over += simulation.over();
    kept += simulation.kept();
    led += simulation.led();
    sent_on += simulation.sent_on();
    longest = std::max(longest, simulation.longest_kept());
    ASSERT_LT(simulation.longest_kept(),
              kLongest * Deployment().workers.lease_seconds)
        << "seed " << seed << ", after " << i;
  }
  std::printf(
      "taken for over %d, kept %d, sent on %d, kept from a leader for "
      "%.2f s at the most\n",
      over, kept, sent_on, longest);
  if (only != nullptr) return;
  EXPECT_GT(over, seeds);
  EXPECT_GT(kept, seeds);
  EXPECT_GT(sent_on, seeds);
  EXPECT_GT(led, 3 * seeds);
}

INSTANTIATE_TEST_SUITE_P(Parts, ZoneSimulations, testing::Range(0, kParts));

}  // namespace
}  // namespace oxbow::test::zones
