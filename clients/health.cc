#include "clients/health.h"

#include <utility>

#include "net/http_client.h"

namespace oxbow::clients {
namespace {

constexpr size_t kBodyLimit = 64 * 1024;
constexpr size_t kMaxExpressions = 64;

// Replaces {job} and {task} in a path, for machines on which one agent answers
// the health checks of all instances.
std::string ExpandPath(const std::string& pattern, const TaskAttemptKey& key) {
  std::string path = pattern;
  const auto put = [&path](std::string_view name, const std::string& value) {
    for (size_t at = path.find(name); at != std::string::npos;
         at = path.find(name, at + value.size())) {
      path.replace(at, name.size(), value);
    }
  };
  put("{job}", key.job_id);
  put("{task}", std::to_string(key.task));
  return path;
}

}  // namespace

health_expression::HealthExpression& HealthClient::ExpressionFor(
    const RunHealthCheck& check) {
  if (expressions_.size() > kMaxExpressions) expressions_.clear();
  Entry& entry = expressions_[check.rollout];
  const std::string& text = check.spec->check.expression;
  if (!entry.expression || entry.text != text) {
    entry = {text, std::make_unique<health_expression::HealthExpression>(text)};
  }
  return *entry.expression;
}

net::Task<CheckOutcome> HealthClient::Check(RunHealthCheck check) {
  CheckOutcome out;
  net::Address address;
  if (!net::ParseAddress(check.endpoint, &address)) co_return out;
  const HealthCheck& health_check = check.spec->check;
  const uint64_t port =
      health_check.port +
      (health_check.port_per_task ? uint64_t{check.key.task} : 0);
  if (port > UINT16_MAX) co_return out;
  address.port = static_cast<uint16_t>(port);
  const net::Time sent = loop_.Now();
  // Each check opens a new connection: kept connections would hold a socket for
  // each instance, and a service that accepts no new connections is unhealthy.
  net::HttpClient http(loop_, address, kBodyLimit, 0);
  const net::ClientResult answer =
      co_await http.Request("GET", ExpandPath(health_check.path, check.key), "",
                            health_check.timeout_seconds);
  if (answer.outcome != net::Outcome::kAnswered) co_return out;
  out.answered = true;
  out.latency_seconds = loop_.Now() - sent;
  const health_expression::HealthExpression::Answer seen{
      answer.status, answer.body, out.latency_seconds * 1000};
  out.good = ExpressionFor(check).Judge(seen) ==
             health_expression::HealthExpression::Result::kGood;
  co_return out;
}

}  // namespace oxbow::clients
