// Case 3: after a machine was faulty for a few seconds, a job that failed there
// waits for longer than 90 s, while machines have room; see claim.txt.
#include "review/case.h"

#include <fmt/format.h>

#include <algorithm>

namespace review {
namespace {

constexpr double kReadyWithin = 30;
constexpr double kStartWithin = 20;
constexpr double kFailWithin = 10;
constexpr double kFaultyFor = 5;
constexpr double kWaitBound = 90;  // more/hunt/LATER.md: "for 90 s"
constexpr double kRunSeconds = 2;
constexpr int kMachines = 3;
constexpr uint32_t kTasks = 8;
constexpr const char* kService = "job-000001";
constexpr const char* kFirst = "job-000002";
constexpr const char* kSecond = "job-000003";

// The times of more/hunt/dunefleet-windhoek-hunt.toml.
Size Dunefleet() {
  Size size;
  size.zones = {"windhoek", "walvis"};
  size.teams =
      R"({"name":"routing-core","cpus":192.0,"cpus_max":424.0,"gpus":16.0,)"
      R"("gpus_max":64.0},{"name":"map-desk","cpus":208.0,"cpus_max":528.0,)"
      R"("gpus":24.0,"gpus_max":40.0})";
  size.report_s = 4;
  size.lease_s = 22;
  size.cancel_s = 52;
  size.txn_ops = 16;
  size.cloud_rps = 6;
  size.list_lag_s = 4;
  size.cpu = 0.064;
  size.sockets = 900;
  size.flavors = R"({"fleets":[{"name":"kudu","cores":32.0,"accelerators":0.0,)"
                 R"("memory_gb":64.0,"cache_gb":40.0,"fetch_gb_per_s":0.8,)"
                 R"("hourly":1.12,"low_price":0.46,"startup_s":25.0,)"
                 R"("yards":["windhoek","walvis"]}]})";
  return size;
}

// Whether one of the machines has room for a task of the array.
bool HasRoom(const Cloud& cloud) {
  return std::any_of(
      cloud.machines.begin(), cloud.machines.end(),
      [](const auto& worker) { return worker->free_cores() >= 1; });
}

// The live service, with a replica on each machine, so that none is idle.
Submission Routes() {
  Submission routes;
  routes.job.id = kService;
  routes.job.form = "service";
  routes.job.legs = kMachines;
  routes.job.cores = 1;
  routes.job.memory_gb = 1.7;
  routes.duty = "route-serve";
  routes.crew = "routing-core";
  routes.standing = "production";
  routes.scatter = true;
  return routes;
}

// A job array; all of them have the same image.
Submission Tiles(const char* id, uint32_t tasks) {
  Submission tiles;
  tiles.job.id = id;
  tiles.job.legs = tasks;
  tiles.job.run_s = kRunSeconds;
  tiles.job.memory_gb = 1.8;
  tiles.job.build = "img-02";
  tiles.duty = "tile-rebuild";
  tiles.crew = "map-desk";
  return tiles;
}

std::string MachineOf(const Account& account, const std::string& task) {
  const auto it = account.on_machine.find(task);
  return it == account.on_machine.end() ? std::string() : it->second;
}

Task<bool> HasStarted(Loop& loop, const Account& account, std::string job,
                      int tasks) {
  const double until = loop.Now() + kStartWithin;
  for (int task = 0; task < tasks && loop.Now() < until;) {
    if (MachineOf(account, fmt::format("{}/{}", job, task)).empty()) {
      co_await loop.Sleep(0.05);
    } else {
      ++task;
    }
  }
  co_return loop.Now() < until;
}

// The first job runs, and is done, where its image is from then on.
Task<Worker*> RunFirst(Loop& loop, Deployment& deployment) {
  const Account& account = deployment.account();
  const bool is_accepted = co_await deployment.Submit(Tiles(kFirst, 1));
  if (!is_accepted) co_return nullptr;
  const bool has_started = co_await HasStarted(loop, account, kFirst, 1);
  if (!has_started) co_return nullptr;
  const std::string host = MachineOf(account, std::string(kFirst) + "/0");
  const double until = loop.Now() + kStartWithin;
  std::string status;
  while (status != "done" && loop.Now() < until) {
    co_await loop.Sleep(1);
    status = co_await deployment.Poll(kFirst, 1);
  }
  if (status != "done") co_return nullptr;
  for (const auto& worker : deployment.cloud().machines) {
    if (worker->machine().host == host) co_return worker.get();
  }
  co_return nullptr;
}

Task<Verdict> Play(Loop& loop, Deployment& deployment) {
  constexpr double kCores = 32;
  constexpr double kMemoryGb = 64;
  Record& record = deployment.record();
  const Account& account = deployment.account();
  for (const char* yard : {"windhoek", "walvis", "windhoek"}) {
    deployment.AddWorker("kudu", yard, kCores, kMemoryGb);
  }
  const bool is_ready = co_await deployment.Ready(kReadyWithin);
  if (!is_ready) co_return Verdict::kCouldNotRun;
  co_await loop.Sleep(1);
  const bool has_service = co_await deployment.Submit(Routes());
  if (!has_service) co_return Verdict::kCouldNotRun;
  const bool runs = co_await HasStarted(loop, account, kService, kMachines);
  if (!runs) co_return Verdict::kCouldNotRun;
  Worker* const first = co_await RunFirst(loop, deployment);
  if (first == nullptr) co_return Verdict::kCouldNotRun;

  if (HasTrouble()) {
    first->set_faulty(true);
    record.Line(first->machine().host + " is faulty");
  }
  const bool is_accepted = co_await deployment.Submit(Tiles(kSecond, kTasks));
  if (!is_accepted) co_return Verdict::kCouldNotRun;
  if (HasTrouble()) {
    const double fail_until = loop.Now() + kFailWithin;
    while (account.failed < kTasks && loop.Now() < fail_until) {
      co_await loop.Sleep(0.1);
    }
    if (account.failed == 0) co_return Verdict::kCouldNotRun;
    co_await loop.Sleep(kFaultyFor);
    first->set_faulty(false);
    record.Line(first->machine().host + " is well again");
  }
  const uint64_t started_before = account.started;
  const double until = loop.Now() + kWaitBound;
  const Job& tiles = account.jobs.at(kSecond);
  for (int i = 0; tiles.done.size() < kTasks && loop.Now() < until; ++i) {
    co_await loop.Sleep(0.5);
    if (!HasRoom(deployment.cloud())) co_return Verdict::kCouldNotRun;
    constexpr int kPollEvery = 20;
    if (i % kPollEvery != 0) continue;
    const std::string status = co_await deployment.Poll(kSecond, 1);
    std::string rooms;
    for (const auto& worker : deployment.cloud().machines) {
      rooms += fmt::format(" {} {:.0f} cores", worker->machine().host,
                           worker->free_cores());
    }
    record.Line(fmt::format("the array is {}; free:{}", status, rooms));
  }
  record.Line(fmt::format(
      "{} of {} tasks are done, {} starts since the trouble was over, {} "
      "machines are left",
      tiles.done.size(), kTasks, account.started - started_before,
      deployment.cloud().machines.size()));
  const bool has_begun =
      !tiles.done.empty() || account.started > started_before;
  co_return has_begun ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Dunefleet(), review::Play);
}
