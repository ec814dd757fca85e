#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(JobTrackerEvacuation) {
  JobTracker Tracker;
  QueueConfig Config;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  /// One worker in each of the data centres z0 and z1, unless a test adds more.
  std::vector<wire::TaskReport> Reports{reportOf("n0", "z0"),
                                        reportOf("n1", "z1")};

  static wire::TaskReport reportOf(const std::string &Node,
                                   const std::string &Centre) {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_data_centre(Centre);
    Report.set_worker(Node + "/w#1");
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_rack("r-" + Centre);
    Report.set_complete(true);
    Report.set_agent_life(1);
    return Report;
  }

  std::shared_ptr<wire::TaskJobSpec> jobOf(const std::string &Id,
                                           std::uint32_t Tasks) const {
    auto Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id(Id);
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_workspace("t");
    Spec->set_accepted_ms(Now.UnixMs);
    Spec->set_max_attempts(2);
    Spec->set_priority(1);
    Spec->set_stretch(3);
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(Tasks);
    Step.set_accelerators(4);
    Step.set_estimate_ms(5000);
    Step.set_checkpointing(true);
    return Spec;
  }

  void evacuate(const std::vector<std::string> &Centres) {
    Evacuations Known;
    Known.ConfirmedAt = Now.Boot;
    for (const std::string &Centre : Centres)
      Known.Active[DataCentreName(Centre)] = {1, Now.Boot};
    Tracker.setStartRules({Known, Milliseconds(0)});
  }

  void plan(int AfterMs = 600) {
    Now.Boot += Milliseconds(AfterMs);
    Now.UnixMs += AfterMs;
    Tracker.plan(Reports, Config, Now);
  }

  /// The workers list all runs that are placed on them.
  void listAll(const std::string &Checkpoint = "c") {
    for (wire::TaskReport &Report : Reports) {
      Report.clear_running();
      for (auto &[Id, Job] : Tracker.jobs())
        for (std::size_t At = 0; At < Job.size(); ++At) {
          const TaskState &Task = Job.task(At);
          if (Task.Phase != wire::TASK_PLACED ||
              Task.Worker.str() != Report.worker())
            continue;
          wire::RunStatus &Status = *Report.add_running();
          Status.set_task(toText(Job.name(At)));
          Status.set_run(Task.Run);
          Status.set_checkpoint(Checkpoint);
          Status.set_percent(10);
        }
      Tracker.applyReport(Report, Now);
    }
  }

  /// The worker of each run that is being stopped reports its end.
  void endStopped() {
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

  int starts(std::size_t Report) {
    return Tracker.ordersFor(Reports[Report]).starts_size();
  }
  int stops(std::size_t Report) {
    return Tracker.ordersFor(Reports[Report]).stops_size();
  }
  std::size_t placedOn(const std::string &Worker) {
    std::size_t Count = 0;
    for (auto &[Id, Job] : Tracker.jobs())
      for (std::size_t At = 0; At < Job.size(); ++At)
        Count += Job.task(At).Phase == wire::TASK_PLACED &&
                         Job.task(At).Worker.str() == Worker
                     ? 1
                     : 0;
    return Count;
  }
};

// Pattern: a run starts in an evacuated data centre, also when the others are
// full.
TEST(JobTrackerEvacuation, PlacesNothingThere) {
  evacuate({"z0"});
  Tracker.addJob(jobOf("a", 4));
  plan();
  LONGS_EQUAL(0, starts(0));
  LONGS_EQUAL(2, starts(1));
  evacuate({"z0", "z1"});
  Tracker.addJob(jobOf("b", 1));
  plan();
  LONGS_EQUAL(0, starts(0));
  LONGS_EQUAL(0, starts(1));
}

// Pattern: an order that waits at an agent is carried out after the evacuation.
TEST(JobTrackerEvacuation, WithdrawsStartsThatWereNotCarriedOut) {
  Tracker.addJob(jobOf("a", 4));
  plan();
  LONGS_EQUAL(2, starts(0));
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(0, starts(0));
  LONGS_EQUAL(2, stops(0));
  LONGS_EQUAL(2, starts(1));
  LONGS_EQUAL(2, Tracker.withdrawnStarts());
}

TEST(JobTrackerEvacuation, MovesRunsFromTheirCheckpoints) {
  Tracker.addJob(jobOf("a", 1));
  evacuate({"z1"});
  plan();
  LONGS_EQUAL(1, starts(0));
  listAll();
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(1, stops(0));
  endStopped();
  plan();
  LONGS_EQUAL(1, starts(1));
  STRCMP_EQUAL("c",
               Tracker.ordersFor(Reports[1]).starts(0).checkpoint().c_str());
  LONGS_EQUAL(1, Tracker.movedRuns());
}

