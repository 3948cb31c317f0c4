// Fragmentation of accelerators: those that are free, yet useless to the work
// that is submitted. Measures it per machine, and how much one more task would
// add. Reads machines and changes nothing.
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

// Tasks with similar needs: what they take of their machine, where they may be,
// and their share of the accelerators requested lately.
struct TaskShape {
  Resources need;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool spot = false;
  double share = 0;  // of all shapes together, 0 to 1
};

// The mix of task shapes with accelerators among the jobs accepted lately.
// Older requests count less. Bounded: similar shapes are merged, and beyond the
// bound the shape with the least weight is dropped.
class ShapeMix {
 public:
  // `memory_seconds`: a request so long ago counts for 1/e.
  explicit ShapeMix(double memory_seconds) : memory_seconds_(memory_seconds) {}

  // A job was submitted at `submitted`. Jobs without accelerators don't count.
  void AddJobToMix(const JobSpec& spec, Time submitted);
  // Takes the jobs noted since the last call into the shares. Whether the
  // shares have changed.
  bool UpdateMix(Time now);
  std::span<const TaskShape> shapes() const { return shapes_; }

 private:
  struct Entry {
    TaskShape shape;
    double weight = 0;  // accelerators requested, decayed to `at`
    Time at = 0;
  };
  double DecayedWeight(const Entry& entry, Time now) const;

  double memory_seconds_;
  bool has_new_jobs_ = false;  // since the last Settle
  std::vector<Entry> entries_;
  std::vector<TaskShape> shapes_;
};

// Fragmentation summed over all machines that are up and have accelerators.
struct FragmentationCount {
  double accelerators = 0;  // in all
  double free = 0;          // not taken by lasting work
  double unusable = 0;      // of the free ones: useless to the mix
  int whole = 0;       // machines that could take the largest shape of the mix
  int fragmented = 0;  // machines with free accelerators that could not
};

// The measure, machine by machine, after the fragmentation gradient of Weng et
// al., "Beware of Fragmentation: Scheduling GPU-Sharing Workloads with
// Fragmentation Gradient Descent" (USENIX ATC 2023). For one shape, the useless
// accelerators of a machine are the free ones that no further task of the shape
// could use, for lack of accelerators, cores or memory, or since it may not be
// there; for the mix, the mean weighted by shares. Short work ends soon or can
// be preempted, so its capacity counts as free. Cached per machine and computed
// again only when the machine's lasting work, the mix, or the needs asked about
// have changed.
class FragmentationIndex {
 public:
  // `memory_seconds`: see ShapeMix. `settle_seconds`: the least time between
  // two updates of the mix.
  FragmentationIndex(double memory_seconds, double settle_seconds)
      : mix_(memory_seconds), settle_seconds_(settle_seconds) {}

  // A job was submitted at `submitted`: accepted by this leader or an earlier
  // one.
  void AddJobToMix(const JobSpec& spec, Time submitted) {
    mix_.AddJobToMix(spec, submitted);
  }
  // Updates the mix if that is due; called before each scheduling pass.
  void UpdateMix(Time now);

  // Useless accelerators of the machine.
  double UnusableAccelerators(const Machine& machine) const;
  // By how much a task with that need, staying there, changes Useless; negative
  // where it takes what no other work could use.
  double AddedFragmentation(const Machine& machine,
                            const Resources& need) const;
  FragmentationCount Count(
      std::span<const std::unique_ptr<Machine>> machines) const;
  std::span<const TaskShape> shapes() const { return mix_.shapes(); }
  // The shape with the most accelerators; null before one was submitted.
  const TaskShape* Largest() const;

 private:
  // Cached results for one machine; valid for this version of the mix and that
  // free capacity.
  struct CacheEntry {
    uint64_t version = 0;  // 0: never computed
    Resources free;
    double unusable = 0;
    Resources need;  // the last that Added was asked about
    double added = 0;
    bool has_added = false;
  };
  // The machine's entry, computed again if it was not valid any more.
  CacheEntry& ValidEntry(const Machine& machine) const;
  // Useless accelerators if `free` of the machine were free.
  double Measure(const Machine& machine, const Resources& free) const;

  ShapeMix mix_;
  double settle_seconds_;
  Time next_settle_ = -std::numeric_limits<Time>::infinity();
  uint64_t version_ = 1;                   // of the mix
  mutable std::vector<CacheEntry> cache_;  // by index of the machine
};

// Capacity that is not taken by lasting work.
inline Resources CapacityBesideLongRunning(const Machine& machine) {
  return machine.total() - machine.used_by_long_running;
}

// Whether tasks of this shape may be on such a machine.
bool MayBeOn(const TaskShape& shape, const Machine& machine);

}  // namespace oxbow
