// Long-running tasks: how they come back after they were down, and which of
// them are stopped for guaranteed jobs.

#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr std::int64_t AllAccelerators = 8;
constexpr std::uint32_t AtWork = 100;

} // namespace

TEST_GROUP(LongRunning) {
  JobTracker Tracker;
  QueueConfig Config;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::vector<std::shared_ptr<wire::TaskJobSpec>> Specs;
  std::vector<wire::TaskReport> Reports;

  void setup() override {
    Config.Workspaces[WorkspaceId("team")] = {WorkspaceId("team"), 64};
  }

  void addWorkers(int Count) {
    for (int W = 0; W < Count; ++W) {
      wire::TaskReport &Report = Reports.emplace_back();
      Report.set_node("n" + std::to_string(Reports.size()));
      Report.set_worker(Report.node() + "/w#1");
      Report.set_service("planner");
      Report.set_milli_cores(32000);
      Report.set_memory_mb(131072);
      Report.set_accelerators(AllAccelerators);
      Report.set_rack("r1");
      Report.set_complete(true);
      Report.set_agent_life(1);
    }
  }

  /// Adds a job whose tasks need a whole worker each, or \p Accelerators.
  wire::StepSpec &addJob(const std::string &Id, std::uint32_t Tasks,
                         std::int64_t Accelerators = AllAccelerators) {
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
    Step.set_accelerators(Accelerators);
    Step.set_milli_cores(1000);
    Step.set_memory_mb(1000);
    Step.set_estimate_ms(60000);
    Specs.push_back(Spec);
    Tracker.addJob(Spec);
    return Step;
  }

  void addServing(const std::string &Id, std::uint32_t Tasks,
                  std::uint32_t MayMiss) {
    wire::StepSpec &Step = addJob(Id, Tasks);
    Step.set_long_running(true);
    Step.set_may_miss(MayMiss);
  }

  /// Adds a guaranteed job, for which runs may be preempted by now.
  wire::StepSpec &addGuaranteed(const std::string &Id, std::uint32_t Tasks) {
    wire::StepSpec &Step = addJob(Id, Tasks);
    Specs.back()->set_priority(0);
    Specs.back()->set_workspace("team");
    Specs.back()->set_accepted_ms(Now.UnixMs - 600);
    return Step;
  }

  TaskJob &job(const std::string &Id) { return Tracker.jobs().at(JobId(Id)); }
  TaskState &task(const std::string &Id, std::size_t At = 0) {
    return job(Id).task(At);
  }

  void plan() { Tracker.plan(Reports, Config, Now); }

  void advance(int Ms) {
    Now.Boot += Milliseconds(Ms);
    Now.UnixMs += Ms;
  }

  wire::TaskReport &reportOf(const WorkerIncarnation &Worker) {
    for (wire::TaskReport &Report : Reports)
      if (Report.worker() == Worker.str())
        return Report;
    FAIL("no such worker");
    return Reports.front();
  }

  /// All placed runs are listed with \p Percent.
  void listRuns(std::uint32_t Percent = AtWork) {
    for (wire::TaskReport &Report : Reports)
      Report.clear_running();
    for (const auto &Spec : Specs) {
      TaskJob &Job = job(Spec->id());
      for (std::size_t At = 0; At < Job.size(); ++At) {
        if (Job.task(At).Phase != wire::TASK_PLACED)
          continue;
        wire::RunStatus &Run = *reportOf(Job.task(At).Worker).add_running();
        Run.set_task(toText(Job.name(At)));
        Run.set_run(Job.task(At).Run);
        Run.set_percent(Percent);
      }
    }
    for (const wire::TaskReport &Report : Reports)
      Tracker.applyReport(Report, Now);
  }

  /// All workers carry out the stops that were requested.
  void carryOutStops() {
    for (wire::TaskReport &Report : Reports) {
      const wire::TaskOrders Orders = Tracker.ordersFor(Report);
      for (const wire::RunKey &Stop : Orders.stops()) {
        wire::RunEnd &End = *Report.add_ends();
        End.set_number(static_cast<std::uint64_t>(Report.ends_size()));
        End.set_task(Stop.task());
        End.set_run(Stop.run());
        End.set_ending(wire::RUN_STOPPED);
      }
      Report.clear_running();
      Tracker.applyReport(Report, Now);
    }
  }

  std::size_t stopsOf(const std::string &Id) {
    std::size_t Count = 0;
    for (std::size_t At = 0; At < job(Id).size(); ++At)
      Count += task(Id, At).StopRequested ? 1 : 0;
    return Count;
  }

  /// Starts each task on a worker of its own; all are at work.
  void startAll() {
    for (int Round = 0; Round < 3; ++Round) {
      advance(9000);
      plan();
      listRuns();
    }
  }

  /// A coordinator that knows only what is stored takes over.
  void takeOver() {
    std::map<JobId, wire::TaskJobProgress> Stored;
    std::vector<JobId> Cancelled;
    for (const auto &[Id, Job] : Tracker.jobs()) {
      Stored[Id] = Job.progress();
      if (Job.Cancelled)
        Cancelled.push_back(Id);
    }
    Tracker.clear();
    for (const auto &Spec : Specs)
      Tracker.addJob(Spec);
    for (const auto &[Id, Progress] : Stored)
      Tracker.restore(Id, Progress, 1);
    for (const JobId &Id : Cancelled)
      Tracker.cancel(Id, Now);
  }

  /// The lease of the worker of a task expires, which ends its runs.
  void expireLeaseOf(const std::string &Id, std::size_t At) {
    const WorkerIncarnation Worker = task(Id, At).Worker;
    reportOf(Worker).clear_running();
    Tracker.expireLeases(nodeOf(Worker), Now);
  }

  /// The worker of a task is replaced by an empty one, which has barred the
  /// task's run.
  void crashWorkerOf(const std::string &Id, std::size_t At) {
    wire::TaskReport &Report = reportOf(task(Id, At).Worker);
    const std::string Earlier = Report.worker();
    Report.set_worker(Report.node() + "/w#2");
    Report.clear_running();
    Report.clear_ends();
    Tracker.applyReport(Report, Now);
    wire::RunRefusal &Refusal = *Report.add_refusals();
    Refusal.set_task(toText(job(Id).name(At)));
    Refusal.set_run(task(Id, At).Run);
    Refusal.set_reason(wire::REFUSED_BARRED);
    Tracker.applyReport(Report, Now);
    Report.clear_refusals();
    LONGS_EQUAL(wire::TASK_WAITING, task(Id, At).Phase);
  }

  /// Plans for \p Ms; the other runs continue to be listed.
  void planFor(int Ms) {
    for (; Ms > 0; Ms -= 100) {
      plan();
      advance(100);
    }
  }
};

