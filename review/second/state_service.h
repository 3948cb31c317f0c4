// A stand-in for the state service: a small consistent store with revisions,
// transactions, leases and watches, within the limits of the settings.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop.h"

namespace oxbow::review {

struct StateLimits {
  double requests_per_second = 250;
  double changes_per_second = 100;
  size_t value_bytes = 8 * 1024;
  size_t changes_per_transaction = 24;
};

// A rate with bursts of `burst_seconds` worth.
class Rate {
 public:
  Rate(double per_second, double burst_seconds)
      : per_second_(per_second),
        most_(per_second * burst_seconds),
        left_(most_) {}
  bool Take(double amount, double now);

 private:
  const double per_second_;
  const double most_;
  double left_;
  double at_ = 0;
};

class StateService {
 public:
  StateService(net::Loop& loop, const StateLimits& limits);
  uint16_t port() const { return server_.port(); }
  // The value of a key as JSON; empty if there is none.
  std::string Value(const std::string& key) const;

 private:
  struct Entry {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::string value;  // empty: deleted
    uint64_t revision = 0;
  };
  struct Lease {
    double seconds = 0;
    double ends_at = 0;
  };

  net::Task<net::HttpResponse> Handle(net::HttpRequest request);
  net::Task<net::HttpResponse> Follow(net::HttpRequest request);
  net::HttpResponse Read(const std::string& key) const;
  net::HttpResponse List(const net::HttpRequest& request) const;
  net::HttpResponse Transact(const std::string& body);
  net::HttpResponse ChangeLease(const net::HttpRequest& request);
  net::Task<void> EndLeases();
  void Append(Change change);
  void Delete(const std::string& key);
  void End(uint64_t lease);
  std::string Revision() const;

  net::Loop& loop_;
  const StateLimits limits_;
  Rate requests_;
  Rate changes_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> log_;
  uint64_t forgotten_ = 0;  // the last revision that the log no longer has
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 1;
  uint64_t revision_ = 0;
  net::HttpServer server_;
};

}  // namespace oxbow::review
