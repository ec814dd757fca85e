#include "tasks/planning/CapacityReservation.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr Resources WholeWorker{1000, 1000, 8};
constexpr Resources HalfWorker{500, 500, 4};
constexpr Resources Nothing{0, 0, 0};

ReservableWorker busy(std::size_t Worker) { return {Worker, Nothing, 8}; }

} // namespace

TEST_GROUP(CapacityReservation){};

// Guards against reserving workers that become free late while others become
// free earlier.
TEST(CapacityReservation, ChoosesTheWorkersThatAreFreeFirst) {
  const auto Chosen =
      reserveCapacity(2, WholeWorker, {busy(0), busy(1), busy(2)},
                      {{0, Milliseconds(9000), WholeWorker},
                       {1, Milliseconds(3000), WholeWorker},
                       {2, Milliseconds(5000), WholeWorker}});
  CHECK_TRUE(Chosen.has_value());
  LONGS_EQUAL(5000, Chosen->StartsIn.count());
  LONGS_EQUAL(2, Chosen->Workers.size());
  LONGS_EQUAL(1, Chosen->Workers[0]);
  LONGS_EQUAL(2, Chosen->Workers[1]);
}

// Guards against counting a worker as free after the first of its two runs.
TEST(CapacityReservation, WaitsForAllRunsThatAreInTheWay) {
  const auto Chosen = reserveCapacity(1, WholeWorker, {busy(0)},
                                      {{0, Milliseconds(1000), HalfWorker},
                                       {0, Milliseconds(4000), HalfWorker}});
  CHECK_TRUE(Chosen.has_value());
  LONGS_EQUAL(4000, Chosen->StartsIn.count());
}

// Guards against reserving more workers than the gang needs.
TEST(CapacityReservation, PutsSeveralTasksOnOneWorker) {
  const auto Chosen =
      reserveCapacity(2, HalfWorker, {busy(0), {1, WholeWorker, 8}}, {});
  CHECK_TRUE(Chosen.has_value());
  LONGS_EQUAL(0, Chosen->StartsIn.count());
  LONGS_EQUAL(1, Chosen->Workers.size());
  LONGS_EQUAL(1, Chosen->Workers[0]);
}

// Guards against a reservation that breaks the spread limit of the step.
TEST(CapacityReservation, RespectsTheLimitPerWorker) {
  const auto Chosen = reserveCapacity(2, HalfWorker, {{0, WholeWorker, 1}}, {});
  CHECK_FALSE(Chosen.has_value());
}

// Guards against holding workers for a gang that can never fit.
TEST(CapacityReservation, ReservesNothingForAGangThatNeverFits) {
  CHECK_FALSE(reserveCapacity(2, WholeWorker, {busy(0)},
                              {{0, Milliseconds(100), WholeWorker}})
                  .has_value());
}
