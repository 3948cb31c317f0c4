#include "clients/cloud.h"

#include <rapidjson/document.h>

#include <utility>

#include "wire/json.h"

namespace oxbow::clients {
namespace {

constexpr size_t kAnswerLimit = 512 * 1024;
constexpr int kPage = 500;

}  // namespace

CloudClient::CloudClient(net::Loop& loop, const net::Address& address,
                         const Settings& settings)
    : loop_(loop),
      http_(loop, address, kAnswerLimit, 2),
      // Mostly the leader sends requests; the other controllers only list the
      // machine types.
      budget_(0.8 * settings.cloud.rps, 1.5),
      timeout_seconds_(0.4 * settings.workers.lease_seconds) {}

net::Task<CloudClient::Types> CloudClient::GetTypes() {
  Types out;
  if (!budget_.Take(Urgency::kLeader, 1, loop_.Now())) co_return out;
  const net::ClientResult answer =
      co_await http_.Request("GET", "/flavors", "", timeout_seconds_);
  rapidjson::Document doc;
  if (!answer.ok() || !json::Parse(answer.body, &doc)) co_return out;
  const auto* fleets = json::Find(doc, "fleets");
  if (fleets == nullptr || !fleets->IsArray()) co_return out;
  for (const auto& item : fleets->GetArray()) {
    MachineType type;
    type.name = json::GetString(item, "name");
    type.total = {json::GetDouble(item, "cores"),
                  json::GetDouble(item, "accelerators"),
                  json::GetDouble(item, "memory_gb")};
    type.cache_gb = json::GetDouble(item, "cache_gb");
    type.fetch_gb_per_second = json::GetDouble(item, "fetch_gb_per_s", 1);
    type.price = json::GetDouble(item, "hourly");
    type.spot_price = json::GetDouble(item, "low_price", type.price);
    type.boot_seconds = json::GetDouble(item, "startup_s");
    const auto* zones = json::Find(item, "yards");
    if (zones != nullptr && zones->IsArray()) {
      for (const auto& zone : zones->GetArray()) {
        if (zone.IsString()) type.zones.emplace_back(json::View(zone));
      }
    }
    if (!type.name.empty()) out.types.push_back(std::move(type));
  }
  out.ok = !out.types.empty();
  co_return out;
}

net::Task<CloudClient::Rented> CloudClient::Rent(std::string name,
                                                 ScaleOutRecord scale_out) {
  Rented out;
  if (!budget_.Take(Urgency::kLeader, 1, loop_.Now())) co_return out;
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  json::Field(w, "rental", name);
  json::Field(w, "fleet", scale_out.type);
  json::Field(w, "yard", scale_out.zone);
  w.Key("loaner");
  w.Bool(scale_out.spot);
  w.Key("how_many");
  w.Int(scale_out.count);
  w.EndObject();
  const net::ClientResult answer = co_await http_.Request(
      "POST", "/machines", json::Text(buffer), timeout_seconds_);
  if (answer.outcome != net::Outcome::kAnswered) co_return out;
  rapidjson::Document doc;
  const bool parsed = json::Parse(answer.body, &doc);
  if (answer.status == 200 && parsed) {
    const auto* hosts = json::Find(doc, "hosts");
    if (hosts == nullptr || !hosts->IsArray()) co_return out;
    for (const auto& host : hosts->GetArray()) {
      if (host.IsString()) out.hosts.emplace_back(json::View(host));
    }
    out.outcome = ScaleOutOutcome::kGranted;
  } else if (answer.status == 503 && parsed &&
             json::GetString(doc, "error") == "no capacity") {
    out.outcome = ScaleOutOutcome::kNoCapacity;
  } else if (answer.status == 400) {
    out.outcome = ScaleOutOutcome::kRejected;
  }
  co_return out;
}

net::Task<bool> CloudClient::Delete(std::vector<std::string> hosts) {
  if (!budget_.Take(Urgency::kUser, 1, loop_.Now())) co_return false;
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  w.Key("hosts");
  w.StartArray();
  for (const std::string& host : hosts) json::String(w, host);
  w.EndArray();
  w.EndObject();
  const net::ClientResult answer = co_await http_.Request(
      "POST", "/machines/delete", json::Text(buffer), timeout_seconds_);
  co_return answer.ok();
}

net::Task<CloudClient::Listing> CloudClient::List() {
  Listing out;
  std::string after;
  for (;;) {
    if (!budget_.Take(Urgency::kBackground, 1, loop_.Now()))
      co_return Listing{};
    std::string target = "/machines?";
    if (!after.empty()) target += "after=" + after + "&";
    target += "page=" + std::to_string(kPage);
    const net::ClientResult answer =
        co_await http_.Request("GET", std::move(target), "", timeout_seconds_);
    rapidjson::Document doc;
    if (!answer.ok() || !json::Parse(answer.body, &doc)) co_return Listing{};
    const auto* hosts = json::Find(doc, "hosts");
    if (hosts == nullptr || !hosts->IsArray()) co_return Listing{};
    for (const auto& item : hosts->GetArray()) {
      ListedMachine machine;
      machine.host = json::GetString(item, "id");
      machine.endpoint = json::GetString(item, "endpoint");
      machine.type = json::GetString(item, "fleet");
      machine.zone = json::GetString(item, "yard");
      machine.spot = json::GetBool(item, "loaner");
      machine.state = json::GetString(item, "status");
      machine.age_seconds = json::GetDouble(item, "age_s");
      after = machine.host;
      out.machines.push_back(std::move(machine));
    }
    if (!json::GetBool(doc, "has_next") || hosts->Empty()) break;
  }
  out.ok = true;
  co_return out;
}

}  // namespace oxbow::clients
