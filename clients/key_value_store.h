// Client of the key-value store.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "clients/budget.h"
#include "clients/write_retry.h"
#include "core/catalog/catalog.h"
#include "core/leader_context/actions.h"
#include "core/model/settings.h"
#include "net/http_client.h"

namespace oxbow::clients {

struct KeyValue {
  std::string key;
  Record record;  // monostate: deleted, or of no kind we know
  uint64_t mod_revision = 0;
  uint64_t lease = 0;  // that the key is attached to; told by single reads
};

struct StoreResult {
  StoreStatus status = StoreStatus::kNotExecuted;
  uint64_t revision = 0;
  uint64_t lease_id = 0;
  std::vector<std::string> failed;
  std::vector<KeyValue> items;
  bool more = false;
  // The answer is older than another that was there before this request was
  // sent: from a service that has lost data, or from a stale copy. It is told
  // as kUnknown or kNotExecuted.
  bool stepped_back = false;

  bool ok() const { return status == StoreStatus::kOk; }
};

// What follows when a write is not answered after a few round trips.
enum class WhenUnanswered : uint8_t {
  kWait,       // nothing, until the time for an answer is over
  kGiveUp,     // it is told as kUnknown: its sender decides by a read
  kSendAgain,  // a copy goes under the same conditions, see WriteRetry
};

class KeyValueStoreClient {
 public:
  KeyValueStoreClient(net::Loop& loop, const net::Address& address,
                      const Settings& settings);

  // All return a value decoded by the kind that its key promises.
  net::Task<StoreResult> Get(std::string key, Urgency urgency);
  net::Task<StoreResult> List(std::string prefix, std::string after);
  net::Task<StoreResult> Write(std::vector<Precondition> preconditions,
                               std::vector<Mutation> mutations, Urgency urgency,
                               uint64_t lease_id = 0,
                               WhenUnanswered then = WhenUnanswered::kWait);
  net::Task<StoreResult> CreateLease(double ttl_seconds);
  net::Task<StoreResult> Renew(uint64_t lease_id, double timeout_seconds);
  net::Task<StoreResult> EndLease(uint64_t lease_id);
  net::Task<StoreResult> Watch(std::string prefix, uint64_t after,
                               double block_seconds);

  // When the service last answered a request with something other than 503,
  // and when a request last failed.
  net::Time last_good() const { return last_good_; }
  net::Time last_bad() const { return last_bad_; }
  bool Failing() const { return last_bad_ > last_good_; }

  // The highest revision that an answer has told.
  uint64_t highest() const { return highest_; }
  // A new epoch, from that revision on: what was told before does not count.
  void Restart(uint64_t revision) {
    highest_ = revision;
    ++generation_;
  }
  std::function<void()> on_step_back;  // may be empty

 private:
  enum class Kind { kRead, kChange, kWatch };
  // A transaction under way, and what is known of it.
  struct Sending {
    explicit Sending(net::Loop& loop) : news(loop) {}
    std::string body;
    Kind kind = Kind::kChange;
    double mutations = 0;
    WriteRetry retry;
    StoreResult result;  // of the answer that decided it, or of the last
    net::Event news;
  };
  net::Task<void> Send(std::shared_ptr<Sending> sending,
                       double timeout_seconds);
  // Within what is left of the limits beside the requests of users.
  bool TakeRetry(const Sending& sending);
  // Notes that the answer is older than what was known.
  void SteppedBack(bool applied, StoreResult* result);
  net::Task<StoreResult> Call(std::string method, std::string target,
                              std::string body, double timeout_seconds,
                              rapidjson::Document* doc,
                              Kind kind = Kind::kRead);

  net::Loop& loop_;
  net::HttpClient http_;
  net::HttpClient watch_;
  const StoreSettings limits_;
  Budget requests_;
  Budget writes_;
  Budget retries_;
  RoundTrip round_trip_;  // of transactions
  double timeout_seconds_;
  net::Time last_good_ = -1e9;
  net::Time last_bad_ = -1e9;
  uint64_t highest_ = 0;
  uint64_t generation_ = 0;
};

}  // namespace oxbow::clients
