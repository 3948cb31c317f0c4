// What users may be told about a job: unit tests of ReadConsistencyGate, and an
// exhaustive exploration of the order in which two controllers, the key-value
// store and a user can act while one job ends.

#include "core/read_consistency/read_consistency_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace oxbow {
namespace {

using State = ReadConsistencyGate::State;

const std::string kId = "job-000001";
std::vector<TerminalStateWrite> End(uint64_t mod_revision) {
  return {{kId, mod_revision}};
}

TEST(ReadConsistencyGate, AConflictOverAnotherKeyIsARejection) {
  ReadConsistencyGate gate;
  gate.OnSent(1, End(7));
  EXPECT_TRUE(gate.InDoubt(kId, 7));
  gate.OnRejected(1, {"job-000002"});
  EXPECT_EQ(gate.StateOf(kId), State::kClear);
  gate.OnSent(2, End(7));
  gate.OnRejected(2, {kId});
  EXPECT_TRUE(gate.InDoubt(kId, 7));
  EXPECT_FALSE(gate.InDoubt(kId, 8)) << "the record has been read since";
}

TEST(ReadConsistencyGate, ARejectionLeavesAnEarlierWriteInDoubt) {
  ReadConsistencyGate gate;
  gate.OnSent(1, End(7));
  gate.OnUnanswered(1);
  EXPECT_EQ(gate.StateOf(kId), State::kOutcomeUnknown);
  gate.OnSent(2, End(7));
  EXPECT_EQ(gate.StateOf(kId), State::kSentWhileUnknown);
  gate.OnRejected(2);
  EXPECT_TRUE(gate.InDoubt(kId, 7));
  gate.OnSent(3, End(7));
  gate.OnApplied(3);
  EXPECT_EQ(gate.StateOf(kId), State::kClear);
}

// Guards against an illegal state change, as seen during repeated outages of
// the store: a write that was put back into the queue was requested again, so
// that a transaction had it twice.
TEST(ReadConsistencyGate, AJobMayOccurTwiceInATransaction) {
  ReadConsistencyGate gate;
  gate.OnSent(1, {{kId, 7}, {kId, 7}});
  EXPECT_EQ(gate.StateOf(kId), State::kSent);
  gate.OnUnanswered(1);
  EXPECT_EQ(gate.StateOf(kId), State::kOutcomeUnknown);
}

TEST(ReadConsistencyGate, AWriteConditionedOnAnEarlierRevisionIsVoid) {
  ReadConsistencyGate gate;
  gate.OnSent(1, End(7));
  gate.OnUnanswered(1);
  gate.OnSent(2, End(9));
  gate.OnRejected(2);
  EXPECT_EQ(gate.StateOf(kId), State::kClear);
}

// --- Exploration.

// A rule of the gate that is disabled, to test that the exploration then finds
// a violation: that jobs in doubt don't count as live, that they remain in
// doubt after a read, or that an answer requires a fresh read.
enum class Without { kNothing, kDoubt, kDoubtAfterRead, kRead };

// A state of the whole system.
struct Model {
  // The key-value store, with one job and the leader key.
  bool exists = false;
  bool ended = false;
  uint64_t mod_revision = 0;
  uint64_t leader_key_revision = 1;
  uint64_t revision = 1;
  // A write of the terminal state that may be applied late: its preconditions
  // on the revisions of the job's record and of the leader key.
  std::optional<std::pair<uint64_t, uint64_t>> late;
  // A submission that may be applied late: its precondition, 0 (no such key).
  std::optional<uint64_t> late_acceptance;

  struct ControllerNode {
    bool knows_job = false;
    bool knows_end = false;
    uint64_t mod_revision = 0;  // of the job's record, as known here
    bool leads = false;
    uint64_t leader_key_revision = 0;
    ReadConsistencyGate gate;
    uint64_t txn = 0;
    bool answer_due = false;  // a write is in flight
    bool applied = false;     // whether that write was applied
    bool must_read = false;   // a read is required before the next write
  };
  std::array<ControllerNode, 2> nodes;

  // What any controller has told the user.
  bool told_accepted = false;
  bool told_end = false;
  // How many more of these events may occur.
  int lost = 1;  // answers lost, or writes applied late
  int rejections = 1;
  int restarts = 1;
  int leader_changes = 1;

