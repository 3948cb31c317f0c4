// The invariants of ClusterState: whatever is added, removed or lost, the sums
// and indices equal what the task attempts say.

#include "core/cluster_state/cluster_state.h"

#include <gtest/gtest.h>

#include <array>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oxbow {
namespace {

constexpr FencingToken kToken = 100;
constexpr Resources kNeed{2, 1, 8};

// Counts what ClusterState announces.
class RecordingObserver : public ClusterState::Observer {
 public:
  void OnCapacityCharged(const Job& job, const Resources& need) override {
    charged_[job.id()] += need;
  }
  void OnCapacityReleased(const Job& job, const Resources& need) override {
    charged_[job.id()] -= need;
  }
  void OnAttemptStopping(const TaskAttempt& /*attempt*/) override {
    ++stopping_;
  }
  void OnAttemptRemoved(Job& /*job*/) override { ++removed_; }

  Resources charged(const std::string& job) const {
    const auto it = charged_.find(job);
    return it == charged_.end() ? Resources{} : it->second;
  }
  int stopping() const { return stopping_; }
  int removed() const { return removed_; }

 private:
  std::map<std::string, Resources> charged_;
  int stopping_ = 0;
  int removed_ = 0;
};

void ExpectEqual(const Resources& actual, const Resources& expected,
                 const std::string& what) {
  constexpr double kRounding = 1e-9;
  EXPECT_NEAR(actual.cpus, expected.cpus, kRounding) << what;
  EXPECT_NEAR(actual.gpus, expected.gpus, kRounding) << what;
  EXPECT_NEAR(actual.memory_gb, expected.memory_gb, kRounding) << what;
}

class ClusterStateTest : public testing::Test {
 protected:
  explicit ClusterStateTest(bool keeps_unknown_tasks = true)
      : cluster_(WithTeam(), kToken, keeps_unknown_tasks, observer_) {
    MachineType type;
    type.name = "m";
    type.total = {16, 8, 64};
    type.cache_gb = 50;
    cluster_.SetMachineTypes({type});
  }

  static Settings WithTeam() {
    Settings settings;
    settings.teams = {{"research", 0, /*cpus_max=*/8, 0, /*gpus_max=*/4}};
    return settings;
  }

  Machine& AddMachine(const std::string& host, const std::string& zone = "a") {
    return cluster_.AddMachine(host, {"m", zone, false, "address", 0, 1});
  }

  std::unique_ptr<Job> MakeJob(const std::string& id, uint32_t tasks,
                               JobKind kind = JobKind::kArray) const {
    JobSpec spec;
    spec.id = id;
    spec.team = "research";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.need = kNeed;
    spec.image = "image";
    spec.image_gb = 5;
    JobRecord record;
    record.spec = std::make_shared<JobSpec>(spec);
    return std::make_unique<Job>(record, cluster_.FindQuota("research"), 0, 0);
  }
  Job& AddJob(const std::string& id, uint32_t tasks,
              JobKind kind = JobKind::kArray) {
    return cluster_.AddJob(MakeJob(id, tasks, kind));
  }

  static TaskAttempt MakeAttempt(const std::string& job_id, uint32_t task,
                                 uint64_t number, Job* job) {
    TaskAttempt attempt;
    attempt.job = job;
    attempt.job_id = job_id;
    attempt.task = task;
    attempt.attempt = number;
    return attempt;
  }
  // As when the scheduler places the task.
  TaskAttempt& Place(Job& job, Machine& machine, uint32_t task,
                     uint64_t number) {
    TaskAttempt attempt = MakeAttempt(job.id(), task, number, &job);
    cluster_.AssignTask(job, machine, attempt, /*present=*/true);
    return cluster_.AddAttempt(machine, std::move(attempt), /*present=*/true);
  }
  // As when a heartbeat lists a task whose job is not known.
  TaskAttempt& AddOrphan(const std::string& job_id, Machine& machine,
                         uint32_t task, uint64_t number) {
    return cluster_.AddAttempt(
        machine, MakeAttempt(job_id, task, number, nullptr), /*present=*/true);
  }

