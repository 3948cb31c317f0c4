// A small deployment: three controllers, the stand-ins and a user.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "review/platform.h"

namespace review {

// The figures of a deployment; those of the operators' page for Citra.
struct Size {
  int controllers = 3;
  std::vector<std::string> zones = {"kingston", "mandeville", "mobay"};
  std::string teams;  // JSON, the elements of the list
  double report_s = 1;
  double lease_s = 10;
  double cancel_s = 40;
  int txn_ops = 24;
  double cloud_rps = 8;
  double list_lag_s = 5;
  double cpu = 0.08;
  int sockets = 700;
  std::string flavors;  // the answer to GET /flavors
};

// What a user submits beside what the workers have to know of a job.
struct Submission {
  Job job;
  std::string duty;
  std::string crew;
  std::string standing = "standard";
  bool scatter = false;
  std::string waits_on;  // the id of a job; empty: none
};

class Deployment {
 public:
  // `folder`: for the settings and logs. `record`: the path of record.txt.
  Deployment(Loop& loop, Size size, const std::string& folder,
             const std::string& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Worker& AddWorker(const std::string& fleet, const std::string& yard,
                    double cores, double memory_gb);
  // Waits until the controllers are ready; false if that takes too long.
  Task<bool> Ready(double within_s);
  // One request of a user to one controller, with the user's time limit.
  Task<ClientResult> Ask(int controller, std::string method, std::string path,
                         std::string body);
  // Submits as users do: another controller after a pause, for up to 60 s.
  Task<bool> Submit(Submission submission);
  // Polls at one controller after the other until one answers 200 or 404.
  Task<std::string> Poll(std::string id, double within_s);
  int Leader() const;

  StateService& state() { return state_; }
  Cloud& cloud() { return cloud_; }
  Account& account() { return account_; }
  Record& record() { return record_; }
  std::vector<Controller>& controllers() { return controllers_; }

 private:
  void WriteSettings(const Controller& controller) const;

  Loop& loop_;
  const Size size_;
  const std::string folder_;
  Record record_;
  Account account_;
  StateService state_;
  Cloud cloud_;
  std::vector<Controller> controllers_;
  std::vector<std::unique_ptr<oxbow::net::HttpClient>> clients_;
  int added_ = 0;
  size_t next_ = 0;
};

}  // namespace review
