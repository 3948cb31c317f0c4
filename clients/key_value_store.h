// Client of the consensus-backed key-value store: compare-and-swap
// transactions, reads, leases and one watch. Stays within this controller's
// share of the store's limits, and detects answers that are older than earlier
// ones.
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

// A key with the record and versions that were read.
struct KeyValue {
  std::string key;
  Record record;  // monostate: deleted, or of an unknown kind
  uint64_t mod_revision = 0;
  uint64_t lease = 0;  // the key is attached to it; set by single reads only
};

// The outcome of a request. Which members are set depends on the request.
struct StoreResult {
  StoreStatus status = StoreStatus::kNotExecuted;
  uint64_t revision = 0;
  uint64_t lease_id = 0;
  std::vector<std::string> failed;  // keys whose preconditions failed
  std::vector<KeyValue> items;
  bool more = false;  // the listing continues after the last item
  // The answer is older than one that was received before this request was
  // sent: it comes from a store that has lost data or from a stale replica. The
  // status is then kUnknown or kNotExecuted.
  bool revision_decreased = false;
  // Not sent: the request exceeds this controller's share of the store's
  // limits.
  bool beyond_share = false;

  bool ok() const { return status == StoreStatus::kOk; }
};

// What the client does when a write is not answered within a few round trips.
enum class WhenUnanswered : uint8_t {
  kWait,       // waits for the answer until the timeout
  kGiveUp,     // returns kUnknown; the caller reads to find the outcome
  kSendAgain,  // sends a copy with the same preconditions, see WriteRetry
};

// The key-value store client of one controller.
class KeyValueStoreClient {
 public:
  KeyValueStoreClient(net::Loop& loop, const net::Address& address,
                      const Settings& settings);

  // The prefix of a key determines the kind that its record is decoded as. A
  // request beyond this controller's share of the limits returns kNotExecuted
  // at once.
  net::Task<StoreResult> Get(std::string key, Urgency urgency);
  // Reads one page of the keys that have that prefix and sort after `after`.
  net::Task<StoreResult> List(std::string prefix, std::string after);
  // Runs a transaction: applies all mutations if all preconditions hold.
  // Without mutations it only checks the preconditions. `lease_id`: the lease
  // to which the keys of the leader, of zones and of fences are attached; 0:
  // none.
  net::Task<StoreResult> Write(std::vector<Precondition> preconditions,
                               std::vector<Mutation> mutations, Urgency urgency,
                               uint64_t lease_id = 0,
                               WhenUnanswered then = WhenUnanswered::kWait);
  // Creates, renews and ends a lease. Lease requests always pass the limits.
  net::Task<StoreResult> CreateLease(double ttl_seconds);
  net::Task<StoreResult> Renew(uint64_t lease_id, double timeout_seconds);
  net::Task<StoreResult> EndLease(uint64_t lease_id);
  // Reads the changes of keys with that prefix after that revision; waits up to
  // `block_seconds` for the first one. kTooOld: the store no longer keeps those
  // changes, or they exceed the memory that this process has for them; the
  // caller has to list the keys instead.
  net::Task<StoreResult> Watch(std::string prefix, uint64_t after,
                               double block_seconds);

  // When the store last answered a request with something other than 503, and
  // when a request last failed.
  net::Time last_good() const { return last_good_; }
  net::Time last_bad() const { return last_bad_; }
  bool Failing() const { return last_bad_ > last_good_; }

  // The highest revision of all answers.
  uint64_t highest() const { return highest_; }
  // Starts a new epoch at that revision: the revisions of earlier answers no
  // longer count.
  void Restart(uint64_t revision) {
    highest_ = revision;
    ++generation_;
  }
  // Called when an answer is older than an earlier one; may be empty.
  std::function<void()> on_step_back;

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
    rapidjson::Document document;  // null if the answer has no JSON body
  };
  // What was known when a request was sent: a late answer is compared with
  // that.
  struct KnownWhenSent {
    uint64_t highest = 0;
    uint64_t generation = 0;
    net::Time sent_at = 0;
  };
  // A transaction in flight and what is known about its outcome.
  struct Transaction {
    explicit Transaction(net::Loop& loop) : answered(loop) {}
    std::string body;
    Kind kind = Kind::kChange;
    double mutations = 0;
    WriteRetry retry;
    // From the answer that decided the outcome, else from the last answer.
    StoreResult result;
    net::Event answered;
  };

  net::Task<Response> Call(Request request);
  // Decodes the changes a few at a time and lets the event loop run in between.
  net::Task<StoreResult> DecodeWatch(std::string body);
  // Decodes the status and the body of an answer.
  static Response Decode(const net::ClientResult& answer);
  // Records the times from which Failing() and the transaction timeouts are
  // computed.
  void RecordOutcome(const net::ClientResult& answer, StoreStatus status,
                     Kind kind, net::Time sent_at);
  // Marks a result that is older than what was known when it was requested.
  void CheckRevision(Kind kind, const KnownWhenSent& known,
                     StoreResult* result);
  void MarkSteppedBack(bool is_applied, StoreResult* result);

  net::Task<void> Send(std::shared_ptr<Transaction> transaction,
                       double timeout_seconds);
  // Sends copies as needed and waits until the answers decide the outcome.
  net::Task<void> AwaitDecision(std::shared_ptr<Transaction> transaction,
                                WhenUnanswered then, net::Time deadline);
  // Whether the limits leave room for a copy beside all other requests.
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
