// Why ready tasks do not begin: what an operator sees of a job that waits.

#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(StepWait) {
  JobTracker Tracker;
  QueueConfig Config;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::vector<wire::TaskReport> Reports;

  void setup() override {
    for (const char *Node : {"n1", "n2", "n3"})
      Reports.push_back(reportOf(Node));
  }

  /// Returns the report of a worker of 8 accelerators in a rack of its own.
  static wire::TaskReport reportOf(const std::string &Node) {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(Node + "/w#1");
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_rack("r-" + Node);
    Report.set_complete(true);
    Report.set_agent_life(1);
    return Report;
  }

  std::shared_ptr<wire::TaskJobSpec> jobOf(
      const std::string &Id, std::uint32_t Tasks, std::int64_t Accelerators) {
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
    Step.set_estimate_ms(60000);
    return Spec;
  }

  /// All workers list their runs.
  void beginRuns() {
    for (const wire::TaskReport &Report : Reports) {
      wire::TaskReport Listing = Report;
      const wire::TaskOrders Orders = Tracker.ordersFor(Report);
      for (const wire::StartOrder &Start : Orders.starts()) {
        wire::RunStatus &Run = *Listing.add_running();
        Run.set_task(Start.task());
        Run.set_run(Start.run());
      }
      Tracker.applyReport(Listing, Now);
    }
  }

  /// All workers refuse the starts that they are ordered.
  void refuseRuns() {
    for (const wire::TaskReport &Report : Reports) {
      wire::TaskReport Refusing = Report;
      const wire::TaskOrders Orders = Tracker.ordersFor(Report);
      for (const wire::StartOrder &Start : Orders.starts()) {
        wire::RunRefusal &Refusal = *Refusing.add_refusals();
        Refusal.set_task(Start.task());
        Refusal.set_run(Start.run());
        Refusal.set_reason(wire::REFUSED_UNHEALTHY);
      }
      Tracker.applyReport(Refusing, Now);
    }
  }

  /// Plans for \p Duration and returns the reason of the only step that waits,
  /// or "none".
  std::string reasonAfter(Milliseconds Duration) {
    for (Milliseconds Passed{0}; Passed < Duration;
         Passed += Milliseconds(100)) {
      Tracker.plan(Reports, Config, Now);
      Now.Boot += Milliseconds(100);
      Now.UnixMs += 100;
    }
    if (Tracker.waits().size() != 1)
      return "none";
    return nameOf(Tracker.waits().front().Reason);
  }
};

TEST(StepWait, TellsThatNoWorkerCanHoldATask) {
  Tracker.addJob(jobOf("a", 1, 16));
  STRCMP_EQUAL("no_worker", reasonAfter(Milliseconds(3000)).c_str());
  LONGS_EQUAL(1, Tracker.waitingSteps());
}

TEST(StepWait, TellsThatTheCapacityIsInUse) {
  Tracker.addJob(jobOf("a", 4, 8));
  STRCMP_EQUAL("no_capacity", reasonAfter(Milliseconds(3000)).c_str());
}

TEST(StepWait, TellsThatWorkersAreExcluded) {
  for (wire::TaskReport &Report : Reports)
    Report.set_draining(true);
  Tracker.addJob(jobOf("a", 1, 8));
  STRCMP_EQUAL("excluded_workers", reasonAfter(Milliseconds(3000)).c_str());
}

TEST(StepWait, TellsThatAGangIsNotReady) {
  const auto Spec = jobOf("a", 2, 8);
  Spec->mutable_steps(0)->set_gang(true);
  Tracker.addJob(Spec);
  Tracker.plan(Reports, Config, Now);
  wire::RunEnd &End = *Reports[0].add_ends();
  End.set_number(1);
  End.set_task("a.0.0.0");
  End.set_run(1);
  End.set_ending(wire::RUN_BROKEN);
  Tracker.applyReport(Reports[0], Now);
  STRCMP_EQUAL("not_ready", reasonAfter(Milliseconds(3000)).c_str());
}

