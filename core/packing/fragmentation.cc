#include "core/packing/fragmentation.h"

#include <algorithm>
#include <cmath>

namespace oxbow {
namespace {

// More shapes than a fleet's classes of work would only cost time.
constexpr size_t kMostShapes = 12;
// Needs that differ by less are one shape; the larger stands for both.
constexpr double kClose = 0.25;
constexpr double kEpsilon = 1e-6;

bool Close(double a, double b) {
  return std::abs(a - b) <= kClose * std::max(a, b) + kEpsilon;
}

bool Alike(const TaskShape& shape, const JobSpec& spec) {
  return std::abs(shape.need.gpus - spec.need.gpus) < kEpsilon &&
         Close(shape.need.cpus, spec.need.cpus) &&
         Close(shape.need.memory_gb, spec.need.memory_gb) &&
         shape.spot == spec.spot && shape.zone == spec.zone &&
         shape.types == spec.types;
}

bool Same(const Resources& a, const Resources& b) {
  return a.gpus == b.gpus && a.cpus == b.cpus && a.memory_gb == b.memory_gb;
}

}  // namespace

double ShapeMix::Faded(const Entry& entry, Time now) const {
  return entry.weight *
         std::exp(-std::max(0.0, now - entry.at) / memory_seconds_);
}

void ShapeMix::Note(const JobSpec& spec, Time asked) {
  if (spec.need.gpus <= 0) return;
  noted_ = true;
  const double weight = spec.need.gpus * spec.tasks;
  for (Entry& entry : entries_) {
    if (!Alike(entry.shape, spec)) continue;
    Resources& need = entry.shape.need;
    need.cpus = std::max(need.cpus, spec.need.cpus);
    need.memory_gb = std::max(need.memory_gb, spec.need.memory_gb);
    // Whichever is older fades to the later moment.
    const Time at = std::max(entry.at, asked);
    entry.weight =
        Faded(entry, at) + weight * std::exp(-(at - asked) / memory_seconds_);
    entry.at = at;
    return;
  }
  if (entries_.size() >= kMostShapes) {
    const auto least = std::min_element(
        entries_.begin(), entries_.end(), [&](const Entry& a, const Entry& b) {
          return Faded(a, asked) < Faded(b, asked);
        });
    entries_.erase(least);
  }
  entries_.push_back(
      {{spec.need, spec.types, spec.zone, spec.spot, 0}, weight, asked});
}

bool ShapeMix::Settle(Time now) {
  if (!noted_) return false;  // all fade alike: the shares stay
  noted_ = false;
  shapes_.clear();
  double sum = 0;
  for (const Entry& entry : entries_) sum += Faded(entry, now);
  if (sum <= 0) return true;
  for (const Entry& entry : entries_) {
    shapes_.push_back(entry.shape);
    shapes_.back().share = Faded(entry, now) / sum;
  }
  return true;
}

bool MayBeOn(const TaskShape& shape, const Machine& machine) {
  if (machine.spot && !shape.spot) return false;
  if (shape.zone && *shape.zone != machine.zone) return false;
  return !shape.types || std::find(shape.types->begin(), shape.types->end(),
                                   machine.type_name) != shape.types->end();
}

void FragmentationIndex::Settle(Time now) {
  if (now < next_settle_) return;
  next_settle_ = now + settle_seconds_;
  if (mix_.Settle(now)) ++version_;
}

double FragmentationIndex::Measure(const Machine& machine,
                                   const Resources& free) const {
  if (free.gpus <= kEpsilon) return 0;
  double useless = 0;
  for (const TaskShape& shape : mix_.shapes()) {
    const uint32_t times =
        MayBeOn(shape, machine) ? shape.need.TimesIn(free, kMaxTasks) : 0;
    useless += shape.share * std::max(0.0, free.gpus - shape.need.gpus * times);
  }
  return useless;
}

FragmentationIndex::Known& FragmentationIndex::Fresh(
    const Machine& machine) const {
  const auto index = static_cast<size_t>(machine.index());
  if (index >= known_.size()) known_.resize(index + 1);
  Known& known = known_[index];
  const Resources free = LastingRoom(machine);
  if (known.version != version_ || !Same(known.free, free)) {
    known = {version_, free, Measure(machine, free), {}, 0, false};
  }
  return known;
}

double FragmentationIndex::Useless(const Machine& machine) const {
  return Fresh(machine).useless;
}

double FragmentationIndex::Added(const Machine& machine,
                                 const Resources& need) const {
  if (machine.total().gpus <= 0) return 0;
  Known& known = Fresh(machine);
  if (!known.has_added || !Same(known.need, need)) {
    known.added = Measure(machine, known.free - need) - known.useless;
    known.need = need;
    known.has_added = true;
  }
  return known.added;
}

const TaskShape* FragmentationIndex::Largest() const {
  const TaskShape* largest = nullptr;
  for (const TaskShape& shape : mix_.shapes()) {
    if (largest == nullptr || shape.need.gpus > largest->need.gpus ||
        (shape.need.gpus == largest->need.gpus &&
         shape.need.cpus > largest->need.cpus)) {
      largest = &shape;
    }
  }
  return largest;
}

FragmentationCount FragmentationIndex::Count(
    std::span<const std::unique_ptr<Machine>> machines) const {
  FragmentationCount count;
  const TaskShape* largest = Largest();
  for (const auto& machine : machines) {
    if (machine->state() != MachineState::kUp || machine->total().gpus <= 0)
      continue;
    const Resources free = LastingRoom(*machine);
    count.accelerators += machine->total().gpus;
    if (free.gpus <= kEpsilon) continue;
    count.free += free.gpus;
    count.useless += Useless(*machine);
    const bool whole = largest != nullptr && MayBeOn(*largest, *machine) &&
                       largest->need.FitsIn(free);
    ++(whole ? count.whole : count.fragmented);
  }
  return count;
}

}  // namespace oxbow
