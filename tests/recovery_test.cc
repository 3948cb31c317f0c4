// Store epochs, the verification of the key-value store, retained records
// against what the store holds, terminal states, and the choice of peers: each
// by itself.

#include <gtest/gtest.h>

#include "clients/retained_records_page.h"
#include "core/catalog/catalog.h"
#include "core/lease/fencing_token_source.h"
#include "core/lease/leadership.h"
#include "core/recovery/peer_selector.h"
#include "core/recovery/store_epoch.h"
#include "core/recovery/store_verification.h"
#include "core/recovery/terminal_state_index.h"
#include "tests/known_account.h"

namespace oxbow {
namespace {

using enum StoreVerificationState;

JobRecord JobOf(const std::string& id,
                TerminalState end = TerminalState::kNone) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = id;
  return {spec, 0, end, 0};
}

std::string JobKey(const std::string& id) { return keys::Of(keys::kJob, id); }

void OpenEpoch(Catalog& catalog, uint64_t number, uint64_t mod_revision) {
  StoreEpoch epoch;
  epoch.number = number;
  epoch.id = "e" + std::to_string(number);
  epoch.rebuilt = number == 1;
  catalog.Put(keys::Of(keys::kEpochMark, epoch.id), EpochMark{number, 0},
              mod_revision);
  catalog.Put(std::string(keys::kEpoch), epoch, mod_revision);
}

// --- terms

// Whatever revision the store counts from after a loss, the terms of a later
// epoch are above all that were shown; those that nobody knows of are within
// the margin.
TEST(Epoch, TermsOfALaterEpochAreAboveAllBefore) {
  const uint64_t shown = 4711;
  StoreEpoch next;
  next.base = NextBase(shown, 1.7e9);
  EXPECT_GT(TermOf(next, 1), shown + 1'000'000);
  StoreEpoch after;
  after.base = NextBase(TermOf(next, 90'000), 1.7e9);
  EXPECT_GT(TermOf(after, 1), TermOf(next, 90'000'000));
}

TEST(Epoch, WithNothingRememberedTheClockKeepsEpochsApart) {
  const double opened = 1.8e9;
  StoreEpoch first;
  first.base = NextBase(0, opened);
  // Two thousand changes a second for an hour, then everything is lost again.
  const uint64_t last = TermOf(first, 2000 * 3600);
  EXPECT_GT(NextBase(0, opened + 3600), last);
}

TEST(Epoch, ATermFitsItsBitsForEver) {
  EXPECT_LT(NextBase(0, 1e12), uint64_t{1} << kTermBits);
  const uint64_t token = FirstFencingToken(NextBase(0, 1e12));
  EXPECT_EQ(TermOfToken(token), NextBase(0, 1e12));
}

// --- store verification

class SuspectedDataLoss : public testing::Test {
 public:
  SuspectedDataLoss() { verification_.OnEpoch(1, true); }
  StoreVerification verification_;
};

TEST_F(SuspectedDataLoss, AnIndicationAloneIsNoLoss) {
  EXPECT_TRUE(
      verification_.OnIndication(DataLossIndication::kRevisionDecreased));
  EXPECT_FALSE(verification_.OnIndication(
      DataLossIndication::kEpochMissing));  // examined already
  EXPECT_FALSE(verification_.MayDeny());
  verification_.OnRound(StoreCheck::kIntact, PeerFinding::kNone);
  EXPECT_EQ(verification_.state(), kVerified);
  EXPECT_TRUE(verification_.MayDeny());
}

TEST_F(SuspectedDataLoss, ALossIsCertainAfterTwoRoundsThatAgree) {
  verification_.OnIndication(DataLossIndication::kEpochMissing);
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  EXPECT_EQ(verification_.state(), kSuspected);
  verification_.OnRound(StoreCheck::kNoAnswer,
                        PeerFinding::kNone);  // an outage settles nothing
  EXPECT_EQ(verification_.state(), kSuspected);
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  EXPECT_EQ(verification_.state(), kLost);
  EXPECT_FALSE(verification_.MayAccept(true));
  EXPECT_FALSE(verification_.MayCampaign());
}

// It reads a stale copy: the others find the store intact.
TEST_F(SuspectedDataLoss, ARecordThatOnlyThisControllerMissesIsNoLoss) {
  verification_.OnIndication(DataLossIndication::kRevisionDecreased);
  for (int i = 0; i < 20; ++i)
    verification_.OnRound(StoreCheck::kMissing, PeerFinding::kIntact);
  EXPECT_EQ(verification_.state(), kSuspected);
  EXPECT_FALSE(verification_.MayCampaign());
  verification_.OnRound(StoreCheck::kIntact, PeerFinding::kIntact);
  EXPECT_EQ(verification_.state(), kVerified);
}

TEST_F(SuspectedDataLoss, DuringReconciliationOnlyTheLeaderAccepts) {
  verification_.OnIndication(DataLossIndication::kEpochMissing);
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  verification_.OnEpoch(2, false);
  EXPECT_EQ(verification_.state(), kReconciling);
  EXPECT_TRUE(verification_.MayAccept(true));
  EXPECT_FALSE(verification_.MayAccept(false));
  EXPECT_FALSE(verification_.MayDeny());
  verification_.OnEpoch(2, true);
  EXPECT_EQ(verification_.state(), kVerified);
}

TEST_F(SuspectedDataLoss, ALossDuringReconciliationIsDetected) {
  verification_.OnEpoch(2, false);
  EXPECT_TRUE(
      verification_.OnIndication(DataLossIndication::kRevisionDecreased));
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  verification_.OnRound(StoreCheck::kMissing, PeerFinding::kNone);
  EXPECT_EQ(verification_.state(), kLost);
  verification_.OnEpoch(3, false);
  EXPECT_EQ(verification_.state(), kReconciling);
}

// An epoch's record that is read late says nothing about the present epoch.
TEST_F(SuspectedDataLoss, AnEarlierEpochIsIgnored) {
  verification_.OnEpoch(2, false);
  verification_.OnEpoch(1, true);
  EXPECT_EQ(verification_.state(), kReconciling);
}

// --- retained records

class RetainedRecords : public testing::Test {
 public:
  RetainedRecords() {
    OpenEpoch(catalog_, 1, 5);
    catalog_.Put(JobKey("job-000001"), JobOf("job-000001"), 10);
    catalog_.Put(JobKey("job-000002"), JobOf("job-000002"), 20);
    catalog_.AdvanceWatch(20);
  }
  TerminalState TerminalStateOf(const std::string& id) {
    return catalog_.FindJob(id)->terminal_state;
  }
  Catalog catalog_;
};

// An empty listing of a new epoch must not erase the last copies there are.
TEST_F(RetainedRecords, ANewEpochMakesAllRecordsPendingWrites) {
  OpenEpoch(catalog_, 2, 3);
  catalog_.EraseMissing({}, 100);
  EXPECT_EQ(catalog_.pending_writes().size(), 2U);
  ASSERT_NE(catalog_.FindJob("job-000001"), nullptr);
  EXPECT_EQ(catalog_.FindJob("job-000001")->mod_revision, 0U);
  // A read that does not find it either.
  catalog_.MarkMissing(JobKey("job-000001"), 100);
  EXPECT_NE(catalog_.FindJob("job-000001"), nullptr);
}

TEST_F(RetainedRecords, AnOlderCopyIsReplacedAtItsRevision) {
  OpenEpoch(catalog_, 2, 15);
  EXPECT_FALSE(catalog_.Put(JobKey("job-000002"), JobOf("job-000002"), 8));
  EXPECT_TRUE(catalog_.pending_writes().contains(JobKey("job-000002")));
  EXPECT_EQ(catalog_.FindJob("job-000002")->mod_revision, 8U);
}

TEST_F(RetainedRecords, ARecordThatTheStoreStillHoldsIsNoPendingWrite) {
  OpenEpoch(catalog_, 2, 15);
  EXPECT_TRUE(catalog_.Put(JobKey("job-000001"), JobOf("job-000001"), 10));
  EXPECT_FALSE(catalog_.pending_writes().contains(JobKey("job-000001")));
}

TEST_F(RetainedRecords, AChangeInTheNewEpochReplacesTheRetainedRecord) {
  OpenEpoch(catalog_, 2, 3);
  catalog_.Put(JobKey("job-000001"),
               JobOf("job-000001", TerminalState::kAborted), 4);
  EXPECT_EQ(TerminalStateOf("job-000001"), TerminalState::kAborted);
  EXPECT_FALSE(catalog_.pending_writes().contains(JobKey("job-000001")));
}

TEST_F(RetainedRecords, ATerminalStateWinsOverALaterLiveRecord) {
  // This controller lags behind: another one has seen the cancellation.
  OpenEpoch(catalog_, 2, 3);
  EXPECT_TRUE(catalog_.MergeRetained(
      JobKey("job-000001"), JobOf("job-000001", TerminalState::kAborted),
      {1, 12}));
  EXPECT_FALSE(catalog_.MergeRetained(JobKey("job-000001"), JobOf("job-000001"),
                                      {1, 19}));
  EXPECT_EQ(TerminalStateOf("job-000001"), TerminalState::kAborted);
}

TEST_F(RetainedRecords, AJobThatHasEndedIsNotRevivedByAnOlderCopy) {
  catalog_.Put(JobKey("job-000001"),
               JobOf("job-000001", TerminalState::kAborted), 21);
  catalog_.Erase(JobKey("job-000001"), 22);
  ASSERT_EQ(catalog_.FindJob("job-000001"), nullptr);
  OpenEpoch(catalog_, 2, 15);
  catalog_.Put(JobKey("job-000001"), JobOf("job-000001"), 10);
  EXPECT_EQ(TerminalStateOf("job-000001"), TerminalState::kAborted);
  // Nor by another controller that retains it as live.
  EXPECT_FALSE(catalog_.MergeRetained(JobKey("job-000001"), JobOf("job-000001"),
                                      {1, 10}));
}

// A controller that lags behind sends its records before another sends the
// terminal state.
TEST_F(RetainedRecords, ATerminalStateThatOthersKnowIsAppliedToALiveRecord) {
  OpenEpoch(catalog_, 2, 3);
  catalog_.terminal_states().Add("job-000001", TerminalState::kAborted);
  catalog_.ApplyTerminalStates();
  EXPECT_EQ(TerminalStateOf("job-000001"), TerminalState::kAborted);
  EXPECT_TRUE(catalog_.pending_writes().contains(JobKey("job-000001")));
  EXPECT_EQ(TerminalStateOf("job-000002"), TerminalState::kNone);
}

// It may have been acted on, or shown to its user, while the store had stepped
// back.
TEST_F(RetainedRecords, ATerminalStateThatWasReadIsNeverDropped) {
  EXPECT_TRUE(catalog_.Put(JobKey("job-000002"),
                           JobOf("job-000002", TerminalState::kAborted), 15));
  EXPECT_EQ(TerminalStateOf("job-000002"), TerminalState::kAborted);
  EXPECT_TRUE(catalog_.Put(JobKey("job-000001"),
                           JobOf("job-000001", TerminalState::kDone), 5));
  EXPECT_EQ(catalog_.FindTerminalState("job-000001"), TerminalState::kDone);
}

// Whoever watches the records has the cancellation before its tasks have ended,
// and must not report it: another controller may still keep them alive.
TEST_F(RetainedRecords, ACancellationIsTerminalOnceItsRecordHasMoved) {
  catalog_.Put(JobKey("job-000002"),
               JobOf("job-000002", TerminalState::kAborted), 25);
  EXPECT_EQ(TerminalStateOf("job-000002"), TerminalState::kAborted);
  EXPECT_EQ(catalog_.FindTerminalState("job-000002"), TerminalState::kNone);
  EXPECT_EQ(catalog_.terminal_states().Find("job-000002"),
            TerminalState::kNone);
  catalog_.Erase(JobKey("job-000002"), 26);
  EXPECT_EQ(catalog_.FindTerminalState("job-000002"), TerminalState::kAborted);
  EXPECT_EQ(catalog_.FindTerminalRecord("job-000002").tasks, 1U);
  // A live record that is deleted alone is no terminal state.
  catalog_.Erase(JobKey("job-000001"), 27);
  EXPECT_EQ(catalog_.FindTerminalState("job-000001"), TerminalState::kNone);
}

TEST_F(RetainedRecords, WithinAnEpochTheHigherRevisionWins) {
  OpenEpoch(catalog_, 2, 3);
  EXPECT_FALSE(catalog_.MergeRetained(JobKey("job-000002"), JobOf("job-000002"),
                                      {1, 19}));
  EXPECT_TRUE(catalog_.MergeRetained(JobKey("job-000003"), JobOf("job-000003"),
                                     {1, 25}));
  EXPECT_TRUE(catalog_.pending_writes().contains(JobKey("job-000003")));
}

TEST_F(RetainedRecords, AfterTwoLossesARecordKeepsItsLastKnownVersion) {
  OpenEpoch(catalog_, 2, 3);
  OpenEpoch(catalog_, 3, 3);
  EXPECT_EQ(catalog_.VersionOf(JobKey("job-000002")), (Version{1, 20}));
  EXPECT_EQ(catalog_.pending_writes().size(), 2U);
}

TEST_F(RetainedRecords, AnEarlierEpochIsIgnored) {
  OpenEpoch(catalog_, 2, 3);
  OpenEpoch(catalog_, 1, 50);
  EXPECT_EQ(catalog_.epoch().number, 2U);
}

// The key's name belongs to the epoch: a write of the epoch before does not
// meet its precondition, even if the revisions are the same.
TEST_F(RetainedRecords, TheGuardsOfTwoEpochsDiffer) {
  const auto before = catalog_.Guard();
  OpenEpoch(catalog_, 2, 5);
  EXPECT_EQ(catalog_.Guard().mod_revision, before.mod_revision);
  EXPECT_NE(catalog_.Guard().key, before.key);
}

// --- terminal states

TEST(TerminalStateIndex, OnlyOneFormOfAnIdIsIndexed) {
  EXPECT_EQ(TerminalStateIndex::NumberOf("job-000412"), 412U);
  EXPECT_EQ(TerminalStateIndex::NumberOf("job-1234567"), 1234567U);
  for (const char* id : {"job-412", "job-0000412", "job-00041x", "run-000412",
                         "job-99999999999", "job-", ""}) {
    EXPECT_FALSE(TerminalStateIndex::NumberOf(id)) << id;
  }
  EXPECT_EQ(TerminalStateIndex::IdOf(412), "job-000412");
}

TEST(TerminalStateIndex, ATerminalStateIsNeverChanged) {
  TerminalStateIndex index;
  index.Add("job-000001", TerminalState::kAborted);
  index.Add("job-000001", TerminalState::kDone);
  EXPECT_EQ(index.Find("job-000001"), TerminalState::kAborted);
  TerminalStateIndex other;
  other.Add("job-000001", TerminalState::kDone);
  other.Add("job-000002", TerminalState::kDone);
  EXPECT_TRUE(
      index.Merge(TerminalState::kDone, other.Encode(TerminalState::kDone)));
  EXPECT_EQ(index.Find("job-000001"), TerminalState::kAborted);
  EXPECT_EQ(index.Find("job-000002"), TerminalState::kDone);
  EXPECT_FALSE(index.Merge(TerminalState::kDone, "no such bytes"));
}

TEST(TerminalStateIndex, AMillionEntriesTakeAFewMegabytes) {
  TerminalStateIndex index;
  for (uint32_t i = 0; i < 1'000'000; ++i) {
    index.Add(TerminalStateIndex::IdOf(i),
              i % 7 == 0 ? TerminalState::kAborted : TerminalState::kDone);
  }
  EXPECT_EQ(index.size(), 1'000'000U);
  constexpr size_t kMost = 1'000'000;  // bytes
  EXPECT_LT(index.Encode(TerminalState::kDone).size() +
                index.Encode(TerminalState::kAborted).size(),
            kMost);
}

TEST(RetainedRecordsPage, DecodesWhatWasEncodedAndRefusesATruncatedPage) {
  const std::vector<clients::RetainedRecord> page = {
      {"ob/live/j/job-000001", {1, 10}, R"({"t":1.0})"},
      {"ob/live/m/n-1", {2, 0}, "{}"}};
  const std::string bytes = clients::EncodeRetainedRecords(page);
  const auto decoded = clients::DecodeRetainedRecords(bytes);
  ASSERT_TRUE(decoded.has_value());
  ASSERT_EQ(decoded->size(), 2U);
  EXPECT_EQ((*decoded)[0].record, page[0].record);
  EXPECT_EQ((*decoded)[1].version, page[1].version);
  for (size_t cut = 0; cut < bytes.size(); cut += 3) {
    EXPECT_FALSE(
        clients::DecodeRetainedRecords(bytes.substr(0, cut)).has_value());
  }
}

// --- to whom users' requests are forwarded

// Three peers that have no answer and one that has: a request reaches it,
// whatever those before it have reached.
TEST(PeerSelector, EveryRequestMayReachEveryPeerThatAnswers) {
  PeerSelector choice(4, 0.1, 0.5, 5);
  choice.OnRequestResolved(2);
  EXPECT_EQ(choice.PreferenceOrder(), (std::vector<size_t>{2, 3, 0, 1}));
  for (const size_t peer : choice.PreferenceOrder())
    EXPECT_TRUE(choice.IsResponsive(peer));
}

TEST(PeerSelector, NoRequestWaitsForASilentPeerUntilATrialSucceeds) {
  PeerSelector choice(2, 0.1, 0.5, 5);
  choice.OnPeerSilent(0, 1);
  choice.OnPeerSilent(0, 1.01);  // another request that waited for it
  EXPECT_FALSE(choice.IsResponsive(0));
  EXPECT_TRUE(choice.IsResponsive(1));
  EXPECT_FALSE(choice.MayProbe(0, 1.05));
  EXPECT_TRUE(choice.MayProbe(0, 1.11));
  EXPECT_FALSE(choice.MayProbe(0, 1.12));  // in progress
  EXPECT_FALSE(choice.IsResponsive(0));
  choice.OnPeerSilent(0, 1.2);
  EXPECT_FALSE(choice.MayProbe(0, 1.35));  // twice as long
  EXPECT_TRUE(choice.MayProbe(0, 1.41));
  choice.OnPeerAnswered(0);
  EXPECT_TRUE(choice.IsResponsive(0));
  EXPECT_FALSE(choice.MayProbe(0, 1.42));
}

// A rest is never longer than the maximum, however long the peer was silent.
TEST(PeerSelector, ARestIsBounded) {
  PeerSelector choice(1, 0.1, 0.5, 5);
  double now = 0;
  for (int i = 0; i < 50; ++i) {
    choice.OnPeerSilent(0, now);
    now += 0.51;
    EXPECT_TRUE(choice.MayProbe(0, now)) << i;
  }
}

// Many requests that nobody can answer don't keep out one that somebody can:
// those that are answered cost nothing.
TEST(PeerSelector, OnlyUnansweredRequestsAreLimited) {
  PeerSelector choice(2, 0.1, 0.5, 5);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(choice.MayForwardRequest(10)) << i;
    choice.OnRequestResolved(1);
  }
  int unanswered = 0;
  for (int i = 0; i < 100; ++i)
    unanswered += choice.MayForwardRequest(10) ? 1 : 0;
  EXPECT_EQ(unanswered, 5);
  EXPECT_TRUE(choice.MayForwardRequest(10.21));
}

// --- the tests' own account of what users are told

class Account : public testing::Test {
 public:
  Account() { account_.Accepted("job-000001", 10); }
  std::string Heard(int status, const std::string& word, double asked) {
    return account_.Heard("job-000001", status,
                          R"({"status":")" + word + R"("})", asked, asked);
  }
  test::KnownAccount account_{75};
};

TEST_F(Account, SilenceIsCountedForEachJobAndFromTheLastTrouble) {
  account_.Accepted("job-000002", 10);
  for (double now = 10; now < 80; now += 5) {
    account_.Heard("job-000002", 200, R"({"status":"running"})", now, now);
    Heard(503, "", now);  // no answer
  }
  EXPECT_TRUE(account_.Forgotten(84).empty());
  EXPECT_EQ(account_.Forgotten(86), std::vector<std::string>{"job-000001"});
  account_.Trouble(60);
  EXPECT_TRUE(account_.Forgotten(134).empty());
  EXPECT_EQ(account_.Forgotten(136).size(), 1U);
}

TEST_F(Account, AnOlderAnswerIsFound) {
  EXPECT_EQ(Heard(200, "running", 11), "");
  EXPECT_NE(Heard(404, "", 12), "");
  EXPECT_EQ(Heard(200, "done", 20), "");
  EXPECT_NE(Heard(200, "running", 21), "");
  EXPECT_NE(Heard(200, "aborted", 22), "");
  EXPECT_EQ(Heard(200, "done", 23), "");
}

TEST_F(Account, WhatWasAskedBeforeIsNotHeldAgainstTheAnswer) {
  account_.CancelAsked("job-000001");
  account_.Ended("job-000001", "aborted", 20);
  EXPECT_EQ(Heard(200, "running", 19), "");
  EXPECT_NE(Heard(200, "running", 20.5), "");
}

TEST_F(Account, NothingIsInventedAndNothingCancelledByItself) {
  account_.NeverSubmitted("job-000009");
  EXPECT_EQ(account_.Heard("job-000009", 404, "", 11, 11), "");
  EXPECT_NE(account_.Heard("job-000009", 200, "{}", 12, 12), "");
  EXPECT_TRUE(account_.Forgotten(1000).size() == 1);
  EXPECT_NE(Heard(200, "aborted", 12), "");
}

// --- the right to lead

// Whoever leads by lost data can't be read: the longest right is waited out,
// unless all others say that they don't lead.
TEST(LeadershipAfterALoss, AllPeersAreAskedAgain) {
  Leadership leadership({"b", "c"}, 2.5, 6, 0, 0);
  for (const char* peer : {"b", "c"}) leadership.PeerDoesNotLead(peer);
  EXPECT_TRUE(leadership.MayCampaign(1));
  leadership.ResetAfterDataLoss(10);
  EXPECT_FALSE(leadership.MayCampaign(12));
  leadership.PeerDoesNotLead("b");
  EXPECT_FALSE(leadership.MayCampaign(12));
  leadership.PeerDoesNotLead("c");
  EXPECT_TRUE(leadership.MayCampaign(12));
  leadership.ResetAfterDataLoss(20);
  EXPECT_TRUE(leadership.MayCampaign(20 + 6.1));
}

TEST(LeadershipAfterALoss, AValidRightContinuesUnderTheNewKey) {
  Leadership leadership({"b"}, 2.5, 6, 0, -100);
  leadership.OnCampaignStarted(0);
  leadership.OnElected(41, 1, 0);
  ASSERT_TRUE(leadership.MayActAsLeader(1));
  leadership.Rewon(7, 2, 1);
  EXPECT_TRUE(leadership.MayActAsLeader(3));
  EXPECT_EQ(leadership.revision(), 7U);
  EXPECT_FALSE(leadership.MayActAsLeader(4));
}

}  // namespace
}  // namespace oxbow
