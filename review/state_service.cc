// The state service on loopback.
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdlib>

#include "review/platform.h"
#include "wire/json.h"

namespace review {
namespace {

namespace json = oxbow::json;

constexpr size_t kMostChanges = 10'000;  // that a watch can still get
constexpr size_t kMostItems = 1000;
constexpr size_t kMostBytes = 500 * 1024;
constexpr double kWatchStep = 0.003;

uint64_t Number(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

std::string TextOf(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

HttpResponse Answer(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

StateService::StateService(Loop& loop)
    : loop_(loop), server_(loop, Local(0), {}, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {
  oxbow::net::Spawn(server_.Run());
  oxbow::net::Spawn(EndLeases());
}

std::string StateService::Ledger() const {
  return fmt::format("\"ledger_no\":{}", ledger_);
}

std::string StateService::Value(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? std::string() : it->second.value;
}

Task<HttpResponse> StateService::Handle(HttpRequest request) {
  const std::string path(request.path());
  if (path == "/follow") co_return co_await Follow(std::move(request));
  if (delay_s > 0) co_await loop_.Sleep(delay_s);
  if (down) co_return Answer(503, "{}");
  if (path == "/kv") co_return List(request);
  if (path.starts_with("/kv/")) co_return Get(path.substr(4));
  if (path.starts_with("/leases")) co_return Leases(request);
  if (path != "/txn") co_return Answer(400, "{}");
  if (on_transaction) on_transaction(request.body);
  const bool is_lost = loses_answer && loses_answer(request.body);
  HttpResponse response = Transact(request.body);
  constexpr double kLonger = 30;  // whoever asked has given up before
  if (is_lost) co_await loop_.Sleep(kLonger);
  co_return response;
}

HttpResponse StateService::Get(const std::string& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return Answer(404, "{" + Ledger() + "}");
  const Entry& entry = it->second;
  return Answer(
      200, fmt::format(R"({{"key":"{}","v":{},"stamp":{},"permit":{}}})", key,
                       entry.value, entry.stamp, entry.permit));
}

HttpResponse StateService::List(const HttpRequest& request) const {
  const std::string prefix(request.query("prefix"));
  const std::string after(request.query("after"));
  const size_t page = Number(request.query("page"));
  const size_t most = page == 0 ? kMostItems : std::min(page, kMostItems);
  std::string items;
  size_t count = 0;
  bool has_next = false;
  for (auto it = keys_.lower_bound(std::max(prefix, after)); it != keys_.end();
       ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (it->first == after) continue;
    const std::string text =
        fmt::format(R"({{"key":"{}","v":{},"stamp":{}}})", it->first,
                    it->second.value, it->second.stamp);
    has_next = count == most || items.size() + text.size() > kMostBytes;
    if (has_next) break;
    if (count++ > 0) items += ",";
    items += text;
  }
  return Answer(200, fmt::format(R"({{"pairs":[{}],"has_next":{},{}}})", items,
                                 has_next, Ledger()));
}

Task<HttpResponse> StateService::Follow(HttpRequest request) {
  const std::string prefix(request.query("prefix"));
  const uint64_t after = Number(request.query("after"));
  const double until =
      loop_.Now() +
      static_cast<double>(Number(request.query("block_ms"))) / 1000;
  if (!log_.empty() && after + 1 < log_.front().stamp && ledger_ > after &&
      log_.size() >= kMostChanges) {
    co_return Answer(410, "{" + Ledger() + "}");
  }
  const auto has_change = [&] {
    return std::any_of(log_.rbegin(), log_.rend(), [&](const Change& change) {
      return change.stamp > after && change.key.starts_with(prefix);
    });
  };
  uint64_t seen = 0;
  bool found = false;
  while (down || (!found && loop_.Now() < until)) {
    if (!down && seen != ledger_) {
      seen = ledger_;
      found = has_change();
      if (found) break;
    }
    co_await loop_.Sleep(kWatchStep);
  }
  std::string log;
  for (const Change& change : log_) {
    if (change.stamp <= after || !change.key.starts_with(prefix)) continue;
    if (!log.empty()) log += ",";
    log += change.value.empty()
               ? fmt::format(R"({{"delete":"{}","stamp":{}}})", change.key,
                             change.stamp)
               : fmt::format(R"({{"set":"{}","v":{},"stamp":{}}})", change.key,
                             change.value, change.stamp);
  }
  co_return Answer(200, "{" + Ledger() + ",\"log\":[" + log + "]}");
}

HttpResponse StateService::Transact(const std::string& body) {
  rapidjson::Document doc;
  if (!json::Parse(body, &doc) || !doc.IsObject() || !doc.HasMember("if") ||
      !doc.HasMember("then")) {
    return Answer(400, "{}");
  }
  for (const auto& change : doc["then"].GetArray()) {
    const uint64_t permit = json::GetUint(change, "permit");
    if (permit != 0 && !leases_.contains(permit)) {
      return Answer(400, R"({"error":"no such lease"})");
    }
  }
  std::string failed;
  for (const auto& condition : doc["if"].GetArray()) {
    const std::string key = json::GetString(condition, "key");
    const auto it = keys_.find(key);
    const uint64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
    if (stamp == json::GetUint(condition, "stamp")) continue;
    if (!failed.empty()) failed += ",";
    failed += "\"" + key + "\"";
  }
  if (!failed.empty()) {
    return Answer(409, "{\"failed\":[" + failed + "]," + Ledger() + "}");
  }
  if (!doc["then"].GetArray().Empty()) ++ledger_;
  for (const auto& change : doc["then"].GetArray()) {
    const std::string key = json::GetString(change, "set");
    if (key.empty()) {
      Delete(json::GetString(change, "delete"));
      continue;
    }
    const std::string value = TextOf(change["v"]);
    keys_[key] = {value, ledger_, json::GetUint(change, "permit")};
    log_.push_back({key, value, ledger_});
  }
  while (log_.size() > kMostChanges) log_.pop_front();
  return Answer(200, "{" + Ledger() + "}");
}

void StateService::Delete(const std::string& key) {
  if (keys_.erase(key) > 0) log_.push_back({key, "", ledger_});
}

HttpResponse StateService::Leases(const HttpRequest& request) {
  const std::string path(request.path());
  if (path == "/leases") {
    rapidjson::Document doc;
    if (!json::Parse(request.body, &doc)) return Answer(400, "{}");
    const double ttl_s = json::GetDouble(doc, "ttl_ms") / 1000;
    leases_[next_lease_] = {ttl_s, loop_.Refresh() + ttl_s};
    return Answer(200, fmt::format(R"({{"permit":{}}})", next_lease_++));
  }
  const std::string rest = path.substr(std::string("/leases/").size());
  const auto it = leases_.find(Number(rest.substr(0, rest.find('/'))));
  if (it == leases_.end()) return Answer(404, "{}");
  it->second.until =
      request.method == "DELETE" ? 0 : loop_.Refresh() + it->second.ttl_s;
  return Answer(200, "{}");
}

Task<void> StateService::EndLeases() {
  constexpr double kStep = 0.02;
  for (;;) {
    co_await loop_.Sleep(kStep);
    const double now = loop_.Now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (down && it->second.until > 0)
        it->second.until = now + it->second.ttl_s;
      if (now < it->second.until) {
        ++it;
        continue;
      }
      std::vector<std::string> attached;
      for (const auto& [key, entry] : keys_) {
        if (entry.permit == it->first) attached.push_back(key);
      }
      if (!attached.empty()) ++ledger_;
      for (const std::string& key : attached) Delete(key);
      it = leases_.erase(it);
    }
  }
}

}  // namespace review
