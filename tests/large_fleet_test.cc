// Limits the cost of a single event for the leader of a large cluster. The cost
// is counted in units of work, not in time (see SchedulingWork).

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "core/leader/leader.h"

namespace oxbow {
namespace {

constexpr double kLeaseSeconds = 22;
constexpr double kHeartbeatSeconds = 4;
constexpr int kMachines = 4000;
constexpr int kServices = 400;
constexpr uint32_t kReplicas = 8;
constexpr int kGangs = 40;
constexpr int kArrays = 40;

// A leader that has just taken over. All jobs were accepted by an earlier
// leader and wait until every machine has sent a heartbeat.
class LargeFleet : public testing::Test {
 protected:
  LargeFleet() {
    settings_.node = "c-0";
    settings_.nodes = 3;
    settings_.zones = {"a", "b"};
    settings_.workers = {kHeartbeatSeconds, kLeaseSeconds, 50, 6, 52};
    settings_.teams = {{"team", 0, 0, 0, 0}};
    for (int i = 0; i < kMachines; ++i) AddMachine(i);
    for (int i = 0; i < kServices; ++i) {
      AddJob(JobKind::kService, Priority::kProduction, kReplicas, {1, 0, 2});
    }
    for (int i = 0; i < kGangs; ++i) {
      AddJob(JobKind::kGang, Priority::kNormal, 4, {57, 8, 310});
    }
    for (int i = 0; i < kArrays; ++i) {
      AddJob(JobKind::kArray, Priority::kNormal, 200, {1, 0, 2});
    }
    leader_ = std::make_unique<Leader>(settings_, tuning_, catalog_,
                                       ++revision_, now_, /*wall*/ 0.0,
                                       /*seed*/ 1);
    leader_->OnTypes({Type("small", {8, 0, 64}), Type("large", {64, 8, 384})});
  }

  static MachineType Type(const std::string& name, const Resources& total) {
    MachineType type;
    type.name = name;
    type.total = total;
    type.cache_gb = 50;
    type.zones = {"a", "b"};
    return type;
  }
  static std::string HostOf(int machine) {
    return fmt::format("n-{:06}", machine);
  }
  static std::string TypeOf(int machine) {
    return machine % 8 == 0 ? "large" : "small";
  }
  static std::string ZoneOf(int machine) {
    return machine % 2 == 0 ? "a" : "b";
  }

  void AddMachine(int machine) {
    const MachineRecord record = {TypeOf(machine), ZoneOf(machine),
                                  /*spot=*/false, "10.0.0.1:9000",
                                  /*requested_wall=*/1};
    catalog_.Put(keys::Of(keys::kMachine, HostOf(machine)), record,
                 ++revision_);
  }
  void AddJob(JobKind kind, Priority priority, uint32_t tasks,
              const Resources& need) {
    auto spec = std::make_shared<JobSpec>();
    spec->id = fmt::format("job-{:06}", jobs_++);
    spec->job_class = "class";
    spec->team = "team";
    spec->kind = kind;
    spec->priority = priority;
    spec->tasks = tasks;
    spec->need = need;
    spec->image = "image";
    spec->image_gb = 1;
    const std::string key = keys::Of(keys::kJob, spec->id);
    catalog_.Put(key, JobRecord{spec, /*submitted_wall=*/1}, ++revision_);
  }

  // Every machine sends a heartbeat with the latest fencing token.
  void HeartbeatOfAll() {
    for (int i = 0; i < kMachines; ++i) {
      now_ += kHeartbeatSeconds / kMachines;
      Heartbeat heartbeat;
      heartbeat.host = HostOf(i);
      heartbeat.endpoint = "10.0.0.1:9000";
      heartbeat.type = TypeOf(i);
      heartbeat.zone = ZoneOf(i);
      heartbeat.incarnation = 1;
      heartbeat.seq = ++seq_;
      heartbeat.token = token_;
      token_ = leader_->OnHeartbeat(heartbeat, now_).token;
      leader_->TakeActions();
    }
  }
  void Tick() {
    now_ += 0.05 * kHeartbeatSeconds;
    leader_->Tick(now_);
    leader_->TakeActions();
  }
  uint32_t UnplacedTasks() const {
    uint32_t unplaced = 0;
    for (const auto& [id, job] : leader_->jobs()) unplaced += job->unplaced();
    return unplaced;
  }

  Settings settings_;
  Tuning tuning_;
  Catalog catalog_;
  std::unique_ptr<Leader> leader_;
  uint64_t revision_ = 0;
  uint64_t seq_ = 0;
  FencingToken token_ = 0;
  int jobs_ = 0;
  Time now_ = 100;
};

TEST_F(LargeFleet, NoEventOfATakeoverOutlastsTheLeadersLease) {
  // At 0.1 us per machine considered, 0.1 s of processor time, or half a second
  // for a process that gets a fifth of a processor.
  constexpr uint64_t kMaxMachinesConsidered = 1'100'000;
  HeartbeatOfAll();
  HeartbeatOfAll();
  EXPECT_GT(leader_->scheduling().passes, 0U);
  EXPECT_LE(leader_->scheduling().most_machines_considered,
            kMaxMachinesConsidered);
}

TEST_F(LargeFleet, EveryTaskStartsThoughPassesEndEarly) {
  HeartbeatOfAll();
  HeartbeatOfAll();
  for (int i = 0; i < 60; ++i) Tick();
  EXPECT_EQ(UnplacedTasks(), 0U);
}

}  // namespace
}  // namespace oxbow
