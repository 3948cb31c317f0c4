#include "review/second/deployment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::review {
namespace {

using net::ClientResult;
using net::Task;

constexpr size_t kControllers = 3;
constexpr size_t kAnswerBytes = 1 << 20;
constexpr double kReadySeconds = 20;

std::string NewDirectory() {
  std::string path =
      (std::filesystem::temp_directory_path() / "oxbow-review-XXXXXX").string();
  return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

// `command` of the deploy file: run = "target/oxbowbank serve --tuning
// deploy/service.conf --config". The working directory is the repository's
// root.
constexpr const char* kProgram = "target/oxbowbank";
constexpr const char* kTuning = "deploy/service.conf";

}  // namespace

Deployment::Deployment(const Site& site, const std::string& record_path)
    : record_(loop_, record_path),
      site_(site),
      fleet_{loop_, record_, site.workers, {}, {}, {}},
      state_(loop_, site.state),
      cloud_(fleet_, site.types, site.cloud),
      directory_(NewDirectory()) {
  for (size_t i = 0; i < kControllers; ++i) {
    Controller controller;
    controller.name = fmt::format("worker-{}", i);
    controller.zone = site_.zones[i % site_.zones.size()];
    controller.users = test::Local(test::FreePort());
    controller.peers = test::Local(test::FreePort());
    controller.settings_path = directory_ + "/" + controller.name + ".json";
    controller.client = std::make_unique<net::HttpClient>(
        loop_, controller.users, kAnswerBytes, 2);
    fleet_.controllers.push_back({controller.name, controller.users});
    controllers_.push_back(std::move(controller));
  }
}

Deployment::~Deployment() {
  for (Controller& controller : controllers_) {
    if (controller.pid <= 0) continue;
    kill(controller.pid, SIGKILL);
    waitpid(controller.pid, nullptr, 0);
  }
  std::error_code ignored;
  if (!directory_.empty()) std::filesystem::remove_all(directory_, ignored);
}

std::string Deployment::SettingsOf(const Controller& controller) const {
  std::string known;
  for (const Controller& other : controllers_) {
    if (other.name == controller.name) continue;
    if (!known.empty()) known += ",";
    known += fmt::format(R"({{"host_name":"{}","site":"{}","address":"{}"}})",
                         other.name, other.zone, other.peers.ToString());
  }
  std::string zones;
  for (const std::string& zone : site_.zones) {
    zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
  }
  std::string teams;
  for (const Team& team : site_.teams) {
    if (!teams.empty()) teams += ",";
    teams += fmt::format(
        R"({{"name":"{}","cpus":{:.1f},"cpus_max":{:.1f},"gpus":{:.1f},)"
        R"("gpus_max":{:.1f}}})",
        team.name, team.cores, team.most_cores, team.accelerators,
        team.most_accelerators);
  }
  const WorkerTiming& workers = site_.workers;
  return fmt::format(
      R"({{"host_name":"{}","site":"{}","public_addr":"{}","back":"{}",)"
      R"("known":[{}],"outside":{{"cloud":"127.0.0.1:{}",)"
      R"("state":"127.0.0.1:{}"}},"cluster":{{"count":{},"zones":[{}],)"
      R"("teams":[{}],"objectives":[{}],"workers":{{"report_s":{:.2f},)"
      R"("lease_s":{:.2f},"gang_wait_s":{:.1f},"gang_peer_s":{:.1f},)"
      R"("cancel_s":{:.2f}}},"state":{{"rps":{:.1f},"write_rps":{:.1f},)"
      R"("value_kb":{:.1f},"txn_ops":{}}},"cloud":{{"rps":{:.1f},)"
      R"("list_lag_s":{:.1f}}},"quota":{{"cpu":{:.3f},"mem_mb":{:.1f},)"
      R"("max_sockets":{}}},"clock_error_ms":25.0}}}})",
      controller.name, controller.zone, controller.users.ToString(),
      controller.peers.ToString(), known, cloud_.port(), state_.port(),
      controllers_.size(), zones, teams, site_.objectives,
      workers.report_seconds, workers.lease_seconds, workers.gang_wait_seconds,
      workers.gang_peer_seconds, site_.cancel_seconds,
      site_.state.requests_per_second, site_.state.changes_per_second,
      static_cast<double>(site_.state.value_bytes) / 1024,
      site_.state.changes_per_transaction, site_.cloud.requests_per_second,
      site_.cloud.list_lag_seconds, site_.cpu_share, site_.memory_mb,
      site_.max_sockets);
}

void Deployment::Launch(Controller& controller) {
  std::ofstream(controller.settings_path) << SettingsOf(controller);
  const std::string log = controller.settings_path + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    // The controller ends with this program, even if that crashes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("LOG_LEVEL", "info", 1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                        S_IRUSR | S_IWUSR);
    dup2(fd, STDERR_FILENO);
    execl(kProgram, kProgram, "serve", "--tuning", kTuning, "--config",
          controller.settings_path.c_str(), nullptr);
    _exit(127);
  }
  controller.pid = pid;
  record_.Write(controller.name + " is started");
}

