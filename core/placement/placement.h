// Scores machines and picks one for a task, by the Infrastructure Aware
// algorithm and additional terms for spreading, packing, fragmentation and
// price. The results depend only on the arguments, apart from the seeded random
// choice between machines of equal score. Callers pass only machines that are
// healthy and have enough capacity.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/packing/fragmentation.h"

namespace oxbow {

// The Least Congested Node Priority of the Infrastructure Aware algorithm.
// Scales the fetch times of the candidate machines linearly to scores between 0
// (slowest) and `weight` (fastest). If all times are equal, every machine gets
// `weight`.
std::vector<double> LeastCongestedScores(std::span<const double> fetch_seconds,
                                         double weight);

// The time in seconds that the machine would take to fetch the job's image, at
// its measured bandwidth. If no fetch has been measured on it yet, at
// `mean_bandwidth` (GB/s).
double FetchSeconds(const Machine& machine, const JobSpec& spec,
                    double mean_bandwidth);

// The mean bandwidth, in GB/s, of the machines on which a fetch was measured.
// Returns 1 if there is none, so that all machines compare equal.
double MeanBandwidth(std::span<Machine* const> machines);

// How many tasks of one job are in a zone.
struct ZoneTaskCount {
  std::string zone;
  int tasks = 0;
};

// The number of tasks of one job in each zone. A task counts until it is known
// to be gone.
struct ZoneSpread {
  std::vector<ZoneTaskCount> per_zone;

  int InZone(const std::string& zone) const;
  void Add(const std::string& zone, int tasks);
  int total() const;
};

// The most tasks that a job with the `spread` constraint may have in one zone:
// half of its tasks, rounded up.
inline int SpreadLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 1) / 2;
}

// Whether the job's constraints allow one more of its tasks on this machine.
// The constraints are machine type, zone, spot instances, `one_zone` and
// `spread`. Capacity and health are not checked.
bool ConstraintsAllow(const JobSpec& spec, const Machine& machine,
                      const ZoneSpread& spread);

// Whether a replica of this service would take capacity without which the
// machine's accelerators cannot be used by a task with the needs `shape`. False
// if that capacity is taken already, or if the service uses accelerators
// itself.
bool BlocksAcceleratorWork(const JobSpec& spec, const Machine& machine,
                           const Resources& shape);

// Whether the services on the machine, with `more` added, leave less than
// `shape` of its capacity. A shape without accelerators counts as the whole
// machine.
bool AcceleratorWorkBlocked(const Machine& machine, const Resources& shape,
                            const Resources& more = {});

// The time in seconds until the machine would have the image cached. Fetches
// that are queued already share the bandwidth and are counted in.
// `machine.type` must not be null.
double SecondsUntilImageCached(const Machine& machine, const JobSpec& spec);

// The most replicas of a service with accelerators that are packed on one
// machine, a quarter of them, rounded up: the failure of one machine must not
// take down the service.
inline int ReplicasPerMachineLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 3) / 4;
}

// Stands for a wait that no objective limits. Longer than any real time, but
// less than infinity, so that a fetch at zero bandwidth still counts as late.
inline constexpr double kUnlimitedWaitSeconds = 1e18;

// A task that needs a machine, with the data that its placement depends on.
// Valid only during the call that it is passed to.
struct PlacementRequest {
  // Returns the number of tasks of the job on a machine.
  using CountOnMachine = std::function<int(const Machine&)>;

  const Job& job;
  const ZoneSpread& spread;
  CountOnMachine count_on_machine;
  double mean_bandwidth = 1;  // GB/s, see FetchSeconds
  // The time in seconds within which tasks of the job's class should start.
  // Nullopt if the class has no such objective.
  std::optional<double> wait_slo_seconds = std::nullopt;
};

// Chooses between machines that could all take a task.
class Placer {
 public:
  // `tuning` must outlive the placer. `seed` initializes the random choice
  // between machines of equal score.
  Placer(const Tuning& tuning, uint64_t seed)
      : tuning_(tuning), random_(seed) {}

  // From this call on, scores include fragmentation if its weight is above 0.
  // `fragmentation` must outlive the placer.
  void SetFragmentation(const FragmentationIndex* fragmentation) {
    fragmentation_ = fragmentation;
  }

  // Whether a task of this job would fragment the free accelerators of the
  // machine. Also true for a job with accelerators that does not fit beside the
  // machine's long-running work, or whose image would not be cached in time.
  // `wait_slo_seconds`: as in PlacementRequest. Always false if fragmentation
  // does not count for the job.
  bool FragmentsWholeMachine(const JobSpec& spec, const Machine& machine,
                             std::optional<double> wait_slo_seconds) const;

  // The machine with the highest score, or null if there is no candidate. Draws
  // one random number if there is any candidate.
  Machine* Choose(const PlacementRequest& request,
                  std::span<Machine* const> candidates);

 private:
  // Whether fragmentation counts for this job on this machine.
  bool CountsFragmentation(const JobSpec& spec, const Machine& machine) const {
    return fragmentation_ != nullptr && tuning_.fragmentation_weight > 0 &&
           machine.total().gpus > 0 &&
           (spec.need.gpus > 0 || spec.kind == JobKind::kService);
  }
  // The cost of the placement, mostly by fragmentation, as a fraction of the
  // machine's accelerators.
  double FragmentationCost(const PlacementRequest& request,
                           const Machine& machine) const;
  // Returns `score` with all terms except the fetch time added.
  // `highest_price` is the highest price per core among the candidates.
  double AddScoreTerms(const PlacementRequest& request, const Machine& machine,
                       double highest_price, double score) const;
  // Picks one of the candidates with the highest score at random.
  Machine* PickBest(std::span<Machine* const> candidates,
                    const std::vector<double>& scores);

  const Tuning& tuning_;
  const FragmentationIndex* fragmentation_ = nullptr;
  std::mt19937_64 random_;
};

}  // namespace oxbow