// Guards against a step that waits, for the operator, although its worker runs
// it.
TEST(StepWait, ForgetsAStepOnceATaskHasBegun) {
  std::vector<wire::TaskReport> All;
  std::swap(All, Reports);
  Tracker.addJob(jobOf("a", 1, 8));
  STRCMP_EQUAL("no_worker", reasonAfter(Milliseconds(3000)).c_str());
  std::swap(All, Reports);
  Tracker.plan(Reports, Config, Now);
  LONGS_EQUAL(1, Tracker.waitingSteps());
  beginRuns();
  STRCMP_EQUAL("none", reasonAfter(Milliseconds(1500)).c_str());
  LONGS_EQUAL(0, Tracker.waitingSteps());
}

// Guards against a wait that seems to end with each start that a worker
// refuses: after 4 s an operator was told 1.2 s.
TEST(StepWait, GoesOnWhileWorkersRefuseTheStarts) {
  Tracker.addJob(jobOf("a", 1, 8));
  for (int Rounds = 0; Rounds < 51; ++Rounds) {
    reasonAfter(Milliseconds(100));
    refuseRuns();
  }
  CHECK(Tracker.jobs().at(JobId("a")).task(0).Run > 2);
  LONGS_EQUAL(1, Tracker.waits().size());
  CHECK(Tracker.waits().front().Waited >= Milliseconds(4000));
}

// Guards against a placed task that no worker begins and no log line names.
TEST(StepWait, TellsThatAPlacedTaskHasNotBegun) {
  Tracker.addJob(jobOf("a", 1, 8));
  STRCMP_EQUAL("not_begun", reasonAfter(Milliseconds(3000)).c_str());
  CHECK(Tracker.waits().front().Waited >= Milliseconds(2000));
}

// Guards against a task that waits for its data because another task of its job
// is placed, although the worker of that one does not begin it.
TEST(StepWait, EndsTheWaitForTheDataBesideATaskThatDoesNotBegin) {
  const auto Spec = jobOf("a", 2, 8);
  Spec->mutable_steps(0)->set_data_rack("r-n1");
  Tracker.addJob(Spec);
  STRCMP_EQUAL("locality", reasonAfter(Milliseconds(1500)).c_str());
  STRCMP_EQUAL("not_begun", reasonAfter(Milliseconds(1500)).c_str());
}

// Guards against a gang that waits for one rack although no rack can hold it:
// its job had nothing running for twice the declared duration, in an idle cell.
TEST(StepWait, StartsAGangThatNoRackCanHoldOnceTheCellIsKnown) {
  const auto Spec = jobOf("a", 2, 8);
  Spec->mutable_steps(0)->set_gang(true);
  Spec->mutable_steps(0)->set_same_rack(true);
  Tracker.addJob(Spec);
  STRCMP_EQUAL("not_begun", reasonAfter(Milliseconds(2000)).c_str());
  CHECK_TRUE(Tracker.jobs().at(JobId("a")).hasPlacedTasks());
}

// Guards against a wait for a rack with little room while most of the cell is
// free: a declared duration that is far too long made it last for minutes.
TEST(StepWait, EndsTheWaitForTheDataInAnIdleCellBeforeThreeSeconds) {
  const auto Filler = jobOf("b", 1, 8);
  Filler->mutable_steps(0)->set_data_rack("r-n1");
  Tracker.addJob(Filler);
  Tracker.plan(Reports, Config, Now);
  beginRuns();
  const auto Spec = jobOf("a", 1, 4);
  Spec->mutable_steps(0)->set_data_rack("r-n1");
  Tracker.addJob(Spec);
  STRCMP_EQUAL("locality", reasonAfter(Milliseconds(1500)).c_str());
  STRCMP_EQUAL("not_begun", reasonAfter(Milliseconds(1500)).c_str());
  CHECK_TRUE(Tracker.jobs().at(JobId("a")).hasPlacedTasks());
}
