#include "net/semaphore.h"

namespace oxbow::net {

Task<bool> Semaphore::Acquire(Time timeout_seconds) {
  if (free_ > 0) {
    --free_;
    co_return true;
  }
  if (timeout_seconds <= 0) co_return false;
  auto granted = std::make_shared<Event>(loop_);
  const auto position = waiting_.insert(waiting_.end(), granted);
  const bool in_time = co_await granted->Wait(timeout_seconds);
  // Release() has already removed a waiter that it granted a place.
  if (!in_time) waiting_.erase(position);
  co_return in_time;
}

void Semaphore::Release() {
  if (waiting_.empty()) {
    ++free_;
    return;
  }
  const std::shared_ptr<Event> granted = waiting_.front();
  waiting_.pop_front();
  granted->Set();
}

}  // namespace oxbow::net
