// The fake worker on loopback: heartbeats, commands and health checks.
#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::test {

using net::HttpRequest;
using net::HttpResponse;
using net::Task;

FakeWorker::FakeWorker(
    net::Loop& loop, std::string host, std::string ip, std::string zone,
    Timing timing,
    std::vector<std::pair<std::string, net::Address>> controllers,
    const std::map<std::string, Cue>& cues)
    : loop_(loop),
      host_(std::move(host)),
      ip_(std::move(ip)),
      zone_(std::move(zone)),
      timing_(timing),
      controllers_(std::move(controllers)),
      cues_(cues),
      orders_(loop, {ip_, 0}, {},
              [this](HttpRequest r) { return Handle(std::move(r)); }),
      health_(loop, {ip_, timing.health_port}, {},
              [this](HttpRequest r) { return Health(std::move(r)); }) {
  for (const auto& [name, address] : controllers_) {
    clients_.push_back(
        std::make_unique<net::HttpClient>(loop, address, 100'000, 1));
  }
}

void FakeWorker::Start() {
  lease_from_ = loop_.Now();
  net::Spawn(orders_.Run());
  net::Spawn(health_.Run());
  net::Spawn(Live());
}

std::string FakeWorker::ListItem() const {
  return fmt::format(
      R"({{"id":"{}","endpoint":"{}:{}","fleet":"g8","yard":"{}",)"
      R"("loaner":false,"status":"{}","age_s":60.0}})",
      host_, ip_, orders_.port(), zone_, dead_ ? "failed" : "running");
}

Task<void> FakeWorker::UntilOpen() {
  while (cut_) co_await loop_.Sleep(0.02);
}

Task<void> FakeWorker::Live() {
  double next = loop_.Now();
  while (!dead_) {
    co_await loop_.Sleep(0.02);
    const double now = loop_.Now();
    if (now - lease_from_ > timing_.lease_seconds) {
      instances_.clear();
      forgotten_.clear();
      ++session_;
      lease_from_ = now;
    }
    CompleteTasks(now);
    if (notice_ > 0) notice_ = std::max(0.001, notice_ - 0.02);
    if (cut_ || (now < next && !changed_)) continue;
    changed_ = false;
    next = now + timing_.heartbeat_interval_seconds;
    if (!co_await Report()) {
      at_ = (at_ + 1) % clients_.size();
      co_await loop_.Sleep(timing_.heartbeat_interval_seconds / 2);
    }
  }
}

void FakeWorker::CompleteTasks(double now) {
  for (auto& [key, i] : instances_) {
    const auto cue = cues_.find(i.job);
    if (i.exited || cue == cues_.end()) continue;
    if (now < i.running_from + cue->second.done_after) continue;
    i.exited = i.done = true;
    completed_[i.job].insert(i.task);
    changed_ = true;
  }
}

std::set<uint32_t> FakeWorker::Completed(const std::string& job) const {
  const auto it = completed_.find(job);
  return it == completed_.end() ? std::set<uint32_t>() : it->second;
}

Task<bool> FakeWorker::Report() {
  const double sent = loop_.Now();
  const uint64_t incarnation = session_;
  if (controllers_[at_].first == avoided_) co_return false;
  const net::ClientResult answer = co_await clients_[at_]->Request(
      "POST", "/v1/report", Message(), timing_.lease_seconds * 0.4);
  if (answer.outcome != net::Outcome::kAnswered || dead_) co_return false;
  rapidjson::Document doc;
  if (!json::Parse(answer.body, &doc)) co_return false;
  if (answer.status == 421) {
    const std::string to = json::GetString(doc, "controller");
    for (size_t i = 0; i < controllers_.size(); ++i) {
      if (controllers_[i].first != to || i == at_) continue;
      at_ = i;
      changed_ = true;
      co_return true;
    }
    co_return false;
  }
  if (answer.status != 200) co_return false;
  const uint64_t token = json::GetUint(doc, "fence");
  if (token < token_ || incarnation != session_) co_return true;
  if (token > token_) changed_ = true;
  token_ = token;
  lease_from_ = sent;
  Execute(answer.body);
  co_return true;
}

std::string FakeWorker::Message() {
  std::string legs;
  for (const auto& [key, i] : instances_) {
    if (!legs.empty()) legs += ",";
    const char* status = i.exited                       ? "exited"
                         : loop_.Now() < i.running_from ? "pulling"
                                                        : "running";
    legs += fmt::format(R"({{"leg":"{}/{}","try_no":{},"status":"{}"{}}})",
                        i.job, i.task, i.attempt, status,
                        i.done     ? R"(,"exit_reason":"done")"
                        : i.failed ? R"(,"exit_reason":"error")"
                        : i.exited ? R"(,"exit_reason":"halted")"
                                   : "");
  }
  return fmt::format(
      R"({{"host":"{}","endpoint":"{}:{}","fleet":"g8","yard":"{}",)"
      R"("loaner":false,"tenure":{},"tally":{},"fence":{},"warning_s":{},)"
      R"("legs":[{}]}})",
      host_, ip_, orders_.port(), zone_, session_, ++seq_, token_,
      notice_ > 0 ? fmt::format("{:.3f}", notice_) : "null", legs);
}

void FakeWorker::Execute(const std::string& body) {
  rapidjson::Document doc;
  doc.Parse(body.c_str());
  for (const auto& order : doc["orders"].GetArray()) {
    const std::string kind = json::GetString(order, "order");
    const std::string leg = json::GetString(order, "leg");
    const uint64_t attempt = json::GetUint(order, "try_no");
    const std::string key = fmt::format("{}#{}", leg, attempt);
    const auto it = instances_.find(key);
    changed_ = true;
    if (kind == "run" && it == instances_.end()) {
      started_again_ += static_cast<int>(forgotten_.count(key));
      Start(leg, attempt);
    } else if (kind == "kill" && it != instances_.end()) {
      it->second.exited = true;
    } else if (kind == "clear" && it != instances_.end() && it->second.exited) {
      instances_.erase(it);
      forgotten_.insert(key);
    }
  }
}

void FakeWorker::Start(const std::string& leg, uint64_t attempt) {
  const size_t slash = leg.rfind('/');
  Instance instance;
  instance.job = leg.substr(0, slash);
  instance.task = static_cast<uint32_t>(std::stoul(leg.substr(slash + 1)));
  instance.attempt = attempt;
  instance.running_from = loop_.Now() + 0.05;
  if (starts_to_fail_ > 0) {
    --starts_to_fail_;
    instance.exited = instance.failed = true;
  }
  instances_[fmt::format("{}#{}", leg, attempt)] = instance;
}

bool FakeWorker::ExecuteCall(const std::string& body) {
  rapidjson::Document doc;
  doc.Parse(body.c_str());
  const uint64_t token = json::GetUint(doc, "fence");
  if (token < token_ || json::GetUint(doc, "tenure") != session_) return false;
  if (token > token_) changed_ = true;
  token_ = token;
  Execute(body);
  return true;
}

void FakeWorker::RepeatCalls(const std::vector<size_t>& numbers) {
  if (dead_ || cut_) return;
  for (const size_t number : numbers) {
    if (!ExecuteCall(answered_calls_.at(number))) ++repeats_refused_;
  }
}

Task<HttpResponse> FakeWorker::Handle(HttpRequest request) {
  HttpResponse response;
  if (dead_) {
    co_await loop_.Sleep(60);
    co_return response;
  }
  // What was on its way is delivered late.
  co_await UntilOpen();
  if (request.path() == "/do") {
    if (ExecuteCall(request.body)) {
      answered_calls_.push_back(request.body);
    } else {
      response.status = 409;
    }
  }
  response.body = Message();
  co_return response;
}

bool FakeWorker::IsWell(const Instance& instance) const {
  const double ran = loop_.Now() - instance.running_from;
  if (dead_ || instance.exited || ran < 0) return false;
  const auto it = cues_.find(instance.job);
  if (it == cues_.end()) return true;
  const Cue& cue = it->second;
  if (ran >= cue.sick_after) return false;
  return cue.flap_seconds <= 0 ||
         static_cast<int64_t>(ran / cue.flap_seconds) % 2 == 0;
}

int FakeWorker::Well(const std::string& job) const {
  return static_cast<int>(std::count_if(
      instances_.begin(), instances_.end(),
      [&](const auto& e) { return e.second.job == job && IsWell(e.second); }));
}

int FakeWorker::Sick(const std::string& job) const {
  return static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(), [&](const auto& e) {
        const Instance& instance = e.second;
        return !dead_ && instance.job == job && !instance.exited &&
               loop_.Now() >= instance.running_from && !IsWell(instance);
      }));
}

