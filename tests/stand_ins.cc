#include "tests/stand_ins.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "wire/json.h"

namespace oxbow::test {

using net::HttpRequest;
using net::HttpResponse;
using net::Task;

// Below the ports that the system hands out by itself: one of those was taken
// by a stand-in or a connection before the process it was meant for had bound
// it, and its users were answered by somebody else. Each test process begins
// elsewhere.
uint16_t FreePort() {
  constexpr int kLeast = 10'000;
  constexpr int kMost = 32'000;
  constexpr int kEach = 20;
  static int next = kLeast + getpid() * kEach % (kMost - kLeast);
  for (;;) {
    const auto port = static_cast<uint16_t>(next);
    next = next + 1 < kMost ? next + 1 : kLeast;
    try {
      net::Loop loop;
      return net::Listener(loop, Local(port)).port();
    } catch (const std::exception&) {
      continue;  // in use
    }
  }
}

// --- the key-value store

FakeKeyValueStore::FakeKeyValueStore(net::Loop& loop)
    : loop_(loop), server_(loop, Local(0), {}, [this](HttpRequest r) {
        return Handle(std::move(r));
      }) {
  net::Spawn(server_.Run());
  net::Spawn(EndLeases());
}

std::string FakeKeyValueStore::Ledger() const {
  return fmt::format("\"ledger_no\":{}", revision_);
}

std::string FakeKeyValueStore::Value(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? std::string() : it->second.value;
}

std::shared_ptr<const FakeKeyValueStore::Copy> FakeKeyValueStore::Save() const {
  return std::make_shared<Copy>(
      Copy{keys_, log_, leases_, next_lease_, revision_});
}

void FakeKeyValueStore::Restore(const Copy& copy, bool revision_goes_on) {
  keys_ = copy.keys;
  log_ = copy.log;
  leases_ = copy.leases;
  for (auto& [id, lease] : leases_)
    lease.until = loop_.Now() + lease.ttl_seconds;
  if (revision_goes_on) return;
  next_lease_ = copy.next_lease;
  revision_ = copy.revision;
}

void FakeKeyValueStore::EraseAll(bool revision_goes_on) {
  Restore(Copy(), revision_goes_on);
}

void FakeKeyValueStore::Lose(const std::string& prefix) {
  std::erase_if(keys_,
                [&](const auto& e) { return e.first.starts_with(prefix); });
}

Task<HttpResponse> FakeKeyValueStore::Watch(const HttpRequest& request) {
  HttpResponse response;
  const std::string prefix(request.query("prefix"));
  const auto after = std::stoull(std::string(request.query("after")));
  for (int i = 0; i < 200 && (revision_ <= after || down); ++i) {
    co_await loop_.Sleep(0.01);
  }
  std::string log;
  for (const Change& c : log_) {
    if (c.mod_revision <= after || !c.key.starts_with(prefix)) continue;
    if (!log.empty()) log += ",";
    log += c.value.empty()
               ? fmt::format(R"({{"delete":"{}")", c.key)
               : fmt::format(R"({{"set":"{}","v":{})", c.key, c.value);
    log += fmt::format(R"(,"stamp":{}}})", c.mod_revision);
  }
  response.body = "{" + Ledger() + ",\"log\":[" + log + "]}";
  co_return response;
}

Task<HttpResponse> FakeKeyValueStore::Handle(HttpRequest request) {
  HttpResponse response;
  const std::string path(request.path());
  if (path == "/follow") co_return co_await Watch(request);
  if (down) {
    response.status = 503;
    co_return response;
  }
  const auto item = [](const Change& c) {
    return fmt::format(R"({{"key":"{}","v":{},"stamp":{},"permit":{}}})", c.key,
                       c.value, c.mod_revision, c.lease);
  };
  if (path == "/kv") {
    const std::string prefix(request.query("prefix"));
    std::string items;
    for (const auto& [key, c] : keys_) {
      if (!key.starts_with(prefix)) continue;
      if (!items.empty()) items += ",";
      items += item(c);
    }
    response.body =
        "{\"pairs\":[" + items + "],\"has_next\":false," + Ledger() + "}";
  } else if (path.starts_with("/kv/")) {
    const auto it = keys_.find(path.substr(4));
    response.status = it == keys_.end() ? 404 : 200;
    response.body = it == keys_.end() ? "{" + Ledger() + "}" : item(it->second);
  } else if (path == "/txn" && Sets(request.body, held_prefix_)) {
    held_prefix_.clear();
    held_.push_back(request.body);
    co_await loop_.Sleep(60);  // whoever asked has given up before
  } else if (path == "/txn" && Sets(request.body, mute_prefix_)) {
    mute_prefix_.clear();
    Transaction(request.body, &response);
    co_await loop_.Sleep(60);
  } else if (path == "/txn") {
    Transaction(request.body, &response);
  } else {
    Leases(request, &response);
  }
  co_return response;
}

bool FakeKeyValueStore::Sets(const std::string& body,
                             const std::string& prefix) {
  return !prefix.empty() &&
         body.find("\"set\":\"" + prefix) != std::string::npos;
}

int FakeKeyValueStore::CarryOutHeld() {
  HttpResponse response;
  Transaction(held_.at(0), &response);
  held_.erase(held_.begin());
  return response.status;
}

void FakeKeyValueStore::Transaction(const std::string& body,
                                    HttpResponse* response) {
  rapidjson::Document doc;
  doc.Parse(body.c_str());
  std::string failed;
  for (const auto& c : doc["if"].GetArray()) {
    const auto it = keys_.find(c["key"].GetString());
    if ((it == keys_.end() ? 0 : it->second.mod_revision) !=
        c["stamp"].GetUint64()) {
      if (!failed.empty()) failed += ",";
      failed += fmt::format("\"{}\"", c["key"].GetString());
    }
  }
  for (const auto& c : doc["then"].GetArray()) {
    if (c.HasMember("permit") && !leases_.contains(c["permit"].GetUint64())) {
      response->status = 400;
      response->body = R"({"error":"no such lease"})";
      return;
    }
  }
  for (const auto& c : doc["then"].GetArray()) {
    if (!c.HasMember("v")) continue;
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
    c["v"].Accept(w);
    if (buffer.GetSize() <= most_value) continue;
    response->status = 400;
    response->body = R"({"error":"value too large"})";
    return;
  }
  if (!failed.empty()) {
    response->status = 409;
    response->body = "{\"failed\":[" + failed + "]," + Ledger() + "}";
    return;
  }
  // One without changes only compares.
  if (!doc["then"].GetArray().Empty()) ++revision_;
  for (const auto& c : doc["then"].GetArray()) {
    if (!c.HasMember("set")) {
      Delete(c["delete"].GetString());
      continue;
    }
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
    c["v"].Accept(w);
    Change change{c["set"].GetString(), buffer.GetString(), revision_, 0};
    if (c.HasMember("permit")) change.lease = c["permit"].GetUint64();
    keys_[change.key] = change;
    log_.push_back(std::move(change));
  }
  response->body = "{" + Ledger() + "}";
}

void FakeKeyValueStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  keys_[key] = {key, value, revision_, 0};
  log_.push_back(keys_[key]);
}