  // Recomputes every sum and index from the attempts alone.
  void ExpectConsistent() const {
    Resources team;
    std::map<std::string, Resources> by_job;
    std::map<std::string, std::map<int32_t, Presence>> presence;
    for (const auto& machine : cluster_.machines()) {
      ExpectMachineConsistent(*machine);
      for (const auto& [key, attempt] : machine->task_attempts) {
        EXPECT_EQ(key, KeyOf(attempt));
        if (attempt.job == nullptr) {
          EXPECT_FALSE(attempt.charged);
          continue;
        }
        Presence& there = presence[key.job_id][machine->index()];
        ++there.listed;
        if (!attempt.charged) continue;
        ++there.charged_attempts;
        by_job[key.job_id] += attempt.need;
        team += attempt.need;
      }
    }
    ExpectEqual(cluster_.quota(0).used, team, "use of the team's quota");
    for (const auto& [id, job] : cluster_.jobs()) {
      ExpectPresence(*job, presence[id]);
      ExpectEqual(observer_.charged(id), by_job[id], "announced for " + id);
    }
  }

  RecordingObserver observer_;
  ClusterState cluster_;

 private:
  void ExpectMachineConsistent(const Machine& machine) const {
    Resources used;
    Resources used_by_services;
    Resources used_by_long_running;
    Resources used_by_stopping;
    std::array<Resources, kPriorities> by_priority;
    int orphaned = 0;
    for (const auto& [key, attempt] : machine.task_attempts) {
      orphaned += cluster_.IsOrphaned(attempt);
      if (!attempt.charged) continue;
      const JobSpec& spec = attempt.job->spec();
      used += attempt.need;
      by_priority[static_cast<size_t>(spec.priority)] += attempt.need;
      if (spec.kind == JobKind::kService) used_by_services += attempt.need;
      if (spec.kind != JobKind::kArray) used_by_long_running += attempt.need;
      if (attempt.stopping) used_by_stopping += attempt.need;
    }
    EXPECT_EQ(machine.orphaned_tasks, orphaned) << machine.host();
    ExpectEqual(machine.used, used, "used of " + machine.host());
    ExpectEqual(machine.used_by_services, used_by_services,
                "staying of " + machine.host());
    ExpectEqual(machine.used_by_long_running, used_by_long_running,
                "lasting of " + machine.host());
    ExpectEqual(machine.used_by_stopping, used_by_stopping,
                "leaving of " + machine.host());
    for (size_t i = 0; i < kPriorities; ++i) {
      ExpectEqual(machine.used_by[i], by_priority[i],
                  "priority " + std::to_string(i) + " of " + machine.host());
    }
  }

