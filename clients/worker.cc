#include "clients/worker.h"

#include <algorithm>
#include <utility>

#include "wire/json.h"
#include "wire/worker_json.h"

namespace oxbow::clients {
namespace {

// The share of the connections to workers that probes may use.
constexpr double kProbeShare = 0.5;
// The time that a probe may wait for a connection, in request timeouts. It is
// long because a failed probe is not repeated.
constexpr double kProbeTurnTimeouts = 3;

size_t MaxConcurrentProbes(size_t max_connections) {
  return std::max<size_t>(
      1,
      static_cast<size_t>(kProbeShare * static_cast<double>(max_connections)));
}

}  // namespace

WorkerClients::WorkerClients(net::Loop& loop, double timeout_seconds,
                             size_t max_connections)
    : timeout_seconds_(timeout_seconds),
      pool_(loop, wire::kReportLimit, max_connections),
      probes_(loop, MaxConcurrentProbes(max_connections)) {}

net::Task<WorkerClients::Answer> WorkerClients::Send(
    SendCommands commands, std::function<bool()> may_send) {
  Answer out;
  net::Address address;
  if (!net::ParseAddress(commands.endpoint, &address)) co_return out;
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  w.Key("fence");
  w.Uint64(commands.token);
  w.Key("tenure");
  w.Uint64(commands.incarnation);
  wire::WriteOrders(w, commands.commands);
  w.EndObject();
  const net::ClientResult answer = co_await pool_.Request(
      std::move(address), "POST", "/do", json::Text(buffer), timeout_seconds_,
      std::move(may_send));
  if (answer.outcome == net::Outcome::kNotSent) co_return out;
  out.outcome = CommandOutcome::kUnknown;
  if (answer.outcome == net::Outcome::kUnknown) co_return out;
  if (answer.status == 200 || answer.status == 409) {
    out.has_heartbeat = wire::ParseReport(answer.body, &out.heartbeat);
    if (out.has_heartbeat) {
      out.outcome = answer.status == 200 ? CommandOutcome::kExecuted
                                         : CommandOutcome::kRefused;
    }
  }
  co_return out;
}

net::Task<WorkerClients::Answer> WorkerClients::Probe(std::string endpoint) {
  Answer out;
  net::Address address;
  if (!net::ParseAddress(endpoint, &address)) co_return out;
  const bool has_turn =
      co_await probes_.Acquire(kProbeTurnTimeouts * timeout_seconds_);
  if (!has_turn) co_return out;
  // A named object, because GCC 12 destroys a temporary in an awaited call
  // twice.
  std::function<bool()> always = [] { return true; };
  const net::ClientResult answer =
      co_await pool_.Request(std::move(address), "GET", "/status", "",
                             timeout_seconds_, std::move(always));
  probes_.Release();
  if (answer.ok()) {
    out.has_heartbeat = wire::ParseReport(answer.body, &out.heartbeat);
  }
  co_return out;
}

}  // namespace oxbow::clients
