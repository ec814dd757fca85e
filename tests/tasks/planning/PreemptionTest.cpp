#include "tasks/planning/TaskPlanner.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Preemption) {
  PlanInput Input;
  wire::StepSpec Step;

  void setup() override {
    Step.set_accelerators(8);
    PlanUnit Unit;
    Unit.Job = JobId("urgent");
    Unit.Step = &Step;
    Unit.Service = ServiceName("planner");
    Unit.StepKey = "urgent.0.0";
    Unit.Tasks = {0};
    Unit.Guaranteed = true;
    Unit.MayPreempt = true;
    Unit.MayWait = Milliseconds(1000);
    Input.Units.push_back(Unit);
  }

  /// Adds a worker that a run fills.
  PreemptibleRun &addRun(double Loss) {
    const std::size_t W = Input.Workers.size();
    PlanWorker Worker;
    Worker.Incarnation = WorkerIncarnation("w" + std::to_string(W));
    Worker.Service = ServiceName("planner");
    Worker.Rack = RackName("r1");
    Worker.Capacity = {32000, 131072, 8};
    Worker.Free = {32000, 131072, 0};
    Input.Workers.push_back(Worker);
    Input.Preemptible.push_back(
        {W, JobId("borrower"), W, {0, 0, 8}, "", Loss, "", 1, false});
    return Input.Preemptible.back();
  }

  void endIn(std::size_t Run, int Ms) {
    Input.Ending.push_back({Input.Preemptible[Run].Worker,
                            Input.Preemptible[Run].Usage, Milliseconds(Ms),
                            Run});
  }
};

// Guards against stopping a run although another one ends before the bound.
TEST(Preemption, WaitsForARunThatEndsSoon) {
  addRun(1);
  addRun(1000);
  endIn(1, 800);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(0, Plan.Stops.size());
  LONGS_EQUAL(0, Plan.Starts.size());
  STRCMP_EQUAL("w1", Plan.Reservations.begin()->second.front().str().c_str());
}

// Guards against missing the bound by waiting for a run that ends too late.
TEST(Preemption, PreemptsIfNoRunEndsInTime) {
  addRun(1000);
  addRun(1);
  endIn(0, 1200);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(1, Plan.Stops.size());
  LONGS_EQUAL(1, Plan.Stops[0].Task);
  STRCMP_EQUAL("urgent.0.0", Plan.Stops[0].For.c_str());
  DOUBLES_EQUAL(1, Plan.Stops[0].Loss, 0);
}

// Guards against two units that wait for the place of the same run.
TEST(Preemption, GivesThePlaceOfAnEndingRunToOneUnit) {
  addRun(1);
  addRun(1000);
  endIn(1, 800);
  Input.Units.push_back(Input.Units[0]);
  Input.Units[1].Job = JobId("second");
  Input.Units[1].StepKey = "second.0.0";
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(1, Plan.Stops.size());
  LONGS_EQUAL(0, Plan.Stops[0].Task);
}

// Guards against preempting one task again and again because its loss is always
// the smallest.
TEST(Preemption, SparesATaskThatWasPreemptedInItsPreviousRun) {
  addRun(1).WasPreempted = true;
  addRun(1000);
  LONGS_EQUAL(1, planTasks(Input).Stops.at(0).Task);
}

// Guards against missing a guarantee to spare a task.
TEST(Preemption, PreemptsATaskTwiceIfNothingElseHelps) {
  addRun(1).WasPreempted = true;
  LONGS_EQUAL(1, planTasks(Input).Stops.size());
  DOUBLES_EQUAL(1, planTasks(Input).Stops[0].Loss, 0);
}
