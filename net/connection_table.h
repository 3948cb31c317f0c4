// Tracks the open connections of a server: the state of each, since when it is
// in that state, and the kind of client that uses it. Does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

#include "net/loop.h"

namespace oxbow::net {

enum class ConnectionState : uint8_t {
  kIdle,       // no byte of the next request has arrived
  kReceiving,  // a request has arrived in part
  kAnswering,  // a request is being answered
};

class Socket;
class ConnectionTable;

// One entry of the table; the destructor removes it. The socket and the table
// must outlive it.
class Connection {
 public:
  Connection(ConnectionTable& table, Socket& socket, Time now);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Become(ConnectionState next, Time now);
  // Sets the kind of the client that sent the latest request.
  void SetKind(size_t kind);
  Socket& socket() { return socket_; }
  ConnectionState state() const { return state_; }
  Time SecondsInState(Time now) const { return now - since_; }

 private:
  friend class ConnectionTable;

  ConnectionTable& table_;
  Socket& socket_;
  ConnectionState state_ = ConnectionState::kIdle;
  Time since_;
  size_t kind_ = 0;
  std::list<Connection*>::iterator idle_position_;
};

// All connections of one server. Each operation takes constant time.
class ConnectionTable {
 public:
  // Client kinds are numbers below kMaxKinds. 0: unknown, because no request
  // has arrived yet.
  static constexpr size_t kMaxKinds = 8;
  using CountByKind = std::array<size_t, kMaxKinds>;

  size_t size() const { return size_; }
  const CountByKind& by_kind() const { return by_kind_; }
  // The connection that has been idle longest; null if none is idle.
  Connection* LongestIdle() const {
    return idle_.empty() ? nullptr : idle_.front();
  }

 private:
  friend class Connection;

  size_t size_ = 0;
  CountByKind by_kind_{};
  std::list<Connection*> idle_;  // the one idle longest comes first
};

}  // namespace oxbow::net
