// Fragmentation of accelerators: accelerators that are free but that no task
// shape of the submitted work can use. Measured per machine, together with the
// amount that one more task would add. Machines are only read, never changed.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"

namespace oxbow {

// A group of tasks with similar needs and the same placement constraints.
struct TaskShape {
  Resources need;                                 // of one task
  std::optional<std::vector<std::string>> types;  // machine types; unset: any
  std::optional<std::string> zone;                // unset: any
  bool spot = false;                              // may be on spot instances
  // Its share of the accelerators requested recently by all shapes, 0 to 1.
  double share = 0;
};

// The mix of task shapes among the recently accepted jobs with accelerators.
// The weight of a request decays over time. The number of shapes is bounded:
// similar shapes are merged, and beyond the bound the shape with the least
// weight is dropped.
class ShapeMix {
 public:
  // `memory_seconds`: a request this long ago counts for 1/e.
  explicit ShapeMix(double memory_seconds) : memory_seconds_(memory_seconds) {}

  // Records a job that was submitted at `submitted`. Jobs without accelerators
  // are ignored.
  void AddJobToMix(const JobSpec& spec, Time submitted);
  // Updates the shares with the jobs recorded since the last call. Returns
  // whether there were any.
  bool UpdateMix(Time now);
  std::span<const TaskShape> shapes() const { return shapes_; }

 private:
  struct Entry {
    TaskShape shape;
    double weight = 0;  // accelerators requested, decayed up to the time `at`
    Time at = 0;
  };
  // The weight of the entry, decayed up to `now`.
  double DecayedWeight(const Entry& entry, Time now) const;

  double memory_seconds_;
  bool has_new_jobs_ = false;  // since the last UpdateMix
  std::vector<Entry> entries_;
  std::vector<TaskShape> shapes_;
};

// Fragmentation summed over all machines that are up and have accelerators.
struct FragmentationCount {
  double accelerators = 0;  // in total
  double free = 0;          // not used by long-running work
  double unusable = 0;      // of the free ones, those that the mix cannot use
  int whole = 0;            // machines that could take the mix's largest shape
  int fragmented = 0;  // machines with free accelerators that could not take it
};

// The fragmentation of each machine, after the fragmentation gradient of Weng
// et al., "Beware of Fragmentation: Scheduling GPU-Sharing Workloads with
// Fragmentation Gradient Descent" (USENIX ATC 2023).
//
// For one shape, the unusable accelerators of a machine are the free ones that
// no further task of the shape could use. The machine may lack accelerators,
// cores or memory for such a task, or the shape's constraints may exclude the
// machine. For the mix, they are the mean over all shapes, weighted by share.
// Tasks of job arrays end soon or can be preempted, so the capacity that they
// use counts as free.
//
// Results are cached per machine. They are recomputed only when the machine's
// long-running work, the mix, or the needs in the query have changed.
class FragmentationIndex {
 public:
  // `memory_seconds`: as for ShapeMix. `update_seconds`: the least time between
  // two updates of the mix.
  FragmentationIndex(double memory_seconds, double update_seconds)
      : mix_(memory_seconds), update_seconds_(update_seconds) {}

  // Records a job that was submitted at `submitted` and accepted by this leader
  // or an earlier one.
  void AddJobToMix(const JobSpec& spec, Time submitted) {
    mix_.AddJobToMix(spec, submitted);
  }
  // Updates the mix if that is due. Called in each scheduling pass.
  void UpdateMix(Time now);

  // The number of unusable accelerators of the machine.
  double UnusableAccelerators(const Machine& machine) const;
  // The change of UnusableAccelerators if a long-running task with that need
  // were placed on the machine. Negative if the task takes capacity that no
  // other work could use.
  double AddedFragmentation(const Machine& machine,
                            const Resources& need) const;
  FragmentationCount Count(
      std::span<const std::unique_ptr<Machine>> machines) const;
  std::span<const TaskShape> shapes() const { return mix_.shapes(); }
  // The shape of the mix that needs the most accelerators, and among those the
  // most cores. Null if the mix is empty.
  const TaskShape* Largest() const;

 private:
  // Cached results for one machine. Valid while the mix has this version and
  // the machine this free capacity.
  struct CacheEntry {
    uint64_t version = 0;  // of the mix; 0: never computed
    Resources free;
    double unusable = 0;
    Resources need;  // the argument of the last call of AddedFragmentation
    double added = 0;
    bool has_added = false;
  };
  // The machine's cache entry. Recomputes it if it is not valid any more.
  CacheEntry& ValidEntry(const Machine& machine) const;
  // The unusable accelerators of the machine if `free` of its capacity were
  // free.
  double Measure(const Machine& machine, const Resources& free) const;

  ShapeMix mix_;
  double update_seconds_;
  Time next_update_ = -std::numeric_limits<Time>::infinity();
  uint64_t version_ = 1;                   // of the mix
  mutable std::vector<CacheEntry> cache_;  // by machine index
};

// The machine's capacity that is not used by long-running work, which is
// everything except job arrays.
inline Resources CapacityBesideLongRunning(const Machine& machine) {
  return machine.total() - machine.used_by_long_running;
}

// Whether the constraints of the shape allow its tasks on the machine.
bool ShapeAllowsMachine(const TaskShape& shape, const Machine& machine);

}  // namespace oxbow
