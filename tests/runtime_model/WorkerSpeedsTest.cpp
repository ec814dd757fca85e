#include "runtime_model/WorkerSpeeds.h"
#include "runtime_model/RunTimeModel.h"
#include "runtime_model/SiblingRuns.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace baobabcove;

TEST_GROUP(WorkerSpeeds) {
  WorkerSpeeds Speeds;
  const NodeId N1{"n1"}, N2{"n2"}, N3{"n3"}, N4{"n4"};

  void note(const NodeId &Node, const std::string &Incarnation,
            std::int64_t Accelerators = 8,
            const std::vector<std::string> &Labels = {"a"}) {
    Speeds.noteWorker(Node,
                      {Incarnation, {32000, 131072, Accelerators}, Labels});
  }

  void learn(const NodeId &Node, double Speed, int Runs) {
    for (int R = 0; R < Runs; ++R)
      Speeds.add(Node, std::to_string(R), std::log(Speed), 0.1);
  }

  double factor(const NodeId &Node) { return Speeds.speedOf(Node).Factor; }

  /// Learns speeds and durations from 60 steps of three tasks.
  void learnTogether(unsigned Seed) {
    WorkerSpeeds Learned;
    RunTimeModel Model;
    SiblingRuns Siblings;
    const TaskKind Kind{"q", "", "", 1, 3};
    std::mt19937 Random{Seed};
    std::normal_distribution<double> Spread(0, 0.35);
    const std::pair<NodeId, double> Workers[] = {
        {N1, 0.7}, {N2, 0.7}, {N3, 1.7}};
    for (int Step = 0; Step < 60; ++Step) {
      const double Level = 4000 * std::exp(Spread(Random));
      for (const auto &[Node, Speed] : Workers) {
        const double Tail = Random() % 100 < 3 ? 7 : 1;
        const Milliseconds Ran(
            std::lround(Level * Tail * std::exp(Spread(Random) / 2) / Speed));
        const std::string Name = std::to_string(Step);
        Siblings.add(Name, Node, "1", Ran);
        Siblings.updateSpeeds(Name, Model.estimate(Kind, Milliseconds(8000)),
                              Learned);
        Model.add(Kind, Milliseconds(8000),
                  Milliseconds(std::lround(double(Ran.count()) *
                                           Learned.speedOf(Node).Factor)));
      }
    }
    DOUBLES_EQUAL(1.7 / 0.7,
                  Learned.speedOf(N3).Factor / Learned.speedOf(N1).Factor, 0.6);
    const auto Median =
        double(Model.estimate(Kind, Milliseconds(8000)).median().count());
    CHECK(Median > 3000);
    CHECK(Median < 6000);
  }
};

// Guards against a speed before there is any evidence.
TEST(WorkerSpeeds, AssumesNominalSpeedWithoutRuns) {
  DOUBLES_EQUAL(1, factor(N1), 1e-9);
  CHECK_FALSE(Speeds.speedOf(N1).IsKnown);
}

// Guards against speeds that are not relative to the other workers.
TEST(WorkerSpeeds, LearnsTheSpeedsOfUnevenWorkers) {
  for (const auto &[Node, Speed] :
       {std::pair{N1, 0.7}, std::pair{N2, 0.7}, std::pair{N3, 1.7}})
    learn(Node, Speed, 10);
  DOUBLES_EQUAL(1.7 / 0.7, factor(N3) / factor(N1), 0.35);
  DOUBLES_EQUAL(0.7, factor(N1), 0.12);
  DOUBLES_EQUAL(1.7, factor(N3), 0.3);
  CHECK_TRUE(Speeds.speedOf(N1).IsKnown);
}

// Guards against one long task making its worker slow.
TEST(WorkerSpeeds, IgnoresOneRunOfSevenTimesTheDuration) {
  learn(N1, 1, 6);
  learn(N2, 1, 6);
  Speeds.add(N1, "tail", std::log(1.0 / 7), 0.1);
  DOUBLES_EQUAL(1, factor(N1), 0.05);
}

// Guards against a factor without limits.
TEST(WorkerSpeeds, LimitsTheFactor) {
  learn(N1, 1000, 10);
  learn(N2, 0.001, 10);
  DOUBLES_EQUAL(4, factor(N1), 1e-9);
  DOUBLES_EQUAL(0.25, factor(N2), 1e-9);
}

