#include "tasks/planning/TaskPlanner.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskPlanner) {
  PlanInput Input;
  std::vector<std::unique_ptr<wire::StepSpec>> Steps;

  /// Adds a worker with 32 cores, 128 GB and 8 accelerators.
  void addWorker(const std::string &Incarnation, const std::string &Rack) {
    PlanWorker Worker;
    Worker.Incarnation = WorkerIncarnation(Incarnation);
    Worker.Service = ServiceName("planner");
    Worker.Rack = RackName(Rack);
    Worker.Labels = {"a", Rack};
    Worker.Capacity = {32000, 131072, 8};
    Worker.Free = Worker.Capacity;
    Input.Workers.push_back(Worker);
  }

  /// Adds a preemptible run that uses \p Accelerators.
  void addRun(std::size_t Worker, std::size_t Task, std::int64_t Accelerators,
              double Loss, const std::string &Gang = "") {
    const Resources Usage{1000, 1000, Accelerators};
    Input.Workers[Worker].Free -= Usage;
    Input.Preemptible.push_back(
        {Worker, JobId("borrower"), Task, Usage, Gang, Loss, "", 1, false});
  }

  wire::StepSpec &addUnit(const std::string &Job, std::size_t Tasks,
                          std::int64_t Accelerators, double Rank = 0) {
    Steps.push_back(std::make_unique<wire::StepSpec>());
    wire::StepSpec &Step = *Steps.back();
    Step.set_milli_cores(1000);
    Step.set_memory_mb(1000);
    Step.set_accelerators(Accelerators);
    PlanUnit Unit;
    Unit.Job = JobId(Job);
    for (std::size_t T = 0; T < Tasks; ++T)
      Unit.Tasks.push_back(T);
    Unit.Step = &Step;
    Unit.Service = ServiceName("planner");
    Unit.StepKey = Job + ".0.0";
    Unit.Rank = Rank;
    Input.Units.push_back(Unit);
    return Step;
  }
};

TEST(TaskPlanner, StartsTheUnitWithTheLowestRankWhenResourcesAreShort) {
  addWorker("w0", "r1");
  addUnit("later", 1, 8, 2);
  addUnit("sooner", 1, 8, 1);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(1, Plan.Starts.size());
  STRCMP_EQUAL("sooner", Plan.Starts[0].Job.str().c_str());
}

