#include "review/second/worker.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::review {
namespace {

using net::HttpRequest;
using net::HttpResponse;

constexpr double kStepSeconds = 0.02;
constexpr double kReportTimeoutSeconds = 4;
constexpr double kLeastReportSeconds = 0.5;
constexpr double kErrorAfterSeconds = 0.5;
constexpr size_t kAnswerBytes = 1 << 20;
constexpr double kForeverSeconds = 600;

net::HttpServer::Limits ServerLimits() {
  net::HttpServer::Limits limits;
  limits.idle_seconds = kForeverSeconds;
  return limits;
}

std::string KeyOf(const std::string& leg, uint64_t attempt) {
  return leg + "#" + std::to_string(attempt);
}

}  // namespace

std::set<uint32_t> Fleet::Present(const std::string& job,
                                  uint64_t attempt) const {
  std::set<uint32_t> present;
  for (const auto& worker : workers) {
    for (const auto& [key, task] : worker->tasks_) {
      if (task.job == job && task.attempt == attempt &&
          task.state != Worker::State::kPulling &&
          task.state != Worker::State::kExited) {
        present.insert(task.number);
      }
    }
  }
  return present;
}

int Fleet::CountRunning(const std::string& job) const {
  int count = 0;
  for (const auto& worker : workers) {
    for (const auto& [key, task] : worker->tasks_) {
      count += task.job == job && task.state == Worker::State::kRunning;
    }
  }
  return count;
}

std::shared_ptr<Worker> Fleet::WhereRuns(const std::string& job) const {
  for (const auto& worker : workers) {
    for (const auto& [key, task] : worker->tasks_) {
      if (task.job == job && task.state == Worker::State::kRunning) {
        return worker;
      }
    }
  }
  return nullptr;
}

