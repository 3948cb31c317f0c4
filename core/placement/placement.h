// Scores machines and picks one for a task: the Infrastructure Aware algorithm
// with its further terms. Pure functions of what is passed in, apart from the
// seeded choice between machines of equal score. Whether a machine is healthy
// and has capacity is decided before.
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

// The Least Congested Node Priority of the Infrastructure Aware algorithm: the
// fetch times of the candidate machines, scaled to scores between 0 (slowest)
// and `weight` (fastest). All get `weight` if all times are equal.
std::vector<double> LeastCongestedScores(std::span<const double> fetch_seconds,
                                         double weight);

// How long the machine would take to fetch the job's image, by its measured
// bandwidth; by `mean_bandwidth` (GB/s) before a fetch was measured on it.
double FetchSeconds(const Machine& machine, const JobSpec& spec,
                    double mean_bandwidth);

// Of the machines on which a fetch was measured, GB/s; 1 if there is none, so
// that all machines compare alike.
double MeanBandwidth(std::span<Machine* const> machines);

// How many tasks of one job are in a zone.
struct ZoneTaskCount {
  std::string zone;
  int tasks = 0;
};

// How the tasks of one job are spread over zones. A task counts until it is
// certainly gone.
struct ZoneSpread {
  std::vector<ZoneTaskCount> per_zone;

  int InZone(const std::string& zone) const;
  void Add(const std::string& zone, int tasks);
  int total() const;
};

// The most tasks of a job with `spread` in one zone: half of them, rounded up.
inline int SpreadLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 1) / 2;
}

// Whether the job's constraints allow one more of its tasks on this machine:
// type, zone, spot instance, `one_zone` and `spread`. Capacity and health are
// not looked at.
bool ConstraintsAllow(const JobSpec& spec, const Machine& machine,
                      const ZoneSpread& spread);

// Whether a replica of this job would leave the accelerators of the machine
// without the capacity that work of the given shape needs beside them. False if
// they are without it already.
bool BlocksAcceleratorWork(const JobSpec& spec, const Machine& machine,
                           const Resources& shape);

// Whether services, with `more` added, take that capacity. A shape without
// accelerators: as if the work needed the whole machine.
bool AcceleratorWorkBlocked(const Machine& machine, const Resources& shape,
                            const Resources& more = {});

// How long until the image would be cached, behind the images that the machine
// fetches already: they share its bandwidth. `machine.type` is not null.
double SecondsUntilImageCached(const Machine& machine, const JobSpec& spec);

// The most tasks of a service with accelerators that are packed on one machine:
// the loss of a machine must not take down the service.
inline int ReplicasPerMachineLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 3) / 4;
}

// Stands for a wait that no objective limits. Beyond any real time, yet below
// infinity, so that a fetch at no bandwidth at all is late for everybody.
inline constexpr double kUnlimitedWaitSeconds = 1e18;

// A task that needs a machine, with what its placement depends on. Valid during
// one call.
struct PlacementRequest {
  // How many tasks of the job are on a machine.
  using CountOnMachine = std::function<int(const Machine&)>;

  const Job& job;
  const ZoneSpread& spread;
  CountOnMachine count_on_machine;
  double mean_bandwidth = 1;  // GB/s, see FetchSeconds
  // How soon tasks of the job's class are to start; none: no such objective.
  std::optional<double> wait_slo_seconds = std::nullopt;
};

// Chooses between machines that could all take a task.
class Placer {
 public:
  // `tuning` has to outlive the placer. `seed`: of the choice between machines
  // of equal score.
  Placer(const Tuning& tuning, uint64_t seed)
      : tuning_(tuning), random_(seed) {}

  // From now on fragmentation counts too, where its weight is above 0.
  // `fragmentation` has to outlive the placer.
  void SetFragmentation(const FragmentationIndex* fragmentation) {
    fragmentation_ = fragmentation;
  }

  // Whether a task of this job would fragment the accelerators of the machine,
  // or could not be ready there in time. `wait_slo_seconds`: see
  // PlacementRequest.
  bool FragmentsWholeMachine(const JobSpec& spec, const Machine& machine,
                             std::optional<double> wait_slo_seconds) const;

  // The machine with the highest score; null if there is no candidate. Draws
  // one random number unless it is null.
  Machine* Choose(const PlacementRequest& request,
                  std::span<Machine* const> candidates);

 private:
  // Whether fragmentation counts for this job on such a machine.
  bool CountsFragmentation(const JobSpec& spec, const Machine& machine) const {
    return fragmentation_ != nullptr && tuning_.fragmentation_weight > 0 &&
           machine.total().gpus > 0 &&
           (spec.need.gpus > 0 || spec.kind == JobKind::kService);
  }
  // What the placement costs in fragmentation, as a share of the machine.
  double FragmentationCost(const PlacementRequest& request,
                           const Machine& machine) const;
  // Adds all terms but the fetch time to `score`. `highest_price`: per core, of
  // all candidates.
  double AddScoreTerms(const PlacementRequest& request, const Machine& machine,
                       double highest_price, double score) const;
  // One of the candidates with the highest score, at random.
  Machine* PickBest(std::span<Machine* const> candidates,
                    const std::vector<double>& scores);

  const Tuning& tuning_;
  const FragmentationIndex* fragmentation_ = nullptr;
  std::mt19937_64 random_;
};

}  // namespace oxbow
