#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"
#include "tasks/coordination/TaskCoordinator.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskCoordinatorEvacuation) {
  FakeKv Kv;
  Metrics Stats;
  std::mutex Mutex;
  Evacuations Known;
  TaskCoordinator Coordinator{Kv, settings(), [this] { return orders(); },
                              Stats};
  CoordinatorRole Role{Kv, "front 1:1", Milliseconds(60000),
                       [this] { Coordinator.onRoleChange(); }};
  wire::TaskReport Report;

  static CoordinatorSettings settings() {
    CoordinatorSettings Settings;
    Settings.EvacuationBound = Milliseconds(5000);
    return Settings;
  }

  OperatorSnapshot orders() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return {std::make_shared<const QueueConfig>(), Known};
  }

  void confirm(Milliseconds Age) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Known.ConfirmedAt = BootClock::now() - Age;
  }

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
    Report.set_data_centre("z0");
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

// Pattern: an agent is allowed to send starts for longer than the coordinator
// can rule out an evacuation.
TEST(TaskCoordinatorEvacuation, LimitsStartsByTheAgeOfItsKnowledge) {
  confirm(Milliseconds(2000));
  CHECK_TRUE(waitUntil([&] { return attend().coordinating(); }));
  const wire::TaskOrders Reply = attend();
  CHECK_TRUE(Reply.starts_limited());
  CHECK_TRUE(Reply.starts_for_ms() <= 3000);
  CHECK_TRUE(Reply.starts_for_ms() >= 1000);
  confirm(Milliseconds(6000));
  const wire::TaskOrders Late = attend();
  CHECK_TRUE(Late.starts_limited());
  LONGS_EQUAL(0, Late.starts_for_ms());
}

// Pattern: a new coordinator that has not read the evacuations starts a job.
TEST(TaskCoordinatorEvacuation, StartsNothingBeforeItKnowsTheEvacuations) {
  CHECK_TRUE(waitUntil([&] { return attend().coordinating(); }));
  const std::uint64_t Rounds =
      Stats.dump()->optValue<std::uint64_t>("rounds", 0);
  CHECK_TRUE(waitUntil([&] {
    return Stats.dump()->optValue<std::uint64_t>("rounds", 0) > Rounds + 2;
  }));
  LONGS_EQUAL(0, attend().starts_size());
  confirm(Milliseconds(0));
  CHECK_TRUE(waitUntil([&] { return attend().starts_size() == 1; }));
}

// Pattern: orders stay in force while the store refuses the coordinator's
// writes, and the agent carries them out in an evacuated data centre.
TEST(TaskCoordinatorEvacuation, ForbidsStartsAtOnceThoughTheStoreIsAway) {
  confirm(Milliseconds(0));
  CHECK_TRUE(waitUntil([&] { return attend().starts_size() == 1; }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Known.Active[DataCentreName("z0")] = {3, BootClock::now()};
  }
  const wire::TaskOrders Reply = attend();
  CHECK_TRUE(Reply.starts_limited());
  LONGS_EQUAL(0, Reply.starts_for_ms());
  Kv.setFault(FakeKv::Fault::None);
  CHECK_TRUE(waitUntil([&] { return attend().stops_size() == 1; }));
}

// Pattern: operators cannot see whether an evacuation is in force and what is
// left to wait for.
TEST(TaskCoordinatorEvacuation, ShowsTheEvacuations) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Known.Active[DataCentreName("z0")] = {3, BootClock::now()};
  }
  confirm(Milliseconds(0));
  CHECK_TRUE(waitUntil([&] {
    return Stats.dump()->optValue<std::uint64_t>("evacuated_data_centres", 0) ==
           1;
  }));
  STRCMP_CONTAINS("\"evacuated\":\"z0\"", Coordinator.dump().c_str());
  STRCMP_CONTAINS("baobabcove_evacuation_runs_left 0", Stats.text().c_str());
}
