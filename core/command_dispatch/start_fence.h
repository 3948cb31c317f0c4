// Fences direct start commands against copies that arrive later. A worker
// ignores a repeated start command only as long as it remembers the attempt,
// and a forget command makes it forget. So a forget command is sent under a
// fencing token above every token under which the attempt may have been started
// directly: the worker then refuses each copy of that start command. Start
// commands in heartbeat responses need no fence, since workers drop responses
// that arrive late.
#pragma once

#include "core/leader_context/leader_context.h"

namespace oxbow {

// One per leadership. Called by CommandDispatcher and TaskAttemptTracker.
class StartFence {
 public:
  explicit StartFence(LeaderContext& context) : context_(context) {}

  // The start command of the attempt is about to be sent to the worker's
  // address under the machine's current token.
  static void OnDirectStart(Machine& machine, TaskAttempt& attempt);
  // The worker shows an attempt that this leader did not have. A copy of a
  // start command of this leader may have created it.
  static void OnAdopted(const Machine& machine, TaskAttempt& attempt);
  // Raises the machine's token if a queued forget command needs a higher one.
  // The worker need not show it first, since it takes the token from the
  // message that contains the forget command. Returns false, and the leadership
  // is over, if the tokens of the term are used up.
  bool RaiseForQueuedForgets(Machine& machine);

 private:
  static bool NeedsHigherToken(const Machine& machine);

  LeaderContext& context_;
};

// Gives the machine a higher fencing token and counts and logs why. Returns
// false, and the leadership is over, if the tokens of the term are used up.
bool RaiseToken(LeaderContext& context, Machine& machine,
                TokenRaiseReason reason);

}  // namespace oxbow