// Pattern: a task that arrives while a run is being moved takes its place, and
// the run waits.
TEST(JobTrackerEvacuation, KeepsThePlaceOfAMovedRun) {
  Tracker.addJob(jobOf("a", 1));
  evacuate({"z1"});
  plan();
  listAll();
  evacuate({"z0"});
  plan();
  Tracker.addJob(jobOf("b", 2));
  plan();
  LONGS_EQUAL(1, placedOn("n1/w#1"));
  endStopped();
  plan();
  LONGS_EQUAL(2, placedOn("n1/w#1"));
  CHECK_TRUE(Tracker.jobs().at(JobId("a")).task(0).Phase == wire::TASK_PLACED);
}

// Pattern: a run loses its work or its place although it could have ended where
// it is.
TEST(JobTrackerEvacuation, LeavesRunsWithoutCheckpointOrPlace) {
  evacuate({"z1"});
  Tracker.addJob(jobOf("a", 1));
  plan();
  listAll("");
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(0, stops(0));
  LONGS_EQUAL(1, Tracker.runsInEvacuated());
  listAll();
  Tracker.addJob(jobOf("b", 2));
  plan();
  LONGS_EQUAL(2, starts(1));
  LONGS_EQUAL(0, stops(0));
}

// Pattern: the runs of a whole data centre are stopped at once.
TEST(JobTrackerEvacuation, MovesAFewRunsAtATime) {
  for (int Node = 2; Node < 8; ++Node)
    Reports.push_back(
        reportOf("n" + std::to_string(Node), Node % 2 == 0 ? "z0" : "z1"));
  evacuate({"z1"});
  Tracker.addJob(jobOf("a", 8));
  plan();
  listAll();
  evacuate({"z0"});
  plan();
  plan();
  int Stops = 0;
  for (std::size_t R = 0; R < Reports.size(); ++R)
    Stops += stops(R);
  LONGS_EQUAL(MaxMovesAtOnce, Stops);
}

// Pattern: a part of a gang is moved, which ends the whole gang.
TEST(JobTrackerEvacuation, MovesGangsWholeOrNotAtAll) {
  auto Gang = jobOf("g", 3);
  Gang->mutable_steps(0)->set_gang(true);
  Tracker.addJob(Gang);
  plan();
  listAll();
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(0, stops(0) + stops(1));
  Reports.push_back(reportOf("n2", "z1"));
  plan();
  LONGS_EQUAL(3, stops(0) + stops(1));
  endStopped();
  plan();
  LONGS_EQUAL(0, starts(0));
  LONGS_EQUAL(3, starts(1) + starts(2));
}

// Pattern: a task waits for its data in a data centre that takes no starts.
TEST(JobTrackerEvacuation, RunsTasksAwayFromEvacuatedData) {
  auto Job = jobOf("a", 1);
  Job->mutable_steps(0)->set_data_rack("r-z0");
  evacuate({"z0"});
  Tracker.addJob(Job);
  plan(0);
  plan(0);
  LONGS_EQUAL(1, starts(1));
}

// Pattern: more tasks of a serving job are down than its limit allows.
TEST(JobTrackerEvacuation, MovesLongRunningTasksWithinTheirLimit) {
  auto Job = jobOf("a", 2);
  Job->mutable_steps(0)->set_long_running(true);
  Job->mutable_steps(0)->set_checkpointing(false);
  evacuate({"z1"});
  Tracker.addJob(Job);
  plan();
  listAll("");
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(0, stops(0));
  Job->mutable_steps(0)->set_may_miss(1);
  plan();
  LONGS_EQUAL(1, stops(0));
}

// Pattern: nothing is started for the rest of an outage, or something is
// although the evacuations are not known.
TEST(JobTrackerEvacuation, StartsNothingWhileTheEvacuationsAreUnknown) {
  Evacuations Known;
  Known.ConfirmedAt = Now.Boot;
  Tracker.setStartRules({Known, Milliseconds(5000)});
  Tracker.addJob(jobOf("a", 1));
  plan(6000);
  LONGS_EQUAL(0, starts(0) + starts(1));
  Known.ConfirmedAt = Now.Boot;
  Tracker.setStartRules({Known, Milliseconds(5000)});
  plan(0);
  LONGS_EQUAL(1, starts(0) + starts(1));
}

// Pattern: a new coordinator plans with a report that it has not applied yet
// and stops the runs of the evacuated data centre as if they had not started.
TEST(JobTrackerEvacuation, KeepsRestoredRunsThatAReportLists) {
  Tracker.addJob(jobOf("a", 1));
  wire::TaskJobProgress Stored;
  wire::TaskRecord &Task = *Stored.add_tasks();
  Task.set_phase(wire::TASK_PLACED);
  Task.set_run(3);
  Task.set_worker("n0/w#1");
  Tracker.restore(JobId("a"), Stored, 7);
  wire::RunStatus &Status = *Reports[0].add_running();
  Status.set_task("a.0.0.0");
  Status.set_run(3);
  evacuate({"z0"});
  plan();
  LONGS_EQUAL(0, Tracker.withdrawnStarts());
  Reports[0].clear_running();
  plan();
  LONGS_EQUAL(1, Tracker.withdrawnStarts());
}
