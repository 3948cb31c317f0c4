#include "net/connection_table.h"

namespace oxbow::net {

Connection::Connection(ConnectionTable& table, Socket& socket, Time now)
    : table_(table),
      socket_(socket),
      since_(now),
      idle_position_(table.idle_.insert(table.idle_.end(), this)) {
  ++table_.size_;
  ++table_.by_kind_.at(kind_);
}

Connection::~Connection() {
  if (state_ == ConnectionState::kIdle) table_.idle_.erase(idle_position_);
  --table_.by_kind_.at(kind_);
  --table_.size_;
}

void Connection::Become(ConnectionState next, Time now) {
  if (next == state_) return;
  if (state_ == ConnectionState::kIdle) table_.idle_.erase(idle_position_);
  state_ = next;
  since_ = now;
  if (state_ == ConnectionState::kIdle) {
    idle_position_ = table_.idle_.insert(table_.idle_.end(), this);
  }
}

void Connection::SetKind(size_t kind) {
  --table_.by_kind_.at(kind_);
  kind_ = kind;
  ++table_.by_kind_.at(kind_);
}

}  // namespace oxbow::net
