// Fragmentation of accelerators: free, yet of no use to the work that is
// asked for. A measure of them, and what one more task would add to it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"

namespace oxbow {

// What tasks of one sort take of their machine, where they may be, and how
// much of the accelerators asked for lately was asked for by them.
struct TaskShape {
  Resources need;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool spot = false;
  double share = 0;  // of all shapes together, 0 to 1
};

// The mix of shapes with accelerators among the jobs accepted lately. What was
// asked for longer ago counts less. Bounded: close shapes are one, and the
// least asked for makes way.
class ShapeMix {
 public:
  explicit ShapeMix(double memory_seconds) : memory_seconds_(memory_seconds) {}

  // A job was accepted, or is found by a new leader, at `asked`. Work without
  // accelerators is not counted.
  void Note(const JobSpec& spec, Time asked);
  // Takes what was noted into the shares. True when they have changed.
  bool Settle(Time now);
  std::span<const TaskShape> shapes() const { return shapes_; }

 private:
  struct Entry {
    TaskShape shape;
    double weight = 0;  // accelerators asked for, as of `at`
    Time at = 0;
  };
  double Faded(const Entry& entry, Time now) const;

  double memory_seconds_;
  bool noted_ = false;
  std::vector<Entry> entries_;
  std::vector<TaskShape> shapes_;
};

// How it stands over all machines; accelerators, and machines that have some.
struct FragmentationCount {
  double accelerators = 0;  // there are
  double free = 0;          // of lasting work
  double useless = 0;       // of the free ones, to the mix
  int whole = 0;       // machines that could take the largest shape of the mix
  int fragmented = 0;  // machines with free ones that could not
};

// The measure, machine by machine, after the fragmentation gradient of Weng et
// al., "Beware of Fragmentation: Scheduling GPU-Sharing Workloads with
// Fragmentation Gradient Descent" (USENIX ATC 2023). For one shape, the useless
// accelerators of a machine are those free that no further task of the shape
// could use, for want of them, of cores or of memory, or since it may not be
// there; for the mix, the mean by shares. Short work runs off or makes way, so
// its room counts as free. Kept per machine and computed again only when what
// it carries, the mix, or the question has changed.
class FragmentationIndex {
 public:
  // `memory_s`: after so long a request counts a third. `settle_s`: the mix is
  // taken up at most so often.
  FragmentationIndex(double memory_seconds, double settle_seconds)
      : mix_(memory_seconds), settle_seconds_(settle_seconds) {}

  void Note(const JobSpec& spec, Time asked) { mix_.Note(spec, asked); }
  // Before a pass.
  void Settle(Time now);

  // Accelerators.
  double Useless(const Machine& machine) const;
  // By how much `need`, staying there, changes that; negative where it takes
  // what nobody else could use.
  double Added(const Machine& machine, const Resources& need) const;
  FragmentationCount Count(
      std::span<const std::unique_ptr<Machine>> machines) const;
  std::span<const TaskShape> shapes() const { return mix_.shapes(); }
  // The largest by accelerators; null before any was asked for.
  const TaskShape* Largest() const;

 private:
  // What was last worked out for a machine.
  struct Known {
    uint64_t version = 0;  // of the mix; 0: nothing is known
    Resources free;
    double useless = 0;
    Resources need;
    double added = 0;
    bool has_added = false;
  };
  Known& Fresh(const Machine& machine) const;
  double Measure(const Machine& machine, const Resources& free) const;

  ShapeMix mix_;
  double settle_seconds_;
  Time next_settle_ = -1e18;
  uint64_t version_ = 1;
  mutable std::vector<Known> known_;  // by index of the machine
};

// Free of lasting work.
inline Resources LastingRoom(const Machine& machine) {
  return machine.total() - machine.lasting;
}

// Whether tasks of this shape may be on such a machine.
bool MayBeOn(const TaskShape& shape, const Machine& machine);

}  // namespace oxbow
