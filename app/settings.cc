#include "app/settings.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "net/socket.h"
#include "wire/json.h"

namespace oxbow::app {
namespace {

// Reads typed fields of JSON objects and keeps the first error.
class Reader {
 public:
  std::string error;  // empty: none

  const rapidjson::Value* Object(const rapidjson::Value& parent,
                                 const char* key) {
    const auto* v = json::Find(parent, key);
    if (v == nullptr || !v->IsObject()) {
      Fail(key, "must be an object");
      return nullptr;
    }
    return v;
  }
  void String(const rapidjson::Value& parent, const char* key,
              std::string* out) {
    const auto* v = json::Find(parent, key);
    if (v == nullptr || !v->IsString() || v->GetStringLength() == 0) {
      return Fail(key, "must be a non-empty string");
    }
    *out = std::string(json::View(*v));
  }
  void Address(const rapidjson::Value& parent, const char* key,
               std::string* out) {
    String(parent, key, out);
    net::Address parsed;
    if (error.empty() && !net::ParseAddress(*out, &parsed)) {
      Fail(key, "must be an IPv4 address and a port");
    }
  }
  // Reads a number of at least `minimum`. If the field is absent, `out` keeps
  // its default.
  template <typename Number>
  void Amount(const rapidjson::Value& parent, const char* key, double minimum,
              Number* out) {
    const auto* v = json::Find(parent, key);
    if (v == nullptr) return;
    if (!v->IsNumber() || !std::isfinite(v->GetDouble()) ||
        v->GetDouble() < minimum) {
      return Fail(key, "must be a number in its range");
    }
    *out = static_cast<Number>(v->GetDouble());
  }