Worker::Worker(Fleet& fleet, std::string host, MachineType type,
               std::string zone, double up_at)
    : fleet_(fleet),
      host_(std::move(host)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      up_at_(up_at),
      rented_at_(fleet.loop.Now()),
      server_(fleet.loop, test::Local(0), ServerLimits(),
              [this](HttpRequest r) { return Handle(std::move(r)); }) {
  for (const ControllerAddress& controller : fleet.controllers) {
    clients_.push_back(std::make_unique<net::HttpClient>(
        fleet.loop, controller.address, kAnswerBytes, 1));
  }
}

void Worker::Start() {
  net::Spawn(server_.Run());
  net::Spawn(Live());
}

void Worker::Die() {
  fleet_.record.Write(fmt::format("{} stops with all that is on it", host_));
  dead_ = true;
  tasks_.clear();
}

const Job& Worker::JobOf(const Task& task) const {
  return fleet_.jobs.at(task.job).job;
}

bool Worker::HasRoomFor(const Job& job) const {
  double cores = job.cores;
  double accelerators = job.accelerators;
  double memory_gb = job.memory_gb;
  for (const auto& [key, task] : tasks_) {
    if (task.state == State::kExited) continue;
    const Job& other = JobOf(task);
    cores += other.cores;
    accelerators += other.accelerators;
    memory_gb += other.memory_gb;
  }
  return up_ && !dead_ && cores <= type_.cores &&
         accelerators <= type_.accelerators && memory_gb <= type_.memory_gb;
}

// --- Reports

net::Task<void> Worker::Live() {
  while (fleet_.loop.Now() < up_at_) co_await fleet_.loop.Sleep(kStepSeconds);
  fleet_.record.Write(
      fmt::format("{} is up ({}, {})", host_, type_.name, zone_));
  up_ = true;
  lease_from_ = fleet_.loop.Now();
  double last = lease_from_;
  double last_report = -kForeverSeconds;
  while (!dead_) {
    co_await fleet_.loop.Sleep(kStepSeconds);
    if (dead_) break;
    const double now = fleet_.loop.Now();
    CheckLease();
    Fetch(now - last);
    last = now;
    for (auto& [key, task] : tasks_) Step(task);
    const bool is_early = changed_ && now - last_report >= kLeastReportSeconds;
    if (reporting_ || (now < next_report_ && !is_early)) continue;
    changed_ = false;
    last_report = now;
    next_report_ = now + fleet_.timing.report_seconds;
    net::Spawn(Report(shared_from_this()));
  }
}

net::Task<void> Worker::Report(std::shared_ptr<Worker> self) {
  self->reporting_ = true;
  const double sent_at = self->fleet_.loop.Now();
  const uint64_t session = self->session_;
  net::HttpClient& client = *self->clients_[self->at_];
  const net::ClientResult answer = co_await client.Request(
      "POST", "/v1/report", self->Message(), kReportTimeoutSeconds);
  if (!self->dead_) self->ApplyAnswer(answer, session, sent_at);
  self->reporting_ = false;
}

void Worker::ApplyAnswer(const net::ClientResult& answer, uint64_t session,
                         double sent_at) {
  rapidjson::Document doc;
  const bool is_read = answer.outcome == net::Outcome::kAnswered &&
                       json::Parse(answer.body, &doc) && doc.IsObject();
  if (is_read && answer.status == 200) {
    const uint64_t token = json::GetUint(doc, "fence");
    // Dropped: another session, no token or a lower one.
    if (session != session_ || token < token_ || token == 0) return;
    changed_ = changed_ || token > token_;
    token_ = token;
    lease_from_ = std::max(lease_from_, sent_at);
    Execute(answer.body);
    return;
  }
  const std::string named =
      is_read && answer.status == 421 ? json::GetString(doc, "controller") : "";
  for (size_t i = 0; i < fleet_.controllers.size(); ++i) {
    if (fleet_.controllers[i].name != named || i == at_) continue;
    at_ = i;
    next_report_ = fleet_.loop.Now();
    return;
  }
  TryNextController();
}

void Worker::TryNextController() {
  constexpr double kPauseSeconds = 1;
  at_ = (at_ + 1) % clients_.size();
  changed_ = false;
  next_report_ = fleet_.loop.Now() + kPauseSeconds;
}

std::string Worker::NameOf(State state) {
  switch (state) {
    case State::kPulling:
      return "pulling";
    case State::kGathering:
      return "gathering";
    case State::kRunning:
      return "running";
    case State::kSaving:
      return "saving";
    case State::kExited:
      break;
  }
  return "exited";
}

std::string Worker::Message() {
  std::string legs;
  for (const auto& [key, task] : tasks_) {
    if (!legs.empty()) legs += ",";
    legs +=
        fmt::format(R"({{"leg":"{}/{}","try_no":{},"status":"{}")", task.job,
                    task.number, task.attempt, NameOf(task.state));
    if (task.state == State::kExited) {
      legs += fmt::format(R"(,"exit_reason":"{}","saved":{})", task.reason,
                          task.saved);
    }
    legs += "}";
  }
  return fmt::format(
      R"({{"host":"{}","endpoint":"{}","fleet":"{}","yard":"{}",)"
      R"("loaner":false,"tenure":{},"tally":{},"fence":{},"warning_s":null,)"
      R"("legs":[{}]}})",
      host_, endpoint(), type_.name, zone_, session_, ++message_, token_, legs);
}

void Worker::CheckLease() {
  const double now = fleet_.loop.Now();
  if (now - lease_from_ <= fleet_.timing.lease_seconds) return;
  fleet_.record.Write(
      fmt::format("{} lost its lease with {} tasks", host_, tasks_.size()));
  tasks_.clear();
  fetching_.clear();
  ++session_;
  lease_from_ = now;
  changed_ = true;
}

// --- Commands

net::Task<HttpResponse> Worker::Handle(HttpRequest request) {
  HttpResponse response;
  // A machine that is not up does not answer.
  if (dead_ || !up_) {
    co_await fleet_.loop.Sleep(kForeverSeconds);
    co_return response;
  }
  if (request.path() == "/do") {
    rapidjson::Document doc;
    if (!json::Parse(request.body, &doc) || !doc.HasMember("fence") ||
        !doc.HasMember("tenure")) {
      response.status = 400;
    } else if (json::GetUint(doc, "fence") < token_ ||
               json::GetUint(doc, "tenure") != session_) {
      response.status = 409;
    } else {
      changed_ = changed_ || json::GetUint(doc, "fence") > token_;
      token_ = json::GetUint(doc, "fence");
      Execute(request.body);
    }
  }
  response.body = Message();
  co_return response;
}

void Worker::Execute(const std::string& body) {
  rapidjson::Document doc;
  json::Parse(body, &doc);
  const auto* orders = json::Find(doc, "orders");
  if (orders == nullptr) return;
  for (const auto& order : orders->GetArray()) {
    const std::string kind = json::GetString(order, "order");
    const std::string leg = json::GetString(order, "leg");
    const uint64_t attempt = json::GetUint(order, "try_no");
    const auto it = tasks_.find(KeyOf(leg, attempt));
    fleet_.record.Write(
        fmt::format("{} is told: {} {} try {}", host_, kind, leg, attempt));
    if (kind == "run" && it == tasks_.end()) {
      Run(leg, attempt);
    } else if (kind == "kill" && it != tasks_.end()) {
      Kill(it->second, json::GetDouble(order, "wind_down_s"));
    } else if (kind == "clear" && it != tasks_.end() &&
               it->second.state == State::kExited) {
      tasks_.erase(it);
      changed_ = true;
    }
  }
}

void Worker::Run(const std::string& leg, uint64_t attempt) {
  const size_t slash = leg.rfind('/');
  Task task;
  task.job = leg.substr(0, slash);
  task.number = static_cast<uint32_t>(std::stoul(leg.substr(slash + 1)));
  task.attempt = attempt;
  task.since = fleet_.loop.Now();
  const auto known = fleet_.jobs.find(task.job);
  std::string refusal;
  if (known == fleet_.jobs.end() || task.number >= known->second.job.tasks) {
    refusal = "no_such";
  } else if (!HasRoomFor(known->second.job)) {
    refusal = "full";
  }
  for (const auto& [key, other] : tasks_) {
    if (other.job == task.job && other.number == task.number &&
        other.state != State::kExited) {
      refusal = "in_use";
    }
  }
  Task& added = tasks_[KeyOf(leg, attempt)] = task;
  if (!refusal.empty()) return Exit(added, refusal);
  changed_ = true;
  const Job& job = known->second.job;
  if (!images_.contains(job.image)) {
    fetching_.try_emplace(job.image, job.image_gb);
  }
}

void Worker::Kill(Task& task, double grace_seconds) {
  if (task.state == State::kExited) return;
  const Job& job = JobOf(task);
  if (task.state == State::kRunning && job.checkpoint_seconds > 0 &&
      grace_seconds >= job.save_seconds) {
    Become(task, State::kSaving);
    task.leaves_at = fleet_.loop.Now() + job.save_seconds;
    return;
  }
  if (task.state == State::kSaving && grace_seconds > 0) return;
  Exit(task, "halted");
}

// --- Tasks

void Worker::Become(Task& task, State state) {
  task.state = state;
  task.since = fleet_.loop.Now();
  task.leaves_at = 0;
  changed_ = true;
  fleet_.record.Write(fmt::format("{}: {}/{} try {} is {}", host_, task.job,
                                  task.number, task.attempt, NameOf(state)));
}

void Worker::Exit(Task& task, const std::string& reason, bool saved) {
  task.state = State::kExited;
  task.reason = reason;
  task.saved = saved;
  changed_ = true;
  fleet_.record.Write(fmt::format("{}: {}/{} try {} exits: {}", host_, task.job,
                                  task.number, task.attempt, reason));
}

void Worker::Fetch(double seconds) {
  const double share =
      type_.fetch_gb_per_second * seconds /
      static_cast<double>(std::max<size_t>(1, fetching_.size()));
  for (auto it = fetching_.begin(); it != fetching_.end();) {
    const bool is_wanted =
        std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
          return entry.second.state == State::kPulling &&
                 JobOf(entry.second).image == it->first;
        });
    it->second -= share;
    if (is_wanted && it->second > 0) {
      ++it;
      continue;
    }
    fleet_.record.Write(
        is_wanted ? fmt::format("{} has fetched {}", host_, it->first)
                  : fmt::format("{} gives up the fetch of {}: {:.2f} GB left",
                                host_, it->first, it->second));
    if (is_wanted) images_.insert(it->first);
    it = fetching_.erase(it);
  }
}

