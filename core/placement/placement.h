// Which machine a task goes to.
#pragma once

#include <functional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/packing/fragmentation.h"

namespace oxbow {

// The Least Congested Node Priority of the Infrastructure Aware algorithm: the
// fetch times of the machines with room, scaled to scores between 0 and w.
std::vector<double> LeastCongestedScores(std::span<const double> fetch_seconds,
                                         double w);

// Bandwidth of a machine as measured; before a fetch was seen on it, the mean
// of those measured, and equal everywhere (1) before any was seen.
double FetchSeconds(const Machine& machine, const JobSpec& spec,
                    double mean_bandwidth);
double MeanBandwidth(std::span<Machine* const> machines);

// Where a job's tasks are, counted until they are surely gone.
struct ZoneSpread {
  std::vector<std::pair<std::string, int>> per_zone;
  int InZone(const std::string& zone) const;
  void Add(const std::string& zone, int n);
  int total() const;
};

// At most half of the tasks, rounded up, in one zone.
inline int SpreadLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 1) / 2;
}

// Whether the job's rules allow one more of its tasks on this machine: type,
// zone, kind, `one_zone` and `spread`. Room and health are not looked at.
bool Allowed(const JobSpec& spec, const Machine& machine,
             const ZoneSpread& where);

// Whether a task of this job, staying for long, would leave the machine's
// accelerators without the room that work of the given shape needs beside
// them. Of a machine that is spoilt already, there is nothing left to spoil.
bool BlocksAcceleratorWork(const JobSpec& spec, const Machine& machine,
                           const Resources& shape);

// Whether long stays, and `more` beside them, take that room.
bool AcceleratorWorkBlocked(const Machine& machine, const Resources& shape,
                            const Resources& more = {});

// Seconds until the image would be there behind what the machine fetches
// already: several images share the rate. By the type's nominal rate where
// nothing, or only shared fetches, were measured.
double SecondsToImage(const Machine& machine, const JobSpec& spec);

// The most tasks of a service with accelerators that are gathered on one
// machine for the sake of packing: its loss must not take the service.
inline int ReplicasPerMachineLimit(uint32_t tasks) {
  return static_cast<int>(tasks + 3) / 4;
}

class Placer {
 public:
  Placer(const Tuning& tuning, uint64_t seed)
      : tuning_(tuning), random_(seed) {}

  // Looks at fragmentation too, where the operators' weight is above 0.
  void SetFragmentation(const FragmentationIndex* fragmentation) {
    fragmentation_ = fragmentation;
  }
  // Whether a task of this job would leave accelerators fragmented, or could
  // not be ready there in time. `wait_slo_seconds`: how soon its class is to
  // start.
  bool FragmentsWholeMachine(const JobSpec& spec, const Machine& machine,
                             double wait_slo_seconds) const;

  // Tasks of the job on a machine, for the spread term.
  using CountOn = std::function<int(const Machine&)>;

  // The machine with the highest total score among those given; null for none.
  Machine* Choose(const Job& job, std::span<Machine* const> fitting,
                  const ZoneSpread& where, const CountOn& on_machine,
                  double mean_bandwidth, double wait_slo_seconds = 1e18);

 private:
  // Whether fragmentation is looked at for this job on such a machine.
  bool Counts(const JobSpec& spec, const Machine& machine) const {
    return fragmentation_ != nullptr && tuning_.fragmentation_weight > 0 &&
           machine.total().gpus > 0 &&
           (spec.need.gpus > 0 || spec.kind == JobKind::kService);
  }
  // What the placement costs in fragmentation, as a share of the machine.
  double FragmentationCost(const JobSpec& spec, const Machine& machine,
                           int here, double wait_slo_seconds) const;

  const Tuning& tuning_;
  const FragmentationIndex* fragmentation_ = nullptr;
  std::mt19937_64 random_;
};

}  // namespace oxbow
