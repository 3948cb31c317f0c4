// Each test names the failure that it prevents.

#include "core/lease/delegated_lease.h"

#include <gtest/gtest.h>

#include "core/lease/delegated_lease_record.h"
#include "core/lease/partition_detector.h"
#include "core/model/state_machine.h"

namespace oxbow {
namespace {

// A lease of 10 s, a cancellation has 40: the right lasts 29.5 s.
Settings Deployment() {
  Settings s;
  s.peers = {{"b", "z", ""}, {"c", "y", ""}};
  return s;
}

DelegatedLease Ready(Time now) {
  DelegatedLease lease(Deployment().workers);
  lease.OnRecordRewritten(now, now);
  lease.OnGranted(now);
  return lease;
}

TEST(DelegatedZoneLease, TasksOutliveTheTimeThatACancellationHas) {
  WorkerSettings w;
  EXPECT_DOUBLE_EQ(
      DelegatedLeaseTerm(w) + w.lease_seconds + CancellationMargin(w),
      w.cancel_seconds);
  w.cancel_seconds = w.lease_seconds;
  EXPECT_EQ(DelegatedLeaseTerm(w), 0);
}

TEST(DelegatedZoneLease, KeepsBeyondTheRight) {
  DelegatedLease lease = Ready(0);
  EXPECT_TRUE(lease.Renew(29));
  EXPECT_FALSE(lease.Renew(29.5));
}

TEST(DelegatedZoneLease, KeepsWhatANewLeaderWasToldItMayNot) {
  // The record ended, a new leader found none, and it is written again: what
  // the old leader granted is void.
  DelegatedLease lease = Ready(0);
  lease.OnRecordRewritten(5, 5.1);
  EXPECT_FALSE(lease.Renew(6));
  lease.OnGranted(5);  // asked before
  EXPECT_FALSE(lease.Renew(6));
  lease.OnGranted(5.2);
  EXPECT_TRUE(lease.Renew(6));
}

TEST(DelegatedZoneLease, KeepsAlthoughItStandsBack) {
  DelegatedLease lease = Ready(0);
  EXPECT_TRUE(lease.OnYieldRequested(1));
  EXPECT_FALSE(lease.Renew(1.9));
  EXPECT_TRUE(lease.Renew(2.1));
  EXPECT_FALSE(lease.OnYieldRequested(2.5));  // it has just kept
  EXPECT_NEAR(lease.RenewedAgo(2.5), 0.4, 1e-9);
}

TEST(DelegatedZoneLease, SessionIsOverWhileItsDelegateIsOutOfReach) {
  DelegatedLeases rights(Deployment(), 100, std::set<std::string>{"b"});
  EXPECT_TRUE(rights.MayBeRenewed("z", 139));
  // The right, and a lease after it.
  EXPECT_FALSE(rights.MayBeRenewed("z", 100 + 29.5 + 10.2));
  // Nobody's record is there for the other zone.
  EXPECT_FALSE(rights.MayBeRenewed("y", 110.2));
}

TEST(DelegatedZoneLease, WhatIsNotKnownIsTakenForARight) {
  DelegatedLeases rights(Deployment(), 100, std::nullopt);
  EXPECT_TRUE(rights.MayBeRenewed("y", 139));
}

TEST(DelegatedZoneLease, DeadMachinesWaitForTheWholeRight) {
  // One that can be asked stands back, and has not kept for a lease.
  DelegatedLeases rights(Deployment(), 100, std::set<std::string>{"b"});
  rights.Grant("b", "life", 50, 150);
  rights.LeaseYielded("b", "life", 60, -1, 160, 160.1);
  EXPECT_FALSE(rights.MayBeRenewed("z", 160.5));
  EXPECT_TRUE(rights.MayBeRenewed("z", 161.1));  // its word is over
  rights.LeaseYielded("b", "life", 62, 3, 162, 162.1);
  EXPECT_TRUE(rights.MayBeRenewed("z", 162.5));  // kept three seconds ago
}

TEST(DelegatedZoneLease, StartedAgainItHasForgottenThatItStoodBack) {
  DelegatedLeases rights(Deployment(), 100, std::set<std::string>{});
  rights.Grant("b", "one", 50, 150);
  rights.LeaseYielded("b", "one", 60, -1, 160, 160.1);
  rights.Grant("b", "two", 0.1, 160.3);
  EXPECT_TRUE(rights.MayBeRenewed("z", 160.5));
  // The word of its former life was held back on the way.
  rights.LeaseYielded("b", "one", 60, -1, 160.2, 160.6);
  EXPECT_TRUE(rights.MayBeRenewed("z", 160.7));
  // The new life has not kept; the former may have, until just before it.
  rights.LeaseYielded("b", "two", 0.5, -1, 160.6, 160.7);
  EXPECT_TRUE(rights.MayBeRenewed("z", 160.8));
  rights.LeaseYielded("b", "two", 12, -1, 172, 172.1);
  EXPECT_FALSE(rights.MayBeRenewed("z", 172.2));
}

TEST(DelegatedZoneLease, RecordReadBeforeAGrantEndsIt) {
  DelegatedLeases rights(Deployment(), 100, std::set<std::string>{"b"});
  rights.Grant("b", "life", 50, 150);
  rights.OnRecordsRead({}, 149.9, 150.1);
  EXPECT_TRUE(rights.MayBeRenewed("z", 165));
  rights.OnRecordsRead({}, 151, 151.1);
  EXPECT_TRUE(rights.MayBeRenewed("z", 161));
  EXPECT_FALSE(rights.MayBeRenewed("z", 161.3));
}

// --- the record, and what a former life has left under way

TEST(DelegatedLeaseRecord, KeyOnALeaseThatNobodyRenews) {
  // The write was not answered: it may yet come. The next one is made under
  // what the key shows then, so only one of the two can succeed.
  DelegatedLease lease(Deployment().workers);
  DelegatedLeaseRecord record(lease);
  record.OnKeyRead(0);
  record.LeaseGranted(7, 1);
  record.OnRecordNotWritten();
  EXPECT_EQ(record.step(), RecordStep::kRead);
  record.OnKeyRead(40);  // it did come
  record.LeaseGranted(8, 2);
  EXPECT_EQ(record.mod_revision(), 40U);
  EXPECT_EQ(record.lease_id(), 8U);
  record.OnRecordWritten(2.1);
  EXPECT_EQ(record.step(), RecordStep::kRenew);
  EXPECT_THROW(record.OnKeyRead(41), IllegalTransition);
}

// Where no write was ever answered, the record was written anew for ever, and
// its controller never had the right to renew its zone's workers.
TEST(DelegatedLeaseRecord, AnUnansweredWriteIsFoundByItsLease) {
  DelegatedLease lease(Deployment().workers);
  DelegatedLeaseRecord record(lease);
  record.OnKeyReadWithLease(0, 0, 0);
  record.LeaseGranted(7, 0);
  record.OnRecordNotWritten();
  record.OnKeyReadWithLease(40, 6,
                            0.4);  // a former process's, or an older try's
  EXPECT_EQ(record.step(), RecordStep::kLease);
  record.LeaseGranted(8, 0.5);
  record.OnRecordNotWritten();
  lease.OnGranted(0.6);  // not known to be recorded
  record.OnKeyReadWithLease(41, 8, 0.7);
  EXPECT_EQ(record.step(), RecordStep::kRenew);
  EXPECT_FALSE(lease.Renew(0.8));
  lease.OnGranted(0.9);
  EXPECT_TRUE(lease.Renew(1));
  // A lease that has ended proves nothing any more.
  record.LeaseEnded();
  record.OnKeyReadWithLease(42, 8, 1.1);
  EXPECT_EQ(record.step(), RecordStep::kLease);
}

TEST(DelegatedLeaseRecord, KeepsBeyondItsRecord) {
  DelegatedLease lease(Deployment().workers);
  DelegatedLeaseRecord record(lease);
  lease.OnGranted(0);  // before there is one
  record.OnKeyRead(0);
  record.LeaseGranted(7, 0);
  record.OnRecordWritten(0.5);
  EXPECT_FALSE(lease.Renew(1));
  lease.OnGranted(1);
  EXPECT_TRUE(lease.Renew(1.5));
  record.LeaseEnded();
  record.OnKeyRead(0);
  record.LeaseGranted(9, 2);
  record.OnRecordWritten(2.5);
  EXPECT_FALSE(lease.Renew(3));  // granted before the new record
}

// --- a zone that is cut off, or a controller that alone is

Heartbeat Shows(const std::string& host, uint64_t seq, uint64_t token) {
  Heartbeat heartbeat;
  heartbeat.host = host;
  heartbeat.incarnation = 1;
  heartbeat.seq = seq;
  heartbeat.token = token;
  return heartbeat;
}

TEST(PartitionDetector, WorkersAreKeptFromALeaderThatAsksForThem) {
  PartitionDetector signs(Deployment().workers);
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 5, 9), 0));
  signs.OnAnswered(Shows("n", 5, 9), 0);
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 6, 9), 1));
  signs.OnAnswered(Shows("n", 6, 9), 1);
  // Between the two it has answered somebody.
  EXPECT_TRUE(signs.ShouldRedirect(Shows("n", 8, 9), 2));
  // So the others of the zone are not cut off either.
  EXPECT_TRUE(signs.ShouldRedirect(Shows("m", 50, 9), 3));
}

