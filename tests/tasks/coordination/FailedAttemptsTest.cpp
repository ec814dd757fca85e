// Which ends of runs use up the attempts of a task or of a gang. A run counts
// once, however many of its members fail and however often their ends are
// reported.

#include "tasks/coordination/JobTracker.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(FailedAttempts) {
  JobTracker Tracker;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::shared_ptr<wire::TaskJobSpec> Spec;
  /// Reports of the workers, by node.
  std::map<std::string, wire::TaskReport> Workers;
  /// Number of the last end, by node.
  std::map<std::string, std::uint64_t> LastEnd;

  void addWorkers(int Count) {
    for (int N = 0; N < Count; ++N) {
      const std::string Node = "n" + std::to_string(N);
      wire::TaskReport &Report = Workers[Node];
      Report.set_node(Node);
      Report.set_worker(Node + "/w#1");
      Report.set_service("planner");
      Report.set_milli_cores(32000);
      Report.set_memory_mb(131072);
      Report.set_accelerators(8);
      Report.set_complete(true);
      Report.set_agent_life(1);
    }
  }

  /// Adds the job "j" with \p Tasks tasks that need \p Accelerators each.
  void addJob(bool IsGang, std::uint32_t Tasks, std::int64_t Accelerators,
              std::uint32_t MaxAttempts = 2) {
    Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id("j");
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_max_attempts(MaxAttempts);
    Spec->set_stretch(3);
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(Tasks);
    Step.set_accelerators(Accelerators);
    Step.set_gang(IsGang);
    Tracker.addJob(Spec);
  }

  TaskJob &job() { return Tracker.jobs().at(JobId("j")); }

  void plan() {
    std::vector<wire::TaskReport> Reports;
    for (const auto &[Node, Report] : Workers)
      Reports.push_back(Report);
    // A unit avoids the workers where it failed for 3 s.
    Now.Boot += Milliseconds(4000);
    Now.UnixMs += 4000;
    Tracker.plan(Reports, QueueConfig(), Now);
  }

  /// Places the unit of the first task, which gets run \p Run.
  void placeRun(std::uint64_t Run) {
    plan();
    CHECK(wire::TASK_PLACED == job().task(0).Phase);
    LONGS_EQUAL(Run, job().task(0).Run);
  }

  std::string nodeOfTask(std::size_t At) {
    return nodeOf(job().task(At).Worker).str();
  }

  /// Lets the worker \p Node list the end of run \p Run of a task.
  void listEnd(const std::string &Node, std::size_t At, std::uint64_t Run,
               wire::RunEnding How) {
    wire::RunEnd &End = *Workers[Node].add_ends();
    End.set_number(++LastEnd[Node]);
    End.set_task(toText(job().name(At)));
    End.set_run(Run);
    End.set_ending(How);
  }

  void report(const std::string &Node) {
    Tracker.applyReport(Workers[Node], Now);
  }

  /// Lists the end of the current run of a task where it was placed, and
  /// reports it.
  void endRun(std::size_t At, wire::RunEnding How) {
    const std::string Node = nodeOfTask(At);
    listEnd(Node, At, job().task(At).Run, How);
    report(Node);
  }

  /// Lets the next coordinator start from what the last one stored.
  void takeOver() {
    const wire::TaskJobProgress Stored = job().progress();
    restoreFrom(Stored);
  }

  void restoreFrom(const wire::TaskJobProgress &Stored) {
    Tracker.clear();
    Tracker.addJob(Spec);
    Tracker.restore(JobId("j"), Stored, 1);
  }

  /// Lets the worker list the current run of a task as running, and reports it.
  void listRun(std::size_t At) {
    wire::TaskReport &Report = Workers[nodeOfTask(At)];
    wire::RunStatus &Status = *Report.add_running();
    Status.set_task(toText(job().name(At)));
    Status.set_run(job().task(At).Run);
    Tracker.applyReport(Report, Now);
    Report.clear_running();
  }

  /// Places run 2 of the only task while the end of run 1 as failed, its last
  /// attempt, is still unknown. Returns the node of run 1.
  std::string placeSecondRunAfterUnknownFailure() {
    addWorkers(2);
    addJob(false, 1, 8, 1);
    placeRun(1);
    std::string First = nodeOfTask(0);
    Tracker.expireLeases(NodeId(First), Now);
    placeRun(2);
    return First;
  }

  void expectFailed(bool IsFailed) {
    Tracker.finishJobs(Now);
    CHECK_EQUAL(IsFailed, job().Failed);
  }
};

