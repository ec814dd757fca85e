#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <memory>

using namespace baobabcove;

namespace {

/// Workers that run tasks at their speed and report twice a second.
class SpeedCell {
public:
  explicit SpeedCell(bool Learns = true) : Tracker(settings(Learns)) {}

  static RunTimeSettings settings(bool Learns) {
    RunTimeSettings Settings;
    Settings.Learns = Learns;
    return Settings;
  }

  void addWorker(const std::string &Node, double Speed,
                 const std::string &Rack = "r1") {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(Node + "/w#1");
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_rack(Rack);
    Report.set_complete(true);
    Report.set_agent_life(1);
    Workers.push_back({Report, Speed, {}, 0, false});
  }

  /// Returns a job of whole-worker tasks with \p EstimateMs as the estimate.
  std::shared_ptr<wire::TaskJobSpec> makeJob(const std::string &Id,
                                             std::uint32_t Tasks,
                                             std::int64_t EstimateMs) const {
    auto Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id(Id);
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_accepted_ms(Now.UnixMs);
    Spec->set_max_attempts(2);
    Spec->set_priority(1);
    Spec->set_stretch(3);
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(Tasks);
    Step.set_accelerators(8);
    Step.set_milli_cores(1000);
    Step.set_memory_mb(1000);
    Step.set_estimate_ms(EstimateMs);
    return Spec;
  }

  /// Adds a job whose tasks have \p WorkMs of work at nominal speed.
  void add(const std::shared_ptr<wire::TaskJobSpec> &Spec, double WorkMs) {
    Work[Spec->id()] = WorkMs;
    Tracker.addJob(Spec);
  }

  /// Runs all workers for \p Ms.
  void pass(int Ms) {
    for (const auto End = Now.Boot + Milliseconds(Ms); Now.Boot < End;) {
      Now.Boot += Milliseconds(ReportMs);
      Now.UnixMs += ReportMs;
      std::vector<wire::TaskReport> Reports;
      for (Worker &Of : Workers) {
        report(Of);
        Tracker.applyReport(Of.Report, Now);
        Reports.push_back(Of.Report);
      }
      Tracker.finishJobs(Now);
      Tracker.moveStalledRuns(Now);
      Tracker.plan(Reports, Config, Now);
      for (Worker &Of : Workers)
        obey(Of, Tracker.ordersFor(Of.Report));
    }
  }

  void stall(std::size_t Worker, bool Stalls) {
    Workers[Worker].Stalled = Stalls;
  }
  void slowDown(std::size_t Worker, double Speed) {
    Workers[Worker].Speed = Speed;
  }
  const TaskState &task(const std::string &Job, std::size_t At = 0) const {
    return Tracker.jobs().at(JobId(Job)).task(At);
  }
  double speed(const std::string &Node) {
    return Tracker.runTimes().speedOf(NodeId(Node)).Factor;
  }
  std::uint64_t samples() { return Tracker.runTimes().model().samples(); }
  /// Returns the expected duration of a task of a job with an estimate of
  /// \p EstimateMs.
  double expected(std::int64_t EstimateMs) {
    const auto Spec = makeJob("any", 1, EstimateMs);
    return double(Tracker.runTimes().expected(*Spec, Spec->steps(0)).count());
  }
  int stops() const { return Stops; }

  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  QueueConfig Config;
  JobTracker Tracker;
  /// Share of the work that each resumed run finds done.
  std::map<std::string, double> Saved;

  /// Adds a job of \p Tasks whole-worker tasks that may preempt others.
  void addGuaranteed(const std::string &Id, std::uint32_t Tasks,
                     double WorkMs) {
    Config.Workspaces[WorkspaceId("team")] = {WorkspaceId("team"), 64};
    auto Spec = makeJob(Id, Tasks, std::int64_t(WorkMs));
    Spec->set_priority(0);
    Spec->set_workspace("team");
    add(Spec, WorkMs);
  }

private:
  static constexpr int ReportMs = 500;

  struct Run {
    std::string Task;
    std::uint64_t Number = 0;
    double DoneMs = 0;
  };
  struct Worker {
    wire::TaskReport Report;
    double Speed = 1;
    std::vector<Run> Runs;
    std::uint64_t Ends = 0;
    bool Stalled = false;
  };

  double workOf(const std::string &Task) const {
    return Work.at(parseTaskName(Task)->Job.str());
  }

  bool isGang(const std::string &Task) const {
    return Tracker.jobs().at(parseTaskName(Task)->Job).step(0).gang();
  }

