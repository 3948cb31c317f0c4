#include "core/placement/placement.h"

#include <algorithm>

namespace oxbow {

std::vector<double> LeastCongestedScores(std::span<const double> fetch_seconds,
                                         double w) {
  std::vector<double> scores(fetch_seconds.size(), w);
  if (fetch_seconds.empty()) return scores;
  const auto [least, most] =
      std::minmax_element(fetch_seconds.begin(), fetch_seconds.end());
  const double range = *most - *least;
  if (range <= 0) return scores;
  for (size_t i = 0; i < scores.size(); ++i) {
    scores[i] = w * (1 - (fetch_seconds[i] - *least) / range);
  }
  return scores;
}

double FetchSeconds(const Machine& machine, const JobSpec& spec,
                    double mean_bandwidth) {
  const double bandwidth =
      machine.bandwidth > 0 ? machine.bandwidth : mean_bandwidth;
  return machine.BytesToFetch(spec.image, spec.image_gb) / bandwidth;
}

double MeanBandwidth(std::span<Machine* const> machines) {
  double sum = 0;
  int n = 0;
  for (const Machine* machine : machines) {
    if (machine->bandwidth > 0) {
      sum += machine->bandwidth;
      ++n;
    }
  }
  return n == 0 ? 1.0 : sum / n;
}

int ZoneSpread::InZone(const std::string& zone) const {
  for (const auto& [name, n] : per_zone) {
    if (name == zone) return n;
  }
  return 0;
}

void ZoneSpread::Add(const std::string& zone, int n) {
  for (auto& [name, count] : per_zone) {
    if (name == zone) {
      count += n;
      return;
    }
  }
  per_zone.emplace_back(zone, n);
}

int ZoneSpread::total() const {
  int sum = 0;
  for (const auto& [name, n] : per_zone) sum += n;
  return sum;
}

bool Allowed(const JobSpec& spec, const Machine& machine,
             const ZoneSpread& where) {
  if (machine.type == nullptr || !spec.AllowsType(machine.type_name) ||
      !spec.AllowsZone(machine.zone) || (machine.spot && !spec.spot)) {
    return false;
  }
  const int here = where.InZone(machine.zone);
  if (spec.one_zone && here != where.total()) return false;
  if (spec.spread && here + 1 > SpreadLimit(spec.tasks)) return false;
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
  // Until the first such task is seen, it may need all there is.
  const Resources& need = shape.gpus > 0 ? shape : machine.total();
  return !need.FitsIn(machine.total() - machine.staying - more);
}

double SecondsToImage(const Machine& machine, const JobSpec& spec) {
  const double own = machine.BytesToFetch(spec.image, spec.image_gb);
  // A fetch may be slower than the nominal rate by a third. Measured slower
  // still, it shared the rate with others, which are counted here themselves.
  constexpr double kSlowest = 2.0 / 3;
  const double rate =
      std::max(machine.bandwidth, kSlowest * machine.type->fetch_gb_per_second);
  if (own <= 0) return machine.HasImage(spec.image) ? 0 : spec.image_gb / rate;
  return (own + machine.image_gb_queued()) / rate;
}

namespace {

// An image should be there after this share of the time that the class may
// wait; the rest is for the order, the queue and an estimate too low.
constexpr double kInTime = 0.6;
constexpr double kNothing = 1e-6;

}  // namespace

bool Placer::FragmentsWholeMachine(const JobSpec& spec, const Machine& machine,
                                   double wait_slo_seconds) const {
  if (!Counts(spec, machine)) return false;
  if (fragmentation_->Added(machine, spec.need) > kNothing) return true;
  // Work that stays long is there: it takes no room that short work could make.
  return spec.need.gpus > 0 &&
         (!spec.need.FitsIn(LastingRoom(machine)) ||
          SecondsToImage(machine, spec) > kInTime * wait_slo_seconds);
}

double Placer::FragmentationCost(const JobSpec& spec, const Machine& machine,
                                 int here, double wait_slo_seconds) const {
  const Resources& total = machine.type->total;
  double cost = fragmentation_->Added(machine, spec.need) / total.gpus;
  if (spec.need.gpus <= 0) return cost;
  // Of fragmented machines the fullest, so that the others empty.
  constexpr double kFill = 0.1;
  cost -= kFill * machine.lasting.gpus / total.gpus;
  // Images share the rate: four small replicas begun together on one machine
  // would each wait for all four.
  constexpr double kLate = 2;  // dearer than a whole machine
  if (SecondsToImage(machine, spec) > kInTime * wait_slo_seconds) cost += kLate;
  if (spec.kind == JobKind::kService &&
      here >= ReplicasPerMachineLimit(spec.tasks)) {
    constexpr double kCrowded = 0.5;
    cost += kCrowded;
  }
  // What the start would push out of the cache has to be fetched again by
  // whoever needs it next.
  const double out = machine.image_gb_cached() - machine.type->cache_gb +
                     machine.BytesToFetch(spec.image, spec.image_gb);
  if (out > 0 && machine.type->cache_gb > 0) {
    constexpr double kPushedOut = 0.1;
    cost += kPushedOut * std::min(1.0, out / machine.type->cache_gb);
  }
  return cost;
}

Machine* Placer::Choose(const Job& job, std::span<Machine* const> fitting,
                        const ZoneSpread& where, const CountOn& on_machine,
                        double mean_bandwidth, double wait_slo_seconds) {
  if (fitting.empty()) return nullptr;
  const JobSpec& spec = job.spec();
  std::vector<double> fetch_seconds;
  fetch_seconds.reserve(fitting.size());
  for (const Machine* machine : fitting) {
    fetch_seconds.push_back(FetchSeconds(*machine, spec, mean_bandwidth));
  }
  std::vector<double> score =
      LeastCongestedScores(fetch_seconds, tuning_.fetch_weight);
  double dearest = 0;
  for (const Machine* machine : fitting) {
    dearest =
        std::max(dearest, machine->type->price / machine->type->total.cpus);
  }
  for (size_t i = 0; i < fitting.size(); ++i) {
    const Machine& machine = *fitting[i];
    const Resources& total = machine.type->total;
    if (spec.kind == JobKind::kService) {
      // The paper warns that fetch time gathers replicas; these two terms
      // spread them over zones and, within a zone, over machines.
      const double tasks = spec.tasks;
      score[i] -= tuning_.spread_weight * where.InZone(machine.zone) / tasks;
      score[i] -= tuning_.spread_weight * on_machine(machine) / tasks;
    } else if (total.cpus > 0) {
      // Short work fills machines that are in use already, so that others
      // can be drained for gangs or returned.
      score[i] += tuning_.pack_weight * machine.used.cpus / total.cpus;
    }
    if (total.gpus > 0 && spec.need.gpus <= 0) {
      score[i] -= tuning_.accelerator_weight;
    }
    if (Counts(spec, machine)) {
      // Exception to the design, "fragmentation": see docs/packing.md.
      score[i] -= tuning_.fragmentation_weight *
                  FragmentationCost(spec, machine, on_machine(machine),
                                    wait_slo_seconds);
    }
    if (dearest > 0 && total.cpus > 0) {
      const double price =
          machine.spot ? machine.type->spot_price : machine.type->price;
      score[i] -= tuning_.price_weight * price / total.cpus / dearest;
    }
  }
  const double best = *std::max_element(score.begin(), score.end());
  constexpr double kTie = 1e-9;
  std::vector<Machine*> winners;
  for (size_t i = 0; i < fitting.size(); ++i) {
    if (score[i] >= best - kTie) winners.push_back(fitting[i]);
  }
  std::uniform_int_distribution<size_t> pick(0, winners.size() - 1);
  return winners[pick(random_)];
}

}  // namespace oxbow
