// Single-threaded event loop: epoll for sockets, an ordered map for timers.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "net/task.h"

namespace oxbow::net {

// A time or duration of the steady clock in seconds, the time unit of the whole
// project.
using Time = double;
// The current time in seconds: of the steady clock, and of the wall clock since
// 1970.
Time SteadyNow();
Time WallNow();

// Waiting coroutines and readiness of one registered descriptor. Events are
// edge-triggered: after EAGAIN the coroutine waits for the next edge.
struct FdWaiters {
  std::coroutine_handle<> reader;
  std::coroutine_handle<> writer;
  bool readable = false;
  bool writable = false;
  // The peer has closed the connection. epoll reports this only once.
  bool hangup = false;
  // Handled before all ready descriptors that are not urgent.
  bool urgent = false;
  bool queued = false;  // is in one of the loop's queues
};

// Runs callbacks and coroutines on one thread. Not thread-safe. A callback that
// takes long delays all sockets and other callbacks.
class Loop {
 public:
  using TimerMap = std::multimap<Time, std::function<void()>>;
  using TimerId = TimerMap::iterator;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  void Stop() { stopped_ = true; }

  // The longest time that callbacks have taken between two polls of the
  // sockets.
  Time longest_stall() const { return longest_stall_; }

  // The time of the last wake-up or Refresh(); makes no system call.
  Time Now() const { return now_; }
  Time Refresh() { return now_ = SteadyNow(); }

  TimerId At(Time when, std::function<void()> callback);
  void Cancel(TimerId id) { timers_.erase(id); }
  // Runs the callback on the next turn of the loop.
  void Post(std::function<void()> callback);

  void Register(int fd, FdWaiters* waiters);
  void Unregister(int fd, FdWaiters* waiters);

  struct SleepAwaiter {
    Loop& loop;
    Time seconds;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle) {
      loop.At(loop.Now() + seconds, [handle] { handle.resume(); });
    }
    void await_resume() const noexcept {}
  };
  SleepAwaiter Sleep(Time seconds) { return {*this, seconds}; }

 private:
  void RunTimers();
  void RunPosted();
  // Queues the descriptors that epoll reports, waiting at most `wait_ms`
  // milliseconds for the first.
  void Collect(int wait_ms);
  // Resumes the coroutines that wait for the first descriptor of the queue.
  void Resume(std::deque<FdWaiters*>& queue);

  int epoll_fd_;
  bool stopped_ = false;
  Time now_;
  Time longest_stall_ = 0;
  TimerMap timers_;
  std::deque<std::function<void()>> posted_;
  // Descriptors with events, in the order in which the events arrived.
  std::deque<FdWaiters*> urgent_;
  std::deque<FdWaiters*> ready_;
  FdWaiters* current_ = nullptr;  // being resumed; null once it is closed
};

// One-shot event that one coroutine may await with a time limit.
class Event {
 public:
  explicit Event(Loop& loop) : loop_(loop) {}
  void Set();
  bool IsSet() const { return set_; }
  void Clear() { set_ = false; }
  // Whether the event was set before the time had passed.
  Task<bool> Wait(Time seconds);

 private:
  Loop& loop_;
  bool set_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace oxbow::net