// Guards against guaranteed jobs that never start while long-running tasks fill
// the workers.
TEST(LongRunning, IsPreemptedForAGuaranteedJob) {
  addWorkers(2);
  addServing("a", 2, 1);
  startAll();
  addGuaranteed("urgent", 1);
  plan();
  LONGS_EQUAL(1, stopsOf("a"));
  carryOutStops();
  plan();
  LONGS_EQUAL(wire::TASK_PLACED, task("urgent").Phase);
}

// Guards against a guarantee that yields to may_miss.
TEST(LongRunning, IsPreemptedBeyondItsLimitIfNothingElseIsLeft) {
  addWorkers(1);
  addServing("a", 1, 0);
  startAll();
  addGuaranteed("urgent", 1);
  plan();
  LONGS_EQUAL(1, stopsOf("a"));
}

// Guards against victims from steps that may not miss any task, in whatever
// order the jobs are listed.
TEST(LongRunning, PreemptsTheStepWithTheMostLeft) {
  addWorkers(4);
  addServing("a", 1, 0);
  addServing("b", 1, 1);
  addServing("c", 1, 3);
  addServing("d", 1, 2);
  startAll();
  addGuaranteed("urgent", 1);
  plan();
  LONGS_EQUAL(1, stopsOf("c"));
  LONGS_EQUAL(0, stopsOf("a") + stopsOf("b") + stopsOf("d"));
}

// Guards against one violation more for each victim: the limits of the steps
// hold for all victims of a plan together.
TEST(LongRunning, SpreadsVictimsSoThatNoStepExceedsItsLimit) {
  addWorkers(4);
  addServing("a", 2, 1);
  addServing("b", 2, 1);
  startAll();
  addGuaranteed("urgent", 2).set_gang(true);
  plan();
  LONGS_EQUAL(1, stopsOf("a"));
  LONGS_EQUAL(1, stopsOf("b"));
}