  /// Whether all members of a gang are done.
  bool isUnitDone(const Run &Of) const {
    if (!isGang(Of.Task))
      return Of.DoneMs >= workOf(Of.Task);
    for (const Worker &Other : Workers)
      for (const Run &Member : Other.Runs)
        if (parseTaskName(Member.Task)->Job == parseTaskName(Of.Task)->Job &&
            Member.DoneMs < workOf(Member.Task))
          return false;
    return true;
  }

  void report(Worker &Of) {
    Of.Report.clear_running();
    Of.Report.clear_ends();
    for (Run &Held : Of.Runs)
      if (!Of.Stalled)
        Held.DoneMs =
            std::min(Held.DoneMs + ReportMs * Of.Speed, workOf(Held.Task));
    for (auto Held = Of.Runs.begin(); Held != Of.Runs.end();) {
      if (isUnitDone(*Held)) {
        end(Of, *Held, wire::RUN_DONE);
        Held = Of.Runs.erase(Held);
        continue;
      }
      wire::RunStatus &Status = *Of.Report.add_running();
      Status.set_task(Held->Task);
      Status.set_run(Held->Number);
      Status.set_percent(
          static_cast<std::uint32_t>(100 * Held->DoneMs / workOf(Held->Task)));
      ++Held;
    }
  }

  void end(Worker &Of, const Run &Held, wire::RunEnding How) {
    wire::RunEnd &End = *Of.Report.add_ends();
    End.set_number(++Of.Ends);
    End.set_task(Held.Task);
    End.set_run(Held.Number);
    End.set_ending(How);
    if (How == wire::RUN_STOPPED && Saved.count(Held.Task))
      End.set_checkpoint("saved");
  }

  void obey(Worker &Of, const wire::TaskOrders &Orders) {
    for (const wire::StartOrder &Start : Orders.starts()) {
      const double Before =
          Start.checkpoint().empty() ? 0 : Saved[Start.task()];
      if (std::none_of(Of.Runs.begin(), Of.Runs.end(), [&](const Run &Held) {
            return Held.Task == Start.task();
          }))
        Of.Runs.push_back(
            {Start.task(), Start.run(), Before * workOf(Start.task())});
    }
    for (const wire::RunKey &Stop : Orders.stops())
      for (auto Held = Of.Runs.begin(); Held != Of.Runs.end(); ++Held)
        if (Held->Task == Stop.task()) {
          ++Stops;
          wire::TaskReport &Report = Of.Report;
          Report.clear_running();
          Report.clear_ends();
          end(Of, *Held, wire::RUN_STOPPED);
          Of.Runs.erase(Held);
          Tracker.applyReport(Report, Now);
          break;
        }
  }

  std::vector<Worker> Workers;
  std::map<std::string, double> Work;
  int Stops = 0;
};

} // namespace

TEST_GROUP(TaskRunTimes) {
  std::unique_ptr<SpeedCell> Cell = std::make_unique<SpeedCell>();

  /// Runs jobs of one task per worker, one job after the other.
  void runJobs(int Jobs, std::uint32_t Tasks, double WorkMs, int EstimateMs) {
    for (int J = 0; J < Jobs; ++J) {
      Cell->add(Cell->makeJob("j" + std::to_string(J), Tasks, EstimateMs),
                WorkMs);
      Cell->pass(int(WorkMs * 2) + 1000);
    }
  }
};

// Guards against restarting a long task indefinitely: it needs 3 s for one
// percent, more than the fixed timeout of 1.6 s.
TEST(TaskRunTimes, LeavesALongTaskWithoutCheckpointsAlone) {
  Cell->addWorker("n1", 1);
  Cell->addWorker("n2", 1);
  Cell->add(Cell->makeJob("long", 1, 300000), 300000);
  Cell->pass(303000);
  LONGS_EQUAL(0, Cell->stops());
  LONGS_EQUAL(wire::TASK_DONE, Cell->task("long").Phase);
}

// Guards against the same when the estimate is far too low and the worker slow.
TEST(TaskRunTimes, LeavesALongTaskWithALowEstimateAlone) {
  Cell->addWorker("n1", 0.7);
  Cell->add(Cell->makeJob("long", 1, 30000), 300000);
  Cell->pass(440000);
  LONGS_EQUAL(0, Cell->stops());
  LONGS_EQUAL(wire::TASK_DONE, Cell->task("long").Phase);
}

