// A worker on loopback.
#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>

#include "review/platform.h"
#include "wire/json.h"

namespace review {
namespace {

namespace json = oxbow::json;

constexpr double kStep = 0.02;
constexpr double kAnswerTimeout = 4;    // protocol, "Workers"
constexpr double kNextNodePause = 1;    // protocol, "Workers"
constexpr double kLeastInterval = 0.5;  // protocol, "Workers"
constexpr double kFetchSeconds = 0.5;
constexpr double kFailsAfter = 0.3;  // of a faulty machine
constexpr size_t kAnswerLimit = 1024 * 1024;

}  // namespace

Worker::Worker(Loop& loop, Machine machine, Account& account, Record& record,
               std::vector<std::pair<std::string, Address>> controllers)
    : loop_(loop),
      machine_(std::move(machine)),
      account_(account),
      record_(record),
      controllers_(std::move(controllers)),
      lease_from_(loop.Now()),
      random_(std::hash<std::string>{}(machine_.host)),
      server_(loop, Local(0), {}, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {
  for (const auto& [name, address] : controllers_) {
    clients_.push_back(std::make_unique<oxbow::net::HttpClient>(
        loop, address, kAnswerLimit, 1));
  }
  at_ = random_() % controllers_.size();
  oxbow::net::Spawn(server_.Run());
  oxbow::net::Spawn(Live());
}

std::string Worker::Key(const Leg& leg) {
  return fmt::format("{}/{}#{}", leg.job, leg.task, leg.attempt);
}

size_t Worker::present() const {
  return static_cast<size_t>(
      std::count_if(legs_.begin(), legs_.end(),
                    [](const auto& entry) { return !entry.second.exited; }));
}

Task<void> Worker::Live() {
  while (!removed_) {
    co_await loop_.Sleep(kStep);
    if (removed_) break;
    const double now = loop_.Now();
    if (now - lease_from_ > machine_.lease_s) ExpireLease();
    Advance();
    const bool is_due = now >= next_report_ ||
                        (changed_ && now - last_report_ >= kLeastInterval);
    if (is_due && !reporting_) oxbow::net::Spawn(Send());
  }
}

void Worker::ExpireLease() {
  record_.Line(fmt::format("{} lease expired, {} tasks killed, session {}",
                           machine_.host, present(), tenure_ + 1));
  account_.killed_by_lease += present();
  for (auto& [key, leg] : legs_) LeaveMachine(leg);
  legs_.clear();
  used_cores_ = used_memory_ = 0;
  ++tenure_;
  lease_from_ = loop_.Now();
  changed_ = true;
}

void Worker::EnterMachine(Leg& leg) {
  const std::string name = fmt::format("{}/{}", leg.job, leg.task);
  leg.on_machine = true;
  ++account_.started;
  const auto [it, is_new] =
      account_.on_machine.try_emplace(name, machine_.host);
  if (!is_new && it->second != machine_.host) {
    account_.ran_twice.push_back(name);
    record_.Line(fmt::format("{} starts on {} while it is on {}", name,
                             machine_.host, it->second));
  }
}

void Worker::LeaveMachine(Leg& leg) {
  if (!leg.on_machine) return;
  leg.on_machine = false;
  const auto it =
      account_.on_machine.find(fmt::format("{}/{}", leg.job, leg.task));
  if (it != account_.on_machine.end() && it->second == machine_.host) {
    account_.on_machine.erase(it);
  }
}

void Worker::Exit(Leg& leg, const std::string& reason) {
  const Job& job = account_.jobs.at(leg.job);
  LeaveMachine(leg);
  leg.exited = true;
  leg.reason = reason;
  used_cores_ -= job.cores;
  used_memory_ -= job.memory_gb;
  changed_ = true;
}

void Worker::Advance() {
  const double now = loop_.Now();
  for (auto& [key, leg] : legs_) {
    if (leg.exited) continue;
    Job& job = account_.jobs.at(leg.job);
    if (!leg.on_machine && now >= leg.runs_from) {
      images_.insert(job.build);
      EnterMachine(leg);
      changed_ = true;
    }
    if (leg.on_machine && leg.fails && now >= leg.runs_from + kFailsAfter) {
      ++account_.failed;
      record_.Line(fmt::format("{} {}/{} exits with error", machine_.host,
                               leg.job, leg.task));
      Exit(leg, "error");
      continue;
    }
    const bool is_kept = job.done.contains(leg.task);
    if (!leg.on_machine || job.form == "service" ||
        (!is_kept && now < leg.runs_from + job.run_s)) {
      continue;
    }
    if (job.done.insert(leg.task).second) ++account_.completed;
    Exit(leg, "done");
  }
}

std::string Worker::Report() {
  std::string legs;
  for (const auto& [key, leg] : legs_) {
    if (!legs.empty()) legs += ",";
    const char* status = leg.exited       ? "exited"
                         : leg.on_machine ? "running"
                                          : "pulling";
    legs += fmt::format(
        R"({{"leg":"{}/{}","try_no":{},"status":"{}"{}}})", leg.job, leg.task,
        leg.attempt, status,
        leg.exited ? ",\"exit_reason\":\"" + leg.reason + "\"" : std::string());
  }
  return fmt::format(
      R"({{"host":"{}","endpoint":"{}","fleet":"{}","yard":"{}",)"
      R"("loaner":false,"tenure":{},"tally":{},"fence":{},"warning_s":null,)"
      R"("legs":[{}]}})",
      machine_.host, endpoint(), machine_.fleet, machine_.yard, tenure_,
      ++tally_, fence_, legs);
}

Task<void> Worker::Send() {
  reporting_ = true;
  changed_ = false;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  const double sent = loop_.Refresh();
  last_report_ = sent;
  next_report_ = sent + machine_.report_s * jitter(random_);
  const uint64_t tenure = tenure_;
  const std::string body = Report();
  largest_report_ = std::max(largest_report_, body.size());
  const ClientResult answer = co_await clients_[at_]->Request(
      "POST", "/v1/report", body, kAnswerTimeout);
  if (!removed_) OnAnswer(answer, sent, tenure);
  reporting_ = false;
}

void Worker::NextController() {
  at_ = (at_ + 1) % controllers_.size();
  next_report_ = loop_.Refresh() + kNextNodePause;
  last_report_ = next_report_ - kLeastInterval;
}

void Worker::OnAnswer(const ClientResult& answer, double sent,
                      uint64_t tenure) {
  const bool is_answered = answer.outcome == oxbow::net::Outcome::kAnswered;
  const int status = is_answered ? answer.status : 0;
  if (status != 200 && status != 421) {
    record_.Line(fmt::format("{} report of {} bytes to {}: status {}",
                             machine_.host, largest_report_,
                             controllers_[at_].first, status));
  }
  ++statuses_[status];
  if (status == 421) {
    rapidjson::Document doc;
    const std::string to = json::Parse(answer.body, &doc)
                               ? json::GetString(doc, "controller")
                               : std::string();
    for (size_t i = 0; i < controllers_.size(); ++i) {
      if (controllers_[i].first != to || i == at_) continue;
      at_ = i;
      next_report_ = loop_.Now();
      return;
    }
  }
  if (status != 200) return NextController();
  if (Execute(answer.body, /*direct=*/false, tenure)) lease_from_ = sent;
}

Task<HttpResponse> Worker::Handle(HttpRequest request) {
  constexpr double kForEver = 3600;
  if (removed_) co_await loop_.Sleep(kForEver);
  HttpResponse response;
  if (request.path() == "/do") {
    rapidjson::Document doc;
    const bool is_json = json::Parse(request.body, &doc) && doc.IsObject();
    const uint64_t tenure = is_json ? json::GetUint(doc, "tenure") : 0;
    if (!is_json || !doc.HasMember("fence") || tenure == 0) {
      response.status = 400;
    } else if (!Execute(request.body, /*direct=*/true, tenure)) {
      response.status = 409;
    }
  }
  response.body = Report();
  co_return response;
}

// Whether the commands were accepted: the token is not too low and the session
// is the present one.
bool Worker::Execute(const std::string& body, bool direct, uint64_t tenure) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc) || !doc.IsObject() || !doc.HasMember("fence")) {
    return false;
  }
  const uint64_t fence = json::GetUint(doc, "fence");
  if (fence < fence_ || tenure != tenure_) return false;
  if (fence > fence_) changed_ = true;
  fence_ = fence;
  const auto* orders = json::Find(doc, "orders");
  if (orders == nullptr || !orders->IsArray()) return true;
  for (const auto& order : orders->GetArray()) {
    const std::string kind = json::GetString(order, "order");
    const std::string leg = json::GetString(order, "leg");
    const uint64_t attempt = json::GetUint(order, "try_no");
    const auto it = legs_.find(fmt::format("{}#{}", leg, attempt));
    if (kind == "run" && it == legs_.end()) {
      Run(leg, attempt);
    } else if (kind == "kill" && it != legs_.end() && !it->second.exited) {
      record_.Line(fmt::format("{} kill {}{}", machine_.host, leg,
                               direct ? " (direct)" : ""));
      Exit(it->second, "halted");
    } else if (kind == "clear" && it != legs_.end() && it->second.exited) {
      legs_.erase(it);
      changed_ = true;
    }
  }
  return true;
}