void Worker::Step(Task& task) {
  switch (task.state) {
    case State::kPulling:
      if (images_.contains(JobOf(task).image)) OnImageThere(task);
      break;
    case State::kGathering:
      StepGathering(task);
      break;
    case State::kRunning:
      StepRunning(task);
      break;
    case State::kSaving:
      if (fleet_.loop.Now() >= task.leaves_at) Exit(task, "halted", true);
      break;
    case State::kExited:
      break;
  }
}

void Worker::OnImageThere(Task& task) {
  JobAccount& account = fleet_.jobs.at(task.job);
  ++account.starts;
  ++starts_;
  if (account.done.contains(task.number)) return Exit(task, "done");
  Become(task, account.job.IsGang() ? State::kGathering : State::kRunning);
}

void Worker::StepGathering(Task& task) {
  const std::set<uint32_t> present = fleet_.Present(task.job, task.attempt);
  if (present.size() == JobOf(task).tasks) {
    Become(task, State::kRunning);
  } else if (fleet_.loop.Now() - task.since > fleet_.timing.gang_wait_seconds) {
    Exit(task, "alone");
  }
}

void Worker::StepRunning(Task& task) {
  const double now = fleet_.loop.Now();
  JobAccount& account = fleet_.jobs.at(task.job);
  const Job& job = account.job;
  const double ran = now - task.since;
  if (faulty_ && ran >= kErrorAfterSeconds) return Exit(task, "error");
  // The tasks of a gang complete together.
  const bool is_done = !job.IsService() && ran >= job.run_seconds;
  if (is_done || (job.IsGang() && !account.done.empty())) {
    account.done.insert(task.number);
    return Exit(task, "done");
  }
  if (!job.IsGang()) return;
  const size_t present = fleet_.Present(task.job, task.attempt).size();
  if (present == job.tasks) {
    task.leaves_at = 0;
  } else if (task.leaves_at <= 0) {
    task.leaves_at = now + fleet_.timing.gang_peer_seconds;
  } else if (now >= task.leaves_at) {
    Exit(task, "mates_gone");
  }
}

}  // namespace oxbow::review
