#include "net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace oxbow::net {
namespace {

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

// Waits until a descriptor is readable or writable, or until the deadline.
struct FdAwaiter {
  Loop& loop;
  std::coroutine_handle<>& slot;
  Time deadline;
  bool timed_out = false;
  Loop::TimerId timer{};

  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    slot = handle;
    timer = loop.At(deadline, [this] {
      timed_out = true;
      std::exchange(slot, {}).resume();
    });
  }
  void await_resume() {
    if (!timed_out) loop.Cancel(timer);
  }
};

}  // namespace

bool ParseAddress(std::string_view text, Address* out) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  out->ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  unsigned value = 0;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), value);
  if (error != std::errc() || end != port.data() + port.size() || value == 0 ||
      value > 65535) {
    return false;
  }
  out->port = static_cast<uint16_t>(value);
  in_addr parsed{};
  return inet_pton(AF_INET, out->ip.c_str(), &parsed) == 1;
}

Socket::Socket(Loop& loop, int fd) : loop_(loop), fd_(fd) {
  const int one = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  loop_.Register(fd_, &waiters_);
}

Socket::~Socket() {
  loop_.Unregister(fd_, &waiters_);
  close(fd_);
}

Task<std::unique_ptr<Socket>> Socket::Connect(Loop& loop, Address address,
                                              Time deadline, bool urgent) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return nullptr;
  const sockaddr_in target = ToSockaddr(address);
  const int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  if (result != 0 && errno != EINPROGRESS) {
    close(fd);
    co_return nullptr;
  }
  auto out = std::make_unique<Socket>(loop, fd);
  out->waiters_.urgent = urgent;
  if (result != 0) {
    const bool ready = co_await out->WaitWritable(deadline);
    int error = 0;
    socklen_t size = sizeof(error);
    if (!ready || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      co_return nullptr;
    }
  }
  co_return out;
}

Task<bool> Socket::WaitReadable(Time deadline) {
  if (!waiters_.readable && !read_cancelled_) {
    if (loop_.Now() >= deadline) co_return false;
    FdAwaiter awaiter{loop_, waiters_.reader, deadline};
    co_await awaiter;
    if (awaiter.timed_out) co_return false;
  }
  co_return !read_cancelled_;
}

Task<bool> Socket::WaitWritable(Time deadline) {
  if (!waiters_.writable) {
    if (loop_.Now() >= deadline) co_return false;
    FdAwaiter awaiter{loop_, waiters_.writer, deadline};
    co_await awaiter;
    if (awaiter.timed_out) co_return false;
  }
  co_return true;
}

Task<ssize_t> Socket::Read(char* buffer, size_t size, Time deadline) {
  // Waits before the first read: on a request-response connection the data has
  // seldom arrived yet, and a read without data wastes a system call.
  for (;;) {
    const bool ready = co_await WaitReadable(deadline);
    if (!ready) co_return -1;
    const ssize_t n = recv(fd_, buffer, size, 0);
    if (n >= 0) {
      // A short read has emptied the kernel's buffer: the next edge will report
      // new data.
      if (n > 0 && static_cast<size_t>(n) < size && !waiters_.hangup) {
        waiters_.readable = false;
      }
      co_return n;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN) co_return -1;
    waiters_.readable = false;
  }
}

Task<bool> Socket::Write(std::string_view data, Time deadline) {
  while (!data.empty()) {
    const ssize_t n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n > 0) {
      data.remove_prefix(static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno == EAGAIN) {
      waiters_.writable = false;
      const bool ready = co_await WaitWritable(deadline);
      if (!ready) co_return false;
      continue;
    }
    co_return false;
  }
  co_return true;
}

void Socket::CancelRead() {
  read_cancelled_ = true;
  if (waiters_.reader) std::exchange(waiters_.reader, {}).resume();
}

bool Socket::HasInput() {
  char byte;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Socket::PeerClosed() {
  if (!waiters_.readable) return false;
  char byte;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN) {
    waiters_.readable = false;
    return false;
  }
  // Unexpected bytes make an idle connection as unusable as its end does.
  return true;
}

namespace {

int OpenListener(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "socket");
  }
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in local = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(fd, 512) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(),
                            "listen on " + address.ToString());
  }
  return fd;
}

}  // namespace

Listener::Listener(Loop& loop, const Address& address)
    : loop_(loop), socket_(loop, OpenListener(address)) {}

uint16_t Listener::port() const {
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&local), &size);
  return ntohs(local.sin_port);
}

Task<std::unique_ptr<Socket>> Listener::Accept() {
  constexpr Time kForever = 1e18;
  for (;;) {
    const int fd =
        accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) co_return std::make_unique<Socket>(loop_, fd);
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EAGAIN) {
      socket_.waiters_.readable = false;
      co_await socket_.WaitReadable(kForever);
      continue;
    }
    co_return nullptr;
  }
}

}  // namespace oxbow::net
