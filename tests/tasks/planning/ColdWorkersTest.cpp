#include "tasks/planning/ColdWorkers.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(ColdWorkers) {
  const BootInstant Now{Milliseconds(100000)};
  const WorkerIncarnation Name{"n1/w#1"};
  ColdWorkers Cold;
  QueueConfig Config;
  wire::TaskReport Report;
  PlanWorker Worker;

  void setup() override {
    Worker.Incarnation = Name;
    Report.set_service("s");
    Report.set_cold_for_ms(8000);
    Config.Services[ServiceName("s")].ColdStartsPerSecond = 3;
  }
};

// Pattern: a worker that has just started gets as many runs as a warm one and
// is slow for all of them.
TEST(ColdWorkers, LimitsTheStartsInASecond) {
  Cold.describe(Report, Config, Now, Worker);
  CHECK_TRUE(Worker.IsCold);
  LONGS_EQUAL(4, Worker.StartsLeft);
  for (int Start = 0; Start < 4; ++Start)
    Cold.noteStart(Name, Now);
  Cold.describe(Report, Config, Now + Milliseconds(900), Worker);
  LONGS_EQUAL(0, Worker.StartsLeft);
  Cold.describe(Report, Config, Now + Milliseconds(1000), Worker);
  LONGS_EQUAL(4, Worker.StartsLeft);
}

// Pattern: orders of several rounds are delayed and arrive in one second.
TEST(ColdWorkers, LeavesTheSlackToDelayedOrders) {
  constexpr int DelayedRounds = 2;
  for (const double Rate : {0.2, 1.0, 3.0, 9.0}) {
    Config.Services[ServiceName("s")].ColdStartsPerSecond = Rate;
    Cold.describe(Report, Config, Now, Worker);
    CHECK_TRUE(Worker.StartsLeft >= 1);
    CHECK_TRUE(DelayedRounds * Worker.StartsLeft <= Rate * 1.5 + 5);
  }
}

// Pattern: a worker that has become warm, or whose service is never cold, stays
// the last choice.
TEST(ColdWorkers, LeavesWarmWorkersAlone) {
  Report.set_cold_for_ms(0);
  Cold.describe(Report, Config, Now, Worker);
  CHECK_FALSE(Worker.IsCold);
  Report.set_cold_for_ms(8000);
  Config.Services[ServiceName("s")].HasColdPeriod = false;
  Cold.describe(Report, Config, Now, Worker);
  CHECK_FALSE(Worker.IsCold);
}

// Pattern: a rate of zero, which means no limit, closes the worker.
TEST(ColdWorkers, SetsNoLimitForARateOfZero) {
  Config.Services.clear();
  Cold.describe(Report, Config, Now, Worker);
  CHECK_TRUE(Worker.IsCold);
  CHECK_TRUE(Worker.StartsLeft > 1000000);
}