  auto Key() const {
    std::vector<uint64_t> key{exists,
                              ended,
                              mod_revision,
                              leader_key_revision,
                              revision,
                              late ? late->first + 1 : 0,
                              late ? late->second + 1 : 0,
                              late_acceptance.has_value(),
                              told_accepted,
                              told_end,
                              static_cast<uint64_t>(lost),
                              static_cast<uint64_t>(rejections),
                              static_cast<uint64_t>(restarts),
                              static_cast<uint64_t>(leader_changes)};
    for (const ControllerNode& n : nodes) {
      uint64_t doubtful_revision = 0;  // the precondition of a write in doubt
      while (doubtful_revision <= revision &&
             !n.gate.InDoubt(kId, doubtful_revision))
        ++doubtful_revision;
      key.insert(
          key.end(),
          {n.knows_job, n.knows_end, n.mod_revision, n.leads,
           n.leader_key_revision, static_cast<uint64_t>(n.gate.StateOf(kId)),
           doubtful_revision, n.answer_due, n.applied, n.must_read});
    }
    return key;
  }
};

class Exploration {
 public:
  explicit Exploration(Without without) : without_(without) {}

  // Returns the number of states that were reached. `violation` is set to the
  // first answer that is older than an earlier one; empty if there is none.
  size_t Run(std::string* violation) {
    Model first;
    first.nodes[0].leads = true;
    first.nodes[0].leader_key_revision = first.leader_key_revision;
    Add(first);
    while (!frontier_.empty() && violation_.empty()) {
      const Model m = frontier_.front();
      frontier_.pop_front();
      Accept(m);
      Late(m);
      for (size_t i = 0; i < m.nodes.size(); ++i) {
        Poll(m, i);
        Watch(m, i);
        Restart(m, i);
        Write(m, i);
        Answer(m, i);
        Read(m, i);
        TakeOver(m, i);
      }
    }
    *violation = violation_;
    return visited_.size();
  }

 private:
  void Add(Model m) {
    if (visited_.insert(m.Key()).second) frontier_.push_back(std::move(m));
  }

  static void See(const Model& m, Model::ControllerNode* n) {
    n->knows_job = m.exists;
    n->knows_end = n->knows_end || m.ended;
    n->mod_revision = m.mod_revision;
    if (n->knows_end) n->gate.OnConfirmed(kId);
  }

  // A user submits the job: the submission is answered, its answer is lost, or
  // it is applied late.
  void Accept(Model m) {
    if (m.exists || m.late_acceptance) return;
    if (m.lost > 0) {
      Model late = m;
      --late.lost;
      late.late_acceptance = 0;
      Add(late);
    }
    m.exists = true;
    m.mod_revision = ++m.revision;
    Add(m);  // the answer was lost, so the user was told nothing
    m.told_accepted = true;
    Add(m);
  }

  void Late(const Model& before) {
    if (before.late_acceptance) {
      Model m = before;
      m.late_acceptance.reset();
      if (!m.exists) {
        m.exists = true;
        m.mod_revision = ++m.revision;
      }
      Add(m);
    }
    if (before.late) {
      Model m = before;
      Execute(&m, *m.late);
      m.late.reset();
      Add(m);
    }
  }

  static bool Execute(Model* m, std::pair<uint64_t, uint64_t> write) {
    if (!m->exists || write.first != m->mod_revision ||
        write.second != m->leader_key_revision) {
      return false;
    }
    m->ended = true;
    m->mod_revision = ++m->revision;
    return true;
  }

  // The leader writes the terminal state, with every possible outcome.
  void Write(Model m, size_t i) {
    Model::ControllerNode& n = m.nodes[i];
    if (!n.leads || !n.knows_job || n.knows_end || n.answer_due ||
        n.must_read) {
      return;
    }
    n.gate.OnSent(++n.txn, End(n.mod_revision));
    const std::pair write{n.mod_revision, n.leader_key_revision};
    n.answer_due = true;
    if (m.rejections > 0) {
      Model rejected = m;
      --rejected.rejections;
      Model::ControllerNode& r = rejected.nodes[i];
      r.answer_due = false;
      r.gate.OnRejected(r.txn);
      Add(rejected);
    }
    if (m.lost > 0 && !m.late) {
      Model late = m;
      --late.lost;
      late.late = write;
      GiveUp(&late.nodes[i]);
      Add(late);
      Model lost = m;
      --lost.lost;
      Execute(&lost, write);
      GiveUp(&lost.nodes[i]);
      Add(lost);
    }
    n.applied = Execute(&m, write);
    Add(m);
  }

  static void GiveUp(Model::ControllerNode* n) {
    n->answer_due = false;
    n->must_read = true;
    n->gate.OnUnanswered(n->txn);
  }

  void Answer(Model m, size_t i) {
    Model::ControllerNode& n = m.nodes[i];
    if (!n.answer_due) return;
    n.answer_due = false;
    if (std::exchange(n.applied, false)) {
      n.gate.OnApplied(n.txn);
      See(m, &n);
    } else {
      n.gate.OnRejected(n.txn, {kId});
      n.must_read = true;
    }
    Add(m);
  }

