// Sends the same question to all other controllers at the same time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/recovery/recovery_context.h"
#include "clients/peer.h"
#include "net/loop.h"
#include "net/task.h"

namespace oxbow::app {

// Several questions may be in flight at the same time.
class PeerBroadcast {
 public:
  // Which peers' answers a question waits for. All peers are asked in any case.
  enum class WaitFor : uint8_t {
    kAllPeers,
    kResponsivePeers,  // not for those that gave no answer the last time
  };

  // `context` must outlive this object, and this object the event loop: the
  // requests that are in flight refer to both.
  explicit PeerBroadcast(const RecoveryContext& context) : context_(context) {}

  // The answers that came in time, in the order of their arrival.
  net::Task<std::vector<clients::PeerMessage>> Ask(
      clients::PeerMessage message, WaitFor wait_for = WaitFor::kAllPeers);

  // Whether a controller of that name is in the settings.
  bool IsPeer(const std::string& node) const;

 private:
  // Shared by the question and its requests: a request may end after the
  // question has stopped waiting for it.
  struct Question {
    explicit Question(net::Loop& loop) : done(loop) {}
    net::Event done;
    std::vector<clients::PeerMessage> answers;
    size_t outstanding = 0;
  };

  net::Task<void> AskOne(std::shared_ptr<Question> question,
                         clients::PeerClient* peer,
                         clients::PeerMessage message, bool is_waited_for);

  const RecoveryContext& context_;
  std::set<std::string> silent_;  // peers that gave no answer the last time
};

}  // namespace oxbow::app
