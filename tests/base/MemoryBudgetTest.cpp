#include "base/MemoryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(MemoryBudget) { MemoryBudget Budget{1000, 200}; };

// Guards against probes that fail because clients hold all memory.
TEST(MemoryBudget, KeepsTheReserveFromClients) {
  MemoryReservation Clients(Budget, MemoryShare::Clients);
  MemoryReservation System(Budget, MemoryShare::System);
  CHECK_FALSE(Clients.resize(801));
  CHECK_TRUE(Clients.resize(800));
  CHECK_FALSE(Clients.resize(801));
  CHECK_TRUE(System.resize(200));
  CHECK_FALSE(System.resize(201));
  LONGS_EQUAL(1000, Budget.used());
}

// Guards against bytes that are never returned, until all requests are refused.
TEST(MemoryBudget, ReleasesWhatEndedReservationsHeld) {
  {
    MemoryReservation First(Budget, MemoryShare::Clients);
    CHECK_TRUE(First.resize(500));
    CHECK_TRUE(First.resize(100));
    CHECK_FALSE(First.resize(900));
    LONGS_EQUAL(100, First.size());
  }
  LONGS_EQUAL(0, Budget.used());
  LONGS_EQUAL(500, Budget.peak());
}

// Guards against sums that overflow and admit a message of any size.
TEST(MemoryBudget, RefusesSizesNearTheLargestNumber) {
  MemoryReservation Held(Budget, MemoryShare::Clients);
  CHECK_TRUE(Held.resize(100));
  CHECK_FALSE(Held.resize(~std::size_t(0)));
  CHECK_FALSE(Budget.tryReserve(MemoryShare::System, ~std::size_t(0)));
  LONGS_EQUAL(100, Budget.used());
}

TEST(MemoryBudget, IsAShareOfTheMachine) {
  LONGS_EQUAL(20 << 20, makeMemoryBudget(160)->capacity(MemoryShare::System));
  LONGS_EQUAL(16 << 20, makeMemoryBudget(160)->capacity(MemoryShare::Clients));
  LONGS_EQUAL(8 << 20, makeMemoryBudget(0)->capacity(MemoryShare::System));
}
