// Lets requests wait until a job's terminal state is recorded. Owned by
// LeaderRuntime.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/job.h"
#include "net/loop.h"

namespace oxbow::app {

// The waiting requests of one LeaderRuntime, by job.
class TerminalStateWaiters {
 public:
  struct Waiter {
    explicit Waiter(net::Loop& loop) : event(loop) {}
    net::Event event;
    TerminalState state = TerminalState::kNone;
  };

  explicit TerminalStateWaiters(net::Loop& loop) : loop_(loop) {}

  // Registers a waiter, which the caller shares. It stays registered until it
  // is notified or removed.
  std::shared_ptr<Waiter> Add(const std::string& job_id);
  void Remove(const std::string& job_id, const std::shared_ptr<Waiter>& waiter);
  // Wakes and unregisters all waiters of the job.
  void Notify(const JobTerminated& terminated);

 private:
  net::Loop& loop_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Waiter>>>
      waiters_;
};

}  // namespace oxbow::app
