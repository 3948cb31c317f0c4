#include "clients/key_value_store.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "clients/watch_decoder.h"
#include "logging/structured_log.h"
#include "wire/json.h"
#include "wire/records.h"

namespace oxbow::clients {
namespace {

constexpr size_t kMaxAnswerBytes = 768 * 1024;  // a listing has up to 512 KiB
// Limit of the answer to a watch, as a share of this process's memory: the
// store itself does not limit that answer.
constexpr double kWatchMemoryShare = 0.125;
constexpr double kBytesPerMegabyte = 1024.0 * 1024;
// Number of watched changes decoded before the event loop runs again.
constexpr size_t kChangesAtOnce = 200;
constexpr size_t kMaxRequestBytes = 64 * 1024;
constexpr int kConnections = 8;
constexpr int kWatchConnections = 1;
constexpr std::string_view kNoSuchLease = "no such lease";
constexpr int kListPageKeys = 500;
// The rate of sending copies of writes, as a fraction of this controller's
// share of the store's requests per second.
constexpr double kRetryShare = 0.1;
// The timeout of a request, as a fraction of the duration of the workers'
// lease.
constexpr double kTimeoutRatio = 0.15;
// The timeout of a listing, as a multiple of that of other requests.
constexpr double kListTimeouts = 4;
// The time that a watch may take beyond its blocking time, in request timeouts.
constexpr double kWatchTimeouts = 2;

std::string Milliseconds(double seconds) {
  return std::to_string(static_cast<int64_t>(seconds * 1000));
}

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

size_t MaxWatchBytes(const LimitSettings& limits) {
  // Without a configured memory limit, the usual limit is assumed.
  const double memory_mb =
      limits.memory_mb > 0 ? limits.memory_mb : LimitSettings().memory_mb;
  return static_cast<size_t>(kWatchMemoryShare * memory_mb * kBytesPerMegabyte);
}

bool IsAttachedToLease(const std::string& key) {
  return key == keys::kLeader || key.starts_with(keys::kZone) ||
         key.starts_with(keys::kFence);
}

void WritePreconditions(const std::vector<Precondition>& preconditions,
                        json::Writer& writer) {
  writer.Key("if");
  writer.StartArray();
  for (const Precondition& precondition : preconditions) {
    writer.StartObject();
    json::Field(writer, "key", precondition.key);
    writer.Key("stamp");
    writer.Uint64(precondition.mod_revision);
    writer.EndObject();
  }
  writer.EndArray();
}

enum class Encoding : uint8_t { kDone, kTooLarge };

Encoding WriteMutation(const Mutation& mutation, uint64_t lease_id,
                       size_t max_value_bytes, json::Writer& writer) {
  if (std::holds_alternative<std::monostate>(mutation.record)) {
    json::Field(writer, "delete", mutation.key);
    return Encoding::kDone;
  }
  json::Field(writer, "set", mutation.key);
  const std::string value = wire::EncodeRecord(mutation.record);
  if (value.size() > max_value_bytes) return Encoding::kTooLarge;
  writer.Key("v");
  writer.RawValue(value.data(), value.size(), rapidjson::kObjectType);
  if (lease_id != 0 && IsAttachedToLease(mutation.key)) {
    writer.Key("permit");
    writer.Uint64(lease_id);
  }
  return Encoding::kDone;
}

// Returns nothing when a value or the whole transaction is larger than the
// store accepts.
std::optional<std::string> EncodeTransaction(
    const std::vector<Precondition>& preconditions,
    const std::vector<Mutation>& mutations, uint64_t lease_id,
    size_t max_value_bytes) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  WritePreconditions(preconditions, writer);
  writer.Key("then");
  writer.StartArray();
  for (const Mutation& mutation : mutations) {
    writer.StartObject();
    const Encoding encoding =
        WriteMutation(mutation, lease_id, max_value_bytes, writer);
    if (encoding == Encoding::kTooLarge) return std::nullopt;
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  std::string body = json::Text(buffer);
  if (body.size() > kMaxRequestBytes) return std::nullopt;
  return body;
}

StoreStatus StatusOfCode(int http_status) {
  switch (http_status) {
    case 200:
      return StoreStatus::kOk;
    case 404:
      return StoreStatus::kNotFound;
    case 400:
      return StoreStatus::kRefused;
    case 409:
      return StoreStatus::kConflict;
    case 410:
      return StoreStatus::kTooOld;
    case 429:
    case 503:
      return StoreStatus::kNotExecuted;
    default:
      return StoreStatus::kUnknown;
  }
}

std::vector<std::string> FailedKeys(const rapidjson::Document& document) {
  std::vector<std::string> failed_keys;
  const auto* failed = json::Find(document, "failed");
  if (failed == nullptr || !failed->IsArray()) return failed_keys;
  for (const auto& key : failed->GetArray()) {
    if (key.IsString()) failed_keys.emplace_back(json::View(key));
  }
  return failed_keys;
}

}  // namespace

KeyValueStoreClient::KeyValueStoreClient(net::Loop& loop,
                                         const net::Address& address,
                                         const Settings& settings)
    : loop_(loop),
      // Urgent, because leadership depends on the store's answers.
      http_(loop, address, kMaxAnswerBytes, kConnections, /*urgent=*/true),
      watch_(loop, address, MaxWatchBytes(settings.limits), kWatchConnections),
      limits_(settings.store),
      // The controllers share the store's limits in equal parts.
      requests_(settings.store.rps / settings.nodes, 1.0),
      writes_(settings.store.write_rps / settings.nodes, 1.0),
      retries_(kRetryShare * settings.store.rps / settings.nodes, 1.0),
      round_trip_(kTimeoutRatio * settings.workers.lease_seconds),
      timeout_seconds_(kTimeoutRatio * settings.workers.lease_seconds) {}

net::Task<KeyValueStoreClient::Response> KeyValueStoreClient::Call(
    Request request) {
  const Kind kind = request.kind;
  const KnownWhenSent known{highest_, generation_, loop_.Now()};
  const net::ClientResult answer = co_await http_.Request(
      std::move(request.method), std::move(request.target),
      std::move(request.body), request.timeout_seconds);
  Response response = Decode(answer);
  RecordOutcome(answer, response.result.status, kind, known.sent_at);
  CheckRevision(kind, known, &response.result);
  co_return response;
}

KeyValueStoreClient::Response KeyValueStoreClient::Decode(
    const net::ClientResult& answer) {
  Response response;
  StoreResult& result = response.result;
  rapidjson::Document& document = response.document;
  if (answer.outcome == net::Outcome::kUnknown ||
      answer.outcome == net::Outcome::kTooLarge) {
    result.status = StoreStatus::kUnknown;
  } else if (answer.outcome == net::Outcome::kAnswered) {
    result.status = StatusOfCode(answer.status);
    if (result.status != StoreStatus::kNotExecuted &&
        !json::Parse(answer.body, &document)) {
      result.status = StoreStatus::kUnknown;
    }
  }
  if (!document.IsObject()) return response;
  // The store refuses a lease that has ended with the same status as a request
  // that is too large.
  if (result.status == StoreStatus::kRefused &&
      json::GetString(document, "error") == kNoSuchLease) {
    result.status = StoreStatus::kConflict;
  }
  result.revision = json::GetUint(document, "ledger_no");
  return response;
}

void KeyValueStoreClient::RecordOutcome(const net::ClientResult& answer,
                                        StoreStatus status, Kind kind,
                                        net::Time sent_at) {
  constexpr int kTooManyRequests = 429;
  const bool has_failed =
      status == StoreStatus::kUnknown || (status == StoreStatus::kNotExecuted &&
                                          answer.status != kTooManyRequests);
  if (!has_failed) {
    last_good_ = loop_.Now();
    if (kind == Kind::kChange) round_trip_.OnAnswer(last_good_ - sent_at);
    return;
  }
  // A single lost answer while others arrive does not mean the store is
  // failing.
  const bool is_lost_alone =
      answer.outcome == net::Outcome::kUnknown && last_good_ > sent_at;
  if (kind != Kind::kWatch && !is_lost_alone) last_bad_ = loop_.Now();
}

void KeyValueStoreClient::CheckRevision(Kind kind, const KnownWhenSent& known,
                                        StoreResult* result) {
  if (result->revision == 0 || known.generation != generation_) return;
  // A change gets a new, higher revision; any other answer must have a revision
  // that is not lower than the highest one known.
  const bool is_applied = kind == Kind::kChange && result->ok();
  if (result->revision < known.highest ||
      (is_applied && result->revision == known.highest)) {
    MarkSteppedBack(is_applied, result);
  } else {
    highest_ = std::max(highest_, result->revision);
  }
}

void KeyValueStoreClient::MarkSteppedBack(bool is_applied,
                                          StoreResult* result) {
  result->revision_decreased = true;
  result->status =
      is_applied ? StoreStatus::kUnknown : StoreStatus::kNotExecuted;
  if (on_step_back) on_step_back();
}

net::Task<StoreResult> KeyValueStoreClient::Get(std::string key,
                                                Urgency urgency) {
  if (!requests_.Take(urgency, 1, loop_.Now())) {
    StoreResult not_sent;
    not_sent.beyond_share = true;
    co_return not_sent;
  }
  Request request{"GET", "/kv/" + key, "", timeout_seconds_};
  Response response = co_await Call(std::move(request));
  StoreResult& result = response.result;
  if (result.ok()) {
    ReadItem(response.document, &result);
    highest_ = std::max(highest_, result.items[0].mod_revision);
  }
  co_return std::move(result);
}

net::Task<StoreResult> KeyValueStoreClient::List(std::string prefix,
                                                 std::string after) {
  if (!requests_.Take(Urgency::kLeader, 1, loop_.Now())) {
    co_return StoreResult{};
  }
  std::string target = "/kv?prefix=" + prefix;
  if (!after.empty()) target += "&after=" + after;
  target += "&page=" + std::to_string(kListPageKeys);
  Request request{"GET", std::move(target), "",
                  kListTimeouts * timeout_seconds_};
  Response response = co_await Call(std::move(request));
  StoreResult& result = response.result;
  if (!result.ok()) co_return std::move(result);
  const auto* pairs = json::Find(response.document, "pairs");
  if (pairs != nullptr && pairs->IsArray()) {
    for (const auto& item : pairs->GetArray()) ReadItem(item, &result);
  }
  result.more = json::GetBool(response.document, "has_next");
  co_return std::move(result);
}

// --- Transactions

net::Task<StoreResult> KeyValueStoreClient::Write(
    std::vector<Precondition> preconditions, std::vector<Mutation> mutations,
    Urgency urgency, uint64_t lease_id, WhenUnanswered then) {
  const net::Time now = loop_.Now();
  const auto amount = static_cast<double>(mutations.size());
  StoreResult refused;
  refused.status = StoreStatus::kRefused;
  // The configured limits apply even while the store accepts more: it may lower
  // its limits at any time.
  if (!limits_.FitsTransaction(mutations.size())) co_return refused;
  if (!writes_.Take(urgency, amount, now) || !requests_.Take(urgency, 1, now)) {
    co_return StoreResult{};
  }
  std::optional<std::string> body = EncodeTransaction(
      preconditions, mutations, lease_id, limits_.max_value_bytes());
  if (!body) co_return refused;
  auto transaction = std::make_shared<Transaction>(loop_);
  transaction->kind = mutations.empty() ? Kind::kRead : Kind::kChange;
  transaction->mutations = amount;
  transaction->body = std::move(*body);
  transaction->retry.OnSent();
  net::Spawn(Send(transaction, timeout_seconds_));
  co_await AwaitDecision(transaction, then, now + timeout_seconds_);
  StoreResult result = transaction->result;
  if (!transaction->retry.decided()) result.status = StoreStatus::kUnknown;
  co_return result;
}

net::Task<void> KeyValueStoreClient::AwaitDecision(
    std::shared_ptr<Transaction> transaction, WhenUnanswered then,
    net::Time deadline) {
  WriteRetry& retry = transaction->retry;
  bool may_send_again = then != WhenUnanswered::kWait;
  while (!retry.decided() && !retry.silent()) {
    const double left = deadline - loop_.Now();
    if (left <= 0) break;
    const double timeout = may_send_again ? round_trip_.TimeoutSeconds() : left;
    transaction->answered.Clear();
    co_await transaction->answered.Wait(std::min(left, timeout));
    const bool is_overdue = !transaction->answered.IsSet() && timeout < left;
    if (!may_send_again || !(is_overdue || retry.silent())) continue;
    if (is_overdue) round_trip_.OnTimeout();
    if (!retry.MaySendAgain() || !TakeRetry(*transaction)) {
      may_send_again = false;
      continue;
    }
    if (then == WhenUnanswered::kGiveUp || retry.refused()) break;
    retry.OnSent();
    net::Spawn(Send(transaction, deadline - loop_.Now()));
  }
}

bool KeyValueStoreClient::TakeRetry(const Transaction& transaction) {
  // Copies take tokens at background urgency, so that the tokens which users
  // and the leader need remain.
  const net::Time now = loop_.Now();
  return retries_.Take(Urgency::kUser, 1, now) &&
         writes_.Take(Urgency::kBackground, transaction.mutations, now) &&
         requests_.Take(Urgency::kBackground, 1, now);
}

net::Task<void> KeyValueStoreClient::Send(
    std::shared_ptr<Transaction> transaction, double timeout_seconds) {
  Request request{"POST", "/txn", transaction->body, timeout_seconds,
                  transaction->kind};
  Response response = co_await Call(std::move(request));
  StoreResult& result = response.result;
  if (result.status == StoreStatus::kConflict) {
    result.failed = FailedKeys(response.document);
  }
  if (transaction->retry.decided()) co_return;
  transaction->retry.OnAnswer(result.status);
  transaction->result = std::move(result);
  transaction->answered.Set();
}

// --- Leases and the watch

net::Task<StoreResult> KeyValueStoreClient::CreateLease(double ttl_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  Request request{"POST", "/leases",
                  "{\"ttl_ms\":" + Milliseconds(ttl_seconds) + "}",
                  timeout_seconds_};
  Response response = co_await Call(std::move(request));
  StoreResult& result = response.result;
  if (result.ok()) {
    result.lease_id = json::GetUint(response.document, "permit");
  }
  co_return std::move(result);
}

net::Task<StoreResult> KeyValueStoreClient::Renew(uint64_t lease_id,
                                                  double timeout_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  Request request{"POST", "/leases/" + std::to_string(lease_id) + "/extend",
                  "{}", timeout_seconds};
  Response response = co_await Call(std::move(request));
  co_return std::move(response.result);
}

net::Task<StoreResult> KeyValueStoreClient::EndLease(uint64_t lease_id) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  Request request{"DELETE", "/leases/" + std::to_string(lease_id), "",
                  timeout_seconds_};
  Response response = co_await Call(std::move(request));
  co_return std::move(response.result);
}

