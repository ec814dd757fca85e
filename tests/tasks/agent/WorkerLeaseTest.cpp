#include "tasks/agent/WorkerLease.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

BootInstant at(int Ms) { return BootInstant(Milliseconds(Ms)); }

} // namespace

TEST_GROUP(WorkerLease) {
  WorkerLease Lease;
  const RunId Run{"j.0.0.0", 1};
};

TEST(WorkerLease, ExtendsUpToTheGrant) {
  CHECK(at(0) == Lease.extend(at(1000)));
  CHECK_TRUE(Lease.grant(at(5000), at(1000)));
  CHECK(at(5000) == Lease.extend(at(1000)));
  CHECK_FALSE(Lease.hasExpired(at(5000)));
  CHECK_TRUE(Lease.hasExpired(at(5001)));
  CHECK(at(0) == Lease.extend(at(5001)));
}

// Pattern: an answer reaches a paused agent after its grant, and the runs of
// its orders have been given up meanwhile.
TEST(WorkerLease, TakesNoOrdersWithAGrantThatIsOver) {
  CHECK_FALSE(Lease.grant(at(5000), at(5000)));
  CHECK_TRUE(Lease.hasGrantRunOut(at(5000)));
}

// Pattern: a start that was sent before the leases expired is carried out once
// the lease is extended again, while the run has been given up.
TEST(WorkerLease, BarsUnansweredStartsBeforeTheFirstLeaseAfterAnExpiry) {
  Lease.grant(at(5000), at(1000));
  (void)Lease.extend(at(1000));
  Lease.grant(at(9000), at(6000));
  CHECK(at(0) == Lease.extend(at(6000)));
  // Requested before the expiry was noticed; it may have extended the lease.
  Lease.applyListing(at(4000), {}, {Run});
  CHECK_TRUE(Lease.barsToSend().empty());
  Lease.applyListing(at(6100), {{"j.0.0.1", 1}}, {Run, {"j.0.0.1", 1}});
  CHECK(at(0) == Lease.extend(at(6200)));
  LONGS_EQUAL(1, Lease.barsToSend().size());
  LONGS_EQUAL(0, Lease.barsToSend().size());
  Lease.noteBarFailed(Run);
  LONGS_EQUAL(1, Lease.barsToSend().size());
  Lease.noteBarred(Run);
  CHECK(at(9000) == Lease.extend(at(6300)));
}

// Pattern: a restarted agent does not know the starts of the one before it.
TEST(WorkerLease, BarsTheRunsThatTheCoordinatorNamesOnce) {
  Lease.grant(at(5000), at(1000));
  Lease.requireBar(Run);
  CHECK(at(0) == Lease.extend(at(1000)));
  Lease.noteBarred(Run);
  Lease.requireBar(Run);
  CHECK(at(5000) == Lease.extend(at(1100)));
  // The next worker incarnation has not been told.
  Lease.resetWorker();
  Lease.requireBar(Run);
  CHECK_TRUE(Lease.isBarring());
}
