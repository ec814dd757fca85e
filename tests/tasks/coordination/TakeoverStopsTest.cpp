// Stops that were requested but not carried out when the coordinator changed.

#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TakeoverStops) {
  JobTracker Tracker;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::shared_ptr<wire::TaskJobSpec> Spec;
  wire::TaskReport Near = reportOf("near");
  /// The agent of this worker cannot be reached.
  wire::TaskReport Far = reportOf("far");

  static wire::TaskReport reportOf(const std::string &Node) {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(Node + "/w#1");
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(1);
    return Report;
  }

  /// Starts two tasks, one on each worker.
  void startJob(bool Gang) {
    Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id("j");
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_max_attempts(1);
    Spec->set_stretch(3);
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(2);
    Step.set_accelerators(8);
    Step.set_gang(Gang);
    Tracker.addJob(Spec);
    Tracker.plan({Near, Far}, QueueConfig(), Now);
    for (wire::TaskReport *Report : {&Near, &Far}) {
      const wire::TaskOrders Orders = Tracker.ordersFor(*Report);
      LONGS_EQUAL(1, Orders.starts_size());
      wire::RunStatus &Run = *Report->add_running();
      Run.set_task(Orders.starts(0).task());
      Run.set_run(Orders.starts(0).run());
      Tracker.applyReport(*Report, Now);
    }
  }

  void endNear(wire::RunEnding How) {
    wire::RunEnd &End = *Near.add_ends();
    End.set_number(1);
    End.set_task(Near.running(0).task());
    End.set_run(Near.running(0).run());
    End.set_ending(How);
    Near.clear_running();
    Tracker.applyReport(Near, Now);
  }

  void takeOver(bool Cancelled = false) {
    const wire::TaskJobProgress Stored =
        Tracker.jobs().at(JobId("j")).progress();
    Tracker.clear();
    Tracker.addJob(Spec);
    Tracker.restore(JobId("j"), Stored, 1);
    if (Cancelled)
      Tracker.cancel(JobId("j"), Now);
    Tracker.applyReport(Far, Now);
  }
};

// Guards against runs of a failed job that no later coordinator stops: the
// record says that the job has failed, and a cancellation writes nothing more.
TEST(TakeoverStops, RunsOfAFailedJobAreStoppedByTheNextCoordinator) {
  startJob(false);
  endNear(wire::RUN_FAILED);
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
  takeOver();
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
}

// Guards against a cancellation that does nothing because the job has failed.
TEST(TakeoverStops, RunsOfAFailedJobAreStoppedAfterACancellation) {
  startJob(false);
  endNear(wire::RUN_FAILED);
  takeOver(true);
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
}

// Guards against cancelled runs that the next coordinator lets continue.
TEST(TakeoverStops, RunsOfACancelledJobAreStoppedByTheNextCoordinator) {
  startJob(false);
  takeOver(true);
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
}

// Guards against a gang that never starts again because the next coordinator
// leaves the remaining member running.
TEST(TakeoverStops, RemainingMembersOfAGangAreStoppedByTheNextCoordinator) {
  startJob(true);
  endNear(wire::RUN_STOPPED);
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
  takeOver();
  LONGS_EQUAL(1, Tracker.ordersFor(Far).stops_size());
}

// Guards against stops of jobs that run undisturbed.
TEST(TakeoverStops, RunsOfAJobThatIsNotOverContinue) {
  startJob(true);
  takeOver();
  LONGS_EQUAL(0, Tracker.ordersFor(Far).stops_size());
}
