#include "net/http_client_pool.h"

#include <utility>

namespace oxbow::net {

HttpClientPool::HttpClientPool(Loop& loop, size_t body_limit,
                               size_t max_connections)
    : loop_(loop),
      body_limit_(body_limit),
      max_connections_(max_connections),
      turns_(loop, max_connections) {}

HttpClientPool::Entry& HttpClientPool::Use(const Address& address) {
  constexpr size_t kIdleConnections = 1;
  Entry& entry = entries_[address.ToString()];
  if (!entry.client) {
    entry.client = std::make_unique<HttpClient>(loop_, address, body_limit_,
                                                kIdleConnections);
    entry.generation = generation_;
  } else if (entry.users == 0) {
    unused_.erase(entry.unused_position);
  }
  ++entry.users;
  return entry;
}

void HttpClientPool::StopUsing(const std::string& key) {
  const auto it = entries_.find(key);
  Entry& entry = it->second;
  if (--entry.users > 0) return;
  if (entry.generation != generation_) {
    entries_.erase(it);
    return;
  }
  entry.unused_position = unused_.insert(unused_.end(), key);
  if (entries_.size() <= max_connections_) return;
  entries_.erase(unused_.front());
  unused_.pop_front();
}

Task<ClientResult> HttpClientPool::Request(Address address, std::string method,
                                           std::string target, std::string body,
                                           Time timeout_seconds,
                                           std::function<bool()> may_send) {
  const Time deadline = loop_.Now() + timeout_seconds;
  ClientResult result;
  const bool has_turn = co_await turns_.Acquire(timeout_seconds);
  if (has_turn && may_send()) {
    const std::string key = address.ToString();
    Entry& entry = Use(address);
    ++counters_.in_flight;
    result =
        co_await entry.client->Request(std::move(method), std::move(target),
                                       std::move(body), deadline - loop_.Now());
    --counters_.in_flight;
    StopUsing(key);
  }
  if (has_turn) turns_.Release();
  ++(result.outcome == Outcome::kNotSent ? counters_.not_sent : counters_.sent);
  co_return result;
}

void HttpClientPool::CloseAll() {
  ++generation_;
  for (const std::string& key : unused_) entries_.erase(key);
  unused_.clear();
}

HttpClientPool::Counters HttpClientPool::counters() const {
  Counters counters = counters_;
  counters.addresses = entries_.size();
  counters.waiting = turns_.waiting();
  return counters;
}

}  // namespace oxbow::net
