// Fragmentation of accelerators: the measure, and how it decides placement.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>

#include "core/packing/fragmentation.h"
#include "core/placement/placement.h"

namespace oxbow {
namespace {

constexpr double kMemorySeconds = 300;
constexpr double kSettleSeconds = 1;
constexpr double kMeanBandwidth = 0.25;  // GB/s

class Packing : public testing::Test {
 protected:
  Packing()
      : fragmentation_(kMemorySeconds, kSettleSeconds), placer_(tuning_, 1) {
    tuning_.fragmentation_weight = 2;
    type_.name = "big";
    type_.total = {64, 8, 384};
    type_.cache_gb = 50;
    type_.fetch_gb_per_second = 0.25;
    type_.price = 10;
    type_.zones = {"a", "b"};
    placer_.SetFragmentation(&fragmentation_);
  }

  static JobSpec Spec(JobKind kind, double gpus, uint32_t tasks) {
    JobSpec spec;
    spec.id = "job-000001";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.need = {gpus * 4, gpus, gpus * 28};
    spec.image = "img";
    spec.image_gb = 14;
    return spec;
  }
  void Submit(const JobSpec& spec, Time now = 0) {
    fragmentation_.AddJobToMix(spec, now);
    fragmentation_.UpdateMix(now + 2 * kSettleSeconds * ++submitted_);
  }
  Machine* Add(double gpus_used, const std::string& zone = "a") {
    const auto n = static_cast<int32_t>(machines_.size());
    machines_.push_back(std::make_unique<Machine>(
        fmt::format("n-{}", n), MachineRecord{"big", zone, false, "x", 0, 0}, n,
        1));
    Machine* machine = machines_.back().get();
    machine->type = &type_;
    machine->used = machine->used_by_long_running = machine->used_by_services =
        Resources{gpus_used * 4, gpus_used, gpus_used * 28};
    all_.push_back(machine);
    return machine;
  }
  Machine* Choose(const JobSpec& spec,
                  std::optional<double> wait_slo_seconds = std::nullopt) {
    JobRecord record;
    record.spec = std::make_shared<JobSpec>(spec);
    const Job job(record, -1, 0, 0);
    std::vector<Machine*> fitting;
    for (Machine* machine : all_) {
      if (spec.need.FitsIn(machine->free())) fitting.push_back(machine);
    }
    return placer_.Choose({.job = job,
                           .spread = {},
                           .count_on_machine = [](const Machine&) { return 0; },
                           .mean_bandwidth = kMeanBandwidth,
                           .wait_slo_seconds = wait_slo_seconds},
                          fitting);
  }

