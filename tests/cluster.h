// A cluster on loopback for tests: real controllers as processes, three by
// default, which a test can kill and start again, and stand-ins for the
// workers, the key-value store and the cloud.
#pragma once

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/link.h"
#include "tests/stand_ins.h"
#include "wire/json.h"

namespace oxbow::test {

inline constexpr int kControllers = 3;
inline constexpr double kLease = 6;     // of a worker, s
inline constexpr double kReport = 0.3;  // between a worker's reports, s

// The program that a controller runs, and the directory with the operators'
// tuning files that belong to this version of it.
struct Program {
  std::string path = OXBOW_PROGRAM;
  std::string deploy = OXBOW_DEPLOY;
};

class Cluster {
 public:
  // `tuning` is the name of a tuning file in the program's deploy directory.
  // `program` is what every controller runs until SetProgram changes it.
  Cluster(uint64_t seed, std::string tuning, int controllers = kControllers,
          const Program& program = {})
      : random(seed),
        controllers_(controllers),
        tuning_(std::move(tuning)),
        programs_(controllers, program),
        state_(loop),
        cloud_(loop) {
    cloud_.listed = [this] {
      std::string all;
      for (const auto& w : workers) {
        if (!all.empty()) all += ",";
        all += w->ListItem();
      }
      return all;
    };
    cloud_.on_delete = [this](const std::string& host) {
      for (const auto& w : workers) {
        if (w->host() != host) continue;
        deleted_alive_ += w->present() > 0;
        w->Die();
      }
      std::erase_if(workers, [&](const auto& w) {
        if (w->host() != host) return false;
        deleted_workers_.push_back(w);
        return true;
      });
    };
    for (int i = 0; i < controllers_; ++i) {
      listen_.push_back(Local(FreePort()));
      back_.push_back(Local(FreePort()));
    }
    for (int i = 0; i < controllers_; ++i) {
      const auto way = [this](const net::Address& to) {
        return std::make_unique<Link>(loop, to);
      };
      outgoing_links_.emplace_back();
      outgoing_links_[i].push_back(way(Local(state_.port())));
      for (int to = 0; to < controllers_; ++to) {
        if (to != i) outgoing_links_[i].push_back(way(back_[to]));
      }
    }
    for (int i = 0; i < controllers_; ++i) {
      WriteSettings(i);
      std::remove((ConfigOf(i) + ".log").c_str());
      pids_.push_back(-1);
      Launch(i);
      clients_.push_back(
          std::make_unique<net::HttpClient>(loop, listen_[i], 100'000, 1));
    }
    for (int i = 0; i < 6; ++i) AddWorker();
  }
  ~Cluster() {
    for (int i = 0; i < controllers_; ++i) Kill(i);
  }

  void AddWorker() {
    ++added_;
    std::vector<std::pair<std::string, net::Address>> controllers;
    for (int i = 0; i < controllers_; ++i) {
      controllers.emplace_back(Name(i), listen_[i]);
    }
    workers.push_back(std::make_shared<FakeWorker>(
        loop, fmt::format("n-{:06}", added_),
        fmt::format("127.0.{}.{}", 1 + added_ / 200, 1 + added_ % 200),
        added_ % 2 ? "a" : "b",
        FakeWorker::Timing{kReport, kLease, health_port},
        std::move(controllers), cues));
    workers.back()->Start();
  }

  static std::string Name(int i) { return fmt::format("c-{}", i); }
  int Leader() const {
    rapidjson::Document doc;
    doc.Parse(state_.Value("ob/live/leader").c_str());
    for (int i = 0; i < controllers_; ++i) {
      if (json::GetString(doc, "node") == Name(i)) return i;
    }
    return -1;
  }
  void Kill(int i) {
    if (pids_[i] <= 0) return;
    kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
    pids_[i] = -1;
  }
  // Sets the program that a controller runs from its next launch on.
  void SetProgram(int i, const Program& program) { programs_[i] = program; }
  void Launch(int i) {
    const std::string config = ConfigOf(i);
    const std::string log = config + ".log";
    const Program& program = programs_[i];
    const std::string conf = program.deploy + "/" + tuning_;
    const pid_t pid = fork();
    ASSERT_GE(pid, 0);
    if (pid == 0) {
      // The controller ends with the test process, even if the test crashes.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, STDERR_FILENO);
      execl(program.path.c_str(), program.path.c_str(), "serve", "--config",
            config.c_str(), "--tuning", conf.c_str(), nullptr);
      _exit(127);
    }
    pids_[i] = pid;
  }
  // Returns whether a controller has ended without Kill.
  bool AnyDied() {
    for (pid_t& pid : pids_) {
      if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
        pid = -1;
        return true;
      }
    }
    return false;
  }

  // Cuts a controller off from the key-value store and from the other
  // controllers in both directions, or connects it again. Users and workers
  // reach it all the time.
  void Isolate(int i, bool cut) {
    for (int from = 0; from < controllers_; ++from) {
      for (int way = 0; way < controllers_; ++way) {
        // The first link of a controller leads to the key-value store.
        const int to = way == 0 ? -1 : way <= from ? way - 1 : way;
        if (from == i || to == i) outgoing_links_[from][way]->Cut(cut);
      }
    }
  }
  const std::vector<net::Address>& listen() const { return listen_; }

  // Sends a request as users do: to another controller every 0.1 s, until one
  // gives an answer other than 429, 503 or 504. Gives up after 300 tries.
  net::Task<net::ClientResult> Ask(std::string method, std::string path,
                                   std::string body) {
    net::ClientResult answer;
    for (int i = 0; i < 300; ++i) {
      answer = co_await clients_[next_++ % clients_.size()]->Request(
          method, path, body, 3);
      if (answer.outcome == net::Outcome::kAnswered && answer.status != 503 &&
          answer.status != 429 && answer.status != 504) {
        break;
      }
      co_await loop.Sleep(0.1);
    }
    co_return answer;
  }

  // Sends one request to one controller, which may not answer.
  net::Task<net::ClientResult> AskOne(int i, std::string method,
                                      std::string path, std::string body) {
    co_return co_await clients_[i]->Request(method, path, body, 3);
  }

  int SessionsLost() const {
    int n = 0;
    for (const auto& w : workers) n += w->sessions_lost();
    return n;
  }
  // The number of machines that were deleted while tasks ran on them.
  int deleted_alive() const { return deleted_alive_; }

  // The number of healthy tasks of the job.
  int Well(const std::string& job) const {
    int n = 0;
    for (const auto& w : workers) n += w->Well(job);
    return n;
  }
  // The number of unhealthy tasks of the job.
  int Sick(const std::string& job) const {
    int n = 0;
    for (const auto& w : workers) n += w->Sick(job);
    return n;
  }
  // The number of tasks of the job on all machines.
  int Present(const std::string& job) const {
    int n = 0;
    for (const auto& w : workers) n += w->Present(job);
    return n;
  }
  // The number of tasks of the job that have completed on any worker.
  size_t Completed(const std::string& job) const {
    std::set<uint32_t> tasks;
    for (const auto& w : workers) tasks.merge(w->Completed(job));
    return tasks.size();
  }

  net::Loop loop;
  // A port that is free on one loopback address is very likely free on the
  // addresses of the workers too.
  const uint16_t health_port = FreePort();
  std::mt19937_64 random;
  std::map<std::string, Cue> cues;
  std::vector<std::shared_ptr<FakeWorker>> workers;
  FakeKeyValueStore& state() { return state_; }

 private:
  std::string ConfigOf(int i) const {
    return testing::TempDir() +
           fmt::format("oxbow-{}-{}.json", getpid(), Name(i));
  }
  void WriteSettings(int i) {
    std::string known;
    for (int other = 0, way = 1; other < controllers_; ++other) {
      if (other == i) continue;
      if (!known.empty()) known += ",";
      known += fmt::format(R"({{"host_name":"{}","site":"a","address":"{}"}})",
                           Name(other),
                           Local(outgoing_links_[i][way++]->port()).ToString());
    }
    std::ofstream(ConfigOf(i)) << fmt::format(
        R"({{"host_name":"{}","site":"a","public_addr":"{}","back":"{}",
        "known":[{}],"outside":{{"cloud":"{}","state":"{}"}},
        "cluster":{{"count":{},"zones":["a","b"],
        "teams":[{{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":0.0,
        "gpus_max":0.0}}],"objectives":[],
        "workers":{{"report_s":{},"lease_s":{},"gang_wait_s":40.0,
        "gang_peer_s":4.0,"cancel_s":40.0}},
        "state":{{"rps":2000.0,"write_rps":1000.0,"value_kb":8.0,
        "txn_ops":16}},"cloud":{{"rps":20.0,"list_lag_s":1.0}},
        "quota":{{"cpu":0.5,"mem_mb":256.0,"max_sockets":700}},
        "clock_error_ms":25.0}}}})",
        Name(i), listen_[i].ToString(), back_[i].ToString(), known,
        Local(cloud_.port()).ToString(),
        Local(outgoing_links_[i][0]->port()).ToString(), controllers_, kReport,
        kLease);
  }

  const int controllers_;
  const std::string tuning_;
  std::vector<Program> programs_;
  FakeKeyValueStore state_;
  FakeCloud cloud_;
  std::vector<net::Address> listen_;
  std::vector<net::Address> back_;
  // The links of each controller: to the key-value store first, then to the
  // other controllers in order.
  std::vector<std::vector<std::unique_ptr<Link>>> outgoing_links_;
  std::vector<pid_t> pids_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::vector<std::shared_ptr<FakeWorker>> deleted_workers_;
  size_t next_ = 0;
  int deleted_alive_ = 0;
  int added_ = 0;
};

}  // namespace oxbow::test