// Guards against finding a run that stands still much later than with the fixed
// timeout of 1.6 s.
TEST(TaskRunTimes, FindsAStalledRunSoon) {
  Cell->addWorker("n1", 1);
  Cell->addWorker("n2", 1);
  auto Spec = Cell->makeJob("j", 1, 20000);
  Spec->mutable_steps(0)->set_checkpointing(true);
  Cell->add(Spec, 20000);
  Cell->pass(5000);
  const bool OnFirst = nodeOf(Cell->task("j").Worker).str() == "n1";
  Cell->stall(OnFirst ? 0 : 1, true);
  Cell->pass(3200);
  LONGS_EQUAL(1, Cell->stops());
}

// Guards against missing a run that never makes any progress.
TEST(TaskRunTimes, FindsARunThatStallsBeforeItsFirstPercent) {
  Cell->addWorker("n1", 1);
  Cell->stall(0, true);
  Cell->add(Cell->makeJob("j", 1, 15000), 15000);
  Cell->pass(4500);
  CHECK(Cell->stops() > 0);
}

// Guards against a comparison with and without learning in which both learn.
TEST(TaskRunTimes, KeepsTheFixedTimeoutWhileLearningIsOff) {
  Cell = std::make_unique<SpeedCell>(false);
  Cell->addWorker("n1", 1);
  Cell->add(Cell->makeJob("long", 1, 30000), 300000);
  Cell->pass(30000);
  CHECK(Cell->stops() > 0);
  LONGS_EQUAL(0, Cell->samples());
}

// Guards against leaving out runs that were resumed from a checkpoint, and
// against counting them as short ones.
TEST(TaskRunTimes, LearnsFromResumedRuns) {
  Cell->addWorker("n1", 1);
  for (int J = 0; J < 6; ++J) {
    const std::string Id = "j" + std::to_string(J);
    auto Spec = Cell->makeJob(Id, 1, 2000);
    Spec->mutable_steps(0)->set_checkpointing(true);
    Cell->Saved[Id + ".0.0.0"] = 0.4;
    Cell->add(Spec, 10000);
    Cell->pass(4500);
    Cell->stall(0, true);
    Cell->pass(2500);
    Cell->stall(0, false);
    Cell->pass(10000);
    LONGS_EQUAL(wire::TASK_DONE, Cell->task(Id).Phase);
    LONGS_EQUAL(2, Cell->task(Id).Run);
  }
  LONGS_EQUAL(6, Cell->samples());
  CHECK(Cell->expected(2000) > 7000);
  CHECK(Cell->expected(2000) < 13000);
}

// Guards against workers of different speed counting as equal.
TEST(TaskRunTimes, LearnsTheSpeedsOfUnevenWorkers) {
  Cell->addWorker("slow1", 0.7);
  Cell->addWorker("slow2", 0.7);
  Cell->addWorker("fast", 1.7);
  runJobs(6, 3, 4000, 4000);
  DOUBLES_EQUAL(1.7 / 0.7, Cell->speed("fast") / Cell->speed("slow1"), 0.5);
  DOUBLES_EQUAL(1, Cell->speed("slow2") / Cell->speed("slow1"), 0.1);
  CHECK(Cell->expected(4000) > 3000);
  CHECK(Cell->expected(4000) < 5500);
}

// Guards against a speed that is known only when runs end: the members of one
// gang show it after some seconds.
TEST(TaskRunTimes, LearnsSpeedsFromThePaceOfAGang) {
  Cell->addWorker("slow", 0.7);
  Cell->addWorker("fast", 1.7);
  auto Spec = Cell->makeJob("gang", 2, 10000);
  Spec->mutable_steps(0)->set_gang(true);
  Cell->add(Spec, 20000);
  Cell->pass(5000);
  CHECK(Cell->speed("fast") / Cell->speed("slow") > 1.4);
}

// Guards against a sample for each member of a gang, and against the speed of
// the slowest worker counting as work.
TEST(TaskRunTimes, AddsOneNormalizedSampleForAGang) {
  Cell->addWorker("slow", 0.7);
  Cell->addWorker("fast", 1.7);
  for (int J = 0; J < 8; ++J) {
    auto Spec = Cell->makeJob("g" + std::to_string(J), 2, 6000);
    Spec->mutable_steps(0)->set_gang(true);
    Cell->add(Spec, 6000);
    Cell->pass(10000);
  }
  LONGS_EQUAL(8, Cell->samples());
  // At the speeds 0.7 and 1.7, whose geometric mean is 1.09.
  CHECK(Cell->expected(6000) > 5000);
  CHECK(Cell->expected(6000) < 7500);
}