  static void ExpectPresence(const Job& job,
                             const std::map<int32_t, Presence>& expected) {
    int charged_attempts = 0;
    ASSERT_EQ(job.presence().size(), expected.size()) << job.id();
    for (const auto& [index, presence] : job.presence()) {
      const auto it = expected.find(index);
      ASSERT_NE(it, expected.end()) << job.id() << " on " << index;
      EXPECT_EQ(presence.charged_attempts, it->second.charged_attempts)
          << job.id();
      EXPECT_EQ(presence.listed, it->second.listed) << job.id();
      charged_attempts += presence.charged_attempts;
    }
    EXPECT_EQ(job.charged_attempts(), charged_attempts) << job.id();
  }
};

class ClusterStateWithoutRecoveryTest : public ClusterStateTest {
 protected:
  ClusterStateWithoutRecoveryTest()
      : ClusterStateTest(/*keeps_unknown_tasks=*/false) {}
};

TEST_F(ClusterStateTest, AddedAttemptIsChargedToMachineTeamAndJob) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 2, JobKind::kService);
  TaskAttempt& attempt = Place(job, machine, 0, 11);
  EXPECT_TRUE(attempt.charged);
  EXPECT_TRUE(ClusterState::IsCurrent(machine, attempt));
  EXPECT_EQ(job.task(0).state, TaskState::kStarting);
  EXPECT_EQ(job.placed(), 1U);
  EXPECT_EQ(ClusterState::CountOn(job, machine), 1);
  ExpectEqual(machine.used, kNeed, "used");
  ExpectEqual(machine.used_by_services, kNeed, "staying");
  ExpectEqual(machine.used_by_long_running, kNeed, "lasting");
  ExpectEqual(cluster_.quota(0).used, kNeed, "quota");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, AttemptThatIsNotPresentIsListedButChargesNothing) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  cluster_.AddAttempt(machine, MakeAttempt("job-1", 0, 11, &job),
                      /*present=*/false);
  EXPECT_EQ(job.charged_attempts(), 0);
  EXPECT_EQ(job.presence().at(machine.index()).listed, 1);
  ExpectEqual(machine.used, {}, "used");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, RemovedAttemptGivesEverythingBackAndItsTaskIsPending) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  Place(job, machine, 0, 11);
  machine.queue.push_back({CommandKind::kStart, "job-1", 0, 11, 0});
  machine.queue.push_back({CommandKind::kStop, "job-2", 0, 11, 0});
  cluster_.ClearChanges();
  cluster_.RemoveAttempt(machine, {"job-1", 0, 11});
  EXPECT_EQ(job.task(0).state, TaskState::kPending);
  EXPECT_TRUE(job.presence().empty());
  EXPECT_EQ(observer_.removed(), 1);
  EXPECT_TRUE(cluster_.changed());
  // Commands about it are dropped, those of others stay.
  ASSERT_EQ(machine.queue.size(), 1U);
  EXPECT_EQ(machine.queue.front().job_id, "job-2");
  ExpectEqual(machine.used, {}, "used");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, RemovingAnUnknownAttemptChangesNothing) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  Place(job, machine, 0, 11);
  cluster_.ClearChanges();
  cluster_.RemoveAttempt(machine, {"job-1", 0, 12});
  EXPECT_FALSE(cluster_.changed());
  EXPECT_EQ(observer_.removed(), 0);
  EXPECT_EQ(job.charged_attempts(), 1);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, RemovingAnOldAttemptKeepsTheCurrentOne) {
  Machine& old_machine = AddMachine("n-1");
  Machine& machine = AddMachine("n-2");
  Job& job = AddJob("job-1", 1);
  cluster_.AddAttempt(old_machine, MakeAttempt("job-1", 0, 10, &job), true);
  Place(job, machine, 0, 11);
  EXPECT_TRUE(cluster_.HasLaterAttempt(job, 10));
  EXPECT_FALSE(cluster_.HasLaterAttempt(job, 11));
  EXPECT_EQ(cluster_.AttemptsOf(job).size(), 2U);
  cluster_.RemoveAttempt(old_machine, {"job-1", 0, 10});
  EXPECT_EQ(job.task(0).state, TaskState::kStarting);
  EXPECT_EQ(job.task(0).machine, machine.index());
  ExpectConsistent();
}

