#include "tasks/TaskCoordinator.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskCoordinator){
    /// Returns an upper bound on the workers that all rounds of a second look
    /// at.
    static double workersPerSecond(std::size_t Workers){
        const double RoundsPerSecond = 1e6 /
                                       double(pauseAfterRound(Workers).count());
return RoundsPerSecond * double(Workers);
}
}
;

// Pattern: hundreds of workers report twice a second, and each report asks for
// a round that looks at all of them.
TEST(TaskCoordinator, WorkDoesNotGrowWithTheSquareOfTheWorkers) {
  CHECK_TRUE(workersPerSecond(240) <= workersPerSecond(11) * 1.01);
  // Beyond the longest pause it grows no faster than the workers.
  CHECK_TRUE(workersPerSecond(9000) <= workersPerSecond(900) * 10.01);
}

TEST(TaskCoordinator, PausesBrieflyOnASmallCell) {
  CHECK_TRUE(pauseAfterRound(11) < Milliseconds(2));
  CHECK_TRUE(pauseAfterRound(9000) <= Milliseconds(50));
}

TEST_GROUP(TaskCoordinatorOrders) {
  FakeKv Kv;
  Metrics Stats;
  TaskCoordinator Coordinator{Kv, CoordinatorSettings(),
                              [] { return std::make_shared<QueueConfig>(); },
                              Stats};
  CoordinatorRole Role{Kv, "front 1:1", Milliseconds(60000),
                       [this] { Coordinator.onRoleChange(); }};
  wire::TaskReport Report;

  void setup() override {
    wire::TaskJobSpec Spec;
    Spec.set_id("j");
    Spec.set_service("planner");
    Spec.set_stretch(3);
    wire::StepSpec &Step = *Spec.add_steps();
    Step.set_count(1);
    Step.set_accelerators(4);
    Step.set_estimate_ms(5000);
    Kv.put(std::string(keys::Jobs) + "j", Spec.SerializeAsString());
    Report.set_node("n1");
    Report.set_worker("n1/w#1");
    Report.set_service("planner");
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(1);
    Role.start();
    Role.noteRoleKey(false);
    Coordinator.start(Role);
  }

  void teardown() override {
    Coordinator.stop();
    Role.stop();
  }

  wire::TaskOrders attend() {
    Report.set_sequence(Report.sequence() + 1);
    return Coordinator.attend(Report);
  }
};

// Pattern: a start is ordered while the agent is out of touch and the worker's
// capacity shrinks. The agent's next report must not be answered with it.
TEST(TaskCoordinatorOrders, GivesNoOrdersForACapacityThatHasShrunk) {
  CHECK_TRUE(waitUntil([&] { return attend().starts_size() == 1; }));
  Report.set_accelerators(2);
  LONGS_EQUAL(0, attend().starts_size());
  CHECK_TRUE(waitUntil([&] { return attend().stops_size() == 1; }));
}
