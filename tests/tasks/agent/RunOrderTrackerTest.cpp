#include "tasks/agent/RunOrderTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

BootInstant at(int Ms) { return BootInstant(Milliseconds(Ms)); }

} // namespace

TEST_GROUP(RunOrderTracker) {
  RunOrderTracker RunOrders;
  const RunId Run{"j.0.0.0", 1};

  wire::TaskOrders start() {
    wire::TaskOrders Orders;
    wire::StartOrder &Start = *Orders.add_starts();
    Start.set_task(Run.first);
    Start.set_run(Run.second);
    return Orders;
  }
  wire::TaskOrders stop() {
    wire::TaskOrders Orders;
    wire::RunKey &Stop = *Orders.add_stops();
    Stop.set_task(Run.first);
    Stop.set_run(Run.second);
    return Orders;
  }
};

TEST(RunOrderTracker, SendsAStartOnce) {
  LONGS_EQUAL(1, RunOrders.update(start(), at(1000)).size());
  LONGS_EQUAL(0, RunOrders.update(start(), at(2000)).size());
}

TEST(RunOrderTracker, ReportsARefusedStartUntilItIsNoLongerOrdered) {
  RunOrders.update(start(), at(1000));
  RunOrders.markRefused(Run, wire::REFUSED_NO_ROOM);
  RunOrders.update(start(), at(1100));
  LONGS_EQUAL(1, RunOrders.refusals().size());
  RunOrders.update(wire::TaskOrders(), at(1200));
  LONGS_EQUAL(0, RunOrders.refusals().size());
}

TEST(RunOrderTracker, ReportsARunWithUnknownOutcomeOnlyOnceBarred) {
  RunOrders.update(start(), at(1000));
  RunOrders.markUnknown(Run);
  LONGS_EQUAL(0, RunOrders.refusals().size());
  RunOrders.markStopped(Run, at(1500));
  LONGS_EQUAL(0, RunOrders.refusals().size());
  CHECK_FALSE(RunOrders.applyListing({}, at(1400)));
  LONGS_EQUAL(0, RunOrders.refusals().size());
  CHECK_TRUE(RunOrders.applyListing({}, at(1600)));
  LONGS_EQUAL(wire::REFUSED_BARRED, RunOrders.refusals().at(0).reason());
}

TEST(RunOrderTracker, WaitsForTheEndOfAStoppedRunThatIsStillListed) {
  RunOrders.update(start(), at(1000));
  RunOrders.markStarted(Run);
  LONGS_EQUAL(1, RunOrders.update(stop(), at(1100)).size());
  RunOrders.markStopped(Run, at(1200));
  CHECK_FALSE(RunOrders.applyListing({Run}, at(1300)));
  LONGS_EQUAL(0, RunOrders.refusals().size());
}

TEST(RunOrderTracker, ResendsAnUnansweredStop) {
  LONGS_EQUAL(1, RunOrders.update(stop(), at(1000)).size());
  RunOrders.markStopFailed(Run, at(1400));
  LONGS_EQUAL(0, RunOrders.update(stop(), at(1450)).size());
  LONGS_EQUAL(1, RunOrders.update(stop(), at(1600)).size());
}

TEST(RunOrderTracker, DropsAStartThatIsStoppedBeforeItWasSent) {
  RunOrders.update(start(), at(1000));
  CHECK_TRUE(RunOrders.isStartPending(Run));
  RunOrders.update(stop(), at(1001));
  CHECK_FALSE(RunOrders.isStartPending(Run));
}

// Pattern: an order for which the queue has no room is never sent.
TEST(RunOrderTracker, ReturnsAPostponedOrderAgain) {
  LONGS_EQUAL(1, RunOrders.update(start(), at(1000)).size());
  RunOrders.postpone(Run);
  LONGS_EQUAL(1, RunOrders.update(start(), at(1001)).size());
  LONGS_EQUAL(0, RunOrders.update(start(), at(1002)).size());
}

// Pattern: a run is given up with the leases, and its start is sent later.
TEST(RunOrderTracker, NeverSendsAVoidStart) {
  RunOrders.update(start(), at(1000));
  RunOrders.voidStarts();
  CHECK_FALSE(RunOrders.isStartPending(Run));
  LONGS_EQUAL(0, RunOrders.update(start(), at(1001)).size());
  LONGS_EQUAL(wire::REFUSED_LATE, RunOrders.refusals().at(0).reason());
}

TEST(RunOrderTracker, BarsAVoidStartThatMayHaveBeenSent) {
  RunOrders.update(start(), at(1000));
  RunOrders.markSent(Run);
  RunOrders.voidStarts();
  LONGS_EQUAL(0, RunOrders.refusals().size());
  const auto Send = RunOrders.update(start(), at(1001));
  LONGS_EQUAL(1, Send.size());
  CHECK_TRUE(Send.front().second);
  wire::TaskOrders Repeated = start();
  Repeated.mutable_starts(0)->set_may_have_been_sent(true);
  RunOrders.clear();
  RunOrders.update(Repeated, at(1002));
  RunOrders.voidStarts();
  CHECK_TRUE(RunOrders.update(Repeated, at(1003)).front().second);
}

// Guards against a run that is given up because the listing has no room for its
// end, and against one that is never given up because listings stay full.
TEST(RunOrderTracker, BarsByAListingThatMayLackEndsOnlyAfterAWhile) {
  RunOrders.update(start(), at(1000));
  RunOrders.markUnknown(Run);
  RunOrders.markStopped(Run, at(1500));
  CHECK_FALSE(RunOrders.applyListing({}, at(6400), true));
  LONGS_EQUAL(0, RunOrders.refusals().size());
  CHECK_TRUE(RunOrders.applyListing({}, at(6500), true));
  LONGS_EQUAL(1, RunOrders.refusals().size());
}