net::Task<StoreResult> KeyValueStoreClient::Watch(std::string prefix,
                                                  uint64_t after,
                                                  double block_seconds) {
  requests_.Take(Urgency::kLease, 1, loop_.Now());
  const uint64_t generation = generation_;
  const net::Time sent_at = loop_.Now();
  net::ClientResult answer = co_await watch_.Request(
      "GET",
      "/follow?prefix=" + prefix + "&after=" + std::to_string(after) +
          "&block_ms=" + Milliseconds(block_seconds),
      "", block_seconds + kWatchTimeouts * timeout_seconds_);
  StoreResult result;
  if (answer.ok()) {
    result = co_await DecodeWatch(std::move(answer.body));
  } else if (answer.outcome == net::Outcome::kTooLarge) {
    result.status = StoreStatus::kTooOld;
    logging::Info("watch answer exceeds its memory limit", {{"after", after}});
  } else {
    result = Decode(answer).result;
  }
  RecordOutcome(answer, result.status, Kind::kWatch, sent_at);
  if (result.ok() && result.revision < after && generation == generation_) {
    result.items.clear();
    MarkSteppedBack(/*is_applied=*/false, &result);
  }
  co_return result;
}

net::Task<StoreResult> KeyValueStoreClient::DecodeWatch(std::string body) {
  using Progress = WatchDecoder::Progress;
  StoreResult result;
  WatchDecoder decoder(std::move(body));
  const WatchDecoder::OnChange on_change =
      [&result](const rapidjson::Value& change) { ReadEvent(change, &result); };
  Progress progress = decoder.Next(kChangesAtOnce, on_change);
  while (progress == Progress::kMore) {
    co_await loop_.Sleep(0);
    progress = decoder.Next(kChangesAtOnce, on_change);
  }
  if (progress == Progress::kMalformed) {
    StoreResult unknown;
    unknown.status = StoreStatus::kUnknown;
    co_return unknown;
  }
  result.status = StoreStatus::kOk;
  result.revision = decoder.revision();
  co_return result;
}

}  // namespace oxbow::clients