void Worker::Run(const std::string& name, uint64_t attempt) {
  const size_t slash = name.rfind('/');
  Leg leg;
  leg.job = name.substr(0, slash);
  leg.task = static_cast<uint32_t>(std::stoul(name.substr(slash + 1)));
  leg.attempt = attempt;
  const auto it = account_.jobs.find(leg.job);
  const bool is_known = it != account_.jobs.end() && it->second.submitted &&
                        leg.task < it->second.legs;
  constexpr double kRounding = 1e-6;
  if (!is_known) {
    leg.reason = "no_such";
  } else if (std::any_of(legs_.begin(), legs_.end(), [&](const auto& entry) {
               return !entry.second.exited && entry.second.job == leg.job &&
                      entry.second.task == leg.task;
             })) {
    leg.reason = "in_use";
  } else if (used_cores_ + it->second.cores > machine_.cores + kRounding ||
             used_memory_ + it->second.memory_gb >
                 machine_.memory_gb + kRounding) {
    leg.reason = "full";
  } else {
    used_cores_ += it->second.cores;
    used_memory_ += it->second.memory_gb;
    leg.runs_from =
        loop_.Now() + (images_.contains(it->second.build) ? 0 : kFetchSeconds);
  }
  leg.exited = !leg.reason.empty();
  leg.fails = faulty_;
  changed_ = true;
  legs_[Key(leg)] = leg;
}

void Worker::Remove() {
  removed_ = true;
  for (auto& [key, leg] : legs_) LeaveMachine(leg);
  legs_.clear();
}

}  // namespace review
