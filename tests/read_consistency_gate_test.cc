// What may be told of a job: the gate by itself, and every order of what two
// controllers, the key-value store and a user can do about the end of one job.

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

TEST(ReadConsistencyGate, AConflictOverAnotherKeyIsARefusal) {
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

TEST(ReadConsistencyGate, ARefusalLeavesAnEarlierOneLoose) {
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

// Seen in an outage storm: a move that was put back was asked for again.
TEST(ReadConsistencyGate, AJobMayStandTwiceInATransaction) {
  ReadConsistencyGate gate;
  gate.OnSent(1, {{kId, 7}, {kId, 7}});
  EXPECT_EQ(gate.StateOf(kId), State::kSent);
  gate.OnUnanswered(1);
  EXPECT_EQ(gate.StateOf(kId), State::kOutcomeUnknown);
}

TEST(ReadConsistencyGate, WhatStandsOnAnotherStampIsVoid) {
  ReadConsistencyGate gate;
  gate.OnSent(1, End(7));
  gate.OnUnanswered(1);
  gate.OnSent(2, End(9));
  gate.OnRejected(2);
  EXPECT_EQ(gate.StateOf(kId), State::kClear);
}

// --- exploration

// Guards that are taken out to see that the exploration finds it.
enum class Without { kNothing, kDoubt, kDoubtAfterRead, kRead };

struct Model {
  // The key-value store: one job, the leader key.
  bool exists = false;
  bool ended = false;
  uint64_t mod_revision = 0;
  uint64_t leadership_preconditions = 1;
  uint64_t revision = 1;
  // A write of the end that may be carried out late.
  std::optional<std::pair<uint64_t, uint64_t>> late;  // stamp, mandate
  std::optional<uint64_t> late_acceptance;            // stamp it rests on: 0

  struct ControllerNode {
    bool knows_job = false;
    bool knows_end = false;
    uint64_t mod_revision = 0;  // of the record as it is known
    bool leads = false;
    uint64_t leadership_preconditions = 0;
    ReadConsistencyGate gate;
    uint64_t txn = 0;
    bool answer_due = false;  // of the write under way
    bool carried_out = false;
    bool must_read = false;  // before anything is written again
  };
  std::array<ControllerNode, 2> nodes;

  // What the user has been told by any controller.
  bool told_accepted = false;
  bool told_end = false;
  // What may still go wrong.
  int lost = 1;
  int refusals = 1;
  int restarts = 1;
  int mutations = 1;

  auto Key() const {
    std::vector<uint64_t> key{exists,
                              ended,
                              mod_revision,
                              leadership_preconditions,
                              revision,
                              late ? late->first + 1 : 0,
                              late ? late->second + 1 : 0,
                              late_acceptance.has_value(),
                              told_accepted,
                              told_end,
                              static_cast<uint64_t>(lost),
                              static_cast<uint64_t>(refusals),
                              static_cast<uint64_t>(restarts),
                              static_cast<uint64_t>(mutations)};
    for (const ControllerNode& n : nodes) {
      uint64_t rests_on = 0;  // the write in doubt
      while (rests_on <= revision && !n.gate.InDoubt(kId, rests_on)) ++rests_on;
      key.insert(key.end(),
                 {n.knows_job, n.knows_end, n.mod_revision, n.leads,
                  n.leadership_preconditions,
                  static_cast<uint64_t>(n.gate.StateOf(kId)), rests_on,
                  n.answer_due, n.carried_out, n.must_read});
    }
    return key;
  }
};

class Exploration {
 public:
  explicit Exploration(Without without) : without_(without) {}

  // The states that were reached; `broken` is set to the first older answer.
  size_t Run(std::string* broken) {
    Model first;
    first.nodes[0].leads = true;
    first.nodes[0].leadership_preconditions = first.leadership_preconditions;
    Add(first);
    while (!open_.empty() && broken_.empty()) {
      const Model m = open_.front();
      open_.pop_front();
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
    *broken = broken_;
    return seen_.size();
  }

 private:
  void Add(Model m) {
    if (seen_.insert(m.Key()).second) open_.push_back(std::move(m));
  }

  static void See(const Model& m, Model::ControllerNode* n) {
    n->knows_job = m.exists;
    n->knows_end = n->knows_end || m.ended;
    n->mod_revision = m.mod_revision;
    if (n->knows_end) n->gate.OnConfirmed(kId);
  }

  // A user submits: answered, lost, or to be carried out late.
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
    Add(m);  // nobody was told: the answer was lost
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
        write.second != m->leadership_preconditions) {
      return false;
    }
    m->ended = true;
    m->mod_revision = ++m->revision;
    return true;
  }

  // The leader writes the end; every way that can go.
  void Write(Model m, size_t i) {
    Model::ControllerNode& n = m.nodes[i];
    if (!n.leads || !n.knows_job || n.knows_end || n.answer_due ||
        n.must_read) {
      return;
    }
    n.gate.OnSent(++n.txn, End(n.mod_revision));
    const std::pair write{n.mod_revision, n.leadership_preconditions};
    n.answer_due = true;
    if (m.refusals > 0) {
      Model refused = m;
      --refused.refusals;
      Model::ControllerNode& r = refused.nodes[i];
      r.answer_due = false;
      r.gate.OnRejected(r.txn);
      Add(refused);
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
    n.carried_out = Execute(&m, write);
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
    if (std::exchange(n.carried_out, false)) {
      n.gate.OnApplied(n.txn);
      See(m, &n);
    } else {
      n.gate.OnRejected(n.txn, {kId});
      n.must_read = true;
    }
    Add(m);
  }

  // The read before the leader writes again.
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

  // A node that starts reads everything, and does not lead.
  void Restart(Model m, size_t i) {
    if (m.restarts == 0) return;
    --m.restarts;
    m.nodes[i] = {};
    Add(m);
  }

  // The right of the one before has run out by its own clock.
  void TakeOver(Model m, size_t i) {
    if (m.nodes[i].leads || m.mutations == 0) return;
    --m.mutations;
    Model::ControllerNode& old = m.nodes[1 - i];
    old.leads = old.answer_due = old.carried_out = old.must_read = false;
    old.gate = {};
    m.leadership_preconditions = ++m.revision;
    Model::ControllerNode& n = m.nodes[i];
    n.leads = true;
    n.leadership_preconditions = m.leadership_preconditions;
    See(m, &n);  // it has followed up to its own key
    Add(m);
  }

  JobObservation ObservationOf(const Model::ControllerNode& n) const {
    if (!n.leads || !n.knows_job) return JobObservation::kUnseen;
    if (n.knows_end) return JobObservation::kEnded;
    const bool doubt =
        n.gate.InDoubt(kId, n.mod_revision) && without_ != Without::kDoubt;
    return doubt ? JobObservation::kInDoubt : JobObservation::kLive;
  }

  // With the key-value store there for the node, and without it.
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
        // Not a fresh one: as the node knows it from before.
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
        broken_ = "an end was told, then something older";
      }
      if (m.told_accepted && decision == StatusDecision::kNoSuchJob) {
        broken_ = "accepted, then denied";
      }
      m.told_end = m.told_end || decision == StatusDecision::kTerminalState;
      m.told_accepted = m.told_accepted || decision == StatusDecision::kLive;
      if (decision == StatusDecision::kTerminalState && !m.ended)
        broken_ = "invented end";
      Add(m);
    }
  }

  const Without without_;
  std::string broken_;
  std::deque<Model> open_;
  std::set<std::vector<uint64_t>> seen_;
};

// Two controllers, one job, one write that is lost or late, one refusal, one
// restart and one change of leader, in every order.
TEST(ReadConsistencyGate, NoOrderOfEventsBringsAnOlderAnswer) {
  std::string broken;
  const size_t states = Exploration(Without::kNothing).Run(&broken);
  EXPECT_EQ(broken, "");
  std::printf("states explored: %zu\n", states);
  EXPECT_GT(states, 1000U);
}

TEST(ReadConsistencyGate, WithoutAGuardTheExplorationFindsAnOlderAnswer) {
  for (const Without without :
       {Without::kDoubt, Without::kDoubtAfterRead, Without::kRead}) {
    std::string broken;
    const size_t states = Exploration(without).Run(&broken);
    EXPECT_NE(broken, "") << static_cast<int>(without);
    std::printf("guard %d removed: found after %zu states: %s\n",
                static_cast<int>(without), states, broken.c_str());
  }
}

}  // namespace
}  // namespace oxbow
