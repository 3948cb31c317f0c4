#include "review/second/state_service.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::review {
namespace {

using net::HttpRequest;
using net::HttpResponse;
using net::Task;

constexpr size_t kMaxItems = 1000;
constexpr size_t kMaxListBytes = 512 * 1024;
constexpr size_t kMaxRequestBytes = 64 * 1024;
constexpr size_t kMaxLog = 10'000;
constexpr size_t kConditionsPerChange = 4;
constexpr double kPollSeconds = 0.005;
constexpr double kLatencySeconds = 0.004;

net::HttpServer::Limits ServerLimits() {
  net::HttpServer::Limits limits;
  limits.idle_seconds = 600;
  return limits;
}

HttpResponse Answer(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string TextOf(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

uint64_t NumberOf(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

bool Rate::Take(double amount, double now) {
  left_ = std::min(most_, left_ + (now - at_) * per_second_);
  at_ = now;
  if (left_ < amount) return false;
  left_ -= amount;
  return true;
}

StateService::StateService(net::Loop& loop, const StateLimits& limits)
    : loop_(loop),
      limits_(limits),
      requests_(limits.requests_per_second, 1),
      changes_(limits.changes_per_second, 1),
      server_(loop, test::Local(0), ServerLimits(),
              [this](HttpRequest r) { return Handle(std::move(r)); }) {
  net::Spawn(server_.Run());
  net::Spawn(EndLeases());
}

std::string StateService::Value(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.value;
}

std::string StateService::Revision() const {
  return fmt::format("\"ledger_no\":{}", revision_);
}

Task<HttpResponse> StateService::Handle(HttpRequest request) {
  co_await loop_.Sleep(kLatencySeconds);
  if (!requests_.Take(1, loop_.Now())) co_return Answer(429, "{}");
  const std::string path(request.path());
  if (path == "/follow") co_return co_await Follow(std::move(request));
  if (path == "/kv") co_return List(request);
  if (path.starts_with("/kv/")) co_return Read(path.substr(4));
  if (path == "/txn") co_return Transact(request.body);
  co_return ChangeLease(request);
}

Task<HttpResponse> StateService::Follow(HttpRequest request) {
  const std::string prefix(request.query("prefix"));
  const uint64_t after = NumberOf(request.query("after"));
  const double until =
      loop_.Now() +
      static_cast<double>(NumberOf(request.query("block_ms"))) / 1000;
  for (;;) {
    if (after < forgotten_) co_return Answer(410, "{" + Revision() + "}");
    std::string log;
    const auto first =
        std::upper_bound(log_.begin(), log_.end(), after,
                         [](uint64_t revision, const Change& change) {
                           return revision < change.revision;
                         });
    for (auto it = first; it != log_.end(); ++it) {
      if (!it->key.starts_with(prefix)) continue;
      if (!log.empty()) log += ",";
      log += it->value.empty()
                 ? fmt::format(R"({{"delete":"{}")", it->key)
                 : fmt::format(R"({{"set":"{}","v":{})", it->key, it->value);
      log += fmt::format(R"(,"stamp":{}}})", it->revision);
    }
    if (!log.empty() || loop_.Now() >= until) {
      co_return Answer(200, "{" + Revision() + ",\"log\":[" + log + "]}");
    }
    co_await loop_.Sleep(kPollSeconds);
  }
}

HttpResponse StateService::Read(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return Answer(404, "{" + Revision() + "}");
  const Entry& entry = it->second;
  return Answer(200,
                fmt::format(R"({{"key":"{}","v":{},"stamp":{},)"
                            R"("permit":{}}})",
                            key, entry.value, entry.revision, entry.lease));
}

HttpResponse StateService::List(const HttpRequest& request) const {
  const std::string prefix(request.query("prefix"));
  const std::string after(request.query("after"));
  const size_t page = NumberOf(request.query("page"));
  const size_t most = page == 0 ? kMaxItems : std::min(page, kMaxItems);
  std::string items;
  size_t count = 0;
  bool has_next = false;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    if (it->first <= after) continue;
    const std::string item = Read(it->first).body;
    has_next = count == most || items.size() + item.size() > kMaxListBytes;
    if (has_next) break;
    if (!items.empty()) items += ",";
    items += item;
    ++count;
  }
  return Answer(200, fmt::format(R"({{"pairs":[{}],"has_next":{},{}}})", items,
                                 has_next, Revision()));
}

HttpResponse StateService::Transact(const std::string& body) {
  rapidjson::Document doc;
  if (body.size() > kMaxRequestBytes || !json::Parse(body, &doc) ||
      !doc.IsObject()) {
    return Answer(400, R"({"error":"malformed"})");
  }
  static const rapidjson::Value kNone(rapidjson::kArrayType);
  const auto* conditions = json::Find(doc, "if");
  const auto* changes = json::Find(doc, "then");
  if (conditions == nullptr) conditions = &kNone;
  if (changes == nullptr) changes = &kNone;
  const size_t most = limits_.changes_per_transaction;
  if (changes->Size() > most ||
      conditions->Size() > kConditionsPerChange * most) {
    return Answer(400, R"({"error":"too many"})");
  }
  for (const auto& change : changes->GetArray()) {
    const uint64_t lease = json::GetUint(change, "permit");
    if (lease != 0 && !leases_.contains(lease)) {
      return Answer(400, R"({"error":"no such lease"})");
    }
    const auto* value = json::Find(change, "v");
    if (value != nullptr && TextOf(*value).size() > limits_.value_bytes) {
      return Answer(400, R"({"error":"value too large"})");
    }
  }
  if (!changes_.Take(changes->Size(), loop_.Now())) return Answer(429, "{}");
  std::string failed;
  for (const auto& condition : conditions->GetArray()) {
    const std::string key = json::GetString(condition, "key");
    const auto it = entries_.find(key);
    const uint64_t revision = it == entries_.end() ? 0 : it->second.revision;
    if (revision == json::GetUint(condition, "stamp")) continue;
    failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
  }
  if (!failed.empty()) {
    return Answer(409, "{\"failed\":[" + failed + "]," + Revision() + "}");
  }
  if (!changes->Empty()) ++revision_;
  for (const auto& change : changes->GetArray()) {
    const std::string key = json::GetString(change, "set");
    if (key.empty()) {
      Delete(json::GetString(change, "delete"));
      continue;
    }
    const std::string value = TextOf(change["v"]);
    entries_[key] = {value, revision_, json::GetUint(change, "permit")};
    Append({key, value, revision_});
  }
  return Answer(200, "{" + Revision() + "}");
}

void StateService::Append(Change change) {
  log_.push_back(std::move(change));
  while (log_.size() > kMaxLog) {
    forgotten_ = log_.front().revision;
    log_.pop_front();
  }
}

void StateService::Delete(const std::string& key) {
  if (entries_.erase(key) > 0) Append({key, "", revision_});
}

HttpResponse StateService::ChangeLease(const HttpRequest& request) {
  const std::string path(request.path());
  if (path == "/leases") {
    rapidjson::Document doc;
    json::Parse(request.body, &doc);
    const double seconds = json::GetDouble(doc, "ttl_ms") / 1000;
    leases_[next_lease_] = {seconds, loop_.Now() + seconds};
    return Answer(200, fmt::format(R"({{"permit":{}}})", next_lease_++));
  }
  const auto it =
      leases_.find(NumberOf(path.substr(std::string("/leases/").size())));
  if (it == leases_.end()) return Answer(404, "{}");
  if (request.method == "DELETE") {
    End(it->first);
  } else {
    it->second.ends_at = loop_.Now() + it->second.seconds;
  }
  return Answer(200, "{}");
}

void StateService::End(uint64_t lease) {
  std::vector<std::string> attached;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) attached.push_back(key);
  }
  if (!attached.empty()) ++revision_;
  for (const std::string& key : attached) Delete(key);
  leases_.erase(lease);
}

Task<void> StateService::EndLeases() {
  constexpr double kCheckSeconds = 0.02;
  for (;;) {
    co_await loop_.Sleep(kCheckSeconds);
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (loop_.Now() >= lease.ends_at) ended.push_back(id);
    }
    for (const uint64_t id : ended) End(id);
  }
}

}  // namespace oxbow::review