TEST_F(ClusterStateTest, RemovedAttemptOfADoneTaskLeavesItDone) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  TaskAttempt& attempt = Place(job, machine, 0, 11);
  cluster_.MarkExited(machine, attempt, ExitReason::kDone);
  job.ChangeTask(0, TaskState::kDone);
  cluster_.RemoveAttempt(machine, {"job-1", 0, 11});
  EXPECT_EQ(job.task(0).state, TaskState::kDone);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, ExitReleasesCapacityOnceAndStaysListed) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  TaskAttempt& attempt = Place(job, machine, 0, 11);
  cluster_.MarkExited(machine, attempt, ExitReason::kError);
  EXPECT_EQ(attempt.phase, TaskPhase::kExited);
  EXPECT_EQ(attempt.reason, ExitReason::kError);
  EXPECT_EQ(job.charged_attempts(), 0);
  EXPECT_EQ(job.presence().at(machine.index()).listed, 1);
  ExpectConsistent();
  cluster_.ReleaseCapacity(machine, attempt);
  ExpectEqual(cluster_.quota(0).used, {}, "released twice");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, StoppingIsCountedOnceAndEndsWithTheAttempt) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 2);
  TaskAttempt& first = Place(job, machine, 0, 11);
  TaskAttempt& second = Place(job, machine, 1, 12);
  cluster_.SetStopping(machine, first, true);
  cluster_.SetStopping(machine, first, true);
  cluster_.SetStopping(machine, second, true);
  EXPECT_EQ(observer_.stopping(), 2);
  ExpectEqual(machine.used_by_stopping, kNeed * 2, "leaving");
  cluster_.SetStopping(machine, first, false);
  ExpectEqual(machine.used_by_stopping, kNeed,
              "leaving after one stop was dropped");
  ExpectConsistent();
  cluster_.RemoveAttempt(machine, {"job-1", 1, 12});
  ExpectEqual(machine.used_by_stopping, {}, "leaving after the removal");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, QuotaMaximumCountsWhatAttemptsUse) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 8);
  // A maximum of 8 CPUs and 4 accelerators; each task needs 2 and 1.
  EXPECT_TRUE(cluster_.QuotaAllows(job, 4));
  EXPECT_FALSE(cluster_.QuotaAllows(job, 5));
  for (uint32_t task = 0; task < 3; ++task) Place(job, machine, task, task + 1);
  EXPECT_TRUE(cluster_.QuotaAllows(job, 1));
  EXPECT_FALSE(cluster_.QuotaAllows(job, 2));
  cluster_.RemoveAttempt(machine, {"job-1", 0, 1});
  EXPECT_TRUE(cluster_.QuotaAllows(job, 2));
  ExpectConsistent();
}

TEST_F(ClusterStateTest, OfTwoReportedAttemptsTheConfirmedOneStays) {
  Machine& confirmed = AddMachine("n-1");
  Machine& other = AddMachine("n-2");
  confirmed.reported = true;
  Job& job = AddJob("job-1", 1);
  Place(job, confirmed, 0, 11);
  TaskAttempt& later = Place(job, other, 0, 12);
  EXPECT_EQ(job.task(0).machine, confirmed.index());
  EXPECT_FALSE(ClusterState::IsCurrent(other, later));
  ExpectConsistent();
}

TEST_F(ClusterStateTest, ALaterAttemptReplacesOneOfAnUnreportedMachine) {
  Machine& unreported = AddMachine("n-1");
  Machine& other = AddMachine("n-2");
  Job& job = AddJob("job-1", 1);
  Place(job, unreported, 0, 11);
  TaskAttempt& later = Place(job, other, 0, 12);
  EXPECT_TRUE(ClusterState::IsCurrent(other, later));
  EXPECT_EQ(job.placed(), 1U);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, OrphanedTaskIsCountedUntilItExits) {
  Machine& machine = AddMachine("n-1");
  TaskAttempt& orphan = AddOrphan("job-1", machine, 0, 11);
  EXPECT_TRUE(cluster_.IsOrphaned(orphan));
  EXPECT_EQ(machine.orphaned_tasks, 1);
  ExpectEqual(cluster_.OrphanedTasksUpperBound(), machine.total(), "bound");
  ExpectConsistent();
  cluster_.MarkExited(machine, orphan, ExitReason::kDone);
  EXPECT_EQ(machine.orphaned_tasks, 0);
  ExpectEqual(cluster_.OrphanedTasksUpperBound(), {}, "bound after the exit");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, OrphanedTaskIsNotCountedOnceRemoved) {
  Machine& machine = AddMachine("n-1");
  AddOrphan("job-1", machine, 0, 11);
  cluster_.RemoveAttempt(machine, {"job-1", 0, 11});
  EXPECT_EQ(machine.orphaned_tasks, 0);
  EXPECT_EQ(observer_.removed(), 0);  // of no known job
  ExpectConsistent();
}

