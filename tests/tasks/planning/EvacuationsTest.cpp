#include "tasks/planning/Evacuations.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Evacuations) {
  const BootInstant Confirmed{Milliseconds(100000)};
  const Milliseconds Bound{5000};
  const DataCentreName Gone{"z0"};
  const DataCentreName Open{"z1"};
  Evacuations Known;

  void setup() override {
    Known.ConfirmedAt = Confirmed;
    Known.Active[Gone] = {7, Confirmed};
  }

  std::size_t openOf(const StartRules &Rules, std::size_t Workers,
                     Milliseconds After) const {
    const auto Takes = Rules.takeStarts(
        std::vector<DataCentreName>(Workers, Gone), Confirmed + After);
    return static_cast<std::size_t>(
        std::count(Takes.begin(), Takes.end(), true));
  }
};

// Pattern: a run starts in a data centre that is known to be evacuated.
TEST(Evacuations, ClosesAnEvacuatedDataCentreOnly) {
  const StartRules Rules(Known, Bound);
  const auto Takes = Rules.takeStarts({Open, Gone, Open}, Confirmed);
  CHECK_TRUE(Takes[0] && !Takes[1] && Takes[2]);
  CHECK(Rules.startsUntil(Gone) == BootInstant{});
}

// Pattern: the entry is cut off from the store, a data centre is evacuated
// meanwhile, and the entry starts runs there after the bound.
TEST(Evacuations, StopsEveryStartBeforeAnUnknownEvacuationIsDue) {
  const StartRules Rules(Known, Bound);
  CHECK_TRUE(Rules.startsUntil(Open) < Confirmed + Bound);
  CHECK_TRUE(Rules.startsUntil(Open) >= Confirmed + Milliseconds(4000));
  CHECK_TRUE(Rules.isFresh(Confirmed + Milliseconds(2000)));
  CHECK_FALSE(Rules.isFresh(Rules.startsUntil(Open)));
  CHECK_FALSE(Rules.takeStarts({Open}, Rules.startsUntil(Open))[0]);
}

// Pattern: a process that has just started places runs before it has read the
// evacuations.
TEST(Evacuations, StartsNothingBeforeTheFirstReading) {
  const StartRules Rules(Evacuations{}, Bound);
  CHECK(Rules.startsUntil(Open) == BootInstant{});
  CHECK_FALSE(Rules.takeStarts({Open}, Confirmed)[0]);
}

// Pattern: a deployment that sets no bound is stopped by a store outage that it
// survived before.
TEST(Evacuations, SetsNoTimeLimitWithoutABound) {
  const StartRules Rules(Known, Milliseconds(0));
  CHECK(Rules.startsUntil(Open) == BootInstant::max());
  CHECK(Rules.startsUntil(Gone) == BootInstant{});
  const auto Takes = Rules.takeStarts({Open, Gone}, Confirmed + Bound * 100);
  CHECK_TRUE(Takes[0] && !Takes[1]);
  CHECK_TRUE(StartRules().takeStarts({Open}, Confirmed)[0]);
}

// Pattern: all workers of a restored data centre receive their starts at once.
TEST(Evacuations, OpensARestoredDataCentreWorkerByWorker) {
  Known.Active.clear();
  Known.RestoredAt[Gone] = Confirmed;
  const StartRules Rules(Known, Milliseconds(0));
  LONGS_EQUAL(1, openOf(Rules, 8, Milliseconds(0)));
  const std::size_t Half = openOf(Rules, 8, RestoreRamp / 2);
  CHECK_TRUE(Half >= 4 && Half <= 5);
  LONGS_EQUAL(8, openOf(Rules, 8, RestoreRamp));
  CHECK_TRUE(Rules.takeStarts({Open, Gone, Open}, Confirmed)[2]);
}
