// Measures how much memory 20,000 waiting jobs and 1,000,000 terminal states
// take in a controller: the catalog's records, the dependency graph and the
// index of terminal states. Built by hand without sanitizers; docs/graph.md has
// the results.

#include <malloc.h>

#include <cstdio>
#include <string>

#include "core/catalog/catalog.h"
#include "core/dependencies/dependency_graph.h"

namespace {

using namespace oxbow;

class Estimates : public DependencyGraph::Estimates {
  double CriticalPathSeconds(const JobSpec&) const override { return 30; }
  DueTimes DueTimesOf(const JobSpec&, Time) const override { return {}; }
};

std::string IdOf(int n) {
  return TerminalStateIndex::IdOf(static_cast<uint32_t>(n));
}

double Mib() {
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd) /
         1048576;
}

}  // namespace

int main() {
  constexpr int kEnded = 1'000'000;
  constexpr int kWaiting = 20'000;
  Catalog catalog;
  double before = Mib();
  for (int n = 0; n < kEnded; ++n) {
    // Ids are in no order, and one job in twelve is cancelled.
    const int id = static_cast<int>((n * 7919LL) % 1'500'000);
    catalog.RememberTerminalState(
        IdOf(id),
        {id % 12 == 0 ? TerminalState::kAborted : TerminalState::kDone, 8, 0});
  }
  std::printf("%d terminal states: %.1f MiB\n", kEnded, Mib() - before);
  before = Mib();
  for (int n = 0; n < kWaiting; ++n) {
    JobSpec spec;
    spec.id = IdOf(2'000'000 + n);
    spec.job_class = "meter-scrub";
    spec.team = "ops-desk";
    spec.image = "img-0007";
    spec.types = {"blue-mahoe", "doctor-bird"};
    spec.dependencies = {IdOf(1'999'999 + n), IdOf(1'999'998 + n)};
    catalog.Put(keys::Of(keys::kWaiting, spec.id),
                WaitingRecord{std::make_shared<JobSpec>(spec), 1, 0},
                static_cast<uint64_t>(n) + 1);
  }
  std::printf("%d waiting records: %.1f MiB\n", kWaiting, Mib() - before);
  before = Mib();
  const Estimates estimates;
  DependencyGraph graph(estimates);
  for (const auto& [id, record] : catalog.waiting()) {
    graph.Add(record.spec, 0,
              [](const std::string&) { return TerminalState::kNone; });
  }
  std::printf("graph of them, at the leader: %.1f MiB\n", Mib() - before);
  before = Mib();
  graph.InheritedBy(IdOf(1'999'999));
  std::printf("what they inherit: %.1f MiB\n", Mib() - before);
  return 0;
}