// Guards against a gang that is shown as failed after one run because all its
// members on one worker ended failed and one report listed their ends.
TEST(FailedAttempts, GangIsNotFailedByOneRunWhoseEndsAreListedTogether) {
  addWorkers(1);
  addJob(true, 4, 2);
  placeRun(1);
  for (std::size_t At = 0; At < 4; ++At)
    listEnd("n0", At, 1, wire::RUN_FAILED);
  report("n0");
  expectFailed(false);
  placeRun(2);
}

// Guards against a gang that is shown as failed after one run because its
// members on several workers ended failed before they heard of each other.
TEST(FailedAttempts, GangIsNotFailedByOneRunThatFailsOnSeveralWorkers) {
  addWorkers(6);
  addJob(true, 6, 8);
  placeRun(1);
  for (std::size_t At = 0; At < 6; ++At)
    endRun(At, wire::RUN_FAILED);
  expectFailed(false);
  placeRun(2);
}

// Guards against a gang that is started more often than its attempts allow.
TEST(FailedAttempts, GangFailsWithItsLastAllowedRun) {
  addWorkers(2);
  addJob(true, 2, 8, 3);
  for (std::uint64_t Run = 1; Run <= 3; ++Run) {
    expectFailed(false);
    placeRun(Run);
    endRun(0, wire::RUN_FAILED);
    endRun(1, wire::RUN_FAILED);
  }
  expectFailed(true);
  plan();
  LONGS_EQUAL(3, job().task(0).Run);
}

// Guards against a run of a gang that counts twice because another coordinator
// hears of the second member's end.
TEST(FailedAttempts, GangIsNotFailedByEndsOfOneRunAroundATakeover) {
  addWorkers(2);
  addJob(true, 2, 8);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  takeOver();
  endRun(1, wire::RUN_FAILED);
  expectFailed(false);
  placeRun(2);
}

// Guards against an end that counts twice because the coordinator that stored
// it was gone before it acknowledged the end.
TEST(FailedAttempts, EndThatIsListedAgainAfterATakeoverCountsOnce) {
  for (const bool IsGang : {false, true}) {
    Tracker.clear();
    Workers.clear();
    addWorkers(1);
    addJob(IsGang, 1, 8);
    placeRun(1);
    endRun(0, wire::RUN_FAILED);
    takeOver();
    report("n0");
    expectFailed(false);
    placeRun(2);
    report("n0");
    expectFailed(false);
  }
}

// Guards against a run that does not count because a member's end as broken is
// heard before the end as failed that caused it.
TEST(FailedAttempts, GangIsFailedByARunWhoseBrokenMemberIsHeardFirst) {
  addWorkers(2);
  addJob(true, 2, 8, 1);
  placeRun(1);
  endRun(0, wire::RUN_BROKEN);
  expectFailed(false);
  endRun(1, wire::RUN_FAILED);
  expectFailed(true);
}

// Guards against a task that is started once more because its worker lists its
// end as failed only after the lease was given up.
TEST(FailedAttempts, EndThatIsHeardAfterTheLeaseExpiredCounts) {
  addWorkers(2);
  addJob(false, 1, 8);
  placeRun(1);
  const std::string First = nodeOfTask(0);
  Tracker.expireLeases(NodeId(First), Now);
  placeRun(2);
  endRun(0, wire::RUN_FAILED);
  expectFailed(false);
  listEnd(First, 0, 1, wire::RUN_FAILED);
  report(First);
  expectFailed(true);
  plan();
  LONGS_EQUAL(2, job().task(0).Run);
}

// Guards against a run of a gang that counts twice because one member's end is
// heard before the other's lease was given up, and the other's afterwards.
TEST(FailedAttempts, EndsOfOneRunBeforeAndAfterTheNextStartCountOnce) {
  addWorkers(4);
  addJob(true, 2, 8);
  placeRun(1);
  const std::string Second = nodeOfTask(1);
  endRun(0, wire::RUN_FAILED);
  Tracker.expireLeases(NodeId(Second), Now);
  placeRun(2);
  listEnd(Second, 1, 1, wire::RUN_FAILED);
  report(Second);
  expectFailed(false);
  endRun(0, wire::RUN_FAILED);
  expectFailed(true);
}

