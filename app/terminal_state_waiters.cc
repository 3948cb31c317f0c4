#include "app/terminal_state_waiters.h"

namespace oxbow::app {

std::shared_ptr<TerminalStateWaiters::Waiter> TerminalStateWaiters::Add(
    const std::string& job_id) {
  auto waiter = std::make_shared<Waiter>(loop_);
  waiters_[job_id].push_back(waiter);
  return waiter;
}

void TerminalStateWaiters::Remove(const std::string& job_id,
                                  const std::shared_ptr<Waiter>& waiter) {
  const auto it = waiters_.find(job_id);
  if (it == waiters_.end()) return;
  std::erase(it->second, waiter);
  if (it->second.empty()) waiters_.erase(it);
}

void TerminalStateWaiters::Notify(const JobTerminated& terminated) {
  const auto it = waiters_.find(terminated.id);
  if (it == waiters_.end()) return;
  for (const auto& waiter : it->second) {
    waiter->state = terminated.state;
    waiter->event.Set();
  }
  waiters_.erase(it);
}

}  // namespace oxbow::app