  // The read that is required before the leader writes again.
  void Read(Model m, size_t i) {
    Model::ControllerNode& n = m.nodes[i];
    if (!n.must_read) return;
    n.must_read = false;
    See(m, &n);
    if (without_ == Without::kDoubtAfterRead) n.gate.OnConfirmed(kId);
    Add(m);
  }

  void Watch(Model m, size_t i) {
    See(m, &m.nodes[i]);
    Add(m);
  }

  // A controller that starts reads all records and does not lead.
  void Restart(Model m, size_t i) {
    if (m.restarts == 0) return;
    --m.restarts;
    m.nodes[i] = {};
    Add(m);
  }

  // The other controller takes over the leadership: the right to lead of the
  // earlier leader has expired by its own clock.
  void TakeOver(Model m, size_t i) {
    if (m.nodes[i].leads || m.leader_changes == 0) return;
    --m.leader_changes;
    Model::ControllerNode& old = m.nodes[1 - i];
    old.leads = old.answer_due = old.applied = old.must_read = false;
    old.gate = {};
    m.leader_key_revision = ++m.revision;
    Model::ControllerNode& n = m.nodes[i];
    n.leads = true;
    n.leader_key_revision = m.leader_key_revision;
    See(m, &n);  // its watch has delivered everything up to its own key
    Add(m);
  }

  JobObservation ObservationOf(const Model::ControllerNode& n) const {
    if (!n.leads || !n.knows_job) return JobObservation::kUnseen;
    if (n.knows_end) return JobObservation::kEnded;
    const bool doubt =
        n.gate.InDoubt(kId, n.mod_revision) && without_ != Without::kDoubt;
    return doubt ? JobObservation::kInDoubt : JobObservation::kLive;
  }

  // The user asks a controller, which reaches the key-value store or does not.
  void Poll(const Model& before, size_t i) {
    for (const bool reaches : {false, true}) {
      Model m = before;
      Model::ControllerNode& n = m.nodes[i];
      StatusEvidence evidence{
          n.knows_end ? TerminalState::kDone : TerminalState::kNone,
          ObservationOf(n), RecordRead::kNone};
      StatusDecision decision = DecideStatus(evidence);
      if (decision == StatusDecision::kReadFirst) {
        evidence.read = RecordRead::kInconclusive;
        // Without a fresh read, the controller answers from what it knows.
        if (without_ == Without::kRead) {
          evidence.read =
              n.knows_job ? RecordRead::kLive : RecordRead::kMissing;
        } else if (reaches) {
          See(m, &n);
          evidence.read = m.exists ? RecordRead::kLive : RecordRead::kMissing;
        }
        evidence.end =
            n.knows_end ? TerminalState::kDone : TerminalState::kNone;
        evidence.observation = ObservationOf(n);
        decision = DecideStatus(evidence);
      }
      if (m.told_end && (decision == StatusDecision::kLive ||
                         decision == StatusDecision::kNoSuchJob)) {
        violation_ = "a terminal state was reported, then an older state";
      }
      if (m.told_accepted && decision == StatusDecision::kNoSuchJob) {
        violation_ = "the job was accepted, then denied";
      }
      m.told_end = m.told_end || decision == StatusDecision::kTerminalState;
      m.told_accepted = m.told_accepted || decision == StatusDecision::kLive;
      if (decision == StatusDecision::kTerminalState && !m.ended)
        violation_ = "a terminal state was reported that was never recorded";
      Add(m);
    }
  }

  const Without without_;
  std::string violation_;
  std::deque<Model> frontier_;
  std::set<std::vector<uint64_t>> visited_;
};

// Explores every order of events with two controllers, one job, one write that
// is lost or applied late, one rejection, one restart and one change of leader.
TEST(ReadConsistencyGate, NoOrderOfEventsBringsAnOlderAnswer) {
  std::string violation;
  const size_t states = Exploration(Without::kNothing).Run(&violation);
  EXPECT_EQ(violation, "");
  std::printf("states explored: %zu\n", states);
  EXPECT_GT(states, 1000U);
}

TEST(ReadConsistencyGate, WithoutARuleTheExplorationFindsAnOlderAnswer) {
  for (const Without without :
       {Without::kDoubt, Without::kDoubtAfterRead, Without::kRead}) {
    std::string violation;
    const size_t states = Exploration(without).Run(&violation);
    EXPECT_NE(violation, "") << static_cast<int>(without);
    std::printf("rule %d disabled: violation found after %zu states: %s\n",
                static_cast<int>(without), states, violation.c_str());
  }
}

}  // namespace
}  // namespace oxbow