// Guards against a completed job that is shown as failed because an earlier
// run's end is heard late.
TEST(FailedAttempts, LateEndDoesNotFailACompletedTask) {
  addWorkers(2);
  addJob(false, 1, 8, 1);
  placeRun(1);
  const std::string First = nodeOfTask(0);
  Tracker.expireLeases(NodeId(First), Now);
  placeRun(2);
  endRun(0, wire::RUN_DONE);
  listEnd(First, 0, 1, wire::RUN_FAILED);
  report(First);
  expectFailed(false);
  CHECK(JobStatus::Completed == job().status());
}

// Guards against a cancelled job that is shown as failed because it was
// cancelled between the ends of one run.
TEST(FailedAttempts, EndAfterTheCancellationDoesNotFailAJob) {
  addWorkers(2);
  addJob(true, 2, 8);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  Tracker.cancel(JobId("j"), Now);
  endRun(1, wire::RUN_FAILED);
  expectFailed(false);
  CHECK(JobStatus::Cancelled == job().status());
}

// Guards against failures in one occurrence that use up the attempts of
// another.
TEST(FailedAttempts, OccurrencesOfARepeatedJobCountSeparately) {
  addWorkers(4);
  addJob(true, 2, 8);
  // Added again with two occurrences that are due.
  Tracker.clear();
  Spec->set_repeat_count(2);
  Tracker.addJob(Spec);
  placeRun(1);
  for (std::size_t At = 0; At < 4; ++At)
    endRun(At, wire::RUN_FAILED);
  expectFailed(false);
  placeRun(2);
}

// Guards against a job that is shown as failed although a later run is at work
// and completes it: the end of an earlier run is heard late.
TEST(FailedAttempts, LateEndLetsALaterRunAtWorkComplete) {
  const std::string First = placeSecondRunAfterUnknownFailure();
  listRun(0);
  listEnd(First, 0, 1, wire::RUN_FAILED);
  report(First);
  expectFailed(false);
  LONGS_EQUAL(0, Tracker.ordersFor(Workers[nodeOfTask(0)]).stops_size());
  endRun(0, wire::RUN_DONE);
  expectFailed(false);
  CHECK(JobStatus::Completed == job().status());
}

// Guards against a start beyond the attempts after the later run that was let
// go on ends without completing the task.
TEST(FailedAttempts, LateEndLetsNoRunFollowTheLaterOne) {
  const std::string First = placeSecondRunAfterUnknownFailure();
  listRun(0);
  listEnd(First, 0, 1, wire::RUN_FAILED);
  report(First);
  endRun(0, wire::RUN_STOPPED);
  expectFailed(true);
  plan();
  LONGS_EQUAL(2, job().task(0).Run);
}

// Guards against a start beyond the attempts that was ordered before the end
// of an earlier run was heard and has not been carried out yet.
TEST(FailedAttempts, LateEndWithdrawsALaterRunThatHasNotStarted) {
  const std::string First = placeSecondRunAfterUnknownFailure();
  listEnd(First, 0, 1, wire::RUN_FAILED);
  report(First);
  expectFailed(true);
  const wire::TaskOrders Orders = Tracker.ordersFor(Workers[nodeOfTask(0)]);
  LONGS_EQUAL(0, Orders.starts_size());
  LONGS_EQUAL(1, Orders.stops_size());
}

// Guards against a job that is shown as failed although an earlier run of its
// gang has ended as done: the newer run is only stopped for that end.
TEST(FailedAttempts, FailureOfARunThatIsStoppedForAnEarlierDoneEndIsIgnored) {
  addWorkers(4);
  addJob(true, 2, 8, 1);
  placeRun(1);
  const std::string First = nodeOfTask(0);
  Tracker.expireLeases(NodeId(First), Now);
  endRun(1, wire::RUN_BROKEN);
  placeRun(2);
  listEnd(First, 0, 1, wire::RUN_DONE);
  report(First);
  endRun(0, wire::RUN_FAILED);
  expectFailed(false);
  endRun(1, wire::RUN_BROKEN);
  expectFailed(false);
  CHECK(JobStatus::Completed == job().status());
}

