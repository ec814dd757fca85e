#include "tasks/planning/TaskPlanner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace baobabcove;

TEST_GROUP(SpeedPlacement) {
  PlanInput Input;
  std::vector<std::unique_ptr<wire::StepSpec>> Steps;

  void addWorker(double Speed, std::int64_t FreeAccelerators = 8) {
    PlanWorker Worker;
    Worker.Incarnation =
        WorkerIncarnation("w" + std::to_string(Input.Workers.size()));
    Worker.Service = ServiceName("planner");
    Worker.Rack = RackName("r1");
    Worker.Capacity = {32000, 131072, 8};
    Worker.Free = Worker.Capacity;
    Worker.Free.Accelerators = FreeAccelerators;
    Worker.Speed = Speed;
    Input.Workers.push_back(Worker);
  }

  /// Adds a gang, or single tasks of one step.
  void addTasks(std::size_t Tasks, std::int64_t Accelerators, bool Urgent,
                bool Gang) {
    Steps.push_back(std::make_unique<wire::StepSpec>());
    wire::StepSpec &Step = *Steps.back();
    Step.set_count(static_cast<std::uint32_t>(Tasks));
    Step.set_gang(Gang);
    Step.set_milli_cores(100);
    Step.set_memory_mb(100);
    Step.set_accelerators(Accelerators);
    PlanUnit Unit;
    Unit.Job = JobId("j" + std::to_string(Steps.size()));
    Unit.Step = &Step;
    Unit.Service = ServiceName("planner");
    Unit.StepKey = Unit.Job.str() + ".0.0";
    Unit.Urgent = Urgent;
    for (std::size_t T = 0; T < Tasks; ++T) {
      if (!Gang)
        Unit.Tasks.clear();
      Unit.Tasks.push_back(T);
      if (!Gang || T + 1 == Tasks)
        Input.Units.push_back(Unit);
    }
  }

  /// Returns the speeds of the workers that the plan uses, in ascending order.
  std::vector<double> speeds() {
    std::vector<double> Used;
    for (const PlannedStart &Start : planTasks(Input).Starts)
      Used.push_back(Input.Workers[Start.Worker].Speed);
    std::sort(Used.begin(), Used.end());
    return Used;
  }
};

// Guards against an urgent task on a slow worker, where it is always late,
// while a fast one is as free.
TEST(SpeedPlacement, StartsUrgentTasksOnFastWorkers) {
  addWorker(0.7);
  addWorker(1.7);
  addWorker(0.7);
  addTasks(1, 4, true, false);
  DOUBLES_EQUAL(1.7, speeds().at(0), 0);
}

// Guards against breaking into a fully free worker for a task that fits
// on a partly used one.
TEST(SpeedPlacement, KeepsAFastWorkerFreeFromASmallTask) {
  addWorker(1.7);
  addWorker(0.7, 2);
  addTasks(1, 1, true, false);
  DOUBLES_EQUAL(0.7, speeds().at(0), 0);
}

// Guards against an urgent gang that waits for one slow member.
TEST(SpeedPlacement, StartsAnUrgentGangOnFastWorkers) {
  addWorker(1.7);
  addWorker(0.7, 4);
  addWorker(0.7, 4);
  addWorker(1.7);
  addTasks(2, 4, true, true);
  DOUBLES_EQUAL(1.7, speeds().at(0), 0);
}

// Guards against a gang that is not started because the fast workers are too
// few for it.
TEST(SpeedPlacement, StartsAnUrgentGangOnMixedWorkersIfItMust) {
  addWorker(1.7);
  addWorker(0.7);
  addTasks(2, 8, true, true);
  LONGS_EQUAL(2, speeds().size());
}

// Guards against a gang that holds a fast worker while its slow members work.
TEST(SpeedPlacement, StartsAGangOnWorkersOfOneSpeed) {
  addWorker(0.7);
  addWorker(1.7);
  addWorker(1.7);
  addTasks(2, 8, false, true);
  DOUBLES_EQUAL(1.7, speeds().at(0), 0);
  DOUBLES_EQUAL(1.7, speeds().at(1), 0);
}

// Guards against a wide batch that occupies the fast workers while slow ones
// are free.
TEST(SpeedPlacement, StartsAWideBatchOnSlowWorkers) {
  for (double Speed : {1.7, 1.7, 0.7, 0.7})
    addWorker(Speed);
  addTasks(4, 4, false, false);
  for (double Speed : speeds())
    DOUBLES_EQUAL(0.7, Speed, 0);
}

// Guards against spreading a batch over more workers than it needs for the
// sake of their speed.
TEST(SpeedPlacement, FillsAPartlyUsedFastWorkerWithABatch) {
  addWorker(0.7);
  addWorker(1.7, 4);
  addTasks(4, 1, false, false);
  for (double Speed : speeds())
    DOUBLES_EQUAL(1.7, Speed, 0);
}

// Guards against a placement that speeds change although they are all the same.
TEST(SpeedPlacement, IgnoresACommonSpeed) {
  addWorker(1.7);
  addWorker(1.7, 5);
  addWorker(1.7, 3);
  addTasks(3, 2, true, true);
  addTasks(4, 1, false, false);
  const TaskPlan Fast = planTasks(Input);
  for (PlanWorker &Worker : Input.Workers)
    Worker.Speed = 1;
  const TaskPlan Nominal = planTasks(Input);
  LONGS_EQUAL(7, Nominal.Starts.size());
  for (std::size_t S = 0; S < Nominal.Starts.size(); ++S)
    LONGS_EQUAL(Nominal.Starts[S].Worker, Fast.Starts[S].Worker);
}
