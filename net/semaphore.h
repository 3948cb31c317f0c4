// A counting semaphore for the coroutines of one event loop.
#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include "net/loop.h"
#include "net/task.h"

namespace oxbow::net {

// Grants places in the order of the requests. The semaphore must outlive the
// coroutines that wait for it.
class Semaphore {
 public:
  Semaphore(Loop& loop, size_t places) : loop_(loop), free_(places) {}

  // Whether a place was acquired in time. The caller must give it back with
  // Release().
  Task<bool> Acquire(Time timeout_seconds);
  void Release();
  size_t waiting() const { return waiting_.size(); }

 private:
  Loop& loop_;
  size_t free_;
  std::list<std::shared_ptr<Event>> waiting_;  // in the order of service
};

}  // namespace oxbow::net
