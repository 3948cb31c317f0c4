// The simulation of zones: controllers in zones, the network between
// them and the workers, the key-value store, and what goes wrong.
#pragma once

#include <fmt/format.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/lease/delegated_lease.h"
#include "core/lease/delegated_lease_record.h"
#include "core/lease/partition_detector.h"
#include "core/model/worker_incarnation.h"
#include "tests/behavior_trail.h"

namespace oxbow::test::zones {

inline constexpr double kStep = 0.05;  // s
inline constexpr double kLength = 200;
inline constexpr double kLeaderLease = 2.5;
inline constexpr int kNodes = 5;
inline constexpr int kWorkers = 9;
inline constexpr std::array<int, kNodes> kZoneOf = {0, 0, 1, 1, 2};
inline constexpr int kZones = 3;

inline Settings Deployment() {
  Settings s;
  for (int i = 0; i < kNodes; ++i) {
    s.peers.push_back(
        {std::string(1, 'a' + i), std::string(1, 'x' + kZoneOf[i]), ""});
  }
  return s;
}

struct Record {               // of a right, in the key-value store
  uint64_t mod_revision = 0;  // 0: not there
  uint64_t lease = 0;
};

struct Worker {
  int zone = 0;
  int at = 0;
  uint64_t incarnation = 1;
  uint64_t seq = 0;
  uint64_t token = 0;
  Time counted = 0;  // when the last heartbeat that was answered was sent
  Time began = 0;
  Time next_heartbeat = 0;
  Time cut_until = 0;
  uint64_t asked = 0;  // the heartbeat under way
  bool task = false;
  Time task_cancelled = 1e18;  // its user was told so
  Time kept_since = 1e18;      // by a zone's delegate, while a leader leads
  Time kept_last = -1e9;
  uint64_t kept_from = 0;  // that leader's revision
};

struct View {  // the leader's, of a worker
  WorkerIncarnation incarnation;
  Time counted = 0;
  uint64_t seq = 0;
  Time heard = -1e9;
  Time asked = -1e9;
  bool reported = false;
  bool task = false;
};

struct Office {
  uint64_t revision = 0;
  Time since = 0;
  std::unique_ptr<DelegatedLeases> rights;
  std::vector<View> views{kWorkers};
};

struct ControllerNode {
  uint64_t process_incarnation = 0;  // 0: the process is not there
  Time started = 0;
  Time back_at = 0;
  Time apart_until = 0;  // no key-value store, no peers; its workers reach it
  std::unique_ptr<DelegatedLease> lease;
  std::unique_ptr<DelegatedLeaseRecord> record;
  std::unique_ptr<PartitionDetector> signs;
  bool record_asked = false;
  Time next_record = 0;
  Time next_ask = 0;
  Time next_renewal = 0;
  Time next_look = 0;
  bool state_out = true;
  int leader = -1;  // as last read
  Time met = -1e9;
  Time missed = -1e9;
  uint64_t revision = 0;  // of the key, where it leads
  Time lease_until = -1e9;
  std::unique_ptr<Office> office;
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random_(seed), settings_(Deployment()) {
    lost_ = Happens(0.4) ? 0 : Between(0, 0.1);
    held_ = Happens(0.4) ? 0 : Between(0, 0.1);
    nodes_.resize(kNodes);
    workers_.resize(kWorkers);
    for (int i = 0; i < kNodes; ++i) Launch(i);
    for (int w = 0; w < kWorkers; ++w) {
      workers_[w].zone = w % kZones;
      workers_[w].at = w % kNodes;
      workers_[w].next_heartbeat = Between(0, 1);
    }
  }

  virtual ~Simulation() = default;
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  // What went wrong first; empty if nothing did.
  std::string Play() {
    for (; now_ < kLength && wrong_.empty(); now_ += kStep) Step();
    return wrong_;
  }

