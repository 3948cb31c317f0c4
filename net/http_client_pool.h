// HTTP clients for many addresses, which share a bounded number of connections.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_client.h"
#include "net/loop.h"
#include "net/semaphore.h"

namespace oxbow::net {

// Keeps one connection open to each of the most recently used addresses, and
// has at most `max_connections` requests in flight; further requests wait for a
// connection. Must outlive its pending requests.
class HttpClientPool {
 public:
  // The first three are current values, the others count since the start.
  struct Counters {
    size_t addresses = 0;  // those to which a connection may be open
    size_t in_flight = 0;
    size_t waiting = 0;
    uint64_t sent = 0;
    uint64_t not_sent = 0;  // no connection, timed out waiting, or forbidden
  };

  HttpClientPool(Loop& loop, size_t body_limit, size_t max_connections);

  // `timeout_seconds`: the time from now to the answer, including the wait for
  // a connection. `may_send` is called after that wait; if it returns false,
  // the request is not sent.
  Task<ClientResult> Request(Address address, std::string method,
                             std::string target, std::string body,
                             Time timeout_seconds,
                             std::function<bool()> may_send);
  // Closes the idle connections now, and those in use when their requests end.
  void CloseAll();
  Counters counters() const;

 private:
  struct Entry {
    std::unique_ptr<HttpClient> client;
    size_t users = 0;
    uint64_t generation = 0;
    std::list<std::string>::iterator unused_position;  // valid while users is 0
  };

  Entry& Use(const Address& address);
  void StopUsing(const std::string& key);

  Loop& loop_;
  const size_t body_limit_;
  const size_t max_connections_;
  Semaphore turns_;
  std::unordered_map<std::string, Entry> entries_;  // by address
  std::list<std::string> unused_;                   // least recently used first
  uint64_t generation_ = 0;                         // incremented by CloseAll()
  Counters counters_;
};

}  // namespace oxbow::net
