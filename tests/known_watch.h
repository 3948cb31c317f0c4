// Polls the status of every job as users do, throughout a test with real
// controllers. The test fails when a job gets no answer for too long, when an
// answer is older than one given before, or when an accepted job neither runs
// nor is known to the controllers.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "net/loop.h"
#include "tests/known_account.h"

namespace oxbow::test {

class KnownWatch {
 public:
  // Returns the time in seconds without an answer after which a job counts as
  // forgotten: 75 s at the deployments' lease of 10 s, and in proportion at a
  // shorter lease. OXBOW_FORGOTTEN_S overrides it; the long form sets 75.
  static double ForgottenAfter(double lease_seconds) {
    const char* text = std::getenv("OXBOW_FORGOTTEN_S");
    constexpr double kLeases = 7.5;
    return text == nullptr ? kLeases * lease_seconds
                           : std::strtod(text, nullptr);
  }

  // `present` returns how many tasks of a job are on the machines.
  KnownWatch(net::Loop& loop, std::vector<net::Address> controllers,
             double lease_seconds, uint64_t seed,
             std::function<int(const std::string&)> present)
      : account(ForgottenAfter(lease_seconds)),
        forgotten_seconds_(ForgottenAfter(lease_seconds)),
        loop_(loop),
        controllers_(std::move(controllers)),
        poll_seconds_(0.2 * lease_seconds),
        random_(seed),
        present_(std::move(present)) {}

  void Accepted(const std::string& id) {
    account.Accepted(id, loop_.Now());
    AskAbout(id);
  }
  void CancelAsked(const std::string& id) { account.CancelAsked(id); }
  void Cancelled(const std::string& id) {
    account.Ended(id, "aborted", loop_.Now());
  }
  void NeverSubmitted(const std::string& id) {
    account.NeverSubmitted(id);
    AskAbout(id);
  }
  void Trouble() { account.Trouble(loop_.Now()); }

  // Checks the account until Finish ends it. To be spawned once.
  net::Task<void> Run() {
    double last = loop_.Now();
    while (!over_) {
      co_await loop_.Sleep(0.1 * poll_seconds_);
      const double now = loop_.Now();
      // If this coroutine was not scheduled for so long, the test machine was
      // overloaded, and the silence is not the controllers' fault.
      if (now > last + poll_seconds_) account.Trouble(now);
      last = now;
      longest_ = std::max(longest_, account.LongestSilence(now));
      for (const std::string& id : account.Forgotten(now)) {
        if (told_.insert(id).second) {
          ADD_FAILURE() << id << " is forgotten: no question about it was "
                        << "answered for " << forgotten_seconds_ << " s";
        }
      }
    }
  }
  // To be called when the faults are over. Waits until every job has got one
  // more answer, or for as long as a job may go without one, and then fails for
  // each accepted job that neither runs nor is known.
  net::Task<void> Finish() {
    const double from = loop_.Now();
    while (!account.Unheard(from).empty() &&
           loop_.Now() < from + forgotten_seconds_) {
      co_await loop_.Sleep(0.1 * poll_seconds_);
    }
    for (const std::string& id : account.Unheard(from)) {
      if (account.Lives(id) && present_(id) == 0) {
        ADD_FAILURE() << id << " was accepted, and neither runs nor is known";
      }
    }
    over_ = true;
  }
  double longest_silence() const { return longest_; }
  int answers() const { return answers_; }

  KnownAccount account;

 private:
  void AskAbout(const std::string& id) {
    if (asked_.insert(id).second) net::Spawn(Ask(id));
  }
  // Polls as one user. It keeps its controller while the connection lasts,
  // whatever the answers are, as it would behind a load balancer that balances
  // connections.
  net::Task<void> Ask(std::string id) {
    std::uniform_real_distribution<double> pause(0.5 * poll_seconds_,
                                                 1.5 * poll_seconds_);
    constexpr double kTimeoutSeconds = 2;
    std::unique_ptr<net::HttpClient> client;
    while (!over_) {
      if (client == nullptr) {
        const net::Address& to = controllers_[random_() % controllers_.size()];
        client = std::make_unique<net::HttpClient>(loop_, to, 100'000, 1);
      }
      const double asked = loop_.Now();
      const net::ClientResult answer = co_await client->Request(
          "GET", "/v2/runs/" + id, "", kTimeoutSeconds);
      if (over_) break;
      if (answer.outcome != net::Outcome::kAnswered) {
        client.reset();
      } else {
        ++answers_;
        const std::string wrong =
            account.Heard(id, answer.status, answer.body, asked, loop_.Now());
        if (!wrong.empty()) ADD_FAILURE() << wrong;
      }
      co_await loop_.Sleep(pause(random_));
    }
  }

  const double forgotten_seconds_;
  net::Loop& loop_;
  const std::vector<net::Address> controllers_;
  const double poll_seconds_;
  std::mt19937_64 random_;
  std::function<int(const std::string&)> present_;
  std::set<std::string> asked_;
  std::set<std::string> told_;
  double longest_ = 0;
  int answers_ = 0;
  bool over_ = false;
};

}  // namespace oxbow::test
