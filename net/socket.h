// Non-blocking TCP sockets whose operations are awaited on the event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "net/task.h"

namespace oxbow::net {

// An IPv4 address and a port.
struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses text such as "10.0.0.1:80"; false when it is not an IPv4 address and a
// port.
bool ParseAddress(std::string_view text, Address* out);

// Owns a descriptor and its registration with the loop, which must outlive it.
// At most one coroutine reads and one writes at a time; neither may outlive the
// socket. Deadlines are times of Loop::Now(), in seconds.
class Socket {
 public:
  Socket(Loop& loop, int fd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Null when connecting fails or does not complete by the deadline. `urgent`:
  // the loop handles its events before those of other ready descriptors.
  static Task<std::unique_ptr<Socket>> Connect(Loop& loop, Address address,
                                               Time deadline,
                                               bool urgent = false);

  // Returns the number of bytes read; 0 at the end of the stream; -1 on an
  // error or at the deadline.
  Task<ssize_t> Read(char* buffer, size_t size, Time deadline);
  // False on an error or at the deadline.
  Task<bool> Write(std::string_view data, Time deadline);
  // Ends the Read() that is in progress, and all later ones, as at a deadline.
  // Its coroutine is resumed before this returns.
  void CancelRead();
  // Whether there are bytes to read, including bytes that the loop has not
  // noticed yet.
  bool HasInput();
  // Whether the peer has closed an idle connection or sent unexpected bytes.
  bool PeerClosed();
  int fd() const { return fd_; }

 private:
  friend class Listener;
  Task<bool> WaitReadable(Time deadline);
  Task<bool> WaitWritable(Time deadline);

  Loop& loop_;
  int fd_;
  bool read_cancelled_ = false;
  FdWaiters waiters_;
};

// How long a server that can't accept a connection waits for descriptors to be
// closed.
inline constexpr Time kOutOfDescriptorsPauseSeconds = 0.05;

// A listening socket. The constructor throws std::runtime_error if the address
// can't be bound.
class Listener {
 public:
  Listener(Loop& loop, const Address& address);
  // Waits for a connection. Null if none can be accepted, such as when the
  // process has no file descriptor left: the caller must close connections or
  // wait before it tries again.
  Task<std::unique_ptr<Socket>> Accept();
  uint16_t port() const;

 private:
  Loop& loop_;
  Socket socket_;
};

}  // namespace oxbow::net
