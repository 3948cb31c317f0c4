// Client of the consensus-backed key-value store: compare-and-swap
// transactions, reads, leases and one watch. Keeps to this controller's share
// of the store's limits, and notices answers that are older than earlier ones.
//
// Coroutines: each request owns its arguments; the client must outlive all of
// them. A transaction that is sent again is shared by its copies, which may
// outlive the Write() that started them.
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

// A key as it was read.
struct KeyValue {
  std::string key;
  Record record;  // monostate: deleted, or of no kind we know
  uint64_t mod_revision = 0;
  uint64_t lease = 0;  // that the key is attached to; only from single reads
};

// The outcome of a request. Which members are set depends on the request.
struct StoreResult {
  StoreStatus status = StoreStatus::kNotExecuted;
  uint64_t revision = 0;
  uint64_t lease_id = 0;
  std::vector<std::string> failed;  // keys whose preconditions failed
  std::vector<KeyValue> items;
  bool more = false;  // a listing goes on after the last of the items
  // The answer is older than another that had come before this request was
  // sent: from a store that has lost data, or from a stale copy. Its status is
  // then kUnknown or kNotExecuted.
  bool revision_decreased = false;
  // Not sent: it is beyond this controller's share of the store's limits.
  bool beyond_share = false;

  bool ok() const { return status == StoreStatus::kOk; }
};

// What follows when a write is not answered after a few round trips.
enum class WhenUnanswered : uint8_t {
  kWait,       // nothing, until the time for an answer is over
  kGiveUp,     // the result is kUnknown: its sender decides by a read
  kSendAgain,  // a copy is sent with the same preconditions, see WriteRetry
};

// The client of one controller.
class KeyValueStoreClient {
 public:
  KeyValueStoreClient(net::Loop& loop, const net::Address& address,
                      const Settings& settings);

  // Records are decoded as the kind that their key's prefix names. A request
  // beyond this controller's share of the limits is kNotExecuted at once.
  net::Task<StoreResult> Get(std::string key, Urgency urgency);
  // One page of the keys with that prefix that come after `after`.
  net::Task<StoreResult> List(std::string prefix, std::string after);
  // A transaction: all mutations if all preconditions hold. Without mutations
  // it checks the preconditions. `lease_id`: the lease to which the keys of the
  // leader, of zones and of fences are attached; 0: none.
  net::Task<StoreResult> Write(std::vector<Precondition> preconditions,
                               std::vector<Mutation> mutations, Urgency urgency,
                               uint64_t lease_id = 0,
                               WhenUnanswered then = WhenUnanswered::kWait);
  net::Task<StoreResult> CreateLease(double ttl_seconds);
  net::Task<StoreResult> Renew(uint64_t lease_id, double timeout_seconds);
  net::Task<StoreResult> EndLease(uint64_t lease_id);
  // The changes of keys with that prefix after that revision; waits for one up
  // to `block_seconds`. kTooOld: they are no longer kept, or more than this
  // process has the memory for; the keys have to be listed instead.
  net::Task<StoreResult> Watch(std::string prefix, uint64_t after,
                               double block_seconds);

  // When the store last answered a request with something other than 503, and
  // when a request last failed.
  net::Time last_good() const { return last_good_; }
  net::Time last_bad() const { return last_bad_; }
  bool Failing() const { return last_bad_ > last_good_; }

  // The highest revision of all answers.
  uint64_t highest() const { return highest_; }
  // A new epoch, from that revision on: earlier answers do not count.
  void Restart(uint64_t revision) {
    highest_ = revision;
    ++generation_;
  }
  std::function<void()> on_step_back;  // may be empty

 private:
  enum class Kind : uint8_t { kRead, kChange, kWatch };
  struct Request {
    std::string method;
    std::string target;
    std::string body;
    double timeout_seconds = 0;
    Kind kind = Kind::kRead;
  };
  struct Response {
    StoreResult result;
    rapidjson::Document document;  // null if the answer has none
  };
  // What was known when a request was sent: a late answer is judged by that.
  struct KnownWhenSent {
    uint64_t highest = 0;
    uint64_t generation = 0;
    net::Time sent_at = 0;
  };
  // A transaction in flight, and what is known of it.
  struct Transaction {
    explicit Transaction(net::Loop& loop) : answered(loop) {}
    std::string body;
    Kind kind = Kind::kChange;
    double mutations = 0;
    WriteRetry retry;
    StoreResult result;  // of the answer that decided it, or of the last
    net::Event answered;
  };

  net::Task<Response> Call(Request request);
  // Decodes the changes a few at a time, between which the event loop goes on.
  net::Task<StoreResult> DecodeWatch(std::string body);
  // Decodes the status and the body of an answer.
  static Response Decode(const net::ClientResult& answer);
  // Keeps what Failing() and the timeouts of transactions rest on.
  void RecordOutcome(const net::ClientResult& answer, StoreStatus status,
                     Kind kind, net::Time sent_at);
  // Marks a result that is older than what was known.
  void CheckRevision(Kind kind, const KnownWhenSent& known,
                     StoreResult* result);
  void MarkSteppedBack(bool is_applied, StoreResult* result);

  net::Task<void> Send(std::shared_ptr<Transaction> transaction,
                       double timeout_seconds);
  // Waits until the answers decide what became of it, sending copies.
  net::Task<void> AwaitDecision(std::shared_ptr<Transaction> transaction,
                                WhenUnanswered then, net::Time deadline);
  // Whether a copy fits what is left of the limits beside all other requests.
  bool TakeRetry(const Transaction& transaction);

  net::Loop& loop_;
  net::HttpClient http_;
  net::HttpClient watch_;
  const StoreSettings limits_;
  Budget requests_;
  Budget writes_;
  Budget retries_;
  RoundTrip round_trip_;  // of transactions
  const double timeout_seconds_;
  net::Time last_good_ = -1e9;
  net::Time last_bad_ = -1e9;
  uint64_t highest_ = 0;
  uint64_t generation_ = 0;
};

}  // namespace oxbow::clients