TEST_F(ClusterStateWithoutRecoveryTest, TasksOfUnknownJobsAreNotOrphaned) {
  Machine& machine = AddMachine("n-1");
  TaskAttempt& attempt = AddOrphan("job-1", machine, 0, 11);
  EXPECT_FALSE(cluster_.IsOrphaned(attempt));
  EXPECT_EQ(machine.orphaned_tasks, 0);
  Job& job = AddJob("job-1", 1);
  EXPECT_EQ(attempt.job, &job);
  // Listed and charged, but the task is placed anew.
  EXPECT_EQ(job.charged_attempts(), 1);
  EXPECT_EQ(job.task(0).state, TaskState::kPending);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, AddedJobAdoptsAttemptsReportedBefore) {
  Machine& first = AddMachine("n-1");
  Machine& second = AddMachine("n-2");
  AddOrphan("job-1", first, 0, 11);
  AddOrphan("job-1", second, 1, 12);
  AddOrphan("job-2", second, 0, 13);
  Job& job = AddJob("job-1", 2);
  EXPECT_EQ(job.charged_attempts(), 2);
  EXPECT_EQ(job.placed(), 2U);
  EXPECT_EQ(job.task(0).machine, first.index());
  EXPECT_EQ(job.task(1).machine, second.index());
  EXPECT_EQ(job.task(1).attempt, 12U);
  EXPECT_EQ(first.orphaned_tasks, 0);
  EXPECT_EQ(second.orphaned_tasks, 1);  // of the job still unknown
  ExpectConsistent();
}

TEST_F(ClusterStateTest, AddedJobAdoptsAnExitWithoutChargingIt) {
  Machine& machine = AddMachine("n-1");
  TaskAttempt& attempt = AddOrphan("job-1", machine, 0, 11);
  cluster_.MarkExited(machine, attempt, ExitReason::kError);
  Job& job = AddJob("job-1", 1);
  EXPECT_EQ(attempt.job, &job);
  EXPECT_EQ(job.charged_attempts(), 0);
  EXPECT_EQ(job.task(0).state, TaskState::kPending);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, AddedJobDoesNotAdoptATaskItDoesNotHave) {
  Machine& machine = AddMachine("n-1");
  TaskAttempt& attempt = AddOrphan("job-1", machine, 5, 11);
  AddJob("job-1", 2);
  EXPECT_EQ(attempt.job, nullptr);
  EXPECT_EQ(machine.orphaned_tasks, 1);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, RemovedJobLeavesItsExitsAndNoReservation) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  TaskAttempt& attempt = Place(job, machine, 0, 11);
  cluster_.MarkExited(machine, attempt, ExitReason::kDone);
  machine.reservations.push_back({&job, kNeed, Priority::kNormal, 10, false});
  ExpectEqual(ClusterState::ReservedFor(job, machine), kNeed, "reserved");
  cluster_.RemoveJob("job-1");
  EXPECT_EQ(cluster_.FindJob("job-1"), nullptr);
  EXPECT_EQ(attempt.job, nullptr);
  EXPECT_EQ(machine.task_attempts.size(), 1U);
  EXPECT_TRUE(machine.reservations.empty());
  ExpectConsistent();
}

