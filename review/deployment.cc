#include "review/deployment.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <fstream>
#include <utility>

#include "wire/json.h"

namespace review {
namespace {

constexpr double kPollTimeout = 2;    // protocol, "GET /v2/runs/{id}"
constexpr double kChangeTimeout = 5;  // protocol, "POST /v2/runs"
constexpr double kRetryPause = 1;
constexpr double kRetryFor = 60;

}  // namespace

Deployment::Deployment(Loop& loop, Size size, const std::string& folder,
                       const std::string& record)
    : loop_(loop),
      size_(std::move(size)),
      folder_(folder),
      record_(loop, record),
      state_(loop),
      cloud_(loop, size_.flavors) {
  for (int i = 0; i < size_.controllers; ++i) {
    Controller controller;
    controller.name = fmt::format("worker-{}", i);
    controller.site = size_.zones[i % size_.zones.size()];
    controller.listen = Local(FreePort());
    controller.back = Local(FreePort());
    controller.settings = folder_ + "/" + controller.name + ".json";
    controllers_.push_back(controller);
  }
  for (Controller& controller : controllers_) {
    WriteSettings(controller);
    Launch(controller);
    clients_.push_back(std::make_unique<oxbow::net::HttpClient>(
        loop, controller.listen, 100'000, 2));
  }
}

Deployment::~Deployment() {
  for (Controller& controller : controllers_) Kill(controller);
}

void Deployment::WriteSettings(const Controller& controller) const {
  std::string known;
  for (const Controller& other : controllers_) {
    if (other.name == controller.name) continue;
    if (!known.empty()) known += ",";
    known += fmt::format(R"({{"host_name":"{}","site":"{}","address":"{}"}})",
                         other.name, other.site, other.back.ToString());
  }
  std::string zones;
  for (const std::string& zone : size_.zones) {
    zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
  }
  std::ofstream(controller.settings) << fmt::format(
      R"({{"host_name":"{}","site":"{}","public_addr":"{}","back":"{}",
"known":[{}],"outside":{{"cloud":"{}","state":"{}"}},
"cluster":{{"count":{},"zones":[{}],"teams":[{}],"objectives":[],
"workers":{{"report_s":{},"lease_s":{},"gang_wait_s":40.0,"gang_peer_s":4.0,
"cancel_s":{}}},"state":{{"rps":250.0,"write_rps":100.0,"value_kb":8.0,
"txn_ops":{}}},"cloud":{{"rps":{},"list_lag_s":{}}},"quota":{{"cpu":{},
"mem_mb":56.0,"max_sockets":{}}},"clock_error_ms":25.0}}}})",
      controller.name, controller.site, controller.listen.ToString(),
      controller.back.ToString(), known, Local(cloud_.port()).ToString(),
      Local(state_.port()).ToString(), size_.controllers, zones, size_.teams,
      size_.report_s, size_.lease_s, size_.cancel_s, size_.txn_ops,
      size_.cloud_rps, size_.list_lag_s, size_.cpu, size_.sockets);
}

Worker& Deployment::AddWorker(const std::string& fleet, const std::string& yard,
                              double cores, double memory_gb) {
  std::vector<std::pair<std::string, Address>> addresses;
  for (const Controller& controller : controllers_) {
    addresses.emplace_back(controller.name, controller.listen);
  }
  Worker::Machine machine{fmt::format("n-{:06}", ++added_),
                          fleet,
                          yard,
                          cores,
                          memory_gb,
                          size_.report_s,
                          size_.lease_s};
  cloud_.machines.push_back(
      std::make_shared<Worker>(loop_, machine, account_, record_, addresses));
  return *cloud_.machines.back();
}

Task<ClientResult> Deployment::Ask(int controller, std::string method,
                                   std::string path, std::string body) {
  const double timeout = method == "GET" ? kPollTimeout : kChangeTimeout;
  co_return co_await clients_[controller]->Request(
      std::move(method), std::move(path), std::move(body), timeout);
}

Task<bool> Deployment::Ready(double within_s) {
  const double until = loop_.Now() + within_s;
  size_t ready = 0;
  while (ready < controllers_.size() && loop_.Now() < until) {
    const ClientResult answer =
        co_await Ask(static_cast<int>(ready), "GET", "/ready", "");
    if (answer.ok()) {
      ++ready;
    } else {
      co_await loop_.Sleep(0.2);
    }
  }
  while (Leader() < 0 && loop_.Now() < until) co_await loop_.Sleep(0.1);
  co_return ready == controllers_.size() && Leader() >= 0;
}

int Deployment::Leader() const {
  rapidjson::Document doc;
  if (!oxbow::json::Parse(state_.Value("ob/live/leader"), &doc)) return -1;
  for (size_t i = 0; i < controllers_.size(); ++i) {
    if (oxbow::json::GetString(doc, "node") == controllers_[i].name) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

Task<bool> Deployment::Submit(Submission submission) {
  Job job = std::move(submission.job);
  const std::string body = fmt::format(
      R"({{"id":"{}","duty":"{}","crew":"{}","form":"{}","standing":"{}",)"
      R"("legs":{},"cores":{},"accelerators":0.0,"memory_gb":{},)"
      R"("fleets":null,"yard":null,"together":false,"scatter":{},)"
      R"("loaner":false,"build":"{}","size_gb":0.4,"reckon_s":{},)"
      R"("bookmark_s":0.0,"stow_s":0.0,"due_s":null{}}})",
      job.id, submission.duty, submission.crew, job.form, submission.standing,
      job.legs, job.cores, job.memory_gb, submission.scatter, job.build,
      job.form == "service" ? 0 : job.run_s,
      submission.waits_on.empty()
          ? std::string()
          : ",\"waits_on\":[\"" + submission.waits_on + "\"]");
  const std::string id = job.id;
  job.submitted = true;
  account_.jobs[id] = std::move(job);
  const double until = loop_.Now() + kRetryFor;
  while (loop_.Now() < until) {
    const auto controller = static_cast<int>(next_++ % controllers_.size());
    const ClientResult answer =
        co_await Ask(controller, "POST", "/v2/runs", body);
    const bool is_answered = answer.outcome == oxbow::net::Outcome::kAnswered;
    record_.Line(fmt::format("submit {} at {}: {} {}", id,
                             controllers_[controller].name,
                             is_answered ? answer.status : 0, answer.body));
    if (is_answered && (answer.status == 200 || answer.status == 201)) {
      co_return true;
    }
    if (is_answered && (answer.status == 400 || answer.status == 422)) break;
    co_await loop_.Sleep(kRetryPause);
  }
  co_return false;
}

Task<std::string> Deployment::Poll(std::string id, double within_s) {
  const double until = loop_.Now() + within_s;
  while (loop_.Now() < until) {
    const auto controller = static_cast<int>(next_++ % controllers_.size());
    const ClientResult answer =
        co_await Ask(controller, "GET", "/v2/runs/" + id, "");
    const bool is_answered = answer.outcome == oxbow::net::Outcome::kAnswered;
    record_.Line(fmt::format("poll {} at {}: {} {}", id,
                             controllers_[controller].name,
                             is_answered ? answer.status : 0, answer.body));
    if (is_answered && answer.status == 404) co_return "404";
    rapidjson::Document doc;
    if (is_answered && answer.status == 200 &&
        oxbow::json::Parse(answer.body, &doc)) {
      co_return oxbow::json::GetString(doc, "status");
    }
    co_await loop_.Sleep(kRetryPause);
  }
  co_return "";
}

}  // namespace review