void FakeKeyValueStore::Delete(const std::string& key) {
  keys_.erase(key);
  log_.push_back({key, "", revision_, 0});
}

void FakeKeyValueStore::Leases(const HttpRequest& request,
                               HttpResponse* response) {
  const std::string path(request.path());
  if (path == "/leases") {
    rapidjson::Document doc;
    doc.Parse(request.body.c_str());
    const double ttl = json::GetDouble(doc, "ttl_ms") / 1000;
    leases_[next_lease_] = {ttl, loop_.Now() + ttl};
    response->body = fmt::format(R"({{"permit":{}}})", next_lease_++);
    return;
  }
  const auto it = leases_.find(std::strtoull(
      path.substr(std::string("/leases/").size()).c_str(), nullptr, 10));
  response->body = "{}";
  if (it == leases_.end()) {
    response->status = 404;
  } else if (request.method == "DELETE") {
    it->second.until = 0;
  } else {
    it->second.until = loop_.Now() + it->second.ttl_seconds;
  }
}

Task<void> FakeKeyValueStore::EndLeases() {
  for (;;) {
    co_await loop_.Sleep(0.02);
    for (auto it = leases_.begin(); it != leases_.end();) {
      // In an outage no lease ends, and afterwards each has its full time.
      if (down) it->second.until = loop_.Now() + it->second.ttl_seconds;
      if (loop_.Now() < it->second.until) {
        ++it;
        continue;
      }
      std::vector<std::string> attached;
      for (const auto& [key, c] : keys_) {
        if (c.lease == it->first) attached.push_back(key);
      }
      if (!attached.empty()) ++revision_;
      for (const std::string& key : attached) Delete(key);
      it = leases_.erase(it);
    }
  }
}

// --- the cloud

FakeCloud::FakeCloud(net::Loop& loop)
    : server_(loop, Local(0), {},
              [this](HttpRequest r) { return Handle(std::move(r)); }) {
  net::Spawn(server_.Run());
}

Task<HttpResponse> FakeCloud::Handle(HttpRequest request) {
  HttpResponse response;
  if (request.path() == "/flavors") {
    response.body =
        R"({"fleets":[{"name":"g8","cores":8,"accelerators":0,"memory_gb":64,
        "cache_gb":50,"fetch_gb_per_s":1.0,"hourly":1.0,"low_price":0.5,
        "startup_s":5,"yards":["a","b"]}]})";
  } else if (request.path() == "/machines" && request.method == "GET") {
    response.body = R"({"hosts":[)" + listed() + R"(],"has_next":false})";
  } else if (request.path() == "/machines/delete" && on_delete) {
    rapidjson::Document doc;
    doc.Parse(request.body.c_str());
    for (const auto& host : doc["hosts"].GetArray()) {
      on_delete(host.GetString());
    }
    response.body = "{}";
  } else {
    response.status = 503;
    response.body = R"({"error":"no capacity"})";
  }
  co_return response;
}

// --- a worker

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
      const size_t slash = leg.rfind('/');
      instances_[key] = {
          leg.substr(0, slash),
          static_cast<uint32_t>(std::stoul(leg.substr(slash + 1))), attempt,
          false, loop_.Now() + 0.05};
    } else if (kind == "kill" && it != instances_.end()) {
      it->second.exited = true;
    } else if (kind == "clear" && it != instances_.end() && it->second.exited) {
      instances_.erase(it);
    }
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
    rapidjson::Document doc;
    doc.Parse(request.body.c_str());
    const uint64_t token = json::GetUint(doc, "fence");
    if (token < token_ || json::GetUint(doc, "tenure") != session_) {
      response.status = 409;
    } else {
      if (token > token_) changed_ = true;
      token_ = token;
      Execute(request.body);
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
