// Delegated leases, their records, and PartitionDetector. Most tests are named
// after the failure that they guard against. Times are in seconds.

#include "core/lease/delegated_lease.h"

#include <gtest/gtest.h>

#include "core/lease/delegated_lease_record.h"
#include "core/lease/partition_detector.h"
#include "core/model/state_machine.h"

namespace oxbow {
namespace {

// Workers' leases last 10 s and a cancellation may take 40 s, so a delegated
// lease lasts 29.5 s.
Settings TwoPeerSettings() {
  Settings s;
  s.peers = {{"b", "z", ""}, {"c", "y", ""}};
  return s;
}

DelegatedLease GrantedLease(Time now) {
  DelegatedLease lease(TwoPeerSettings().workers);
  lease.OnRecordRewritten(now, now);
  lease.OnGranted(now);
  return lease;
}

TEST(DelegatedZoneLease, TasksOutliveTheTimeThatACancellationMayTake) {
  WorkerSettings w;
  EXPECT_DOUBLE_EQ(
      DelegatedLeaseTerm(w) + w.lease_seconds + CancellationMargin(w),
      w.cancel_seconds);
  w.cancel_seconds = w.lease_seconds;
  EXPECT_EQ(DelegatedLeaseTerm(w), 0);
}

TEST(DelegatedZoneLease, RenewsWorkersAfterTheDelegatedLeaseHasExpired) {
  DelegatedLease lease = GrantedLease(0);
  EXPECT_TRUE(lease.Renew(29));
  EXPECT_FALSE(lease.Renew(29.5));
}

TEST(DelegatedZoneLease, RenewsWorkersOnAGrantThatANewLeaderDoesNotKnowOf) {
  // The record expired, a new leader found none, and the record is written
  // again: the old leader's grant is void.
  DelegatedLease lease = GrantedLease(0);
  lease.OnRecordRewritten(5, 5.1);
  EXPECT_FALSE(lease.Renew(6));
  lease.OnGranted(5);  // requested before the record was written
  EXPECT_FALSE(lease.Renew(6));
  lease.OnGranted(5.2);
  EXPECT_TRUE(lease.Renew(6));
}

TEST(DelegatedZoneLease, RenewsWorkersWhileItYields) {
  DelegatedLease lease = GrantedLease(0);
  EXPECT_TRUE(lease.OnYieldRequested(1));
  EXPECT_FALSE(lease.Renew(1.9));
  EXPECT_TRUE(lease.Renew(2.1));
  EXPECT_FALSE(lease.OnYieldRequested(2.5));  // it has just renewed a lease
  EXPECT_NEAR(lease.RenewedAgo(2.5), 0.4, 1e-9);
}

TEST(DelegatedZoneLease, WorkerCountsAsExpiredWhileItsDelegateIsUnreachable) {
  DelegatedLeases leases(TwoPeerSettings(), 100, std::set<std::string>{"b"});
  EXPECT_TRUE(leases.MayBeRenewed("z", 139));
  // After the delegated lease, and a worker's lease after that.
  EXPECT_FALSE(leases.MayBeRenewed("z", 100 + 29.5 + 10.2));
  // No controller in the other zone has a record.
  EXPECT_FALSE(leases.MayBeRenewed("y", 110.2));
}

TEST(DelegatedZoneLease, UnknownRecordsCountAsDelegatedLeases) {
  DelegatedLeases leases(TwoPeerSettings(), 100, std::nullopt);
  EXPECT_TRUE(leases.MayBeRenewed("y", 139));
}

TEST(DelegatedZoneLease, DeadMachinesWaitForTheEndOfTheDelegatedLease) {
  // A delegate that can be asked yields, and has not renewed a worker's lease
  // for the length of such a lease.
  DelegatedLeases leases(TwoPeerSettings(), 100, std::set<std::string>{"b"});
  leases.Grant("b", "process", 50, 150);
  leases.LeaseYielded("b", "process", 60, -1, 160, 160.1);
  EXPECT_FALSE(leases.MayBeRenewed("z", 160.5));
  EXPECT_TRUE(leases.MayBeRenewed("z", 161.1));  // it no longer yields
  leases.LeaseYielded("b", "process", 62, 3, 162, 162.1);
  EXPECT_TRUE(leases.MayBeRenewed("z", 162.5));  // renewed 3 s ago
}

TEST(DelegatedZoneLease, RestartedDelegateDoesNotKnowThatItYielded) {
  DelegatedLeases leases(TwoPeerSettings(), 100, std::set<std::string>{});
  leases.Grant("b", "one", 50, 150);
  leases.LeaseYielded("b", "one", 60, -1, 160, 160.1);
  leases.Grant("b", "two", 0.1, 160.3);
  EXPECT_TRUE(leases.MayBeRenewed("z", 160.5));
  // A delayed answer of the earlier process.
  leases.LeaseYielded("b", "one", 60, -1, 160.2, 160.6);
  EXPECT_TRUE(leases.MayBeRenewed("z", 160.7));
  // The new process has renewed no lease, but the earlier one may have, until
  // just before the restart.
  leases.LeaseYielded("b", "two", 0.5, -1, 160.6, 160.7);
  EXPECT_TRUE(leases.MayBeRenewed("z", 160.8));
  leases.LeaseYielded("b", "two", 12, -1, 172, 172.1);
  EXPECT_FALSE(leases.MayBeRenewed("z", 172.2));
}

TEST(DelegatedZoneLease, RecordReadBeforeAGrantEndsIt) {
  DelegatedLeases leases(TwoPeerSettings(), 100, std::set<std::string>{"b"});
  leases.Grant("b", "process", 50, 150);
  leases.OnRecordsRead({}, 149.9, 150.1);
  EXPECT_TRUE(leases.MayBeRenewed("z", 165));
  leases.OnRecordsRead({}, 151, 151.1);
  EXPECT_TRUE(leases.MayBeRenewed("z", 161));
  EXPECT_FALSE(leases.MayBeRenewed("z", 161.3));
}

// --- The record, and delayed writes of an earlier process.

TEST(DelegatedLeaseRecord, KeyIsAttachedToALeaseThatIsNotRenewed) {
  // The first write was not answered and may still be applied. The precondition
  // of the next one is the revision that the key has then, so only one of the
  // two can succeed.
  DelegatedLease lease(TwoPeerSettings().workers);
  DelegatedLeaseRecord record(lease);
  record.OnKeyRead(0);
  record.LeaseGranted(7, 1);
  record.OnRecordNotWritten();
  EXPECT_EQ(record.step(), RecordStep::kRead);
  record.OnKeyRead(40);  // the first write was applied
  record.LeaseGranted(8, 2);
  EXPECT_EQ(record.mod_revision(), 40U);
  EXPECT_EQ(record.lease_id(), 8U);
  record.OnRecordWritten(2.1);
  EXPECT_EQ(record.step(), RecordStep::kRenew);
  EXPECT_THROW(record.OnKeyRead(41), IllegalTransition);
}

// Guards against writing the record again for ever if no write is answered: the
// controller would never get a delegated lease.
TEST(DelegatedLeaseRecord, AnUnansweredWriteIsFoundByItsLease) {
  DelegatedLease lease(TwoPeerSettings().workers);
  DelegatedLeaseRecord record(lease);
  record.OnKeyReadWithLease(0, 0, 0);
  record.LeaseGranted(7, 0);
  record.OnRecordNotWritten();
  record.OnKeyReadWithLease(40, 6, 0.4);  // of an earlier process or attempt
  EXPECT_EQ(record.step(), RecordStep::kLease);
  record.LeaseGranted(8, 0.5);
  record.OnRecordNotWritten();
  lease.OnGranted(0.6);  // not known to be recorded
  record.OnKeyReadWithLease(41, 8, 0.7);
  EXPECT_EQ(record.step(), RecordStep::kRenew);
  EXPECT_FALSE(lease.Renew(0.8));
  lease.OnGranted(0.9);
  EXPECT_TRUE(lease.Renew(1));
  // A lease that has ended does not show that the write succeeded.
  record.LeaseEnded();
  record.OnKeyReadWithLease(42, 8, 1.1);
  EXPECT_EQ(record.step(), RecordStep::kLease);
}

TEST(DelegatedLeaseRecord, RenewsWorkersAfterItsRecordHasEnded) {
  DelegatedLease lease(TwoPeerSettings().workers);
  DelegatedLeaseRecord record(lease);
  lease.OnGranted(0);  // before there is a record
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

// --- Whether a zone is partitioned off or only the controller in it.

Heartbeat HeartbeatOf(const std::string& host, uint64_t seq, uint64_t token) {
  Heartbeat heartbeat;
  heartbeat.host = host;
  heartbeat.incarnation = 1;
  heartbeat.seq = seq;
  heartbeat.token = token;
  return heartbeat;
}

TEST(PartitionDetector, WorkersAreKeptFromALeaderThatProbesThem) {
  PartitionDetector detector(TwoPeerSettings().workers);
  EXPECT_FALSE(detector.ShouldRedirect(HeartbeatOf("n", 5, 9), 0));
  detector.OnAnswered(HeartbeatOf("n", 5, 9), 0);
  EXPECT_FALSE(detector.ShouldRedirect(HeartbeatOf("n", 6, 9), 1));
  detector.OnAnswered(HeartbeatOf("n", 6, 9), 1);
  // Between the two heartbeats the worker has answered another controller.
  EXPECT_TRUE(detector.ShouldRedirect(HeartbeatOf("n", 8, 9), 2));
  // So the other workers of the zone are not partitioned off either.
  EXPECT_TRUE(detector.ShouldRedirect(HeartbeatOf("m", 50, 9), 3));
}

TEST(PartitionDetector, WorkersAreKeptFromANewLeader) {
  PartitionDetector detector(TwoPeerSettings().workers);
  detector.OnAnswered(HeartbeatOf("n", 5, 9), 0);
  EXPECT_TRUE(detector.ShouldRedirect(HeartbeatOf("n", 6, 10), 1));
}

TEST(PartitionDetector, FalseEvidenceCostsAPartitionedWorkerItsLease) {
  PartitionDetector detector(TwoPeerSettings().workers);
  detector.OnAnswered(HeartbeatOf("n", 5, 9), 0);
  // The worker has tried the other controllers in vain: each heartbeat to them
  // has used a sequence number.
  EXPECT_FALSE(detector.ShouldRedirect(HeartbeatOf("n", 9, 9), 6));
  detector.OnAnswered(HeartbeatOf("n", 9, 9), 6);
  // A new incarnation counts from one again.
  Heartbeat next = HeartbeatOf("n", 3, 9);
  next.incarnation = 2;
  EXPECT_FALSE(detector.ShouldRedirect(next, 7));
  detector.OnAnswered(next, 7);
  // A duplicate of an older heartbeat.
  EXPECT_FALSE(detector.ShouldRedirect(HeartbeatOf("n", 5, 9), 7.5));
  detector.OnAnswered(HeartbeatOf("n", 5, 9), 7.5);
  next.seq = 4;
  EXPECT_FALSE(detector.ShouldRedirect(next, 8));
}

TEST(PartitionDetector, WorkerThatNoOtherControllerAnswersIsRedirectedAgain) {
  PartitionDetector detector(TwoPeerSettings().workers);
  detector.OnAnswered(HeartbeatOf("n", 5, 9), 0);
  EXPECT_TRUE(detector.ShouldRedirect(HeartbeatOf("n", 7, 9), 1));
  EXPECT_FALSE(
      detector.ShouldRedirect(HeartbeatOf("n", 12, 9), 5));  // it has come back
  detector.OnAnswered(HeartbeatOf("n", 12, 9), 5);
  EXPECT_FALSE(detector.ShouldRedirect(HeartbeatOf("n", 14, 9), 6));
  // Only for the length of a lease: by then there may be a leader.
  detector.OnAnswered(HeartbeatOf("n", 24, 9), 11);
  EXPECT_TRUE(detector.ShouldRedirect(HeartbeatOf("n", 26, 9), 12));
}

}  // namespace
}  // namespace oxbow
