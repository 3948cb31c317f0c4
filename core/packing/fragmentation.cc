#include "core/packing/fragmentation.h"

#include <algorithm>
#include <cmath>

namespace oxbow {
namespace {

// A cluster has few classes of work; more shapes would only cost time.
constexpr size_t kMaxShapes = 12;
// Needs that differ by a smaller share are one shape; the larger is kept.
constexpr double kSimilarShare = 0.25;
constexpr double kEpsilon = 1e-6;

bool Similar(double left, double right) {
  return std::abs(left - right) <=
         kSimilarShare * std::max(left, right) + kEpsilon;
}

bool Similar(const TaskShape& shape, const JobSpec& spec) {
  return std::abs(shape.need.gpus - spec.need.gpus) < kEpsilon &&
         Similar(shape.need.cpus, spec.need.cpus) &&
         Similar(shape.need.memory_gb, spec.need.memory_gb) &&
         shape.spot == spec.spot && shape.zone == spec.zone &&
         shape.types == spec.types;
}

bool Equal(const Resources& left, const Resources& right) {
  return left.gpus == right.gpus && left.cpus == right.cpus &&
         left.memory_gb == right.memory_gb;
}

}  // namespace

double ShapeMix::DecayedWeight(const Entry& entry, Time now) const {
  return entry.weight *
         std::exp(-std::max(0.0, now - entry.at) / memory_seconds_);
}

void ShapeMix::AddJobToMix(const JobSpec& spec, Time submitted) {
  if (spec.need.gpus <= 0) return;
  has_new_jobs_ = true;
  const double weight = spec.need.gpus * spec.tasks;
  for (Entry& entry : entries_) {
    if (!Similar(entry.shape, spec)) continue;
    Resources& need = entry.shape.need;
    need.cpus = std::max(need.cpus, spec.need.cpus);
    need.memory_gb = std::max(need.memory_gb, spec.need.memory_gb);
    // Both weights as of the later of the two times.
    const Time at = std::max(entry.at, submitted);
    entry.weight = DecayedWeight(entry, at) +
                   weight * std::exp(-(at - submitted) / memory_seconds_);
    entry.at = at;
    return;
  }
  if (entries_.size() >= kMaxShapes) {
    const auto least =
        std::min_element(entries_.begin(), entries_.end(),
                         [&](const Entry& left, const Entry& right) {
                           return DecayedWeight(left, submitted) <
                                  DecayedWeight(right, submitted);
                         });
    entries_.erase(least);
  }
  entries_.push_back(
      {{spec.need, spec.types, spec.zone, spec.spot, 0}, weight, submitted});
}

bool ShapeMix::UpdateMix(Time now) {
  // All weights decay alike, so without new jobs the shares stay.
  if (!has_new_jobs_) return false;
  has_new_jobs_ = false;
  shapes_.clear();
  double sum = 0;
  for (const Entry& entry : entries_) sum += DecayedWeight(entry, now);
  if (sum <= 0) return true;
  for (const Entry& entry : entries_) {
    shapes_.push_back(entry.shape);
    shapes_.back().share = DecayedWeight(entry, now) / sum;
  }
  return true;
}

bool MayBeOn(const TaskShape& shape, const Machine& machine) {
  if (machine.spot && !shape.spot) return false;
  if (shape.zone && *shape.zone != machine.zone) return false;
  return !shape.types || std::find(shape.types->begin(), shape.types->end(),
                                   machine.type_name) != shape.types->end();
}

void FragmentationIndex::UpdateMix(Time now) {
  if (now < next_settle_) return;
  next_settle_ = now + settle_seconds_;
  if (mix_.UpdateMix(now)) ++version_;
}

double FragmentationIndex::Measure(const Machine& machine,
                                   const Resources& free) const {
  if (free.gpus <= kEpsilon) return 0;
  double unusable = 0;
  for (const TaskShape& shape : mix_.shapes()) {
    const uint32_t times =
        MayBeOn(shape, machine) ? shape.need.TimesIn(free, kMaxTasks) : 0;
    unusable +=
        shape.share * std::max(0.0, free.gpus - shape.need.gpus * times);
  }
  return unusable;
}

FragmentationIndex::CacheEntry& FragmentationIndex::ValidEntry(
    const Machine& machine) const {
  const auto index = static_cast<size_t>(machine.index());
  if (index >= cache_.size()) cache_.resize(index + 1);
  CacheEntry& entry = cache_[index];
  const Resources free = CapacityBesideLongRunning(machine);
  if (entry.version != version_ || !Equal(entry.free, free)) {
    entry = {version_, free, Measure(machine, free), {}, 0, false};
  }
  return entry;
}

double FragmentationIndex::UnusableAccelerators(const Machine& machine) const {
  return ValidEntry(machine).unusable;
}

double FragmentationIndex::AddedFragmentation(const Machine& machine,
                                              const Resources& need) const {
  if (machine.total().gpus <= 0) return 0;
  CacheEntry& entry = ValidEntry(machine);
  if (!entry.has_added || !Equal(entry.need, need)) {
    entry.added = Measure(machine, entry.free - need) - entry.unusable;
    entry.need = need;
    entry.has_added = true;
  }
  return entry.added;
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
    const Resources free = CapacityBesideLongRunning(*machine);
    count.accelerators += machine->total().gpus;
    if (free.gpus <= kEpsilon) continue;
    count.free += free.gpus;
    count.unusable += UnusableAccelerators(*machine);
    const bool whole = largest != nullptr && MayBeOn(*largest, *machine) &&
                       largest->need.FitsIn(free);
    ++(whole ? count.whole : count.fragmented);
  }
  return count;
}

}  // namespace oxbow
