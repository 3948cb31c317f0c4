// The leader's writes on their way to the key-value store: what waits, what
// goes into one transaction, and what an answer means. Knows nothing of jobs or
// machines; what a write changes, and what follows once it stands, its owner
// says. One transaction at a time, each conditioned on the mandate: one that
// is applied late, after another leader has gone on, fails instead of undoing
// newer facts.
//
// Nor may one be applied late after this leader has gone on. A condition on a
// stamp sees to that by itself, for no stamp comes again. A condition that a
// key is not there holds again once the key has been deleted, so every
// transaction is conditioned on the absence of the current fence key too, and
// after one that is not answered and creates a key, that fence key is written
// before anything else:
// - Each fence key is written by this leadership alone and lives as long as its
//   leader key (the same lease), so once it is there, whatever was sent before
//   fails for good: by the fence, or by the leader key.
// - What is read after the fence stands is therefore the outcome of the
//   unanswered transaction, not a state before it.
// - A fence that is not answered is sent again. That it stands already is what
//   the next one is told as a conflict, and just as good.
// A transaction that was answered is not carried out again.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/leader_context/actions.h"
#include "core/model/settings.h"
#include "core/rollout/rollout.h"

namespace oxbow {

enum class WriteKind : uint8_t {
  kFinish,
  kRetire,
  kMachineUp,
  kMachineForget,
  kScaleOut,
  kScaledOutMachine,  // a machine of the rental that WriteOp::reason names
  kSettleScaleOut,    // once all of its machines stand
  kRollout,
  kOperator,                // a record of a subsystem's own, see OperatorRecord
  kReconcileRecord,         // a record that is owed to the key-value store
  kReconcileTerminalState,  // how a job ended, likewise
  kCompleteReconciliation,  // nothing is owed any more
  kRelease,        // a job that waited for others becomes an ordinary one
  kCancelWaiting,  // one that waits ends
  kTidyWaiting,    // an older copy of a waiting record goes
};

// What the leader wants recorded. Of the same kind and name, one waits at most.
struct WriteOp {
  WriteKind kind;
  std::string name;
  TerminalState terminal_state = TerminalState::kNone;
  // Refused for its size: what it writes goes without what can be spared.
  bool compact = false;
  // Of a rollout: the step to record, why, and the wish that it fulfils.
  RolloutStep step = RolloutStep::kDeclared;
  std::string reason = {};
  RolloutRequest request = RolloutRequest::kNone;
  // Of an operators' record: what is to stand; null deletes it.
  std::shared_ptr<const OperatorRecord> record = {};
  double released_wall = 0;  // of a release
};

enum class WritePhase : uint8_t {
  kIdle,
  kWriting,   // a transaction is under way
  kDoubtful,  // its outcome is not known: the fence has to be written
  kFencing,   // the fence is under way
  kReading,   // the outcome is fixed: what it changes is read afresh
};

enum class WriteEvent : uint8_t {
  kSent,
  kAnswered,
  kOutcomeUnknown,  // a transaction that creates keys is not answered
  kFenceSent,
  kFenceFailed,  // or not answered
  kFixed,        // whatever was under way is carried out, or never will be
  kRead,
};

class WriteQueue {
 public:
  // Whose writes they are.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Adds the op's conditions and changes; false when what it wants is
    // already so.
    virtual bool Build(const WriteOp& op, CompareAndSwap* txn) const = 0;
    // The op's aim is reached: by its transaction, at `revision`, or, when that
    // is 0, because the key-value store already holds what it wanted.
    virtual void Done(const WriteOp& op, uint64_t revision, Time now) = 0;
  };

  // `mandate`: what this leadership rests on, the leader key and the mark of
  // the epoch; every write is conditioned on it.
  WriteQueue(const Settings& settings,
             std::vector<Precondition> leadership_preconditions, Owner& owner,
             std::vector<Action>& actions)
      : settings_(settings),
        leadership_preconditions_(std::move(leadership_preconditions)),
        owner_(owner),
        actions_(actions) {}

  // A lazy one goes when there is room beside the others.
  void Queue(WriteOp op, bool lazy = false);
  // Sends what waits, if nothing is under way; a fence before all else.
  void Flush(Time now);
  // False when the mandate does not stand: this leadership is over.
  [[nodiscard]] bool OnAnswer(uint64_t id, WriteOutcome outcome,
                              uint64_t revision,
                              const std::vector<std::string>& failed, Time now);
  // The keys asked for have been read and taken in.
  void OnRead(uint64_t id, bool ok, Time now);

  WritePhase phase() const { return phase_; }
  size_t waiting() const { return urgent_.size() + lazy_.size(); }
  // Writes that the key-value store does not take for their size.
  size_t set_aside() const { return aside_.size(); }

 private:
  // The one function for a change.
  void Change(WriteEvent event);
  // What was under way waits again, in front.
  void PutBack();
  // Sent again as it is, the same transaction would be refused for ever: fewer
  // ops go at once, and one that is refused by itself goes in its compact form;
  // refused in that, too, it is set aside, so that it holds up no other.
  void Split(Time now);
  void TakeUpAside(Time now);
  bool Fits(const CompareAndSwap& txn) const;
  void Send(CompareAndSwap txn);
  void SendFence();
  // False as OnAnswer.
  bool OnFenceAnswer(WriteOutcome outcome,
                     const std::vector<std::string>& failed, Time now);
  void ReadInFlight();
  void PauseFrom(Time now);
  bool LeadershipLost(const std::vector<std::string>& failed) const;
  std::string FenceKey() const;
  bool FenceStands(const std::vector<std::string>& failed) const;

  const Settings& settings_;
  const std::vector<Precondition> leadership_preconditions_;
  Owner& owner_;
  std::vector<Action>& actions_;
  std::deque<WriteOp> urgent_;
  std::deque<WriteOp> lazy_;
  struct Aside {
    Time until = 0;
    WriteOp op;
  };
  std::deque<Aside> aside_;
  std::vector<WriteOp> in_flight_;
  size_t most_ops_ = SIZE_MAX;  // at once; lowered by refusals
  std::vector<std::string> in_flight_keys_;
  bool in_flight_creates_ = false;
  uint64_t fence_ = 0;  // the number of the current fence key
  WritePhase phase_ = WritePhase::kIdle;
  uint64_t id_ = 0;  // of the transaction or the read under way
  Time not_before_ = 0;
};

}  // namespace oxbow