TEST_F(ClusterStateTest, MarkAllLostLeavesNothingOnOrInFlightToTheMachine) {
  Machine& machine = AddMachine("n-1");
  Machine& other = AddMachine("n-2");
  Job& job = AddJob("job-1", 3, JobKind::kGang);
  Place(job, machine, 0, 11);
  cluster_.SetStopping(machine, Place(job, machine, 1, 12), true);
  Place(job, other, 2, 13);
  AddOrphan("job-2", machine, 0, 14);
  machine.batch = Batch{7, {}, false};
  machine.batch_lost = true;
  machine.queue.push_back({CommandKind::kStop, "job-1", 1, 12, 0});
  cluster_.MarkAllLost(machine);
  EXPECT_TRUE(machine.task_attempts.empty());
  EXPECT_TRUE(machine.queue.empty());
  EXPECT_FALSE(machine.batch.has_value());
  EXPECT_FALSE(machine.batch_lost);
  EXPECT_EQ(machine.orphaned_tasks, 0);
  EXPECT_EQ(job.unplaced(), 2U);
  EXPECT_EQ(job.task(2).machine, other.index());
  ExpectEqual(cluster_.quota(0).used, kNeed, "quota");
  ExpectConsistent();
}

TEST_F(ClusterStateTest, DeletedMachineIsNotFoundAndItsHostNeverComesBack) {
  Machine& machine = AddMachine("n-1");
  Job& job = AddJob("job-1", 1);
  Place(job, machine, 0, 11);
  machine.recorded_up = true;
  EXPECT_FALSE(cluster_.AllMachinesAccountedFor());
  cluster_.MarkDeleted(machine);
  EXPECT_EQ(cluster_.FindMachine("n-1"), nullptr);
  EXPECT_TRUE(cluster_.IsDeleted("n-1"));
  EXPECT_EQ(machine.state(), MachineState::kDeleted);
  EXPECT_TRUE(cluster_.AllMachinesAccountedFor());
  EXPECT_EQ(job.task(0).state, TaskState::kPending);
  ExpectConsistent();
}

TEST_F(ClusterStateTest, PresenceBelowZeroIsAnIllegalTransition) {
  Job& job = AddJob("job-1", 1);
  EXPECT_THROW(job.ChangePresence(0, -1, 0), IllegalTransition);
}

TEST_F(ClusterStateTest, StaysConsistentUnderRandomChanges) {
  constexpr int kSteps = 2000;
  constexpr uint32_t kTasks = 6;
  const std::array<std::string, 3> ids = {"job-1", "job-2", "job-3"};
  const std::array<JobKind, 3> kinds = {JobKind::kArray, JobKind::kGang,
                                        JobKind::kService};
  std::mt19937 random(42);
  const auto below = [&](size_t limit) { return random() % limit; };
  for (const char* host : {"n-1", "n-2", "n-3"}) AddMachine(host);
  uint64_t next_attempt = 1;
  for (int step = 0; step < kSteps && !HasFailure(); ++step) {
    const size_t which = below(ids.size());
    Job* job = cluster_.FindJob(ids[which]);
    Machine& machine = cluster_.machine(static_cast<int32_t>(below(3)));
    const auto task = static_cast<uint32_t>(below(kTasks));
    const size_t change = below(10);
    if (change == 0) {
      cluster_.MarkAllLost(machine);
    } else if (change == 1 && job == nullptr) {
      AddJob(ids[which], kTasks, kinds[which]);
    } else if (change == 1 && job->charged_attempts() == 0) {
      cluster_.RemoveJob(ids[which]);
    } else if (change <= 5 && job == nullptr) {
      AddOrphan(ids[which], machine, task, next_attempt++);
    } else if (change <= 5) {
      Place(*job, machine, task, next_attempt++);
    } else if (!machine.task_attempts.empty()) {
      auto it = machine.task_attempts.begin();
      std::advance(it, below(machine.task_attempts.size()));
      TaskAttempt& attempt = it->second;
      if (change == 6) cluster_.RemoveAttempt(machine, KeyOf(attempt));
      if (change == 7 && attempt.phase != TaskPhase::kExited) {
        cluster_.MarkExited(machine, attempt, ExitReason::kStopped);
      }
      if (change >= 8) {
        cluster_.SetStopping(machine, attempt, !attempt.stopping);
      }
    }
    ExpectConsistent();
  }
}

}  // namespace
}  // namespace oxbow
