// Stand-ins on loopback for what a controller talks to: the key-value store,
// the cloud, and workers whose instances answer health checks on cue. They
// follow the published protocol and keep their own account of what is there.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace oxbow::test {

inline net::Address Local(uint16_t port) { return {"127.0.0.1", port}; }
uint16_t FreePort();

// Keys with revisions, transactions, watches, leases that end.
class FakeKeyValueStore {
 public:
  bool down = false;
  size_t most_value = SIZE_MAX;   // bytes; a larger one is refused
  double read_delay_seconds = 0;  // until a read of one key is answered

  explicit FakeKeyValueStore(net::Loop& loop);
  uint16_t port() const { return server_.port(); }
  // Data is lost, in the ways that are known of such services.
  struct Copy;
  std::shared_ptr<const Copy> Save() const;
  // An older copy comes back; `revision_goes_on`: from where it is.
  void Restore(const Copy& copy, bool revision_goes_on);
  void EraseAll(bool revision_goes_on);
  void Lose(const std::string& prefix);
  void LoseLeases() { leases_.clear(); }

  // The next transaction that sets a key with that prefix gets no answer. It is
  // carried out when that is asked for, the first held first: the status it
  // would have got.
  void HoldNext(const std::string& prefix) { held_prefix_ = prefix; }
  // The next transaction that sets a key with that prefix is carried out at
  // once; only its answer is lost.
  void LoseNextAnswer(const std::string& prefix) { mute_prefix_ = prefix; }
  size_t HeldOnes() const { return held_.size(); }
  int CarryOutHeld();

  // Another's change.
  void Put(const std::string& key, const std::string& value);
  // The value of a key, as JSON; empty when it does not exist.
  std::string Value(const std::string& key) const;

 private:
  struct Change {
    std::string key;
    std::string value;  // empty: deleted
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_seconds = 0;
    double until = 0;
  };

  net::Task<net::HttpResponse> Handle(net::HttpRequest request);
  net::Task<net::HttpResponse> Watch(const net::HttpRequest& request);
  void Transaction(const std::string& body, net::HttpResponse* response);
  static bool Sets(const std::string& body, const std::string& prefix);
  void Leases(const net::HttpRequest& request, net::HttpResponse* response);
  void Delete(const std::string& key);
  net::Task<void> EndLeases();
  std::string Ledger() const;
  static std::string Item(const Change& change);
  // One page of a listing.
  std::string List(const net::HttpRequest& request) const;

  static constexpr uint64_t kFirstRevision = 5;

  net::Loop& loop_;
  std::map<std::string, Change> keys_;
  std::vector<Change> log_;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 1;
  uint64_t revision_ = kFirstRevision;
  std::string held_prefix_;        // empty: none is held
  std::string mute_prefix_;        // empty: every one is answered
  std::vector<std::string> held_;  // bodies
  net::HttpServer server_;
};

struct FakeKeyValueStore::Copy {
  std::map<std::string, Change> keys;
  std::vector<Change> log;
  std::map<uint64_t, Lease> leases;
  uint64_t next_lease = 1;
  uint64_t revision = kFirstRevision;
};

// One machine type in two zones; never has a machine to rent.
class FakeCloud {
 public:
  explicit FakeCloud(net::Loop& loop);
  uint16_t port() const { return server_.port(); }
  // What is listed, in the protocol's words.
  std::function<std::string()> listed = [] { return std::string(); };
  std::function<void(const std::string& host)> on_delete;

 private:
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);

  net::HttpServer server_;
};

// How the instances of a job answer.
struct Cue {
  double sick_after = 1e18;  // s of running
  double flap_seconds = 0;
  double done_after = 1e18;  // s of running; a service never is
  enum class Way { kError, kEmpty, kSilent } way = Way::kError;
};

// A worker at an address of its own in 127.0.0.0/8. Its instances answer at
// the port for health of that address, under /health/JOB/TASK.
class FakeWorker {
 public:
  struct Timing {
    double heartbeat_interval_seconds = 0.2;
    double lease_seconds = 2;
    uint16_t health_port = 0;
  };

  FakeWorker(net::Loop& loop, std::string host, std::string ip,
             std::string zone, Timing timing,
             std::vector<std::pair<std::string, net::Address>> controllers,
             const std::map<std::string, Cue>& cues);
  void Start();
  // Gone with all that is on it.
  void Die() { dead_ = true; }
  bool dead() const { return dead_; }
  // Behind a cut: nothing it says or is told gets through; it lives on.
  void Cut(bool cut) { cut_ = cut; }
  // Its next starts fail, so many of them.
  void FailStarts(int count) { starts_to_fail_ = count; }
  // The answered calls with commands arrive once more, in the given order of
  // their numbers; those whose token and session match are carried out.
  void RepeatCalls(const std::vector<size_t>& numbers);
  size_t answered_calls() const { return answered_calls_.size(); }
  // Repeated calls that were refused, and starts of attempts that the worker
  // was told to forget.
  int repeats_refused() const { return repeats_refused_; }
  int started_again() const { return started_again_; }
  // Its reports no longer get to that controller; commands still come.
  void Avoid(std::string controller) { avoided_ = std::move(controller); }
  int sessions_lost() const { return static_cast<int>(session_) - 1; }
  const std::string& zone() const { return zone_; }
  void Notice(double seconds) { notice_ = seconds; }
  bool noticed() const { return notice_ > 0; }
  const std::string& host() const { return host_; }
  std::string ListItem() const;
  // Instances of the job that are well, by the worker's own account.
  int Well(const std::string& job) const;
  int Present(const std::string& job) const;
  int present() const;  // of all jobs
  // The tasks of the job that have completed here.
  std::set<uint32_t> Completed(const std::string& job) const;
  // Instances that run and are not well.
  int Sick(const std::string& job) const;

 private:
  struct Instance {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    bool exited = false;
    double running_from = 0;
    bool done = false;  // how it exited
    bool failed = false;
  };

  net::Task<void> UntilOpen();
  net::Task<void> Live();
  net::Task<bool> Report();
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);
  // Carries out the commands if the worker accepts their token and session.
  bool ExecuteCall(const std::string& body);
  void Start(const std::string& leg, uint64_t attempt);
  net::Task<net::HttpResponse> Health(net::HttpRequest request);
  std::string Message();
  void CompleteTasks(double now);
  void Execute(const std::string& body);
  bool IsWell(const Instance& instance) const;

  net::Loop& loop_;
  std::string host_;
  std::string ip_;
  std::string zone_;
  Timing timing_;
  std::vector<std::pair<std::string, net::Address>> controllers_;
  const std::map<std::string, Cue>& cues_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  size_t at_ = 0;  // the controller it reports to
  net::HttpServer orders_;
  net::HttpServer health_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, std::set<uint32_t>> completed_;  // tasks by job
  std::vector<std::string> answered_calls_;              // bodies
  std::set<std::string> forgotten_;  // attempts of this session
  int starts_to_fail_ = 0;
  int repeats_refused_ = 0;
  int started_again_ = 0;
  uint64_t session_ = 1;
  uint64_t seq_ = 0;
  uint64_t token_ = 0;
  double lease_from_ = 0;
  double notice_ = 0;
  std::string avoided_;
  bool changed_ = false;
  bool dead_ = false;
  bool cut_ = false;
};

}  // namespace oxbow::test