// Guards against two steps that violate their limits where one is enough.
TEST(LongRunning, ViolatesAsFewStepsAsPossible) {
  addWorkers(4);
  addServing("a", 1, 0);
  addServing("b", 2, 0);
  addServing("c", 1, 0);
  startAll();
  addGuaranteed("urgent", 2).set_gang(true);
  plan();
  LONGS_EQUAL(2, stopsOf("b"));
  LONGS_EQUAL(0, stopsOf("a") + stopsOf("c"));
}

// Guards against tasks that are counted as back before they are at work, and
// against a new coordinator that forgets them.
TEST(LongRunning, CountsAPreemptedTaskUntilItIsAtWork) {
  addWorkers(4);
  addServing("a", 2, 2);
  addServing("b", 2, 1);
  startAll();
  addGuaranteed("urgent", 1);
  plan();
  LONGS_EQUAL(1, stopsOf("a"));
  carryOutStops();
  Tracker.cancel(JobId("urgent"), Now);
  plan();
  listRuns(50);
  takeOver();
  listRuns(50);
  // One task of each step may be stopped; two of "a" would be one too many.
  addGuaranteed("wide", 2).set_gang(true);
  plan();
  LONGS_EQUAL(1, stopsOf("a"));
  LONGS_EQUAL(1, stopsOf("b"));
}

TEST(LongRunning, MayMissATaskAgainOnceTheFirstIsAtWork) {
  addWorkers(2);
  addServing("a", 2, 1);
  startAll();
  addGuaranteed("urgent", 1);
  plan();
  carryOutStops();
  Tracker.cancel(JobId("urgent"), Now);
  plan();
  listRuns(50);
  CHECK_TRUE(task("a", 0).Preempted || task("a", 1).Preempted);
  listRuns(AtWork);
  CHECK_FALSE(task("a", 0).Preempted || task("a", 1).Preempted);
}

// Guards against the fault of the review: one of two tasks loses its worker
// while the other workers are full; the worker comes back empty, but it is kept
// free for urgent jobs as long as the other task runs.
TEST(LongRunning, StartsAgainOnTheOnlyFreeWorker) {
  addWorkers(7);
  addServing("a", 2, 0);
  addServing("full", 5, 0);
  startAll();
  crashWorkerOf("a", 1);
  planFor(2500);
  LONGS_EQUAL(wire::TASK_PLACED, task("a", 1).Phase);
}

// As above, with a task that was never suspected of the crash.
TEST(LongRunning, StartsAgainAtOnceAfterAnExpiredLease) {
  addWorkers(7);
  addServing("a", 2, 0);
  addServing("full", 5, 0);
  startAll();
  expireLeaseOf("a", 1);
  plan();
  LONGS_EQUAL(wire::TASK_PLACED, task("a", 1).Phase);
}

// Guards against the reserve holding back the first start of a task for as long
// as another task of its job runs.
TEST(LongRunning, StartsForTheFirstTimeAfterALimitedWait) {
  addWorkers(7);
  addServing("a", 7, 0);
  plan();
  listRuns();
  LONGS_EQUAL(wire::TASK_WAITING, task("a", 6).Phase);
  advance(8100);
  plan();
  LONGS_EQUAL(wire::TASK_PLACED, task("a", 6).Phase);
}

// Guards against waiting jobs that take the capacity on which a task that was
// down could start again.
TEST(LongRunning, StartsAgainBeforeWaitingJobs) {
  addWorkers(2);
  addServing("a", 2, 0);
  startAll();
  addJob("short", 4).set_estimate_ms(100);
  expireLeaseOf("a", 1);
  plan();
  LONGS_EQUAL(wire::TASK_PLACED, task("a", 1).Phase);
}

// Guards against a task that takes precedence as one that was down, although no
// worker has begun it yet.
TEST(LongRunning, IsNoRestartBeforeItsFirstRunHasBegun) {
  addWorkers(1);
  addServing("a", 1, 0);
  plan();
  wire::TaskReport Refusing = Reports.front();
  wire::RunRefusal &Refusal = *Refusing.add_refusals();
  Refusal.set_task("a.0.0.0");
  Refusal.set_run(1);
  Refusal.set_reason(wire::REFUSED_NO_ROOM);
  Tracker.applyReport(Refusing, Now);
  addJob("short", 1).set_estimate_ms(100);
  advance(400);
  plan();
  LONGS_EQUAL(wire::TASK_PLACED, task("short").Phase);
  LONGS_EQUAL(wire::TASK_WAITING, task("a").Phase);
}
