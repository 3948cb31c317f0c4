// The protocol between controllers: cereal messages in frames with a length and
// a version.
// Losing all peers makes a controller slower, but never incorrect.
#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/lease/leadership.h"
#include "net/loop.h"
#include "net/socket.h"

namespace oxbow::clients {

// The kind of a message. Controllers of different versions exchange the numeric
// values: add new kinds at the end, and never remove or reorder one.
enum class PeerKind : uint8_t {
  kHello,        // asks who the peer is and whether it leads
  kPoll,         // asks for the state of a job
  kCancel,       // asks to cancel a job
  kPromise,      // asks the peer not to seek leadership for a while
  kJobAccepted,  // the sender has accepted a job
  kReply,
  // A user's request, relayed by a controller that cannot reach the key-value
  // store.
  kRelayPoll,
  kRelayCancel,
  kRelaySubmit,
  kReach,   // asks which machines of a sample the peer reaches
  kSilent,  // as kReach, for machines that the leader does not hear
  kOfferLeadershipTransfer,  // asks a better placed peer to lead
  kDeferCandidacy,           // another peer agreed to lead: let it try first
  kLedger,  // asks what the peer now finds in the key-value store
  kMemory,  // asks for a page of retained records after that key
  kKnown,   // asks whether the peer knows the job
  kEnded,   // asks for the outcome of jobs known to have ended
  // The sender answers worker reports while no controller can lead: the peer
  // must not seek leadership for a moment.
  kDelegate,
  kDelegationOver,  // the sender no longer answers them
  kDelegateZone,    // asks to renew its zone's workers if the zone is cut off
  // The sender treats silent workers as lost: the peer must not renew its
  // zone's workers for a moment.
  kRequestLeaseYield,
  kReport,  // an unchanged report of a worker in the sender's zone
  // A submission of a job that waits for others. It has its own kind so that a
  // version that does not know it accepts nothing; that version would treat
  // kRelaySubmit as the submission of an ordinary job.
  kRelayChain,
};

// The answer to a message that asks a yes-or-no question.
enum class PeerAnswer : uint8_t { kNo, kYes, kUnknownJob, kKnownJob };

inline constexpr uint32_t kMaxFrame = 64 * 1024;

// The content of one frame. The kind determines which fields are used; the
// others are sent too, so that the layout of a frame never changes.
struct PeerMessage {
  PeerKind kind = PeerKind::kHello;
  PeerAnswer answer = PeerAnswer::kNo;
  LeaderRole role = LeaderRole::kNone;  // role of the controller that answers
  uint64_t request = 0;
  uint64_t mod_revision = 0;
  std::string node;
  std::string job_id;
  std::string text;  // a status word, or a record
  uint32_t done = 0;
  uint32_t running = 0;
  uint64_t term = 0;  // the highest term that a worker has reported

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, answer, role, request, mod_revision, done, running, term);
    for (std::string* field : {&node, &job_id, &text}) {
      // The length is checked before it is used: cereal's own string support
      // would allocate whatever length a corrupt frame contains.
      auto length = static_cast<uint32_t>(field->size());
      archive(length);
      if (length > kMaxFrame) throw cereal::Exception("text too long");
      field->resize(length);
      archive(cereal::binary_data(field->data(), length));
    }
  }
};

inline constexpr uint8_t kPeerVersion = 3;

std::string EncodeFrame(const PeerMessage& message);

// Splits a byte stream into frames.
class FrameReader {
 public:
  enum class Result { kMessage, kNeedMore, kBroken };
  void Append(std::string_view data) { buffer_.append(data); }
  Result Next(PeerMessage* out);

 private:
  std::string buffer_;
};

// One connection; frames that several coroutines send are queued in one order.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(net::Loop& loop, std::unique_ptr<net::Socket> socket)
      : loop_(loop), socket_(std::move(socket)) {}

  // Queues the message; closes the connection if too much is unsent.
  void Send(const PeerMessage& message);
  // Reads and passes on messages until the connection ends, at the latest after
  // `idle_seconds` without data.
  net::Task<void> Read(std::function<void(PeerMessage)> on_message,
                       net::Time idle_seconds);
  bool open() const { return open_; }

 private:
  net::Task<void> WriteOut(std::shared_ptr<PeerConnection> self);

  net::Loop& loop_;
  std::unique_ptr<net::Socket> socket_;
  std::string out_;
  bool writing_ = false;
  bool open_ = true;
};

// The client side of the protocol, for one peer.
class PeerClient {
 public:
  PeerClient(net::Loop& loop, std::string name, net::Address address)
      : loop_(loop), name_(std::move(name)), address_(std::move(address)) {}

  struct Answer {
    bool ok = false;
    PeerMessage message;
  };
  // Sends the message and waits for its reply; connects first if necessary.
  net::Task<Answer> Ask(PeerMessage message, net::Time timeout_seconds);
  // Sends the message without waiting for a reply.
  net::Task<void> Notify(PeerMessage message);
  const std::string& name() const { return name_; }

 private:
  struct Waiting {
    explicit Waiting(net::Loop& loop) : event(loop) {}
    net::Event event;
    Answer answer;
  };
  net::Task<bool> Connected(net::Time timeout_seconds);
  net::Task<void> ReadLoop(std::shared_ptr<PeerConnection> connection);

  net::Loop& loop_;
  std::string name_;
  net::Address address_;
  std::shared_ptr<PeerConnection> connection_;
  bool connecting_ = false;
  net::Time retry_at_ = 0;
  uint64_t next_request_ = 1;
  std::map<uint64_t, std::shared_ptr<Waiting>> waiting_;
};

// The server side of the protocol.
class PeerServer {
 public:
  using Handler = std::function<net::Task<PeerMessage>(PeerMessage)>;
  PeerServer(net::Loop& loop, const net::Address& address, Handler handler)
      : loop_(loop), listener_(loop, address), handler_(std::move(handler)) {}
  // Accepts connections until the loop stops.
  net::Task<void> Run();
  uint16_t port() const { return listener_.port(); }

 private:
  net::Task<void> Serve(std::shared_ptr<PeerConnection> connection);
  net::Task<void> Answer(std::shared_ptr<PeerConnection> connection,
                         PeerMessage message);

  net::Loop& loop_;
  net::Listener listener_;
  Handler handler_;
  size_t open_ = 0;
};

}  // namespace oxbow::clients