TEST(PartitionDetector, WorkersAreKeptFromANewLeader) {
  PartitionDetector signs(Deployment().workers);
  signs.OnAnswered(Shows("n", 5, 9), 0);
  EXPECT_TRUE(signs.ShouldRedirect(Shows("n", 6, 10), 1));
}

TEST(PartitionDetector, WorkerBehindACutLosesItsLeaseToAFalseSign) {
  PartitionDetector signs(Deployment().workers);
  signs.OnAnswered(Shows("n", 5, 9), 0);
  // It has tried the others, in vain: each heartbeat made for them counts.
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 9, 9), 6));
  signs.OnAnswered(Shows("n", 9, 9), 6);
  // A new incarnation counts from one again.
  Heartbeat next = Shows("n", 3, 9);
  next.incarnation = 2;
  EXPECT_FALSE(signs.ShouldRedirect(next, 7));
  signs.OnAnswered(next, 7);
  // A copy of an older report.
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 5, 9), 7.5));
  signs.OnAnswered(Shows("n", 5, 9), 7.5);
  next.seq = 4;
  EXPECT_FALSE(signs.ShouldRedirect(next, 8));
}

TEST(PartitionDetector, OneThatNobodyElseAnswersIsSentOnAgainAndAgain) {
  PartitionDetector signs(Deployment().workers);
  signs.OnAnswered(Shows("n", 5, 9), 0);
  EXPECT_TRUE(signs.ShouldRedirect(Shows("n", 7, 9), 1));
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 12, 9), 5));  // it is back
  signs.OnAnswered(Shows("n", 12, 9), 5);
  EXPECT_FALSE(signs.ShouldRedirect(Shows("n", 14, 9), 6));
  // For a lease, for there may be a leader by now.
  signs.OnAnswered(Shows("n", 24, 9), 11);
  EXPECT_TRUE(signs.ShouldRedirect(Shows("n", 26, 9), 12));
}

}  // namespace
}  // namespace oxbow
