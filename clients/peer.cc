#include "clients/peer.h"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cstring>
#include <sstream>
#include <utility>

namespace oxbow::clients {
namespace {

constexpr size_t kHeaderBytes = 5;  // bytes: little-endian length, then version
// Worker reports are forwarded over a connection: a few dozen of the longest
// may be queued.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;
constexpr size_t kMaxConnections = 32;
constexpr net::Time kIdleTimeoutSeconds = 120;
constexpr net::Time kWriteTimeoutSeconds = 5;
constexpr net::Time kReconnectDelaySeconds = 0.3;

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  std::ostringstream out;
  out.write("\0\0\0\0\0", kHeaderBytes);
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(const_cast<PeerMessage&>(message));
  }
  std::string frame = std::move(out).str();
  const auto length = static_cast<uint32_t>(frame.size() - kHeaderBytes);
  for (int i = 0; i < 4; ++i) {
    frame[i] = static_cast<char>((length >> (8 * i)) & 0xff);
  }
  frame[4] = static_cast<char>(kPeerVersion);
  return frame;
}

FrameReader::Result FrameReader::Next(PeerMessage* out) {
  if (buffer_.size() < kHeaderBytes) return Result::kNeedMore;
  uint32_t length = 0;
  for (int i = 0; i < 4; ++i) {
    length |= static_cast<uint32_t>(static_cast<uint8_t>(buffer_[i]))
              << (8 * i);
  }
  if (length > kMaxFrame || static_cast<uint8_t>(buffer_[4]) != kPeerVersion) {
    return Result::kBroken;
  }
  if (buffer_.size() < kHeaderBytes + length) return Result::kNeedMore;
  std::istringstream in(buffer_.substr(kHeaderBytes, length));
  buffer_.erase(0, kHeaderBytes + length);
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(*out);
  } catch (const std::exception&) {
    // cereal throws when the stream ends early.
    return Result::kBroken;
  }
  return Result::kMessage;
}

void PeerConnection::Send(const PeerMessage& message) {
  if (!open_) return;
  out_ += EncodeFrame(message);
  if (out_.size() > kMaxUnsentBytes) {
    // The peer does not read. Closing the connection is safe: safety never
    // depends on what a peer is told.
    open_ = false;
    out_.clear();
    return;
  }
  if (!writing_) {
    writing_ = true;
    net::Spawn(WriteOut(shared_from_this()));
  }
}

net::Task<void> PeerConnection::WriteOut(std::shared_ptr<PeerConnection> self) {
  while (!self->out_.empty() && self->open_) {
    const std::string chunk = std::exchange(self->out_, {});
    const bool ok = co_await self->socket_->Write(
        chunk, self->loop_.Now() + kWriteTimeoutSeconds);
    if (!ok) self->open_ = false;
  }
  self->writing_ = false;
}

net::Task<void> PeerConnection::Read(
    std::function<void(PeerMessage)> on_message, net::Time idle_seconds) {
  FrameReader reader;
  std::array<char, 4096> buffer;
  while (open_) {
    const ssize_t n = co_await socket_->Read(buffer.data(), buffer.size(),
                                             loop_.Now() + idle_seconds);
    if (n <= 0) break;
    reader.Append({buffer.data(), static_cast<size_t>(n)});
    for (;;) {
      PeerMessage message;
      const FrameReader::Result result = reader.Next(&message);
      if (result == FrameReader::Result::kBroken) open_ = false;
      if (result != FrameReader::Result::kMessage) break;
      on_message(std::move(message));
    }
    // Yields to the event loop: messages that have accumulated on this
    // connection, mainly forwarded worker reports, must not delay the key-value
    // store answers that leadership depends on.
    co_await loop_.Sleep(0);
  }
  open_ = false;
}

net::Task<bool> PeerClient::Connected(net::Time timeout_seconds) {
  if (connection_ && connection_->open()) co_return true;
  if (connecting_ || loop_.Now() < retry_at_) co_return false;
  connecting_ = true;
  std::unique_ptr<net::Socket> socket = co_await net::Socket::Connect(
      loop_, address_, loop_.Now() + timeout_seconds);
  connecting_ = false;
  if (!socket) {
    retry_at_ = loop_.Now() + kReconnectDelaySeconds;
    co_return false;
  }
  connection_ = std::make_shared<PeerConnection>(loop_, std::move(socket));
  net::Spawn(ReadLoop(connection_));
  co_return true;
}

net::Task<void> PeerClient::ReadLoop(
    std::shared_ptr<PeerConnection> connection) {
  const std::function<void(PeerMessage)> on_message =
      [this](PeerMessage message) {
        const auto it = waiting_.find(message.request);
        if (it == waiting_.end()) return;
        it->second->answer = {true, std::move(message)};
        it->second->event.Set();
        waiting_.erase(it);
      };
  co_await connection->Read(on_message, kIdleTimeoutSeconds);
  if (connection_ == connection) {
    connection_.reset();
    for (auto& [id, waiting] : std::exchange(waiting_, {})) {
      waiting->event.Set();
    }
  }
}

net::Task<PeerClient::Answer> PeerClient::Ask(PeerMessage message,
                                              net::Time timeout_seconds) {
  const bool connected = co_await Connected(timeout_seconds);
  if (!connected || !connection_) co_return Answer{};
  message.request = next_request_++;
  auto waiting = std::make_shared<Waiting>(loop_);
  waiting_[message.request] = waiting;
  connection_->Send(message);
  co_await waiting->event.Wait(timeout_seconds);
  waiting_.erase(message.request);
  co_return waiting->answer;
}

net::Task<void> PeerClient::Notify(PeerMessage message) {
  const bool connected = co_await Connected(kReconnectDelaySeconds);
  if (connected && connection_) connection_->Send(message);
}

net::Task<void> PeerServer::Run() {
  for (;;) {
    std::unique_ptr<net::Socket> socket = co_await listener_.Accept();
    if (!socket) {
      co_await loop_.Sleep(net::kOutOfDescriptorsPauseSeconds);
      continue;
    }
    if (open_ >= kMaxConnections) continue;
    net::Spawn(
        Serve(std::make_shared<PeerConnection>(loop_, std::move(socket))));
  }
}

net::Task<void> PeerServer::Serve(std::shared_ptr<PeerConnection> connection) {
  ++open_;
  // A named variable instead of a temporary in the await expression: GCC 12
  // destroys the captures of such a temporary lambda twice, which corrupted the
  // heap whenever a peer disconnected.
  const std::function<void(PeerMessage)> on_message =
      [this, connection](PeerMessage message) {
        net::Spawn(Answer(connection, std::move(message)));
      };
  co_await connection->Read(on_message, kIdleTimeoutSeconds);
  --open_;
}

net::Task<void> PeerServer::Answer(std::shared_ptr<PeerConnection> connection,
                                   PeerMessage message) {
  const uint64_t request = message.request;
  const bool wants_reply = message.kind != PeerKind::kJobAccepted;
  PeerMessage reply = co_await handler_(std::move(message));
  if (!wants_reply) co_return;
  reply.kind = PeerKind::kReply;
  reply.request = request;
  connection->Send(reply);
}

}  // namespace oxbow::clients
