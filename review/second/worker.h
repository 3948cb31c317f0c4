// A stand-in for a worker, as the protocol describes it: reports, leases,
// tokens, commands, images, gangs and checkpoints. It can die, and its machine
// can become faulty, so that each task that runs there ends with an error.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "review/second/job.h"
#include "review/second/record.h"

namespace oxbow::review {

struct MachineType {
  std::string name;
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_second = 1;
  double price = 1;
  double spot_price = 0.5;
  double startup_seconds = 25;
  std::vector<std::string> zones;
};

struct WorkerTiming {
  double report_seconds = 1;
  double lease_seconds = 10;
  double gang_wait_seconds = 40;
  double gang_peer_seconds = 4;
};

struct ControllerAddress {
  std::string name;
  net::Address address;
};

class Worker;

// What all workers share.
struct Fleet {
  net::Loop& loop;
  Record& record;
  WorkerTiming timing;
  std::vector<ControllerAddress> controllers;
  JobAccounts jobs;
  std::vector<std::shared_ptr<Worker>> workers;  // dead ones included

  // The numbers of the tasks of that attempt that are on a machine.
  std::set<uint32_t> Present(const std::string& job, uint64_t attempt) const;
  // The machine on which a task of the job runs; null if none does.
  std::shared_ptr<Worker> WhereRuns(const std::string& job) const;
  int CountRunning(const std::string& job) const;
};

class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(Fleet& fleet, std::string host, MachineType type, std::string zone,
         double up_at);
  void Start();

  // The machine stops with all that is on it.
  void Die();
  void BecomeFaulty() { faulty_ = true; }
  bool dead() const { return dead_; }
  bool up() const { return up_; }
  const std::string& host() const { return host_; }
  const std::string& zone() const { return zone_; }
  const MachineType& type() const { return type_; }
  double age(double now) const { return now - rented_at_; }
  std::string endpoint() const { return "127.0.0.1:" + Port(); }
  int starts() const { return starts_; }
  // Whether one more task of the job would fit beside what is there.
  bool HasRoomFor(const Job& job) const;

 private:
  friend struct Fleet;
  enum class State { kPulling, kGathering, kRunning, kSaving, kExited };
  struct Task {
    std::string job;
    uint32_t number = 0;
    uint64_t attempt = 0;
    State state = State::kPulling;
    std::string reason;  // of the exit
    bool saved = false;
    double since = 0;      // when it came to its state
    double leaves_at = 0;  // kSaving; a gang that lost a task; 0: not set
  };

  std::string Port() const { return std::to_string(server_.port()); }
  static std::string NameOf(State state);
  net::Task<void> Live();
  static net::Task<void> Report(std::shared_ptr<Worker> self);
  void ApplyAnswer(const net::ClientResult& answer, uint64_t session,
                   double sent_at);
  void TryNextController();
  net::Task<net::HttpResponse> Handle(net::HttpRequest request);
  std::string Message();
  void Execute(const std::string& body);
  void Run(const std::string& leg, uint64_t attempt);
  void Kill(Task& task, double grace_seconds);
  void Become(Task& task, State state);
  void Exit(Task& task, const std::string& reason, bool saved = false);
  void CheckLease();
  void Fetch(double seconds);
  void Step(Task& task);
  void OnImageThere(Task& task);
  void StepGathering(Task& task);
  void StepRunning(Task& task);
  const Job& JobOf(const Task& task) const;

  Fleet& fleet_;
  const std::string host_;
  const MachineType type_;
  const std::string zone_;
  const double up_at_;
  const double rented_at_;
  net::HttpServer server_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  size_t at_ = 0;                      // the controller that it reports to
  std::map<std::string, Task> tasks_;  // by task and attempt
  std::set<std::string> images_;
  std::map<std::string, double> fetching_;  // GB left
  uint64_t session_ = 1;
  uint64_t message_ = 0;
  uint64_t token_ = 0;
  double lease_from_ = 0;
  double next_report_ = 0;
  bool reporting_ = false;
  bool changed_ = false;
  bool faulty_ = false;
  bool dead_ = false;
  bool up_ = false;
  int starts_ = 0;
};

}  // namespace oxbow::review