// Guards against a start beyond the attempts after a takeover: the stored
// record holds all failures, but not that the job has failed.
TEST(FailedAttempts, ExhaustedTaskOfAStoredJobIsNotStartedAgain) {
  addWorkers(1);
  addJob(false, 1, 8, 1);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  wire::TaskJobProgress Stored = job().progress();
  Stored.set_failed(false);
  restoreFrom(Stored);
  expectFailed(true);
  plan();
  LONGS_EQUAL(1, job().task(0).Run);
}

// Guards against failures of an earlier run that are counted again after a
// process of a release without run numbers has rewritten the record.
TEST(FailedAttempts, RecordWithoutRunNumbersCountsEarlierRunsOnce) {
  addWorkers(4);
  addJob(true, 2, 8);
  placeRun(1);
  const std::string Second = nodeOfTask(1);
  endRun(0, wire::RUN_FAILED);
  Tracker.expireLeases(NodeId(Second), Now);
  placeRun(2);
  Tracker.expireLeases(NodeId(nodeOfTask(0)), Now);
  Tracker.expireLeases(NodeId(nodeOfTask(1)), Now);
  placeRun(3);
  wire::TaskJobProgress Stored = job().progress();
  for (wire::TaskRecord &Record : *Stored.mutable_tasks())
    Record.clear_failed_runs();
  restoreFrom(Stored);
  listEnd(Second, 1, 1, wire::RUN_FAILED);
  report(Second);
  expectFailed(false);
  endRun(0, wire::RUN_FAILED);
  expectFailed(true);
}

// Guards against a step that is failed by the attempts of an earlier one.
TEST(FailedAttempts, StepsOfAJobCountSeparately) {
  addWorkers(2);
  addJob(true, 2, 8);
  Tracker.clear();
  *Spec->add_steps() = Spec->steps(0);
  Spec->mutable_steps(1)->add_after(0);
  Tracker.addJob(Spec);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  endRun(1, wire::RUN_FAILED);
  placeRun(2);
  endRun(0, wire::RUN_DONE);
  plan();
  LONGS_EQUAL(1, job().task(2).Run);
  endRun(3, wire::RUN_FAILED);
  endRun(2, wire::RUN_FAILED);
  expectFailed(false);
  plan();
  LONGS_EQUAL(2, job().task(2).Run);
  endRun(3, wire::RUN_FAILED);
  expectFailed(true);
}

// Guards against a gang that is started again after one member has ended
// done, which represents all of them, whatever else was heard of its run.
TEST(FailedAttempts, GangIsDoneIfOneMemberIsDoneAfterAnotherFailed) {
  for (const bool TakesOver : {false, true}) {
    Tracker.clear();
    Workers.clear();
    LastEnd.clear();
    addWorkers(2);
    addJob(true, 2, 8);
    placeRun(1);
    endRun(0, wire::RUN_FAILED);
    if (TakesOver)
      takeOver();
    endRun(1, wire::RUN_DONE);
    expectFailed(false);
    CHECK(JobStatus::Completed == job().status());
  }
}

// Guards against a job that was shown as failed, and is then shown otherwise,
// because of an end that is heard later.
TEST(FailedAttempts, FailedJobStaysFailedAfterALaterEndAsDone) {
  addWorkers(2);
  addJob(true, 2, 8, 1);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  expectFailed(true);
  endRun(1, wire::RUN_DONE);
  expectFailed(true);
  CHECK(JobStatus::Failed == job().status());
}

// Guards against an end that counts twice because the agent was started again
// and lists it once more after the next start.
TEST(FailedAttempts, EndThatARestartedAgentListsAgainCountsOnce) {
  addWorkers(2);
  addJob(true, 2, 8);
  placeRun(1);
  endRun(0, wire::RUN_FAILED);
  endRun(1, wire::RUN_FAILED);
  for (const std::string Node : {"n0", "n1"}) {
    Workers[Node].set_agent_life(2);
    report(Node);
  }
  takeOver();
  placeRun(2);
  for (const std::string Node : {"n0", "n1"})
    report(Node);
  expectFailed(false);
}
