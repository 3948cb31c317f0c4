// Between controllers: cereal messages in frames with a length and a version.
// Losing every peer costs speed, never correctness.
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

// What a message asks for. The numbers are sent between versions: new kinds are
// added at the end, none is removed or reordered.
enum class PeerKind : uint8_t {
  kHello,        // who are you, do you lead?
  kPoll,         // state of a job
  kCancel,       // cancel a job
  kPromise,      // do not seek leadership for a while
  kJobAccepted,  // a job was accepted here
  kReply,
  // A user's request, for one who cannot reach the key-value store.
  kRelayPoll,
  kRelayCancel,
  kRelaySubmit,
  kReach,   // which of these machines, a sample of all, do you reach?
  kSilent,  // the same of machines that the leader does not hear
  kOfferLeadershipTransfer,  // will you lead? I am worse placed
  kDeferCandidacy,           // another has agreed to: let it go first
  kLedger,  // what do you find in the key-value store at this moment?
  kMemory,  // a page of what you remember, after that key
  kKnown,   // do you know of this job?
  kEnded,   // how the jobs that you know to have ended did end
  // I answer reports while nobody can lead: do not seek for a moment.
  kDelegate,
  kDelegationOver,  // I do not any more
  kDelegateZone,    // may I keep the workers of my zone, should it be cut off?
  kRequestLeaseYield,  // do not, for a moment: I take the silent ones for gone
  kReport,             // of a worker of my zone, as it came
  // A submission of a job that waits for others. A kind of its own: a version
  // that does not know it accepts nothing, where kRelaySubmit would be taken
  // for an ordinary job.
  kRelayChain,
};

// The answer to a question of the kinds that are answered by yes or no.
enum class PeerAnswer : uint8_t { kNo, kYes, kUnknownJob, kKnownJob };

inline constexpr uint32_t kMaxFrame = 64 * 1024;

// One frame's content. Which fields count depends on the kind; the others are
// sent all the same, so that the form of a frame never changes.
struct PeerMessage {
  PeerKind kind = PeerKind::kHello;
  PeerAnswer answer = PeerAnswer::kNo;
  LeaderRole role = LeaderRole::kNone;  // of the sender of an answer
  uint64_t request = 0;
  uint64_t mod_revision = 0;
  std::string node;
  std::string job_id;
  std::string text;  // a status word, or a record
  uint32_t done = 0;
  uint32_t running = 0;
  uint64_t term = 0;  // the highest that a worker has shown

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, answer, role, request, mod_revision, done, running, term);
    for (std::string* field : {&node, &job_id, &text}) {
      // The length is checked before it is believed: cereal's own string
      // support would allocate whatever a broken frame says.
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

// Cuts frames out of a stream of bytes.
class FrameReader {
 public:
  enum class Result { kMessage, kNeedMore, kBroken };
  void Append(std::string_view data) { buffer_.append(data); }
  Result Next(PeerMessage* out);

 private:
  std::string buffer_;
};

// One connection; frames of several coroutines leave in one order.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(net::Loop& loop, std::unique_ptr<net::Socket> socket)
      : loop_(loop), socket_(std::move(socket)) {}

  void Send(const PeerMessage& message);
  // Reads until the connection ends.
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

// The asking side, for one peer.
class PeerClient {
 public:
  PeerClient(net::Loop& loop, std::string name, net::Address address)
      : loop_(loop), name_(std::move(name)), address_(std::move(address)) {}

  struct Answer {
    bool ok = false;
    PeerMessage message;
  };
  net::Task<Answer> Ask(PeerMessage message, net::Time timeout_seconds);
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

// The answering side.
class PeerServer {
 public:
  using Handler = std::function<net::Task<PeerMessage>(PeerMessage)>;
  PeerServer(net::Loop& loop, const net::Address& address, Handler handler)
      : loop_(loop), listener_(loop, address), handler_(std::move(handler)) {}
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
