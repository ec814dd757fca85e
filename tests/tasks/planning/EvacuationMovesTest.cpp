#include "tasks/planning/EvacuationMoves.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(EvacuationMoves) {
  PlanInput Input;
  wire::StepSpec Step;

  void setup() override { Step.set_accelerators(4); }

  void addWorker(const std::string &Name, std::int64_t Free,
                 bool Accepts = true) {
    PlanWorker Worker;
    Worker.Incarnation = WorkerIncarnation(Name + "/w#1");
    Worker.Service = ServiceName("s");
    Worker.Capacity.Accelerators = 8;
    Worker.Free.Accelerators = Free;
    Worker.AcceptsTasks = Accepts;
    Input.Workers.push_back(Worker);
  }

  PlanUnit unitOf(const std::string &Job, std::vector<std::size_t> Tasks,
                  double Rank) const {
    PlanUnit Unit;
    Unit.Job = JobId(Job);
    Unit.Tasks = std::move(Tasks);
    Unit.Step = &Step;
    Unit.Service = ServiceName("s");
    Unit.StepKey = Job + ".0.0";
    Unit.Rank = Rank;
    return Unit;
  }
};

// Pattern: runs are stopped although there is no place for them elsewhere, and
// wait instead of ending where they are.
TEST(EvacuationMoves, MovesOnlyWhatFitsElsewhere) {
  addWorker("n0", 8, false);
  addWorker("n1", 4);
  const auto Moves = planMoves(
      Input, {}, {unitOf("a", {0}, 2), unitOf("b", {0}, 1)}, MaxMovesAtOnce);
  LONGS_EQUAL(1, Moves.size());
  // The lower rank is that of the guaranteed job.
  STRCMP_EQUAL("b", Moves[0].Job.str().c_str());
  STRCMP_EQUAL("n1/w#1", Moves[0].Targets[0].str().c_str());
}

// Pattern: a run is stopped for a place that the same round gives to a waiting
// task.
TEST(EvacuationMoves, LeavesThePlacesOfThePlan) {
  addWorker("n1", 4);
  Input.Units = {unitOf("w", {0}, 0)};
  TaskPlan Plan;
  Plan.Starts.push_back({JobId("w"), 0, 0});
  LONGS_EQUAL(
      0, planMoves(Input, Plan, {unitOf("a", {0}, 1)}, MaxMovesAtOnce).size());
  TaskPlan Reserving;
  Reserving.Reservations[{JobId("w"), 0}] = {Input.Workers[0].Incarnation};
  LONGS_EQUAL(0,
              planMoves(Input, Reserving, {unitOf("a", {0}, 1)}, MaxMovesAtOnce)
                  .size());
}

// Pattern: all runs of a data centre are stopped at once.
TEST(EvacuationMoves, MovesAFewAtATime) {
  for (int W = 0; W < 10; ++W)
    addWorker("n" + std::to_string(W), 8);
  std::vector<PlanUnit> Candidates;
  for (std::size_t T = 0; T < 20; ++T)
    Candidates.push_back(unitOf("a", {T}, 1));
  LONGS_EQUAL(MaxMovesAtOnce,
              planMoves(Input, {}, Candidates, MaxMovesAtOnce).size());
  LONGS_EQUAL(1, planMoves(Input, {}, Candidates, 1).size());
}

// Pattern: a part of a gang is moved, or a large gang never is.
TEST(EvacuationMoves, MovesGangsWhole) {
  addWorker("n1", 8);
  addWorker("n2", 8);
  Step.set_gang(true);
  LONGS_EQUAL(
      0, planMoves(Input, {}, {unitOf("g", {0, 1, 2, 3, 4}, 1)}, MaxMovesAtOnce)
             .size());
  Input.Workers.clear();
  for (int W = 0; W < 6; ++W)
    addWorker("n" + std::to_string(W), 4);
  const auto Candidates = {unitOf("g", {0, 1, 2, 3, 4}, 1),
                           unitOf("h", {0}, 2)};
  const auto Moves = planMoves(Input, {}, Candidates, MaxMovesAtOnce);
  LONGS_EQUAL(1, Moves.size());
  LONGS_EQUAL(5, Moves[0].Tasks.size());
  LONGS_EQUAL(5, Moves[0].Targets.size());
  LONGS_EQUAL(0, planMoves(Input, {}, Candidates, MaxMovesAtOnce - 1).size());
}
