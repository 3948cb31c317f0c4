#include "net/loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>
#include <utility>

namespace oxbow::net {

Time SteadyNow() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Time WallNow() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Loop::Loop() : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)), now_(SteadyNow()) {
  if (epoll_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

Loop::~Loop() { close(epoll_fd_); }

Loop::TimerId Loop::At(Time when, std::function<void()> callback) {
  return timers_.emplace(when, std::move(callback));
}

void Loop::Post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
}

void Loop::Register(int fd, FdWaiters* waiters) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = waiters;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void Loop::Unregister(int fd, FdWaiters* waiters) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  if (waiters->queued) {
    std::erase(urgent_, waiters);
    std::erase(ready_, waiters);
  }
  if (current_ == waiters) current_ = nullptr;
}

void Loop::RunTimers() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    auto callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

void Loop::RunPosted() {
  // Runs only callbacks that were posted before this turn: a callback that
  // posts another must not starve the sockets.
  for (size_t n = posted_.size(); n > 0; --n) {
    auto callback = std::move(posted_.front());
    posted_.pop_front();
    callback();
  }
}

void Loop::Collect(int wait_ms) {
  std::array<epoll_event, 256> events;
  const int n = epoll_wait(epoll_fd_, events.data(),
                           static_cast<int>(events.size()), wait_ms);
  for (int i = 0; i < n; ++i) {
    auto* waiters = static_cast<FdWaiters*>(events[i].data.ptr);
    const uint32_t bits = events[i].events;
    if (bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
      waiters->readable = true;
    }
    if (bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) waiters->hangup = true;
    if (bits & (EPOLLOUT | EPOLLHUP | EPOLLERR)) waiters->writable = true;
    if (!std::exchange(waiters->queued, true)) {
      (waiters->urgent ? urgent_ : ready_).push_back(waiters);
    }
  }
}

void Loop::Resume(std::deque<FdWaiters*>& queue) {
  current_ = queue.front();
  queue.pop_front();
  current_->queued = false;
  if (current_->readable && current_->reader) {
    std::exchange(current_->reader, {}).resume();
  }
  // The resumed coroutine may have closed the descriptor.
  if (current_ != nullptr && current_->writable && current_->writer) {
    std::exchange(current_->writer, {}).resume();
  }
  current_ = nullptr;
}

void Loop::Run() {
  // The number of ready descriptors handled before the loop checks timers and
  // urgent descriptors again. Without this limit, the answer to a lease renewal
  // that was queued behind three hundred worker reports was handled only after
  // the lease had expired.
  constexpr int kMaxReadyPerTurn = 16;
  Time woke_at = Refresh();
  while (!stopped_) {
    Refresh();
    RunTimers();
    RunPosted();
    if (stopped_) return;
    int wait_ms = 1000;
    if (!posted_.empty() || !ready_.empty()) {
      wait_ms = 0;
    } else if (!timers_.empty()) {
      const Time left = timers_.begin()->first - now_;
      wait_ms =
          static_cast<int>(std::clamp(std::ceil(left * 1000.0), 0.0, 1000.0));
    }
    longest_stall_ = std::max(longest_stall_, Refresh() - woke_at);
    Collect(wait_ms);
    woke_at = Refresh();
    while (!urgent_.empty()) Resume(urgent_);
    for (int i = 0; i < kMaxReadyPerTurn && !ready_.empty(); ++i)
      Resume(ready_);
  }
}

void Event::Set() {
  if (set_) return;
  set_ = true;
  if (waiter_) {
    auto waiter = std::exchange(waiter_, {});
    loop_.Post([waiter] { waiter.resume(); });
  }
}

namespace {

struct EventAwaiter {
  std::coroutine_handle<>& slot;
  Loop& loop;
  Time seconds;
  bool timed_out = false;
  bool armed = false;
  Loop::TimerId timer{};

  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    slot = handle;
    armed = true;
    timer = loop.At(loop.Now() + seconds, [this] {
      armed = false;
      if (!slot) return;  // already woken by Set()
      timed_out = true;
      std::exchange(slot, {}).resume();
    });
  }
  void await_resume() {
    if (armed) loop.Cancel(timer);
  }
};

}  // namespace

Task<bool> Event::Wait(Time seconds) {
  if (!set_) {
    EventAwaiter awaiter{waiter_, loop_, seconds};
    co_await awaiter;
  }
  co_return set_;
}

}  // namespace oxbow::net
