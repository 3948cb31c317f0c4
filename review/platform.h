// Small stand-ins on loopback for the state service, the cloud and the workers,
// as the operators' pages describe them, and controllers as processes. The
// account of what ran where is kept here, outside the controllers.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace review {

using oxbow::net::Address;
using oxbow::net::ClientResult;
using oxbow::net::HttpRequest;
using oxbow::net::HttpResponse;
using oxbow::net::Loop;
using oxbow::net::Task;

inline Address Local(uint16_t port) { return {"127.0.0.1", port}; }
// A port that is free on 127.0.0.1, below the ports that the system hands out.
uint16_t FreePort();

// Writes record.txt: one line an event, with the seconds since the start.
class Record {
 public:
  Record(Loop& loop, const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Line(const std::string& text);

 private:
  Loop& loop_;
  double started_;
  std::FILE* file_;
};

// The state service: keys with revisions, transactions, leases and watches.
class StateService {
 public:
  explicit StateService(Loop& loop);
  uint16_t port() const { return server_.port(); }
  std::string Value(const std::string& key) const;
  bool down = false;   // every request gets 503; open watches stay open
  double delay_s = 0;  // before each request is carried out
  // Called with the body of a transaction before it is carried out.
  std::function<void(const std::string& body)> on_transaction;
  // Whether the answer to this transaction, which is carried out at once, gets
  // lost.
  std::function<bool(const std::string& body)> loses_answer;

 private:
  struct Entry {
    std::string value;
    uint64_t stamp = 0;
    uint64_t permit = 0;
  };
  struct Change {
    std::string key;
    std::string value;  // empty: deleted
    uint64_t stamp = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;
  };

  Task<HttpResponse> Handle(HttpRequest request);
  Task<HttpResponse> Follow(HttpRequest request);
  HttpResponse Get(const std::string& key) const;
  HttpResponse List(const HttpRequest& request) const;
  HttpResponse Transact(const std::string& body);
  HttpResponse Leases(const HttpRequest& request);
  Task<void> EndLeases();
  void Delete(const std::string& key);
  std::string Ledger() const;

  Loop& loop_;
  std::map<std::string, Entry> keys_;
  std::deque<Change> log_;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 1;
  uint64_t ledger_ = 1;
  oxbow::net::HttpServer server_;
};

// What the users have submitted, as the workers fetch it.
struct Job {
  std::string id;
  std::string form = "batch";
  uint32_t legs = 1;
  double cores = 1;
  double memory_gb = 1;
  double run_s = 1;  // true run time of a task
  std::string build = "img-01";
  std::set<uint32_t> done;
  bool submitted = false;
};

class Worker;

// What has happened on the machines.
struct Account {
  std::map<std::string, Job> jobs;
  // On which machine each task is, and the tasks that were found on two.
  std::map<std::string, std::string> on_machine;
  std::vector<std::string> ran_twice;
  uint64_t started = 0;
  uint64_t completed = 0;
  uint64_t killed_by_lease = 0;
  uint64_t failed = 0;  // exits with `error`
};

// One worker at 127.0.0.1 with a port of its own.
class Worker {
 public:
  struct Machine {
    std::string host;
    std::string fleet;
    std::string yard;
    double cores = 32;
    double memory_gb = 128;
    double report_s = 1;
    double lease_s = 10;
  };
  Worker(Loop& loop, Machine machine, Account& account, Record& record,
         std::vector<std::pair<std::string, Address>> controllers);
  const Machine& machine() const { return machine_; }
  std::string endpoint() const { return Local(server_.port()).ToString(); }
  uint64_t tenure() const { return tenure_; }
  size_t present() const;
  double free_cores() const { return machine_.cores - used_cores_; }
  // The largest report so far, in bytes.
  size_t largest_report() const { return largest_report_; }
  // How often a controller refused a report with this status.
  const std::map<int, int>& statuses() const { return statuses_; }
  // The cloud takes the machine away.
  void Remove();
  // While it is faulty, every task that starts here fails.
  void set_faulty(bool faulty) { faulty_ = faulty; }

 private:
  struct Leg {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    double runs_from = 0;
    bool on_machine = false;
    bool exited = false;
    bool fails = false;
    std::string reason;
  };

  Task<void> Live();
  Task<void> Send();
  void OnAnswer(const ClientResult& answer, double sent, uint64_t tenure);
  void NextController();
  Task<HttpResponse> Handle(HttpRequest request);
  std::string Report();
  bool Execute(const std::string& body, bool direct, uint64_t tenure);
  void Run(const std::string& name, uint64_t attempt);
  void Exit(Leg& leg, const std::string& reason);
  void EnterMachine(Leg& leg);
  void LeaveMachine(Leg& leg);
  void Advance();
  void ExpireLease();
  static std::string Key(const Leg& leg);

  Loop& loop_;
  const Machine machine_;
  Account& account_;
  Record& record_;
  std::vector<std::pair<std::string, Address>> controllers_;
  std::vector<std::unique_ptr<oxbow::net::HttpClient>> clients_;
  size_t at_ = 0;
  std::map<std::string, Leg> legs_;  // by leg and attempt
  std::set<std::string> images_;
  double used_cores_ = 0;
  double used_memory_ = 0;
  uint64_t tenure_ = 1;
  uint64_t tally_ = 0;
  uint64_t fence_ = 0;
  double lease_from_;
  double next_report_ = 0;
  double last_report_ = -1e9;
  bool changed_ = false;
  bool reporting_ = false;
  bool removed_ = false;
  bool faulty_ = false;
  size_t largest_report_ = 0;
  std::map<int, int> statuses_;
  std::mt19937 random_;
  oxbow::net::HttpServer server_;
};

// The cloud: a fixed set of machine types and the machines that are up from the
// beginning. It has no further machines to give.
class Cloud {
 public:
  explicit Cloud(Loop& loop, std::string flavors);
  uint16_t port() const { return server_.port(); }
  std::vector<std::shared_ptr<Worker>> machines;

 private:
  Task<HttpResponse> Handle(HttpRequest request);

  const std::string flavors_;
  std::vector<std::shared_ptr<Worker>> removed_;
  oxbow::net::HttpServer server_;
};

// A controller: the program of the deploy file as a process of its own.
struct Controller {
  std::string name;
  std::string site;
  Address listen;
  Address back;
  std::string settings;  // path
  pid_t pid = -1;
};

// Starts the run command of the deploy file with the settings; the log goes
// beside them.
void Launch(Controller& controller);
// Sends SIGKILL and waits for the end.
void Kill(Controller& controller);
// Whether the process has ended by itself.
bool HasEnded(Controller& controller);

}  // namespace review