Task<bool> Deployment::StartControllers() {
  constexpr double kAskAgainSeconds = 0.1;
  for (Controller& controller : controllers_) Launch(controller);
  while (Now() < kReadySeconds) {
    size_t ready = 0;
    for (size_t i = 0; i < controllers_.size(); ++i) {
      const ClientResult answer = co_await Ask(i, "GET", "/ready", "", 1);
      ready += answer.ok() ? 1 : 0;
    }
    if (ready == controllers_.size()) {
      record_.Write("all controllers are ready");
      co_return true;
    }
    co_await loop_.Sleep(kAskAgainSeconds);
  }
  record_.Write("the controllers did not become ready");
  co_return false;
}

bool Deployment::AnyEnded() {
  for (Controller& controller : controllers_) {
    if (controller.pid <= 0) continue;
    if (waitpid(controller.pid, nullptr, WNOHANG) == controller.pid) {
      record_.Write(controller.name + " has ended by itself");
      controller.pid = -1;
      return true;
    }
  }
  return false;
}

Task<ClientResult> Deployment::Ask(size_t controller, std::string method,
                                   std::string path, std::string body,
                                   double timeout_seconds) {
  net::HttpClient& client = *controllers_[controller].client;
  const ClientResult answer = co_await client.Request(
      std::move(method), std::move(path), std::move(body), timeout_seconds);
  co_return answer;
}

void Deployment::Submit(const Job& job) {
  fleet_.jobs[job.id].job = job;
  net::Spawn(ActAsUser(job.id));
}

Task<void> Deployment::ActAsUser(std::string id) {
  constexpr double kSubmitSeconds = 5;
  constexpr double kPollSeconds = 2;
  constexpr double kPollPause = 5;
  JobAccount& account = fleet_.jobs.at(id);
  while (!account.accepted) {
    const size_t at = next_++ % controllers_.size();
    const ClientResult answer = co_await Ask(
        at, "POST", "/v2/runs", account.job.Body(), kSubmitSeconds);
    record_.Write(fmt::format("user submits {} to {}: {} {}", id,
                              controllers_[at].name, answer.status,
                              answer.body));
    account.accepted = answer.outcome == net::Outcome::kAnswered &&
                       (answer.status == 200 || answer.status == 201);
    account.accepted_at = Now();
    if (!account.accepted) co_await loop_.Sleep(1);
  }
  while (account.last_status != "done") {
    co_await loop_.Sleep(kPollPause);
    const size_t at = next_++ % controllers_.size();
    const ClientResult answer =
        co_await Ask(at, "GET", "/v2/runs/" + id, "", kPollSeconds);
    record_.Write(fmt::format("user asks {} about {}: {} {}",
                              controllers_[at].name, id, answer.status,
                              answer.body));
    rapidjson::Document doc;
    if (!answer.ok() || !json::Parse(answer.body, &doc)) continue;
    account.last_status = json::GetString(doc, "status");
  }
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

namespace {

Task<void> RunScenario(Deployment& deployment, Task<Verdict> scenario,
                       Verdict& verdict) {
  verdict = co_await std::move(scenario);
  deployment.loop().Stop();
}

}  // namespace

int Finish(Deployment& deployment, Task<Verdict> scenario) {
  constexpr std::array kNames = {"held", "broken", "not run"};
  std::signal(SIGPIPE, SIG_IGN);
  Verdict verdict = Verdict::kNotRun;
  net::Spawn(RunScenario(deployment, std::move(scenario), verdict));
  deployment.loop().Run();
  if (deployment.AnyEnded() && verdict == Verdict::kHeld) {
    verdict = Verdict::kBroken;
  }
  deployment.record().Write(fmt::format(
      "{}: the rule was {}", WithTrouble() ? "with the disruption" : "without",
      kNames.at(static_cast<size_t>(verdict))));
  return static_cast<int>(verdict);
}

}  // namespace oxbow::review
