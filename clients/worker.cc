#include "clients/worker.h"

#include <utility>

#include "wire/json.h"
#include "wire/worker_json.h"

namespace oxbow::clients {
std::shared_ptr<net::HttpClient> WorkerClients::ClientFor(
    const std::string& endpoint) {
  auto& client = clients_[endpoint];
  net::Address address;
  if (!client && net::ParseAddress(endpoint, &address)) {
    client = std::make_shared<net::HttpClient>(loop_, address,
                                               wire::kReportLimit, 1);
  }
  return client;
}

net::Task<WorkerClients::Answer> WorkerClients::Send(SendCommands commands) {
  Answer out;
  const auto client = ClientFor(commands.endpoint);
  if (!client) co_return out;
  rapidjson::StringBuffer buffer;
  json::Writer w(buffer);
  w.StartObject();
  w.Key("fence");
  w.Uint64(commands.token);
  w.Key("tenure");
  w.Uint64(commands.incarnation);
  wire::WriteOrders(w, commands.commands);
  w.EndObject();
  const net::ClientResult answer = co_await client->Request(
      "POST", "/do", json::Text(buffer), timeout_seconds_);
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
  const auto client = ClientFor(endpoint);
  if (!client) co_return out;
  const net::ClientResult answer =
      co_await client->Request("GET", "/status", "", timeout_seconds_);
  if (answer.ok())
    out.has_heartbeat = wire::ParseReport(answer.body, &out.heartbeat);
  co_return out;
}

}  // namespace oxbow::clients