  void Fail(const char* key, const char* why) {
    if (error.empty()) error = std::string(key) + " " + why;
  }
};

const rapidjson::Value& ArrayOrEmpty(const rapidjson::Value& parent,
                                     const char* key, Reader& read) {
  static const rapidjson::Value kEmpty(rapidjson::kArrayType);
  const auto* v = json::Find(parent, key);
  if (v == nullptr) return kEmpty;
  if (!v->IsArray()) {
    read.Fail(key, "must be a list");
    return kEmpty;
  }
  return *v;
}

void ReadStateLimits(const rapidjson::Value& from, Reader& read,
                     StoreSettings* out) {
  constexpr double kMinPositive = 1e-3;
  constexpr double kMinTransactionOperations = 3;
  read.Amount(from, "rps", kMinPositive, &out->rps);
  read.Amount(from, "write_rps", kMinPositive, &out->write_rps);
  read.Amount(from, "value_kb", kMinPositive, &out->value_kb);
  read.Amount(from, "txn_ops", kMinTransactionOperations, &out->txn_ops);
}

// Reads the limits of the key-value store. The store may change from its
// present limits to the announced ones (`next`) at any time and without notice,
// so the smaller of the two applies from the start. Values already stored may
// still be as large as the larger limit.
void ReadState(const rapidjson::Value& state, Reader& read,
               StoreSettings* out) {
  ReadStateLimits(state, read, out);
  out->stored_value_kb = out->value_kb;
  if (!read.error.empty() || json::Find(state, "next") == nullptr) return;
  const auto* announced = read.Object(state, "next");
  if (announced == nullptr) return;
  StoreSettings next = *out;
  ReadStateLimits(*announced, read, &next);
  if (!read.error.empty()) {
    read.error = "next, " + read.error;
    return;
  }
  out->stored_value_kb = std::max(out->value_kb, next.value_kb);
  out->rps = std::min(out->rps, next.rps);
  out->write_rps = std::min(out->write_rps, next.write_rps);
  out->value_kb = std::min(out->value_kb, next.value_kb);
  out->txn_ops = std::min(out->txn_ops, next.txn_ops);
}

void ReadCluster(const rapidjson::Value& cluster, Reader& read, Settings* out) {
  read.Amount(cluster, "count", 1, &out->nodes);
  for (const auto& zone : ArrayOrEmpty(cluster, "zones", read).GetArray()) {
    if (!zone.IsString()) return read.Fail("zones", "must hold strings");
    out->zones.emplace_back(json::View(zone));
  }
  for (const auto& item : ArrayOrEmpty(cluster, "teams", read).GetArray()) {
    TeamQuota team;
    read.String(item, "name", &team.name);
    read.Amount(item, "cpus", 0, &team.cpus);
    read.Amount(item, "cpus_max", 0, &team.cpus_max);
    read.Amount(item, "gpus", 0, &team.gpus);
    read.Amount(item, "gpus_max", 0, &team.gpus_max);
    out->teams.push_back(team);
  }
  for (const auto& item :
       ArrayOrEmpty(cluster, "objectives", read).GetArray()) {
    Objective objective;
    objective.kind = json::GetString(item, "kind");
    objective.job_class = json::GetString(item, "class");
    objective.within_seconds = json::GetDouble(item, "within_s");
    objective.share = json::GetDouble(item, "share");
    objective.times = json::GetDouble(item, "times", 1);
    out->objectives.push_back(objective);
  }
  constexpr double kMinPositive = 1e-3;
  if (const auto* workers = read.Object(cluster, "workers")) {
    read.Amount(*workers, "report_s", kMinPositive,
                &out->workers.heartbeat_interval_seconds);
    read.Amount(*workers, "lease_s", kMinPositive, &out->workers.lease_seconds);
    read.Amount(*workers, "gang_wait_s", 0, &out->workers.gang_wait_seconds);
    read.Amount(*workers, "gang_peer_s", 0, &out->workers.gang_peer_seconds);
    read.Amount(*workers, "cancel_s", 0, &out->workers.cancel_seconds);
  }
  if (const auto* state = read.Object(cluster, "state")) {
    ReadState(*state, read, &out->store);
  }
  if (const auto* cloud = read.Object(cluster, "cloud")) {
    read.Amount(*cloud, "rps", kMinPositive, &out->cloud.rps);
    read.Amount(*cloud, "list_lag_s", 0, &out->cloud.list_lag_seconds);
  }
  if (const auto* limits = json::Find(cluster, "quota")) {
    read.Amount(*limits, "cpu", 0, &out->limits.cpu_share);
    read.Amount(*limits, "mem_mb", 0, &out->limits.memory_mb);
    read.Amount(*limits, "max_sockets", 32, &out->limits.max_connections);
  }
  read.Amount(cluster, "clock_error_ms", 0, &out->clock_error_ms);
}

}  // namespace

std::string ParseSettings(const std::string& text, Settings* out) {
  rapidjson::Document doc;
  doc.Parse(text.data(), text.size());
  if (doc.HasParseError()) {
    return std::string("not JSON: ") +
           rapidjson::GetParseError_En(doc.GetParseError());
  }
  if (!doc.IsObject()) return "not an object";
  Reader read;
  read.String(doc, "host_name", &out->node);
  read.String(doc, "site", &out->zone);
  read.Address(doc, "public_addr", &out->listen);
  read.Address(doc, "back", &out->peer_listen);
  for (const auto& item : ArrayOrEmpty(doc, "known", read).GetArray()) {
    PeerSettings peer;
    read.String(item, "host_name", &peer.name);
    read.Address(item, "address", &peer.address);
    peer.zone = json::GetString(item, "site");
    out->peers.push_back(peer);
  }
  if (const auto* outside = read.Object(doc, "outside")) {
    read.Address(*outside, "cloud", &out->cloud_address);
    read.Address(*outside, "state", &out->store_address);
  }
  out->nodes = static_cast<int>(out->peers.size()) + 1;
  if (const auto* cluster = read.Object(doc, "cluster")) {
    ReadCluster(*cluster, read, out);
  }
  return read.error;
}

std::string LoadSettings(const std::string& path, Settings* out) {
  std::ifstream file(path);
  if (!file) return "cannot read " + path;
  std::ostringstream text;
  text << file.rdbuf();
  const std::string error = ParseSettings(text.str(), out);
  return error.empty() ? error : path + ": " + error;
}

}  // namespace oxbow::app