// Guards against a worker of another kind inheriting the speed of the one that
// it replaced.
TEST(WorkerSpeeds, ForgetsAWorkerThatWasReplacedByAnotherKind) {
  note(N1, "w#1");
  note(N2, "w#1");
  learn(N1, 0.5, 10);
  learn(N2, 1.5, 10);
  note(N1, "w#2");
  CHECK_TRUE(Speeds.speedOf(N1).IsKnown);
  note(N1, "w#3", 4);
  CHECK_FALSE(Speeds.speedOf(N1).IsKnown);
  note(N2, "w#2", 8, {"b"});
  CHECK_FALSE(Speeds.speedOf(N2).IsKnown);
}

// Guards against forgetting a speed while a worker offers less for a while.
TEST(WorkerSpeeds, KeepsTheSpeedWhileTheCapacityShrinks) {
  note(N1, "w#1");
  learn(N1, 0.5, 10);
  note(N1, "w#1", 2);
  CHECK_TRUE(Speeds.speedOf(N1).IsKnown);
  note(N1, "w#2", 8);
  CHECK_TRUE(Speeds.speedOf(N1).IsKnown);
}

// Guards against learning nothing from workers of the same kind, and against a
// label that outweighs a worker's own runs.
TEST(WorkerSpeeds, UsesLabelsAsAPriorOnly) {
  for (const NodeId &Node : {N1, N2, N3})
    note(Node, "w#1", 8, {"fast"});
  for (const char *Slow : {"s1", "s2", "s3"}) {
    note(NodeId(Slow), "w#1", 8, {"slow"});
    learn(NodeId(Slow), 0.7, 10);
  }
  learn(N1, 1.7, 10);
  learn(N2, 1.7, 10);
  CHECK(factor(N3) > 1.2);
  CHECK_FALSE(Speeds.speedOf(N3).IsKnown);
  learn(N3, 0.7, 10);
  CHECK(factor(N3) < 0.95);
}

// Guards against counting a step, such as one with many tasks on one worker,
// more than once.
TEST(WorkerSpeeds, CountsEachStepOnce) {
  for (int Time = 0; Time < 10; ++Time)
    Speeds.add(N1, "step", std::log(0.5), 0.1);
  CHECK_FALSE(Speeds.speedOf(N1).IsKnown);
}

// Guards against a single line per worker being repeated, or missing.
TEST(WorkerSpeeds, TellsOnceThatASpeedIsKnown) {
  int Told = 0;
  for (int R = 0; R < 30; ++R)
    Told += Speeds.add(N1, std::to_string(R), 0, 0.1) ? 1 : 0;
  LONGS_EQUAL(1, Told);
}

// Guards against memory that grows with the names of nodes.
TEST(WorkerSpeeds, KeepsABoundedNumberOfWorkers) {
  WorkerSpeeds Small(8);
  for (int N = 0; N < 100; ++N)
    for (int R = 0; R < 5; ++R)
      Small.add(NodeId(std::to_string(N)), std::to_string(R), 0.5, 0.05);
  LONGS_EQUAL(8, Small.known().size());
}

// Guards against taking a step of long tasks for slow workers: its tasks take
// equally long on all workers.
TEST(WorkerSpeeds, TellsLongTasksFromSlowWorkers) {
  SiblingRuns Siblings;
  for (const NodeId &Node : {N1, N2, N3})
    Siblings.add("long", Node, "1", Milliseconds(20000));
  Siblings.add("long", N4, "1", Milliseconds(40000));
  const auto Work = Siblings.workOf("long", N4, Speeds);
  DOUBLES_EQUAL(20000, double(Work->median().count()), 100);
  const auto Own = Siblings.workOf("long", N1, Speeds);
  CHECK(Own->median().count() > 20000);
  CHECK_FALSE(Siblings.workOf("other", N1, Speeds).has_value());
}

// Guards against model and speeds that drift away together, since each is
// learned relative to the other.
TEST(WorkerSpeeds, ConvergesTogetherWithTheModel) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed)
    learnTogether(Seed);
}
