// Requests that wait for a job's terminal state to be recorded. Belongs to the
// leader's runtime.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/job.h"
#include "net/loop.h"

namespace oxbow::app {

// The waiters of one leader's runtime, by job.
class TerminalStateWaiters {
 public:
  struct Waiter {
    explicit Waiter(net::Loop& loop) : event(loop) {}
    net::Event event;
    TerminalState state = TerminalState::kNone;
  };

  explicit TerminalStateWaiters(net::Loop& loop) : loop_(loop) {}

  // The waiter counts until it is notified or removed; the caller shares it.
  std::shared_ptr<Waiter> Add(const std::string& job_id);
  void Remove(const std::string& job_id, const std::shared_ptr<Waiter>& waiter);
  // Wakes all that wait for the job.
  void Notify(const JobTerminated& terminated);

 private:
  net::Loop& loop_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Waiter>>>
      waiters_;
};

}  // namespace oxbow::app
