// A small deployment for a case: three controllers as processes, started with
// the command of the deploy file, and the stand-ins that they talk to.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "review/second/cloud.h"
#include "review/second/record.h"
#include "review/second/state_service.h"
#include "review/second/worker.h"

namespace oxbow::review {

struct Team {
  std::string name;
  double cores = 0;
  double most_cores = 0;
  double accelerators = 0;
  double most_accelerators = 0;
};

// A deployment as its site file describes it.
struct Site {
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::string objectives;  // as in the settings, JSON
  std::vector<MachineType> types;
  WorkerTiming workers;
  double cancel_seconds = 40;
  StateLimits state;
  CloudSettings cloud;
  double cpu_share = 0.08;
  double memory_mb = 56;
  int max_sockets = 700;
};

// How a case ends: the exit status of its script.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

class Deployment {
 public:
  Deployment(const Site& site, const std::string& record_path);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  net::Loop& loop() { return loop_; }
  Record& record() { return record_; }
  Fleet& fleet() { return fleet_; }
  Cloud& cloud() { return cloud_; }
  double Now() const { return record_.Now(); }

  // Starts the controllers and waits until all are ready. False: they are not
  // within 20 s.
  net::Task<bool> StartControllers();
  // Whether a controller has ended by itself.
  bool AnyEnded();
  // The user submits the job until it is accepted, and then asks about it until
  // it is called done.
  void Submit(const Job& job);
  const JobAccount& account(const std::string& id) const {
    return fleet_.jobs.at(id);
  }

 private:
  struct Controller {
    std::string name;
    std::string zone;
    net::Address users;
    net::Address peers;
    std::string settings_path;
    pid_t pid = -1;
    std::unique_ptr<net::HttpClient> client;
  };

  std::string SettingsOf(const Controller& controller) const;
  void Launch(Controller& controller);
  net::Task<void> ActAsUser(std::string id);
  net::Task<net::ClientResult> Ask(size_t controller, std::string method,
                                   std::string path, std::string body,
                                   double timeout_seconds);

  net::Loop loop_;
  Record record_;
  const Site site_;
  Fleet fleet_;
  StateService state_;
  Cloud cloud_;
  std::string directory_;
  std::vector<Controller> controllers_;
  size_t next_ = 0;  // the controller that the load balancer picks next
};

// Whether the case is to be run with its disruption: not if TROUBLE=0.
bool WithTrouble();
// Runs the scenario to its end and returns the exit status of the case.
int Finish(Deployment& deployment, net::Task<Verdict> scenario);

}  // namespace oxbow::review
