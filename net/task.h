// The coroutine type of the project: it starts lazily, and is either awaited by
// one owner or detached with Spawn().
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace oxbow::net {

template <typename T>
class [[nodiscard]] Task;

namespace internal {

// Common part of all promises: the awaiting coroutine and the exception, if
// any, that is passed on to it.
struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine();
  std::exception_ptr error;

  struct FinalAwaiter {
    bool await_ready() const noexcept { return false; }
    template <typename Promise>
    std::coroutine_handle<> await_suspend(
        std::coroutine_handle<Promise> self) noexcept {
      return self.promise().continuation;
    }
    void await_resume() const noexcept {}
  };

  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

template <typename T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T v) { value.emplace(std::move(v)); }
  T Take() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void Take() {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace internal

// Owns a suspended coroutine, which starts when it is awaited and may be
// awaited once. An argument passed by reference must outlive the coroutine.
template <typename T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = internal::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&&) = delete;
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(
      std::coroutine_handle<> awaiting) noexcept {
    handle_.promise().continuation = awaiting;
    return handle_;
  }
  T await_resume() { return handle_.promise().Take(); }

 private:
  Handle handle_;
};

namespace internal {

template <typename T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}

inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

// A coroutine that nothing awaits; it frees itself. An exception that reaches
// it is a defect, so the process terminates instead of continuing without a
// part of its work.
struct Detached {
  struct promise_type {
    Detached get_return_object() { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { std::terminate(); }
  };
};

inline Detached RunDetached(Task<void> task) { co_await std::move(task); }

}  // namespace internal

// Starts the coroutine at once and lets it run without an owner: the coroutine
// must keep everything alive that it uses.
inline void Spawn(Task<void> task) { internal::RunDetached(std::move(task)); }

}  // namespace oxbow::net
