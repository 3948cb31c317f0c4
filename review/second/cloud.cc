#include "review/second/cloud.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>

#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::review {
namespace {

using net::HttpRequest;
using net::HttpResponse;
using net::Task;

constexpr double kLatencySeconds = 0.25;
constexpr double kSnapshotSeconds = 0.5;
constexpr size_t kSnapshots = 40;
constexpr size_t kPage = 500;

}  // namespace

Cloud::Cloud(Fleet& fleet, std::vector<MachineType> types,
             const CloudSettings& settings)
    : fleet_(fleet),
      types_(std::move(types)),
      settings_(settings),
      requests_(settings.requests_per_second, 2),
      server_(fleet.loop, test::Local(0), {},
              [this](HttpRequest r) { return Handle(std::move(r)); }) {
  net::Spawn(server_.Run());
  net::Spawn(TakeSnapshots());
}

MachineType& Cloud::TypeOf(const std::string& name) {
  return *std::find_if(
      types_.begin(), types_.end(),
      [&](const MachineType& type) { return type.name == name; });
}

void Cloud::SetFetchRate(const std::string& type, double gb_per_second) {
  TypeOf(type).fetch_gb_per_second = gb_per_second;
}

std::shared_ptr<Worker> Cloud::Add(const std::string& type,
                                   const std::string& zone,
                                   double boot_seconds) {
  auto worker = std::make_shared<Worker>(
      fleet_, fmt::format("n-{:06}", ++machines_), TypeOf(type), zone,
      fleet_.loop.Now() + boot_seconds);
  fleet_.workers.push_back(worker);
  worker->Start();
  return worker;
}

int Cloud::Available(const std::string& type, const std::string& zone) const {
  const auto it = capacity_.find({type, zone});
  int left = it == capacity_.end() ? 0 : it->second;
  for (const auto& worker : fleet_.workers) {
    left -= !worker->dead() && worker->type().name == type &&
            worker->zone() == zone;
  }
  return std::max(0, left);
}

Task<HttpResponse> Cloud::Handle(HttpRequest request) {
  co_await fleet_.loop.Sleep(kLatencySeconds);
  HttpResponse response;
  const std::string path(request.path());
  if (!requests_.Take(1, fleet_.loop.Now())) {
    response.status = 429;
    response.body = "{}";
  } else if (path == "/flavors") {
    response.body = Types();
  } else if (path == "/machines/delete") {
    response = Delete(request.body);
  } else if (request.method == "POST") {
    response = Rent(request.body);
  } else {
    response = List(request);
  }
  co_return response;
}

std::string Cloud::Types() const {
  std::string all;
  for (const MachineType& type : types_) {
    std::string zones;
    for (const std::string& zone : type.zones) {
      zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
    }
    if (!all.empty()) all += ",";
    all += fmt::format(
        R"({{"name":"{}","cores":{:.1f},"accelerators":{:.1f},)"
        R"("memory_gb":{:.1f},"cache_gb":{:.1f},"fetch_gb_per_s":{:.2f},)"
        R"("hourly":{:.2f},"low_price":{:.2f},"startup_s":{:.1f},)"
        R"("yards":[{}]}})",
        type.name, type.cores, type.accelerators, type.memory_gb, type.cache_gb,
        type.fetch_gb_per_second, type.price, type.spot_price,
        type.startup_seconds, zones);
  }
  return "{\"fleets\":[" + all + "]}";
}

HttpResponse Cloud::Rent(const std::string& body) {
  rapidjson::Document doc;
  json::Parse(body, &doc);
  const std::string name = json::GetString(doc, "rental");
  const std::string type = json::GetString(doc, "fleet");
  const std::string zone = json::GetString(doc, "yard");
  const auto wanted = static_cast<int>(json::GetUint(doc, "how_many"));
  HttpResponse response;
  const auto known = rentals_.find(name);
  if (known != rentals_.end()) {
    response.body = known->second;
    return response;
  }
  // The deployments of these cases have no spot machines to give.
  const int given = json::GetBool(doc, "loaner")
                        ? 0
                        : std::min(wanted, Available(type, zone));
  fleet_.record.Write(
      fmt::format("cloud: {} of {} {} in {}{}", given, wanted, type, zone,
                  json::GetBool(doc, "loaner") ? ", spot" : ""));
  if (given == 0) {
    response.status = 503;
    response.body = R"({"error":"no capacity"})";
    return response;
  }
  std::string hosts;
  for (int i = 0; i < given; ++i) {
    const double boot_seconds =
        settings_.boot_share * TypeOf(type).startup_seconds;
    const auto worker = Add(type, zone, boot_seconds);
    hosts += (hosts.empty() ? "\"" : ",\"") + worker->host() + "\"";
  }
  response.body = rentals_[name] = "{\"hosts\":[" + hosts + "]}";
  return response;
}

HttpResponse Cloud::Delete(const std::string& body) {
  rapidjson::Document doc;
  json::Parse(body, &doc);
  for (const auto& host : doc["hosts"].GetArray()) {
    for (const auto& worker : fleet_.workers) {
      if (worker->host() != json::View(host)) continue;
      fleet_.record.Write("cloud: deletes " + worker->host());
      if (!worker->dead()) worker->Die();
      deleted_.insert(worker->host());
    }
  }
  HttpResponse response;
  response.body = "{}";
  return response;
}

HttpResponse Cloud::List(const HttpRequest& request) const {
  const std::string after(request.query("after"));
  const double latest = fleet_.loop.Now() - settings_.list_lag_seconds;
  const Snapshot* shown = nullptr;
  for (const Snapshot& snapshot : snapshots_) {
    if (snapshot.at <= latest) shown = &snapshot;
  }
  std::string hosts;
  size_t count = 0;
  bool has_next = false;
  if (shown != nullptr) {
    for (const Listed& machine : shown->machines) {
      if (machine.host <= after) continue;
      has_next = count == kPage;
      if (has_next) break;
      hosts += (hosts.empty() ? "" : ",") + machine.text;
      ++count;
    }
  }
  HttpResponse response;
  response.body =
      fmt::format(R"({{"hosts":[{}],"has_next":{}}})", hosts, has_next);
  return response;
}

Task<void> Cloud::TakeSnapshots() {
  for (;;) {
    Snapshot snapshot{fleet_.loop.Now(), {}};
    for (const auto& worker : fleet_.workers) {
      if (deleted_.contains(worker->host())) continue;
      const char* status = worker->dead() ? "failed"
                           : worker->up() ? "running"
                                          : "booting";
      snapshot.machines.push_back(
          {worker->host(),
           fmt::format(R"({{"id":"{}","endpoint":"{}","fleet":"{}",)"
                       R"("yard":"{}","loaner":false,"status":"{}",)"
                       R"("age_s":{:.1f}}})",
                       worker->host(), worker->endpoint(), worker->type().name,
                       worker->zone(), status, worker->age(snapshot.at))});
    }
    snapshots_.push_back(std::move(snapshot));
    if (snapshots_.size() > kSnapshots) snapshots_.pop_front();
    co_await fleet_.loop.Sleep(kSnapshotSeconds);
  }
}

}  // namespace oxbow::review