int FakeWorker::Present(const std::string& job) const {
  return static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(), [&](const auto& e) {
        return !dead_ && e.second.job == job && !e.second.exited;
      }));
}

int FakeWorker::present() const {
  return static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(),
                    [&](const auto& e) { return !dead_ && !e.second.exited; }));
}

Task<HttpResponse> FakeWorker::Health(HttpRequest request) {
  HttpResponse response;
  response.status = 404;
  co_await UntilOpen();
  constexpr std::string_view kPrefix = "/health/";
  const std::string leg(
      request.path().substr(std::min(kPrefix.size(), request.path().size())));
  for (const auto& [key, i] : instances_) {
    if (dead_ || i.exited || leg != fmt::format("{}/{}", i.job, i.task) ||
        loop_.Now() < i.running_from) {
      continue;
    }
    const auto it = cues_.find(i.job);
    response.status = 200;
    response.body = R"({"chargers":[{"id":1}]})";
    if (!IsWell(i)) {
      switch (it->second.way) {
        case Cue::Way::kError:
          response.status = 500;
          break;
        case Cue::Way::kEmpty:
          response.body = R"({"chargers":[]})";
          break;
        case Cue::Way::kSilent:
          co_await loop_.Sleep(10);
          break;
      }
    }
    co_return response;
  }
  co_return response;
}

}  // namespace oxbow::test
