// What a job tells its clients before and after a worker has begun one of its
// tasks.

#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(BegunJobs) {
  JobTracker Tracker;
  QueueConfig Config;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  const JobId Id{"a"};
  wire::TaskReport Report;
  std::uint64_t Ends = 0;

  void setup() override {
    Report.set_node("n1");
    Report.set_worker("n1/w#1");
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(1);
    Tracker.addJob(spec());
  }

  std::shared_ptr<wire::TaskJobSpec> spec() {
    auto Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id(Id.str());
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_accepted_ms(Now.UnixMs);
    Spec->set_max_attempts(3);
    Spec->set_priority(1);
    Spec->set_stretch(3);
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(1);
    Step.set_accelerators(4);
    Step.set_estimate_ms(5000);
    return Spec;
  }

  JobStatus status() { return Tracker.jobs().at(Id).status(); }
  std::uint64_t currentRun() { return Tracker.jobs().at(Id).task(0).Run; }

  void advance(int Ms) {
    Now.Boot += Milliseconds(Ms);
    Now.UnixMs += Ms;
  }

  /// Plans until the task is placed.
  void place() {
    for (int Rounds = 0; Rounds < 100; ++Rounds, advance(100)) {
      Tracker.plan({Report}, Config, Now);
      if (Tracker.jobs().at(Id).hasPlacedTasks())
        return;
    }
    FAIL("the task is not placed");
  }

  void refuse() {
    wire::TaskReport Refusing = Report;
    wire::RunRefusal &Refusal = *Refusing.add_refusals();
    Refusal.set_task("a.0.0.0");
    Refusal.set_run(currentRun());
    Refusal.set_reason(wire::REFUSED_UNHEALTHY);
    Tracker.applyReport(Refusing, Now);
  }

  void list(std::uint64_t Run) {
    wire::TaskReport Listing = Report;
    wire::RunStatus &Status = *Listing.add_running();
    Status.set_task("a.0.0.0");
    Status.set_run(Run);
    Tracker.applyReport(Listing, Now);
  }

  void end(wire::RunEnding How) {
    wire::TaskReport Ending = Report;
    wire::RunEnd &End = *Ending.add_ends();
    End.set_number(++Ends);
    End.set_task("a.0.0.0");
    End.set_run(currentRun());
    End.set_ending(How);
    Tracker.applyReport(Ending, Now);
  }

  /// The coordinator is replaced by one that reads \p Stored.
  void takeOver(const wire::TaskJobProgress &Stored) {
    Tracker.clear();
    Tracker.addJob(spec());
    Tracker.restore(Id, Stored, 7);
  }
};

// Guards against a job that is told as running although its only worker refuses
// each start: the count of waiting jobs was zero while nothing had begun.
TEST(BegunJobs, AreNotThoseThatAreOnlyPlaced) {
  for (int Refused = 0; Refused < 4; ++Refused) {
    place();
    CHECK(JobStatus::Pending == status());
    refuse();
    CHECK(JobStatus::Pending == status());
    CHECK_FALSE(Tracker.jobs().at(Id).progress().begun());
  }
}

// Guards against a job that is told as waiting while its worker runs it.
TEST(BegunJobs, IncludeOneThatAWorkerLists) {
  place();
  list(currentRun());
  CHECK(JobStatus::Running == status());
}

// Guards against a job that is told as waiting although a run of it has ended
// that was too short to be listed.
TEST(BegunJobs, IncludeOneWhoseRunEndedWithoutBeingListed) {
  for (const wire::RunEnding How :
       {wire::RUN_FAILED, wire::RUN_LAPSED, wire::RUN_STOPPED}) {
    takeOver({});
    place();
    end(How);
    CHECK(JobStatus::Running == status());
  }
}

// Guards against a job that is told as waiting although a run that was given up
// begins late.
TEST(BegunJobs, IncludeOneWhoseRunBeginsAfterItWasGivenUp) {
  place();
  const std::uint64_t GivenUp = currentRun();
  Tracker.expireLeases(NodeId("n1"), Now);
  CHECK(JobStatus::Pending == status());
  list(GivenUp);
  CHECK(JobStatus::Running == status());
}

// Guards against a job that waits again, for its clients, once its run is lost,
// its coordinator is replaced or all entries are restarted.
TEST(BegunJobs, StayBegun) {
  place();
  list(currentRun());
  Tracker.expireLeases(NodeId("n1"), Now);
  CHECK(JobStatus::Running == status());
  takeOver(Tracker.jobs().at(Id).progress());
  CHECK(JobStatus::Running == status());
  place();
  refuse();
  CHECK(JobStatus::Running == status());
}

// Guards against a job that waits again after an upgrade: in the record of an
// earlier release, a job that was placed counts as begun.
TEST(BegunJobs, IncludeThoseInARecordOfAnEarlierRelease) {
  wire::TaskJobProgress Stored;
  Stored.set_begun(true);
  wire::TaskRecord &Record = *Stored.add_tasks();
  Record.set_phase(wire::TASK_WAITING);
  Record.set_run(1);
  takeOver(Stored);
  CHECK(JobStatus::Running == status());
}

// Guards against a job that is told as waiting after a crash of the worker that
// had begun it, before the coordinator heard of it.
TEST(BegunJobs, IncludeOneThatALostWorkerHadBegun) {
  place();
  wire::TaskReport Next = Report;
  Next.set_worker("n1/w#2");
  Next.set_lost_worker("n1/w#1");
  wire::RunKey &Lost = *Next.add_lost_runs();
  Lost.set_task("a.0.0.0");
  Lost.set_run(currentRun());
  Tracker.applyReport(Next, Now);
  CHECK(JobStatus::Pending == status());
  Lost.set_begun(true);
  Tracker.applyReport(Next, Now);
  CHECK(JobStatus::Running == status());
}

// Guards against a begun job that is told as waiting for more than 2 s, and
// against a write to the store for each job that begins.
TEST(BegunJobs, AreStoredSoonAndTogether) {
  place();
  Tracker.dirty().clear();
  list(currentRun());
  Tracker.flushBegunJobs(Now);
  CHECK_TRUE(Tracker.dirty().empty());
  Tracker.dirty().insert(JobId("other"));
  Tracker.flushBegunJobs(Now);
  LONGS_EQUAL(1, Tracker.dirty().count(Id));
  takeOver({});
  place();
  Tracker.dirty().clear();
  list(currentRun());
  advance(500);
  Tracker.flushBegunJobs(Now);
  LONGS_EQUAL(1, Tracker.dirty().count(Id));
}