TEST(TaskPlanner, StartsAGangWholeOrNotAtAll) {
  addWorker("w0", "r1");
  addWorker("w1", "r1");
  addUnit("gang", 3, 8);
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
  addWorker("w2", "r1");
  LONGS_EQUAL(3, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, PlacesASmallTaskOnTheFullestWorker) {
  addWorker("empty", "r1");
  addWorker("half", "r1");
  Input.Workers[1].Free.Accelerators = 4;
  addUnit("small", 1, 1);
  LONGS_EQUAL(1, planTasks(Input).Starts.at(0).Worker);
}

TEST(TaskPlanner, KeepsAGangInOneRackUntilItMayRunRemote) {
  for (const char *Rack : {"r1", "r2"}) {
    addWorker(std::string("free-") + Rack, Rack);
    addWorker(std::string("full-") + Rack, Rack);
    Input.Workers.back().Free = {};
    Input.Workers.back().Runs = 1;
  }
  addUnit("gang", 2, 8).set_same_rack(true);
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
  Input.Units[0].MayRunRemote = true;
  LONGS_EQUAL(2, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, PrefersTheRackThatHoldsTheData) {
  addWorker("w0", "r1");
  addWorker("w1", "r2");
  addUnit("near", 1, 1).set_data_rack("r2");
  LONGS_EQUAL(1, planTasks(Input).Starts.at(0).Worker);
}

TEST(TaskPlanner, StartsNothingWithoutTheRequiredLabel) {
  addWorker("w0", "r1");
  addUnit("picky", 1, 1).set_required_label("b");
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, CountsRunsOfTheStepAgainstItsSpreadLimit) {
  addWorker("w0", "r1");
  addWorker("w1", "r1");
  addUnit("spread", 2, 1).set_spread_limit(1);
  Input.OnWorker[{"spread.0.0", 0}] = 1;
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, PreemptsTheRunsWithTheLeastLoss) {
  addWorker("w0", "r1");
  addWorker("w1", "r1");
  addRun(0, 0, 8, 50);
  addRun(1, 1, 8, 5);
  addUnit("urgent", 1, 8);
  Input.Units[0].Guaranteed = true;
  LONGS_EQUAL(0, planTasks(Input).Stops.size());
  Input.Units[0].MayPreempt = true;
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(1, Plan.Stops.size());
  LONGS_EQUAL(1, Plan.Stops[0].Task);
  LONGS_EQUAL(0, Plan.Starts.size());
}

TEST(TaskPlanner, PreemptsWithinOneRackForAGangThatRequiresIt) {
  addWorker("w0", "r1");
  addWorker("w1", "r2");
  addWorker("w2", "r2");
  addRun(0, 0, 8, 1);
  addRun(1, 1, 8, 20);
  addRun(2, 2, 8, 20);
  addUnit("urgent", 2, 8).set_same_rack(true);
  Input.Units[0].Guaranteed = true;
  Input.Units[0].MayPreempt = true;
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(2, Plan.Stops.size());
  for (const PlannedStop &Stop : Plan.Stops)
    CHECK(Stop.Task != 0);
}

TEST(TaskPlanner, StartsOnReservedWorkersAcrossRacks) {
  addWorker("w0", "r1");
  addWorker("w1", "r2");
  addUnit("urgent", 2, 8).set_same_rack(true);
  Input.Units[0].Guaranteed = true;
  Input.Reservations[{JobId("urgent"), 0}] = {WorkerIncarnation("w0"),
                                              WorkerIncarnation("w1")};
  LONGS_EQUAL(2, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, ReservesResourcesOfStoppingRunsForGuaranteedUnits) {
  addWorker("w0", "r1");
  addWorker("w1", "r1");
  Input.Workers[0].Free.Accelerators = 4;
  Input.Workers[0].Releasing.Accelerators = 4;
  Input.Workers[1].Free.Accelerators = 0;
  addUnit("urgent", 1, 8, 0);
  Input.Units[0].Guaranteed = true;
  addUnit("small", 1, 1, 1);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(0, Plan.Starts.size());
  LONGS_EQUAL(0, Plan.Stops.size());
  LONGS_EQUAL(1, Plan.Reservations.size());
}

TEST(TaskPlanner, CountsAllMembersOfAPreemptedGangAsFreed) {
  addWorker("w0", "r1");
  addWorker("w1", "r1");
  addRun(0, 0, 8, 10, "g");
  addRun(1, 1, 8, 10, "g");
  addUnit("urgent", 2, 8);
  Input.Units[0].Guaranteed = true;
  Input.Units[0].MayPreempt = true;
  LONGS_EQUAL(1, planTasks(Input).Stops.size());
}

// Pattern: a burst of wide steps on a full cell. A step whose next task does
// not fit is not searched for again, and holds up no other step.
TEST(TaskPlanner, PlacesOtherStepsOnceAWideStepNoLongerFits) {
  addWorker("w0", "r1");
  Input.Workers[0].Free.Accelerators = 7;
  for (std::size_t T = 0; T < 78; ++T) {
    addUnit("wide", 1, 3, 1);
    Input.Units.back().Tasks = {T};
  }
  addUnit("narrow", 1, 1, 2);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(3, Plan.Starts.size());
  LONGS_EQUAL(1, Plan.Starts[1].Task);
  STRCMP_EQUAL("narrow", Plan.Starts[2].Job.str().c_str());
}

// Pattern: a unit is suspected of crashing its workers; the next crash must be
// attributable to it.
TEST(TaskPlanner, StartsAnIsolatedUnitOnAWorkerWithoutOtherRuns) {
  addWorker("n0/w#1", "r1");
  addWorker("n1/w#1", "r1");
  Input.Workers[0].Runs = 1;
  Input.Workers[0].Free.Accelerators = 4;
  addUnit("suspect", 1, 1);
  Input.Units[0].Isolated = true;
  LONGS_EQUAL(1, planTasks(Input).Starts.at(0).Worker);
  Input.Workers[1].Runs = 1;
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, PlacesNothingBesideASuspect) {
  addWorker("n0/w#1", "r1");
  addUnit("suspect", 1, 1, 1);
  Input.Units[0].Isolated = true;
  addUnit("other", 1, 1, 2);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(1, Plan.Starts.size());
  STRCMP_EQUAL("suspect", Plan.Starts[0].Job.str().c_str());
  Input.Units.erase(Input.Units.begin());
  Input.Workers[0].HasSuspect = true;
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, StartsAnIsolatedUnitBesideProvenRunsAfterItsWait) {
  addWorker("n0/w#1", "r1");
  addWorker("n1/w#1", "r1");
  Input.Workers[0].Runs = 1;
  Input.Workers[0].HasRunOnProbation = true;
  Input.Workers[1].Runs = 2;
  addUnit("suspect", 1, 1);
  Input.Units[0].Isolated = true;
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
  Input.Units[0].MayShareWorker = true;
  LONGS_EQUAL(1, planTasks(Input).Starts.at(0).Worker);
}

// Pattern: short tasks follow each other on all workers, so that there is
// always one on probation beside which the suspect must not start.
TEST(TaskPlanner, KeepsNewRunsAwayFromAWorkerForAWaitingSuspect) {
  addWorker("n0/w#1", "r1");
  Input.Workers[0].Runs = 1;
  Input.Workers[0].HasRunOnProbation = true;
  addUnit("suspect", 1, 1, 1);
  Input.Units[0].Isolated = true;
  addUnit("short", 1, 1, 2);
  LONGS_EQUAL(1, planTasks(Input).Starts.size());
  Input.Units[0].MayShareWorker = true;
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(0, Plan.Starts.size());
  LONGS_EQUAL(1, Plan.Reservations.size());
}

// Pattern: a faulty worker crashes whatever it runs, and its tasks must not be
// blamed for it.
TEST(TaskPlanner, AvoidsNodesOfEarlierCrashesIfThereAreOthers) {
  addWorker("n0/w#1", "r1");
  addWorker("n1/w#1", "r1");
  Input.Workers[1].Runs = 1;
  Input.Workers[1].Free.Accelerators = 0;
  addUnit("suspect", 1, 1);
  Input.Units[0].Isolated = true;
  Input.Units[0].AvoidedNodes = {NodeId("n0")};
  LONGS_EQUAL(0, planTasks(Input).Starts.size());
  Input.Workers.pop_back();
  LONGS_EQUAL(1, planTasks(Input).Starts.size());
}

TEST(TaskPlanner, StartsAnIsolatedGangOnWorkersOfItsOwn) {
  addWorker("n0/w#1", "r1");
  addWorker("n1/w#1", "r1");
  addUnit("gang", 3, 4);
  Input.Units[0].Isolated = true;
  LONGS_EQUAL(3, planTasks(Input).Starts.size());
}

// Pattern: a task waits for a cold worker, or several start on one, while a
// warm worker is free.
TEST(TaskPlanner, UsesColdWorkersLastAndWithinTheirLimit) {
  addWorker("cold", "r1");
  Input.Workers[0].IsCold = true;
  Input.Workers[0].StartsLeft = 1;
  addWorker("warm", "r1");
  Input.Workers[0].Free.Accelerators = 4;
  addUnit("a", 1, 4, 1);
  addUnit("b", 1, 4, 2);
  addUnit("c", 1, 2, 3);
  addUnit("d", 1, 2, 4);
  const TaskPlan Plan = planTasks(Input);
  LONGS_EQUAL(3, Plan.Starts.size());
  LONGS_EQUAL(1, Plan.Starts[0].Worker);
  LONGS_EQUAL(1, Plan.Starts[1].Worker);
  LONGS_EQUAL(0, Plan.Starts[2].Worker);
}