// Guards against learning a duration three times as long from runs away from
// their data.
TEST(TaskRunTimes, NormalizesRunsAwayFromTheirData) {
  Cell->addWorker("n1", 1.0 / 3, "r2");
  for (int J = 0; J < 6; ++J) {
    auto Spec = Cell->makeJob("j" + std::to_string(J), 1, 3000);
    Spec->mutable_steps(0)->set_data_rack("r1");
    Spec->set_accepted_ms(Cell->Now.UnixMs - 100000);
    Cell->add(Spec, 3000);
    Cell->pass(11000);
  }
  LONGS_EQUAL(6, Cell->samples());
  CHECK(Cell->expected(3000) < 4000);
  DOUBLES_EQUAL(1, Cell->speed("n1"), 0.1);
}

// Guards against stopping a run although another one makes place within the
// time in which a guarantee must be reclaimed.
TEST(TaskRunTimes, ReclaimsFromARunThatIsAboutToEnd) {
  Cell->addWorker("n1", 1);
  Cell->addWorker("n2", 1);
  Cell->add(Cell->makeJob("ending", 1, 10000), 10000);
  Cell->pass(5000);
  Cell->add(Cell->makeJob("young", 1, 10000), 10000);
  Cell->pass(4500);
  Cell->addGuaranteed("urgent", 1, 2000);
  Cell->pass(2500);
  LONGS_EQUAL(0, Cell->stops());
  LONGS_EQUAL(1, Cell->task("urgent").Run);
}

// Guards against a guarantee that is missed since the run that was expected to
// end does not.
TEST(TaskRunTimes, ReclaimsInTimeIfARunDoesNotEndAsExpected) {
  Cell->addWorker("n1", 1);
  Cell->add(Cell->makeJob("ending", 1, 10000), 10000);
  Cell->pass(9500);
  Cell->addGuaranteed("urgent", 1, 2000);
  // Slower than before, but not stalled.
  Cell->slowDown(0, 0.1);
  Cell->pass(2500);
  LONGS_EQUAL(1, Cell->stops());
  LONGS_EQUAL(wire::TASK_PLACED, Cell->task("urgent").Phase);
}

// Guards against taking a long run with checkpoints for one that loses nothing:
// what it did since its last checkpoint is lost.
TEST(TaskRunTimes, CountsTheWorkSinceTheLastCheckpoint) {
  Cell->addWorker("n1", 1);
  Cell->addWorker("n2", 1);
  auto Old = Cell->makeJob("checkpointed", 1, 60000);
  Old->mutable_steps(0)->set_checkpointing(true);
  Cell->add(Old, 60000);
  Cell->pass(30000);
  Cell->add(Cell->makeJob("young", 1, 60000), 60000);
  Cell->pass(3000);
  Cell->addGuaranteed("urgent", 1, 2000);
  Cell->pass(2500);
  LONGS_EQUAL(wire::TASK_WAITING, Cell->task("young").Phase);
  LONGS_EQUAL(wire::TASK_PLACED, Cell->task("checkpointed").Phase);
}

// Guards against preempting the same task twice in a row.
TEST(TaskRunTimes, PreemptsAnotherTaskTheNextTime) {
  Cell->addWorker("n1", 1);
  Cell->addWorker("n2", 1);
  Cell->add(Cell->makeJob("old", 1, 200000), 200000);
  Cell->pass(20000);
  Cell->add(Cell->makeJob("young", 1, 200000), 200000);
  Cell->pass(5000);
  Cell->addGuaranteed("first", 1, 2000);
  Cell->pass(10000);
  LONGS_EQUAL(2, Cell->task("young").Run);
  Cell->addGuaranteed("second", 1, 2000);
  Cell->pass(10000);
  LONGS_EQUAL(2, Cell->task("young").Run);
  LONGS_EQUAL(2, Cell->task("old").Run);
}

// Guards against learned speeds that do not reach the placement: of workers of
// 0.7, 0.7 and 1.7, only the last ones end an urgent task of 2 s in time.
TEST(TaskRunTimes, StartsUrgentJobsOnWorkersThatWereLearnedToBeFast) {
  for (const auto &[Node, Speed] :
       {std::pair{"a", 0.7}, std::pair{"b", 0.7}, std::pair{"c", 1.7}})
    Cell->addWorker(Node, Speed);
  runJobs(5, 3, 4000, 4000);
  for (int J = 0; J < 4; ++J) {
    const std::string Id = "urgent" + std::to_string(J);
    Cell->addGuaranteed(Id, 1, 2000);
    Cell->pass(4000);
    STRCMP_EQUAL("c", nodeOf(Cell->task(Id).Worker).str().c_str());
  }
}
