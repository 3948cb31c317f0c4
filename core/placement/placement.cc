#include "core/placement/placement.h"

#include <algorithm>

namespace oxbow {
namespace {

// An image should be cached after this share of the time that the class may
// wait; the rest is for the command, the queue, and an estimate too low.
constexpr double kFetchShareOfWaitSlo = 0.6;
// Fragmentation below this, in accelerators, is rounding.
constexpr double kNoFragmentation = 1e-6;

// Terms of the fragmentation cost, as shares of a machine.
// Among fragmented machines the fullest are preferred, so that others empty.
constexpr double kFillBonus = 0.1;
// More than a whole machine: images share the bandwidth, so four small replicas
// started together on one machine would each wait for all four.
constexpr double kLateImageCost = 2;
constexpr double kCrowdedCost = 0.5;
// Images that the start would evict have to be fetched again by the next job
// that needs them.
constexpr double kEvictedImagesCost = 0.1;

// Scores that differ by less are equal.
constexpr double kScoreTolerance = 1e-9;

// Whether the image would come too late for the class's objective.
bool ImageComesLate(const Machine& machine, const JobSpec& spec,
                    std::optional<double> wait_slo_seconds) {
  return SecondsUntilImageCached(machine, spec) >
         kFetchShareOfWaitSlo *
             wait_slo_seconds.value_or(kUnlimitedWaitSeconds);
}

// The share of the machine's cache that fetching the image would evict.
double EvictedShareOfCache(const Machine& machine, const JobSpec& spec) {
  const double cache_gb = machine.type->cache_gb;
  const double evicted_gb = machine.image_gb_cached() - cache_gb +
                            machine.GbToFetch(spec.image, spec.image_gb);
  if (evicted_gb <= 0 || cache_gb <= 0) return 0;
  return std::min(1.0, evicted_gb / cache_gb);
}

double HighestPricePerCore(std::span<Machine* const> machines) {
  double highest = 0;
  for (const Machine* machine : machines) {
    highest =
        std::max(highest, machine->type->price / machine->type->total.cpus);
  }
  return highest;
}

}  // namespace

std::vector<double> LeastCongestedScores(std::span<const double> fetch_seconds,
                                         double weight) {
  std::vector<double> scores(fetch_seconds.size(), weight);
  if (fetch_seconds.empty()) return scores;
  const auto [least, most] =
      std::minmax_element(fetch_seconds.begin(), fetch_seconds.end());
  const double range = *most - *least;
  if (range <= 0) return scores;
  for (size_t i = 0; i < scores.size(); ++i) {
    scores[i] = weight * (1 - (fetch_seconds[i] - *least) / range);
  }
  return scores;
}

double FetchSeconds(const Machine& machine, const JobSpec& spec,
                    double mean_bandwidth) {
  const double bandwidth =
      machine.bandwidth > 0 ? machine.bandwidth : mean_bandwidth;
  return machine.GbToFetch(spec.image, spec.image_gb) / bandwidth;
}

double MeanBandwidth(std::span<Machine* const> machines) {
  double sum = 0;
  int measured = 0;
  for (const Machine* machine : machines) {
    if (machine->bandwidth > 0) {
      sum += machine->bandwidth;
      ++measured;
    }
  }
  return measured == 0 ? 1.0 : sum / measured;
}

int ZoneSpread::InZone(const std::string& zone) const {
  for (const ZoneTaskCount& count : per_zone) {
    if (count.zone == zone) return count.tasks;
  }
  return 0;
}

void ZoneSpread::Add(const std::string& zone, int tasks) {
  for (ZoneTaskCount& count : per_zone) {
    if (count.zone == zone) {
      count.tasks += tasks;
      return;
    }
  }
  per_zone.push_back({zone, tasks});
}

int ZoneSpread::total() const {
  int sum = 0;
  for (const ZoneTaskCount& count : per_zone) sum += count.tasks;
  return sum;
}

bool ConstraintsAllow(const JobSpec& spec, const Machine& machine,
                      const ZoneSpread& spread) {
  if (machine.type == nullptr || !spec.AllowsType(machine.type_name) ||
      !spec.AllowsZone(machine.zone) || (machine.spot && !spec.spot)) {
    return false;
  }
  const int in_zone = spread.InZone(machine.zone);
  if (spec.one_zone && in_zone != spread.total()) return false;
  if (spec.spread && in_zone + 1 > SpreadLimit(spec.tasks)) return false;
  return true;
}

bool BlocksAcceleratorWork(const JobSpec& spec, const Machine& machine,
                           const Resources& shape) {
  if (spec.kind != JobKind::kService || spec.need.gpus > 0 ||
      machine.total().gpus <= 0) {
    return false;
  }
  return !AcceleratorWorkBlocked(machine, shape) &&
         AcceleratorWorkBlocked(machine, shape, spec.need);
}

bool AcceleratorWorkBlocked(const Machine& machine, const Resources& shape,
                            const Resources& more) {
  // Until the first such task has come, it may need all there is.
  const Resources& need = shape.gpus > 0 ? shape : machine.total();
  return !need.FitsIn(machine.total() - machine.used_by_services - more);
}

double SecondsUntilImageCached(const Machine& machine, const JobSpec& spec) {
  const double own_gb = machine.GbToFetch(spec.image, spec.image_gb);
  // A fetch may be slower than the nominal rate by a third. What was measured
  // below that shared the bandwidth with other fetches, and those are counted
  // here by themselves.
  constexpr double kSlowestShare = 2.0 / 3;
  const double rate = std::max(
      machine.bandwidth, kSlowestShare * machine.type->fetch_gb_per_second);
  if (own_gb <= 0)
    return machine.HasImage(spec.image) ? 0 : spec.image_gb / rate;
  return (own_gb + machine.image_gb_queued()) / rate;
}

bool Placer::FragmentsWholeMachine(
    const JobSpec& spec, const Machine& machine,
    std::optional<double> wait_slo_seconds) const {
  if (!CountsFragmentation(spec, machine)) return false;
  if (fragmentation_->AddedFragmentation(machine, spec.need) > kNoFragmentation)
    return true;
  // Where lasting work leaves too little, preemption of short work would not
  // help.
  return spec.need.gpus > 0 &&
         (!spec.need.FitsIn(CapacityBesideLongRunning(machine)) ||
          ImageComesLate(machine, spec, wait_slo_seconds));
}

double Placer::FragmentationCost(const PlacementRequest& request,
                                 const Machine& machine) const {
  const JobSpec& spec = request.job.spec();
  const Resources& total = machine.type->total;
  double cost =
      fragmentation_->AddedFragmentation(machine, spec.need) / total.gpus;
  if (spec.need.gpus <= 0) return cost;
  cost -= kFillBonus * machine.used_by_long_running.gpus / total.gpus;
  if (ImageComesLate(machine, spec, request.wait_slo_seconds))
    cost += kLateImageCost;
  if (spec.kind == JobKind::kService &&
      request.count_on_machine(machine) >=
          ReplicasPerMachineLimit(spec.tasks)) {
    cost += kCrowdedCost;
  }
  cost += kEvictedImagesCost * EvictedShareOfCache(machine, spec);
  return cost;
}

double Placer::AddScoreTerms(const PlacementRequest& request,
                             const Machine& machine, double highest_price,
                             double score) const {
  const JobSpec& spec = request.job.spec();
  const Resources& total = machine.type->total;
  if (spec.kind == JobKind::kService) {
    // The paper warns that fetch time alone gathers replicas; these two terms
    // spread them over zones and, within a zone, over machines.
    const double tasks = spec.tasks;
    const int in_zone = request.spread.InZone(machine.zone);
    score -= tuning_.spread_weight * in_zone / tasks;
    score -= tuning_.spread_weight * request.count_on_machine(machine) / tasks;
  } else if (total.cpus > 0) {
    // Short work fills machines that are in use already, so that others can be
    // drained for gangs or returned.
    score += tuning_.pack_weight * machine.used.cpus / total.cpus;
  }
  if (total.gpus > 0 && spec.need.gpus <= 0)
    score -= tuning_.accelerator_weight;
  if (CountsFragmentation(spec, machine)) {
    // Exception to the design, "fragmentation": see docs/packing.md.
    score -= tuning_.fragmentation_weight * FragmentationCost(request, machine);
  }
  if (highest_price > 0 && total.cpus > 0) {
    const double price =
        machine.spot ? machine.type->spot_price : machine.type->price;
    score -= tuning_.price_weight * price / total.cpus / highest_price;
  }
  return score;
}

Machine* Placer::Choose(const PlacementRequest& request,
                        std::span<Machine* const> candidates) {
  if (candidates.empty()) return nullptr;
  std::vector<double> fetch_seconds;
  fetch_seconds.reserve(candidates.size());
  for (const Machine* machine : candidates) {
    fetch_seconds.push_back(
        FetchSeconds(*machine, request.job.spec(), request.mean_bandwidth));
  }
  std::vector<double> scores =
      LeastCongestedScores(fetch_seconds, tuning_.fetch_weight);
  const double highest_price = HighestPricePerCore(candidates);
  for (size_t i = 0; i < candidates.size(); ++i) {
    scores[i] =
        AddScoreTerms(request, *candidates[i], highest_price, scores[i]);
  }
  return PickBest(candidates, scores);
}

Machine* Placer::PickBest(std::span<Machine* const> candidates,
                          const std::vector<double>& scores) {
  const double best = *std::max_element(scores.begin(), scores.end());
  std::vector<Machine*> winners;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (scores[i] >= best - kScoreTolerance) winners.push_back(candidates[i]);
  }
  std::uniform_int_distribution<size_t> pick(0, winners.size() - 1);
  return winners[pick(random_)];
}

}  // namespace oxbow
