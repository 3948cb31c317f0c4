// The event loop: epoll for sockets, an ordered map for timers. One thread.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "net/task.h"

namespace oxbow::net {

// Steady time in seconds, the unit of the whole project.
using Time = double;
// Seconds of the steady clock; of the wall clock since 1970.
Time SteadyNow();
Time WallNow();

// Waiters of one registered descriptor. Edge-triggered: a socket operation is
// tried first and waits here only after EAGAIN.
struct FdWaiters {
  std::coroutine_handle<> reader;
  std::coroutine_handle<> writer;
  bool readable = false;
  bool writable = false;
  // The other side has closed: reported once, so it has to be remembered.
  bool hangup = false;
  // Goes before all others that are ready.
  bool urgent = false;
  bool queued = false;  // stands in one of the loop's queues
};

// Runs callbacks and coroutines of one thread. Not thread-safe. Callbacks run
// between two looks at the sockets; one that takes long delays all others.
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

  // The longest time that callbacks have taken between two looks at the
  // sockets.
  Time longest_stall() const { return longest_stall_; }

  // Time at the latest wake-up or call of Refresh(); cheap.
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
  // Takes over what the system has, without waiting longer than that.
  void Collect(int wait_ms);
  // Resumes whoever waits for the first of the queue.
  void Resume(std::deque<FdWaiters*>& queue);

  int epoll_fd_;
  bool stopped_ = false;
  Time now_;
  Time longest_stall_ = 0;
  TimerMap timers_;
  std::deque<std::function<void()>> posted_;
  // Descriptors with news, in the order of its coming.
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
  // True when set, false when the time ran out.
  Task<bool> Wait(Time seconds);

 private:
  Loop& loop_;
  bool set_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace oxbow::net