 protected:
  virtual void Act(int i) = 0;   // a controller
  virtual void Work(int w) = 0;  // a worker
  struct Later {
    Time at;
    std::function<void()> what;
  };
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Happens(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  bool Every(double seconds) { return Happens(kStep / seconds); }
  int Any(int n) { return static_cast<int>(Between(0, n - 0.001)); }
  static std::string Name(int i) { return std::string(1, 'a' + i); }
  std::string Life(int i) const {
    return std::to_string(nodes_[i].process_incarnation);
  }
  double Age(int i) const { return now_ - nodes_[i].started; }
  void Wrong(const std::string& what) {
    if (wrong_.empty()) wrong_ = fmt::format("at {:.2f} s: {}", now_, what);
  }
  void After(double seconds, std::function<void()> what) {
    later_.push_back({now_ + seconds, std::move(what)});
  }
  double Way() { return Happens(held_) ? Between(0.1, 8) : Between(0, 0.02); }

  void Launch(int i) {
    ControllerNode& n = nodes_[i];
    const Time apart = n.apart_until;
    n = ControllerNode();
    n.apart_until = apart;
    n.process_incarnation = ++lives_;
    n.started = now_;
    n.lease = std::make_unique<DelegatedLease>(settings_.workers);
    n.record = std::make_unique<DelegatedLeaseRecord>(*n.lease);
    n.signs = std::make_unique<PartitionDetector>(settings_.workers);
  }
  void End(int i) {
    nodes_[i].process_incarnation = 0;
    nodes_[i].office.reset();
    nodes_[i].back_at =
        now_ + (Happens(0.7) ? Between(0.05, 0.5) : Between(1, 10));
  }

  // --- the network
  bool ZoneCut(int zone) const { return now_ < cut_until_[zone]; }
  bool Up(int i) const { return nodes_[i].process_incarnation != 0; }
  bool Reaches(int from, int to) const {  // between controllers
    return Up(from) && Up(to) && now_ >= nodes_[from].apart_until &&
           now_ >= nodes_[to].apart_until &&
           (kZoneOf[from] == kZoneOf[to] ||
            (!ZoneCut(kZoneOf[from]) && !ZoneCut(kZoneOf[to])));
  }
  bool ReachesState(int i) const {
    return now_ >= outage_until_ && now_ >= nodes_[i].apart_until &&
           !ZoneCut(kZoneOf[i]);
  }
  bool ReachesWorker(int i, const Worker& w) const {
    return Up(i) && now_ >= w.cut_until &&
           (kZoneOf[i] == w.zone || (!ZoneCut(kZoneOf[i]) && !ZoneCut(w.zone)));
  }
  // A question between controllers; the answer, if it comes.
  template <typename Answer, typename Take>
  void Ask(int from, int to, Answer answer, Take take) {
    if (!Reaches(from, to) || Happens(lost_)) return;
    After(Way(),
          [=, this, process_incarnation = nodes_[from].process_incarnation,
           there = nodes_[to].process_incarnation] {
            if (nodes_[to].process_incarnation != there) return;
            const auto said = answer(nodes_[to]);
            if (!Reaches(from, to) || Happens(lost_)) return;
            After(Way(), [=, this] {
              if (nodes_[from].process_incarnation == process_incarnation)
                take(nodes_[from], said);
            });
          });
  }

  // --- the key-value store
  bool LeaseStands(uint64_t lease) const {
    const auto it = leases_.find(lease);
    return it != leases_.end() && now_ <= it->second;
  }
  void Step() {
    Trouble();
    if (now_ < outage_until_) {
      for (auto& [id, ends] : leases_) {
        ends = now_ + (id == key_lease_ ? kLeaderLease : RecordTtl());
      }
    }
    std::erase_if(leases_, [this](const auto& l) { return now_ > l.second; });
    for (Record& record : records_) {
      if (record.mod_revision != 0 && !LeaseStands(record.lease)) record = {};
    }
    if (holder_ >= 0 && !LeaseStands(key_lease_)) {
      holder_ = -1;
      key_mod_revision_ = ++revision_;
    }
    std::vector<Later> due;
    std::erase_if(later_, [&](Later& l) {
      if (l.at > now_) return false;
      due.push_back(std::move(l));
      return true;
    });
    for (Later& l : due) l.what();
    for (int i = 0; i < kNodes; ++i) {
      if (!Up(i)) {
        if (now_ >= nodes_[i].back_at) Launch(i);
        continue;
      }
      Act(i);
    }
    for (int w = 0; w < kWorkers; ++w) Work(w);
    if (TrailIsWritten()) WriteTrail();
  }

  // What the rights have led to, for the comparison of two versions: who leads,
  // which rights are recorded, what the workers count from and run.
  void WriteTrail() {
    TrailState(now_, "key", fmt::format("{} {}", holder_, key_mod_revision_));
    for (int i = 0; i < kNodes; ++i) {
      const Record& record = records_[i];
      TrailState(now_, fmt::format("right {}", i),
                 fmt::format("{} {}", record.mod_revision, record.lease));
    }
    for (int w = 0; w < kWorkers; ++w) {
      const Worker& worker = workers_[w];
      TrailState(
          now_, fmt::format("worker {}", w),
          fmt::format("{} {} {} {:.3f} {}", worker.at, worker.incarnation,
                      worker.token, worker.counted, worker.task));
    }
    TrailState(now_, "later", fmt::format("{}", later_.size()));
  }
  double RecordTtl() const {
    return DelegatedLeaseRecordTerm(settings_.workers);
  }

  void Trouble() {
    if (Every(50)) {
      cut_until_[Any(kZones)] = now_ + Between(2, 60);
      if (Happens(0.3)) {
        After(Between(0, 8), [this] {
          for (int i = 0; i < kNodes; ++i) End(i);
        });
      }
    }
    if (Every(60)) outage_until_ = now_ + Between(1, 20);
    if (Every(40)) {
      const int how_many = 1 + Any(kNodes);
      const double length = Between(2, 70);
      for (int i = 0; i < how_many; ++i) {
        nodes_[Any(kNodes)].apart_until = now_ + length;
      }
    }
    for (int i = 0; i < kNodes; ++i) {
      if (Up(i) && Every(60)) End(i);
    }
    for (Worker& w : workers_) {
      if (Every(90)) w.cut_until = now_ + Between(1, 30);
    }
  }

  // Requests to the key-value store: refused, answered, or without an answer
  // and executed up to half a minute later.
  template <typename Execute, typename Take>
  void AskState(int i, Execute execute, Take take) {
    ControllerNode& n = nodes_[i];
    n.record_asked = true;
    const uint64_t process_incarnation = n.process_incarnation;
    const auto back = [=, this](int said) {
      ControllerNode& me = nodes_[i];
      if (me.process_incarnation != process_incarnation) return;
      me.record_asked = false;
      take(me, said);
    };
    if (!ReachesState(i)) {
      After(0.1, [=] { back(-1); });
      return;
    }
    if (Happens(late_writes_)) {
      After(Between(0.5, 30), [=, this] {
        if (now_ >= outage_until_) execute();
      });
      After(1, [=] { back(-1); });
      return;
    }
    After(Between(0, 0.05), [=, this] {
      const int said = now_ >= outage_until_ ? execute() : -1;
      After(Between(0, 0.02), [=] { back(said); });
    });
  }

  std::mt19937_64 random_;
  const Settings settings_;
  double lost_ = 0;
  double held_ = 0;
  double late_writes_ = 0.03;
  Time now_ = 0;
  Time outage_until_ = 0;
  std::array<Time, kZones> cut_until_{};
  std::array<Record, kNodes> records_;
  std::map<uint64_t, Time> leases_;
  uint64_t last_lease_ = 0;
  uint64_t key_lease_ = 0;
  uint64_t key_mod_revision_ = 1;
  int holder_ = -1;
  uint64_t revision_ = 10;
  uint64_t lives_ = 0;
  std::vector<ControllerNode> nodes_;
  std::vector<Worker> workers_;
  std::vector<Later> later_;
  std::string wrong_;
};

}  // namespace oxbow::test::zones