  Tuning tuning_;
  MachineType type_;
  FragmentationIndex fragmentation_;
  Placer placer_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Machine*> all_;
  int submitted_ = 0;
};

TEST_F(Packing, UselessIsWhatNoFurtherTaskOfTheMixCouldUse) {
  Machine* machine = Add(2);
  EXPECT_EQ(fragmentation_.UnusableAccelerators(*machine),
            0);                        // nothing was asked for
  Submit(Spec(JobKind::kGang, 8, 3));  // 24 accelerators
  EXPECT_DOUBLE_EQ(fragmentation_.UnusableAccelerators(*machine), 6);
  Submit(Spec(JobKind::kService, 4, 2));  // 8: a quarter; 2 of 6 are left over
  EXPECT_NEAR(fragmentation_.UnusableAccelerators(*machine),
              0.75 * 6 + 0.25 * 2, 0.1);
  // Cores count beside them: without, not one more of the small ones either.
  machine->used_by_long_running.cpus = machine->used.cpus = 64 - 15;
  EXPECT_NEAR(fragmentation_.UnusableAccelerators(*machine), 6, 1e-9);
  // Short work does not count: it ends soon.
  Machine* busy = Add(0);
  busy->used = {64, 0, 100};
  EXPECT_EQ(fragmentation_.UnusableAccelerators(*busy), 0);
  const FragmentationCount count = fragmentation_.Count(machines_);
  EXPECT_EQ(count.whole, 1);
  EXPECT_EQ(count.fragmented, 1);
  EXPECT_EQ(count.free, 14);
}

TEST_F(Packing, ZonesTypesAndSpotMatter) {
  JobSpec spec = Spec(JobKind::kGang, 8, 1);
  spec.zone = "b";
  Submit(spec);
  Machine* here = Add(0, "b");
  Machine* elsewhere = Add(0, "a");
  Machine* spot = Add(0, "b");
  spot->spot = true;
  EXPECT_EQ(fragmentation_.UnusableAccelerators(*here), 0);
  EXPECT_EQ(fragmentation_.UnusableAccelerators(*elsewhere), 8);
  EXPECT_EQ(fragmentation_.UnusableAccelerators(*spot), 8);
  // So a small task goes where no other work could.
  EXPECT_LT(fragmentation_.AddedFragmentation(*elsewhere, {8, 2, 56}), 0);
  EXPECT_GT(fragmentation_.AddedFragmentation(*here, {8, 2, 56}), 0);
}

TEST_F(Packing, TheMixForgets) {
  Submit(Spec(JobKind::kGang, 8, 10), 0);
  Submit(Spec(JobKind::kService, 2, 10), 5 * kMemorySeconds);
  ASSERT_EQ(fragmentation_.shapes().size(), 2U);
  EXPECT_LT(fragmentation_.shapes()[0].share, 0.05);
  // However many shapes are submitted, few are kept.
  for (int i = 1; i <= 40; ++i) {
    JobSpec spec = Spec(JobKind::kArray, 1, 1);
    spec.need.cpus = i * i;
    Submit(spec, 5 * kMemorySeconds);
  }
  EXPECT_LE(fragmentation_.shapes().size(), 12U);
}

TEST_F(Packing, SmallOnesFillTheFullestFragmentAndLeaveWholeMachinesWhole) {
  Submit(Spec(JobKind::kGang, 8, 10));
  Submit(Spec(JobKind::kService, 2, 4));
  for (int i = 0; i < 20; ++i) Add(0);
  Machine* little = Add(2);
  Machine* much = Add(6);
  const JobSpec small = Spec(JobKind::kService, 2, 2);
  EXPECT_TRUE(placer_.FragmentsWholeMachine(small, *all_[0], std::nullopt));
  EXPECT_FALSE(placer_.FragmentsWholeMachine(small, *little, std::nullopt));
  EXPECT_EQ(Choose(small), much);
  // A cached image is no reason to fragment a whole machine.
  all_[0]->MarkImageCached("img", 14, 1);
  EXPECT_EQ(Choose(small), much);
  // Without the weight, it is one.
  tuning_.fragmentation_weight = 0;
  EXPECT_EQ(Choose(small), all_[0]);
}

TEST_F(Packing, FetchesBegunTogetherAreNotGatheredOnOneLink) {
  Submit(Spec(JobKind::kGang, 8, 10));
  Machine* whole = Add(0);
  Machine* fragmented = Add(2);
  fragmented->QueueImage("other", 14, 1);
  fragmented->QueueImage("third", 14, 1);
  const JobSpec small = Spec(JobKind::kService, 2, 2);
  EXPECT_EQ(Choose(small, 1000), fragmented);
  EXPECT_EQ(Choose(small, 200), whole);  // 42 GB would take 252 s and more
  // Nor would draining it of short work help.
  EXPECT_TRUE(placer_.FragmentsWholeMachine(small, *fragmented, 200));
}

TEST_F(Packing, AServiceIsNotGatheredOnOneMachine) {
  EXPECT_EQ(ReplicasPerMachineLimit(1), 1);
  EXPECT_EQ(ReplicasPerMachineLimit(4), 1);
  EXPECT_EQ(ReplicasPerMachineLimit(8), 2);
  Submit(Spec(JobKind::kGang, 8, 10));
  Machine* fuller = Add(4);
  Machine* other = Add(2);
  JobRecord record;
  record.spec = std::make_shared<JobSpec>(Spec(JobKind::kService, 2, 2));
  const Job job(record, -1, 0, 0);
  const auto count_on_machine = [&](const Machine& machine) {
    return &machine == fuller ? 1 : 0;
  };
  EXPECT_EQ(placer_.Choose({.job = job,
                            .spread = {},
                            .count_on_machine = count_on_machine,
                            .mean_bandwidth = kMeanBandwidth},
                           all_),
            other);
}

TEST_F(Packing, CachedResultsEqualFreshOnesAfterAnyChange) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 6; ++i) Add(i);
  for (int step = 0; step < 500; ++step) {
    Machine* machine = all_[random() % all_.size()];
    const double gpus = static_cast<double>(random() % 9);
    machine->used_by_long_running = {gpus * 6, gpus, gpus * 20};
    JobSpec spec = Spec(JobKind::kArray, 1 + static_cast<double>(step % 8), 1);
    if (step % 10 == 0) Submit(spec, step);
    FragmentationIndex fresh = fragmentation_;
    Machine copy = *machine;
    copy.used_by_long_running.cpus -=
        1e-3;  // no cached result is valid any more
    (void)fresh.AddedFragmentation(copy, {1e-3, 0, 0});
    ASSERT_DOUBLE_EQ(fragmentation_.AddedFragmentation(*machine, spec.need),
                     fresh.AddedFragmentation(*machine, spec.need));
    ASSERT_DOUBLE_EQ(fragmentation_.UnusableAccelerators(*machine),
                     fresh.UnusableAccelerators(*machine));
  }
}

// Prints its figures. A decision takes no more than a bounded time per machine.
TEST_F(Packing, CostOfADecision) {
  Submit(Spec(JobKind::kGang, 8, 10));
  Submit(Spec(JobKind::kGang, 4, 10));
  Submit(Spec(JobKind::kService, 2, 10));
  Submit(Spec(JobKind::kService, 1, 10));
  std::mt19937_64 random(3);
  for (const size_t size : {100U, 1000U, 4000U}) {
    while (all_.size() < size) Add(static_cast<double>(random() % 7));
    const JobSpec small = Spec(JobKind::kService, 2, 8);
    JobRecord record;
    record.spec = std::make_shared<JobSpec>(small);
    const Job job(record, -1, 0, 0);
    for (const double weight : {0.0, 2.0}) {
      tuning_.fragmentation_weight = weight;
      constexpr int kTimes = 20;
      const auto begin = std::chrono::steady_clock::now();
      for (int i = 0; i < kTimes; ++i) {
        Machine* machine = placer_.Choose(
            {.job = job,
             .spread = {},
             .count_on_machine = [](const Machine&) { return 0; },
             .mean_bandwidth = kMeanBandwidth},
            all_);
        machine->used_by_long_running +=
            small.need;  // the next one finds it changed
      }
      const double us = std::chrono::duration<double, std::micro>(
                            std::chrono::steady_clock::now() - begin)
                            .count() /
                        kTimes;
      fmt::print("{} machines, weight {}: {:.0f} us for a decision\n", size,
                 weight, us);
      EXPECT_LT(us, 100 * static_cast<double>(size));  // under ASan as well
    }
  }
}

}  // namespace
}  // namespace oxbow
