#include "clients/key_value_store.h"

#include <algorithm>
#include <utility>

#include "wire/json.h"
#include "wire/records.h"

namespace oxbow::clients {
namespace {

constexpr size_t kAnswerLimit = 768 * 1024;  // a listing holds 512 KiB
constexpr size_t kWatchLimit = 4 * 1024 * 1024;
constexpr std::string_view kNoLease = "no such lease";
constexpr size_t kBodyLimit = 64 * 1024;
constexpr int kPage = 500;
// Of this controller's share of the requests a second.
constexpr double kRetryShare = 0.1;

void ReadItem(const rapidjson::Value& item, StoreResult* out) {
  KeyValue entry;
  entry.key = json::GetString(item, "key");
  entry.mod_revision = json::GetUint(item, "stamp");
  entry.lease = json::GetUint(item, "permit");
  const auto* value = json::Find(item, "v");
  if (value != nullptr) wire::DecodeRecord(entry.key, *value, &entry.record);
  out->items.push_back(std::move(entry));
}

void ReadEvent(const rapidjson::Value& event, StoreResult* out) {
  KeyValue entry;
  entry.mod_revision = json::GetUint(event, "stamp");
  entry.key = json::GetString(event, "set");
  if (entry.key.empty()) {
    entry.key = json::GetString(event, "delete");
  } else if (const auto* value = json::Find(event, "v")) {
    wire::DecodeRecord(entry.key, *value, &entry.record);
  }
  out->items.push_back(std::move(entry));
}

// Empty when a value or the whole is larger than the service takes.
std::string EncodeTransaction(const std::vector<Precondition>& preconditions,
                              const std::vector<Mutation>& mutations,
                              uint64_t lease_id, size_t most_value_bytes) {
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  w.Key("if");
  w.StartArray();
  for (const Precondition& precondition : preconditions) {
    w.StartObject();
    json::Field(w, "key", precondition.key);
    w.Key("stamp");
    w.Uint64(precondition.mod_revision);
    w.EndObject();
  }
  w.EndArray();
  w.Key("then");
  w.StartArray();
  for (const Mutation& change : mutations) {
    w.StartObject();
    if (std::holds_alternative<std::monostate>(change.record)) {
      json::Field(w, "delete", change.key);
    } else {
      json::Field(w, "set", change.key);
      w.Key("v");
      const std::string value = wire::EncodeRecord(change.record);
      if (value.size() > most_value_bytes) return {};
      w.RawValue(value.data(), value.size(), rapidjson::kObjectType);
      if (lease_id != 0 &&
          (change.key == keys::kLeader || change.key.starts_with(keys::kZone) ||
           change.key.starts_with(keys::kFence))) {
        w.Key("permit");
        w.Uint64(lease_id);
      }
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  std::string body = json::Text(buffer);
  if (body.size() > kBodyLimit) return {};
  return body;
}

}  // namespace

KeyValueStoreClient::KeyValueStoreClient(net::Loop& loop,
                                         const net::Address& address,
                                         const Settings& settings)
    : loop_(loop),
      // The right to lead rests on its answers.
      http_(loop, address, kAnswerLimit, 8, /*urgent=*/true),
      watch_(loop, address, kWatchLimit, 1),
      limits_(settings.store),
      // The controllers share the service's limits in equal parts.
      requests_(settings.store.rps / settings.nodes, 1.0),
      writes_(settings.store.write_rps / settings.nodes, 1.0),
      retries_(kRetryShare * settings.store.rps / settings.nodes, 1.0),
      round_trip_(0.15 * settings.workers.lease_seconds),
      timeout_seconds_(0.15 * settings.workers.lease_seconds) {}

net::Task<StoreResult> KeyValueStoreClient::Call(
    std::string method, std::string target, std::string body,
    double timeout_seconds, rapidjson::Document* doc, Kind kind) {
  const bool watch = kind == Kind::kWatch;
  StoreResult result;
  net::HttpClient& client = watch ? watch_ : http_;
  const uint64_t highest = highest_;
  const uint64_t generation = generation_;
  const net::Time sent = loop_.Now();
  const net::ClientResult answer = co_await client.Request(
      std::move(method), std::move(target), std::move(body), timeout_seconds);
  if (answer.outcome == net::Outcome::kUnknown) {
    result.status = StoreStatus::kUnknown;
  } else if (answer.outcome == net::Outcome::kAnswered) {
    switch (answer.status) {
      case 200:
        result.status = StoreStatus::kOk;
        break;
      case 404:
        result.status = StoreStatus::kNotFound;
        break;
      case 400:
        result.status = StoreStatus::kRefused;
        break;
      case 409:
        result.status = StoreStatus::kConflict;
        break;
      case 410:
        result.status = StoreStatus::kTooOld;
        break;
      case 429:
      case 503:
        result.status = StoreStatus::kNotExecuted;
        break;
      default:
        result.status = StoreStatus::kUnknown;
        break;
    }
    if (answer.status != 429 && answer.status != 503 &&
        !json::Parse(answer.body, doc)) {
      result.status = StoreStatus::kUnknown;
    }
  }
  // A lease that has ended is refused in the same way as what is too large.
  if (result.status == StoreStatus::kRefused && doc->IsObject() &&
      json::GetString(*doc, "error") == kNoLease) {
    result.status = StoreStatus::kConflict;
  }
  const bool bad =
      result.status == StoreStatus::kUnknown ||
      (result.status == StoreStatus::kNotExecuted && answer.status != 429);
  // A lost answer among others that came tells nothing of the service.
  const bool lost_alone =
      answer.outcome == net::Outcome::kUnknown && last_good_ > sent;
  if (!bad) {
    last_good_ = loop_.Now();
    if (kind == Kind::kChange) round_trip_.Answered(last_good_ - sent);
  } else if (!watch && !lost_alone) {
    last_bad_ = loop_.Now();
  }
  if (doc->IsObject()) result.revision = json::GetUint(*doc, "ledger_no");
  if (result.revision == 0 || watch || generation != generation_) {
    co_return result;
  }
  // A change takes a new revision; whatever else is told is as of one that is
  // no lower. A late answer is judged by what was known when it was asked for.
  const bool applied = kind == Kind::kChange && result.ok();
  if (result.revision < highest || (applied && result.revision == highest)) {
    SteppedBack(applied, &result);
  } else {
    highest_ = std::max(highest_, result.revision);
  }
  co_return result;
}

void KeyValueStoreClient::SteppedBack(bool applied, StoreResult* result) {
  result->stepped_back = true;
  result->status = applied ? StoreStatus::kUnknown : StoreStatus::kNotExecuted;
  if (on_step_back) on_step_back();
}

net::Task<StoreResult> KeyValueStoreClient::Get(std::string key,
                                                Urgency urgency) {
  if (!requests_.Take(urgency, 1, loop_.Now())) co_return StoreResult{};
  rapidjson::Document doc;
  StoreResult result =
      co_await Call("GET", "/kv/" + key, "", timeout_seconds_, &doc);
  if (result.ok()) {
    ReadItem(doc, &result);
    highest_ = std::max(highest_, result.items[0].mod_revision);
  }
  co_return result;
}

net::Task<StoreResult> KeyValueStoreClient::List(std::string prefix,
                                                 std::string after) {
  if (!requests_.Take(Urgency::kLeader, 1, loop_.Now())) {
    co_return StoreResult{};
  }
  std::string target = "/kv?prefix=" + prefix;
  if (!after.empty()) target += "&after=" + after;
  target += "&page=" + std::to_string(kPage);
  rapidjson::Document doc;
  StoreResult result =
      co_await Call("GET", std::move(target), "", 4 * timeout_seconds_, &doc);
  if (!result.ok()) co_return result;
  const auto* pairs = json::Find(doc, "pairs");
  if (pairs != nullptr && pairs->IsArray()) {
    for (const auto& item : pairs->GetArray()) ReadItem(item, &result);
  }
  result.more = json::GetBool(doc, "has_next");
  co_return result;
}

net::Task<StoreResult> KeyValueStoreClient::Write(
    std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
    Urgency urgency, uint64_t lease_id, WhenUnanswered then) {
  const net::Time now = loop_.Now();
  const auto amount = static_cast<double>(mutations.size());
  StoreResult refused;
  refused.status = StoreStatus::kRefused;
  // Whatever the service takes today, it may take less from any moment on.
  if (!limits_.FitsTransaction(mutations.size())) co_return refused;
  if (!writes_.Take(urgency, amount, now) || !requests_.Take(urgency, 1, now)) {
    co_return StoreResult{};
  }
  auto sending = std::make_shared<Sending>(loop_);
  sending->kind = mutations.empty() ? Kind::kRead : Kind::kChange;
  sending->mutations = amount;
  sending->body = EncodeTransaction(preconditions, mutations, lease_id,
                                    limits_.most_value_bytes());
  if (sending->body.empty()) co_return refused;
  const net::Time until = now + timeout_seconds_;
  sending->retry.Sent();
  net::Spawn(Send(sending, timeout_seconds_));
  bool hurried = then != WhenUnanswered::kWait;
  while (!sending->retry.decided() && !sending->retry.silent()) {
    const double left = until - loop_.Now();
    if (left <= 0) break;
    const double timeout = hurried ? round_trip_.SilenceTimeout() : left;
    sending->news.Clear();
    co_await sending->news.Wait(std::min(left, timeout));
    const bool missed = !sending->news.IsSet() && timeout < left;
    if (!hurried || !(missed || sending->retry.silent())) continue;
    if (missed) round_trip_.Missed();
    if (!sending->retry.MaySendAgain() || !TakeRetry(*sending)) {
      hurried = false;
      continue;
    }
    if (then == WhenUnanswered::kGiveUp || sending->retry.refused()) break;
    sending->retry.Sent();
    net::Spawn(Send(sending, until - loop_.Now()));
  }
  StoreResult result = sending->result;
  if (!sending->retry.decided()) result.status = StoreStatus::kUnknown;
  co_return result;
}

bool KeyValueStoreClient::TakeRetry(const Sending& sending) {
  // As the least urgent: what the users and the leader need stays behind.
  const net::Time now = loop_.Now();
  return retries_.Take(Urgency::kUser, 1, now) &&
         writes_.Take(Urgency::kBackground, sending.mutations, now) &&
         requests_.Take(Urgency::kBackground, 1, now);
}

net::Task<void> KeyValueStoreClient::Send(std::shared_ptr<Sending> sending,
                                          double timeout_seconds) {
  rapidjson::Document doc;
  StoreResult result = co_await Call("POST", "/txn", sending->body,
                                     timeout_seconds, &doc, sending->kind);
  if (result.status == StoreStatus::kConflict) {
    const auto* failed = json::Find(doc, "failed");
    if (failed != nullptr && failed->IsArray()) {
      for (const auto& key : failed->GetArray()) {
        if (key.IsString()) result.failed.emplace_back(json::View(key));
      }
    }
  }
  if (sending->retry.decided()) co_return;
  sending->retry.OnAnswer(result.status);
  sending->result = std::move(result);
  sending->news.Set();
}

net::Task<StoreResult> KeyValueStoreClient::CreateLease(double ttl_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  rapidjson::Document doc;
  StoreResult result = co_await Call(
      "POST", "/leases",
      "{\"ttl_ms\":" +
          std::to_string(static_cast<int64_t>(ttl_seconds * 1000)) + "}",
      timeout_seconds_, &doc);
  if (result.ok()) result.lease_id = json::GetUint(doc, "permit");
  co_return result;
}

net::Task<StoreResult> KeyValueStoreClient::Renew(uint64_t lease_id,
                                                  double timeout_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  rapidjson::Document doc;
  co_return co_await Call("POST",
                          "/leases/" + std::to_string(lease_id) + "/extend",
                          "{}", timeout_seconds, &doc);
}

net::Task<StoreResult> KeyValueStoreClient::EndLease(uint64_t lease_id) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  rapidjson::Document doc;
  co_return co_await Call("DELETE", "/leases/" + std::to_string(lease_id), "",
                          timeout_seconds_, &doc);
}

net::Task<StoreResult> KeyValueStoreClient::Watch(std::string prefix,
                                                  uint64_t after,
                                                  double block_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  const uint64_t generation = generation_;
  rapidjson::Document doc;
  StoreResult result = co_await Call(
      "GET",
      "/follow?prefix=" + prefix + "&after=" + std::to_string(after) +
          "&block_ms=" +
          std::to_string(static_cast<int64_t>(block_seconds * 1000)),
      "", block_seconds + 2 * timeout_seconds_, &doc, Kind::kWatch);
  if (!result.ok()) co_return result;
  if (result.revision < after && generation == generation_) {
    SteppedBack(/*applied=*/false, &result);
    co_return result;
  }
  const auto* log = json::Find(doc, "log");
  if (log != nullptr && log->IsArray()) {
    for (const auto& event : log->GetArray()) ReadEvent(event, &result);
  }
  co_return result;
}

}  // namespace oxbow::clients
