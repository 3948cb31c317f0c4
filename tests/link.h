// A TCP proxy between two processes of a test. While the link is cut, it holds
// back all data; afterwards it delivers them in order. A connection that is
// opened during a cut gets no answer until the cut ends.
#pragma once

#include <sys/socket.h>

#include <array>
#include <memory>
#include <string_view>
#include <utility>

#include "net/loop.h"
#include "net/socket.h"

namespace oxbow::test {

class Link {
 public:
  Link(net::Loop& loop, net::Address to)
      : loop_(loop), to_(std::move(to)), listener_(loop, {"127.0.0.1", 0}) {
    net::Spawn(Accept());
  }
  uint16_t port() const { return listener_.port(); }
  void Cut(bool cut) { cut_ = cut; }

 private:
  using SocketPtr = std::shared_ptr<net::Socket>;

  net::Task<void> Accept() {
    for (;;) {
      SocketPtr near = co_await listener_.Accept();
      net::Spawn(Join(std::move(near)));
    }
  }
  net::Task<void> Join(SocketPtr near) {
    while (cut_) co_await loop_.Sleep(0.02);
    SocketPtr far = co_await net::Socket::Connect(loop_, to_, loop_.Now() + 1);
    if (far == nullptr) co_return;
    net::Spawn(Forward(near, far));
    net::Spawn(Forward(far, near));
  }
  net::Task<void> Forward(SocketPtr from, SocketPtr to) {
    std::array<char, 16'384> buffer;
    for (;;) {
      const ssize_t n =
          co_await from->Read(buffer.data(), buffer.size(), loop_.Now() + 1e6);
      while (cut_) co_await loop_.Sleep(0.02);
      const std::string_view bytes(buffer.data(),
                                   static_cast<size_t>(n > 0 ? n : 0));
      if (n <= 0) break;
      const bool written = co_await to->Write(bytes, loop_.Now() + 10);
      if (!written) break;
    }
    // The end of one direction closes the other direction too.
    shutdown(from->fd(), SHUT_RDWR);
    shutdown(to->fd(), SHUT_RDWR);
  }

  net::Loop& loop_;
  const net::Address to_;
  net::Listener listener_;
  bool cut_ = false;
};

}  // namespace oxbow::test
