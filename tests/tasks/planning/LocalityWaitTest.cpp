// Units that should run near their data or within one rack: how long they wait
// for that, and when they run elsewhere although it takes longer.

#include "tasks/planning/TaskPlanner.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(LocalityWait) {
  PlanInput Input;
  std::vector<std::unique_ptr<wire::StepSpec>> Steps;

  /// Adds \p Workers workers with 32 cores, 128 GB and 8 accelerators.
  void addRack(const std::string &Rack, int Workers) {
    for (int N = 0; N < Workers; ++N) {
      PlanWorker Worker;
      Worker.Incarnation =
          WorkerIncarnation(Rack + "-" + std::to_string(N) + "/w#1");
      Worker.Service = ServiceName("planner");
      Worker.Rack = RackName(Rack);
      Worker.Capacity = {32000, 131072, 8};
      Worker.Free = Worker.Capacity;
      Input.Workers.push_back(Worker);
    }
  }

  /// Adds a run that takes the whole worker and ends after \p In.
  void fill(std::size_t Worker, std::optional<Milliseconds> In) {
    PlanWorker &Full = Input.Workers[Worker];
    Full.Free -= Full.Capacity;
    ++Full.Runs;
    if (In)
      Input.Ending.push_back({Worker, Full.Capacity, *In, std::nullopt});
  }

  /// Adds a gang of tasks that take most of the memory of a worker each. A run
  /// away from the data takes 10 s longer.
  PlanUnit &addGang(std::size_t Tasks) {
    Steps.push_back(std::make_unique<wire::StepSpec>());
    wire::StepSpec &Step = *Steps.back();
    Step.set_milli_cores(13000);
    Step.set_memory_mb(68000);
    Step.set_accelerators(2);
    Step.set_gang(true);
    Step.set_same_rack(true);
    PlanUnit Unit;
    Unit.Job = JobId("gang");
    for (std::size_t T = 0; T < Tasks; ++T)
      Unit.Tasks.push_back(T);
    Unit.Step = &Step;
    Unit.Service = ServiceName("planner");
    Unit.StepKey = "gang.0.0";
    Unit.RemoteCost = Milliseconds(10000);
    return Input.Units.emplace_back(Unit);
  }

  std::size_t starts() const { return planTasks(Input).Starts.size(); }
};

// Guards against a gang that no rack can ever hold and that still waits for
// one: 11 tasks of 68,000 MB in racks of five workers of 128 GB had nothing
// running for twice their expected duration in an idle cell.
TEST(LocalityWait, StartsAGangThatNoRackCanHoldAtOnce) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 5);
  addGang(11);
  LONGS_EQUAL(11, starts());
}

// Guards against a task that waits for a rack whose workers are gone or drain.
TEST(LocalityWait, StartsATaskElsewhereWhoseRackIsGone) {
  addRack("r1", 1);
  addRack("r2", 1);
  Input.Workers[0].AcceptsTasks = false;
  PlanUnit &Unit = addGang(1);
  Steps.back()->set_data_rack("r1");
  Unit.Step = Steps.back().get();
  LONGS_EQUAL(1, starts());
  Steps.back()->set_data_rack("r3");
  LONGS_EQUAL(1, starts());
}

// A quarantine ends soon.
TEST(LocalityWait, WaitsForARackInQuarantine) {
  addRack("r1", 1);
  addRack("r2", 1);
  Input.Workers[0].AcceptsTasks = false;
  Input.Workers[0].IsQuarantined = true;
  addGang(1);
  Steps.back()->set_data_rack("r1");
  LONGS_EQUAL(0, starts());
}

TEST(LocalityWait, WaitsForARackWhoseRunsEndSoon) {
  addRack("r1", 2);
  addRack("r2", 2);
  fill(0, Milliseconds(3000));
  fill(2, Milliseconds(4000));
  addGang(2);
  LONGS_EQUAL(0, starts());
}

// Guards against a wait that takes longer than what it saves.
TEST(LocalityWait, RunsRemoteWhenNoRackIsExpectedToHaveRoomInTime) {
  addRack("r1", 2);
  addRack("r2", 2);
  fill(0, Milliseconds(30000));
  fill(2, Milliseconds(40000));
  addGang(2);
  LONGS_EQUAL(2, starts());
}

TEST(LocalityWait, WaitsWhileAnEndIsNotKnown) {
  addRack("r1", 2);
  addRack("r2", 2);
  fill(0, std::nullopt);
  fill(2, Milliseconds(40000));
  addGang(2);
  LONGS_EQUAL(0, starts());
}

// Guards against a job that has nothing running for seconds while most of the
// cell is free, because its racks are fragmented or its duration was declared
// far too long.
TEST(LocalityWait, RunsRemoteInAnIdleCellWhenItsJobHasWaited) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"}) {
    addRack(Rack, 3);
    fill(Input.Workers.size() - 1, std::nullopt);
  }
  PlanUnit &Unit = addGang(3);
  LONGS_EQUAL(0, starts());
  Unit.IsIdleForLong = true;
  LONGS_EQUAL(3, starts());
}

TEST(LocalityWait, WaitsInABusyCell) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"}) {
    addRack(Rack, 3);
    fill(Input.Workers.size() - 1, std::nullopt);
    fill(Input.Workers.size() - 2, std::nullopt);
  }
  addGang(2).IsIdleForLong = true;
  LONGS_EQUAL(0, starts());
}
