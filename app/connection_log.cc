#include "app/connection_log.h"

#include <utility>

#include "api/api.h"
#include "logging/structured_log.h"

namespace oxbow::app {
namespace {

// The interval at which the counters are checked, in heartbeat intervals.
constexpr double kIntervalHeartbeats = 1;

}  // namespace

ConnectionLog::ConnectionLog(net::Loop& loop, const Settings& settings,
                             const net::HttpServer& server,
                             const LeaderRuntime& leader_runtime)
    : loop_(loop),
      server_(server),
      leader_runtime_(leader_runtime),
      interval_seconds_(kIntervalHeartbeats *
                        settings.workers.heartbeat_interval_seconds) {}

void ConnectionLog::Start() { net::Spawn(Run()); }

net::Task<void> ConnectionLog::Run() {
  for (;;) {
    co_await loop_.Sleep(interval_seconds_);
    LogChange();
  }
}

void ConnectionLog::LogChange() {
  const net::HttpServer::Counters counters = server_.counters();
  const net::HttpClientPool::Counters workers =
      leader_runtime_.worker_requests();
  const uint64_t failures =
      counters.refused + counters.out_of_descriptors + workers.not_sent;
  if (failures == last_failures_) return;
  last_failures_ = failures;
  LogFields fields = {{"open", counters.open},
                      {"limit", counters.limit},
                      {"accepted", counters.accepted},
                      {"refused", counters.refused},
                      {"evicted", counters.evicted},
                      {"turned_over", counters.turned_over},
                      {"out_of_descriptors", counters.out_of_descriptors},
                      {"to_workers", workers.addresses},
                      {"in_flight_to_workers", workers.in_flight},
                      {"waiting_to_workers", workers.waiting},
                      {"sent_to_workers", workers.sent},
                      {"not_sent_to_workers", workers.not_sent}};
  for (size_t i = 0; i < api::kClientKinds; ++i) {
    fields.emplace_back(api::kClientKindNames.at(i),
                        counters.open_by_kind.at(i));
  }
  logging::Info("connections refused or not opened", std::move(fields));
}

}  // namespace oxbow::app
