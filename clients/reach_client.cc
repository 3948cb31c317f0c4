#include "clients/reach_client.h"

#include <utility>

#include "core/leader_health/reachability_survey.h"
#include "net/http_client.h"
#include "wire/worker_json.h"

namespace oxbow::clients {

net::Task<void> ReachClient::QueryWorker(std::shared_ptr<Round> round, size_t i,
                                         std::string endpoint,
                                         double timeout_seconds) {
  net::Address address;
  if (net::ParseAddress(endpoint, &address)) {
    // Each request opens a new connection: an existing connection may still
    // work over a network path that a new one cannot use, and the reverse.
    net::HttpClient client(loop_, address, wire::kReportLimit, 0);
    const net::ClientResult answer =
        co_await client.Request("GET", "/status", "", timeout_seconds);
    Heartbeat heartbeat;
    if (answer.ok() && wire::ParseReport(answer.body, &heartbeat)) {
      round->found.machines[i] = ReachabilityAnswer::kReached;
      round->found.reports.push_back(std::move(heartbeat));
    } else {
      round->found.machines[i] = ReachabilityAnswer::kNotReached;
    }
  }
  --open_;
  if (--round->left == 0) round->done.Set();
}

net::Task<ReachClient::Result> ReachClient::Ask(
    std::vector<std::string> endpoints, double timeout_seconds) {
  auto round = std::make_shared<Round>(loop_);
  round->found.machines.assign(endpoints.size(), ReachabilityAnswer::kNotAsked);
  std::vector<size_t> asked;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    if (endpoints[i].empty() || open_ + asked.size() >= most_at_once_) continue;
    asked.push_back(i);
  }
  open_ += asked.size();
  round->left = asked.size();
  for (const size_t i : asked) {
    net::Spawn(QueryWorker(round, i, std::move(endpoints[i]), timeout_seconds));
  }
  // All requests have the same timeout; the wait for the round is slightly
  // longer, so that requests which end at their timeout are still counted.
  constexpr double kSlack = 1.1;
  if (!asked.empty()) co_await round->done.Wait(kSlack * timeout_seconds);
  co_return round->found;
}

}  // namespace oxbow::clients
