#include "tasks/TaskBoard.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskBoard) {
  TaskBoard Board;
  QueueConfig Config;
  BoardTime Now{BootInstant(Milliseconds(100000)), 1000000};
  std::uint64_t Ends = 0;

  wire::TaskReport reportOf(const std::string &Node,
                            const std::string &Life = "w#1") {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(Node + "/" + Life);
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_rack("r1");
    Report.add_labels("a");
    Report.add_labels("r1");
    Report.set_complete(true);
    Report.set_agent_life(1);
    return Report;
  }

  std::shared_ptr<wire::TaskJobSpec> jobOf(const std::string &Id,
                                           std::uint32_t Tasks) {
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
    Step.set_accelerators(4);
    Step.set_milli_cores(1000);
    Step.set_memory_mb(1000);
    Step.set_estimate_ms(5000);
    return Spec;
  }

  void pass(int Ms) {
    Now.Boot += Milliseconds(Ms);
    Now.UnixMs += Ms;
  }

  void end(wire::TaskReport & Report, const std::string &Task,
           std::uint64_t Run, wire::RunEnding How,
           const std::string &Checkpoint = "") {
    wire::RunEnd &End = *Report.add_ends();
    End.set_number(++Ends);
    End.set_task(Task);
    End.set_run(Run);
    End.set_ending(How);
    End.set_checkpoint(Checkpoint);
  }

  void list(wire::TaskReport & Report, const std::string &Task,
            std::uint64_t Run, std::uint32_t Percent = 0) {
    wire::RunStatus &Status = *Report.add_running();
    Status.set_task(Task);
    Status.set_run(Run);
    Status.set_percent(Percent);
  }

  TaskJob &job(const std::string &Id) { return Board.jobs().at(JobId(Id)); }
};

TEST(TaskBoard, OrdersAPlacedRunUntilTheWorkerListsIt) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(1, Board.dirty().count(JobId("j")));
  LONGS_EQUAL(1, Board.ordersFor(Report).starts_size());
  STRCMP_EQUAL("j.0.0.0", Board.ordersFor(Report).starts(0).task().c_str());
  LONGS_EQUAL(1, Board.ordersFor(Report).starts(0).run());
  list(Report, "j.0.0.0", 1);
  Board.takeReport(Report, Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).starts_size());
  LONGS_EQUAL(0, Board.ordersFor(Report).stops_size());
}

TEST(TaskBoard, CompletesAJobWhenEveryTaskIsDone) {
  Board.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Board.takeReport(Report, Now);
  Board.settle(Now);
  CHECK(JobStatus::Running == job("j").status());
  end(Report, "j.0.0.1", 1, wire::RUN_DONE);
  Board.takeReport(Report, Now);
  Board.settle(Now);
  CHECK(JobStatus::Completed == job("j").status());
  LONGS_EQUAL(2, Board.ordersFor(Report).acknowledged_end());
}

TEST(TaskBoard, NeverStartsATaskAgainThatIsDone) {
  Board.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Board.takeReport(Report, Now);
  Board.loseNode(NodeId("n1"), Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(1).Phase);
}

TEST(TaskBoard, TakesAnEndThatIsToldTwiceOnce) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_FAILED);
  Board.takeReport(Report, Now);
  Board.takeReport(Report, Now);
  LONGS_EQUAL(1, job("j").task(0).Failures);
}

TEST(TaskBoard, TakesATaskForDoneWhicheverRunOfItWas) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  Board.takeReport(Report, Now);
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(2, job("j").task(0).Run);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Board.takeReport(Report, Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
}

TEST(TaskBoard, FailsAJobAfterItsAttempts) {
  Board.addJob(jobOf("j", 1));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    wire::TaskReport Report = reportOf(Run == 1 ? "n1" : "n2");
    Board.plan({Report}, Config, Now);
    LONGS_EQUAL(Run, job("j").task(0).Run);
    Ends = 0;
    end(Report, "j.0.0.0", Run, wire::RUN_FAILED);
    Board.takeReport(Report, Now);
  }
  CHECK(JobStatus::Failed == job("j").status());
  wire::TaskReport Third = reportOf("n3");
  Board.plan({Third}, Config, Now);
  LONGS_EQUAL(0, Board.ordersFor(Third).starts_size());
}

TEST(TaskBoard, DoesNotCountStopsAndLapsesAsAttempts) {
  Board.addJob(jobOf("j", 1));
  std::uint64_t Run = 0;
  for (wire::RunEnding How : {wire::RUN_STOPPED, wire::RUN_LAPSED,
                              wire::RUN_BROKEN, wire::RUN_ALONE}) {
    wire::TaskReport Report = reportOf("n1");
    Board.plan({Report}, Config, Now);
    end(Report, "j.0.0.0", ++Run, How);
    Board.takeReport(Report, Now);
  }
  LONGS_EQUAL(0, job("j").task(0).Failures);
  CHECK(JobStatus::Running == job("j").status());
}

TEST(TaskBoard, ResumesFromTheNewestCheckpoint) {
  auto Spec = jobOf("j", 1);
  Spec->mutable_steps(0)->set_checkpointing(true);
  Board.addJob(Spec);
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED, "half");
  Board.takeReport(Report, Now);
  Board.plan({Report}, Config, Now);
  STRCMP_EQUAL("half", Board.ordersFor(Report).starts(0).checkpoint().c_str());
}

TEST(TaskBoard, MarksJobsWithNewCheckpointsNowAndThen) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  Board.keepCheckpoints(Now);
  Board.dirty().clear();
  list(Report, "j.0.0.0", 1, 10);
  Report.mutable_running(0)->set_checkpoint("tenth");
  Board.takeReport(Report, Now);
  Board.keepCheckpoints(Now);
  LONGS_EQUAL(0, Board.dirty().size());
  pass(1100);
  Board.keepCheckpoints(Now);
  LONGS_EQUAL(1, Board.dirty().size());
}

TEST(TaskBoard, StopsWhatRunsOfACancelledJobAndStartsNothingMore) {
  Board.addJob(jobOf("j", 3));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(2, Board.ordersFor(Report).starts_size());
  Board.cancel(JobId("j"), Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).starts_size());
  LONGS_EQUAL(2, Board.ordersFor(Report).stops_size());
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  end(Report, "j.0.0.1", 1, wire::RUN_STOPPED);
  Board.takeReport(Report, Now);
  Board.plan({Report}, Config, Now);
  Board.settle(Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).starts_size());
  CHECK(job("j").EndedMs != 0);
}

TEST(TaskBoard, GivesTheMembersOfAGangOneRunAndOneEnd) {
  auto Spec = jobOf("j", 2);
  Spec->mutable_steps(0)->set_gang(true);
  Board.addJob(Spec);
  wire::TaskReport One = reportOf("n1");
  Board.plan({One}, Config, Now);
  LONGS_EQUAL(job("j").task(0).Run, job("j").task(1).Run);
  end(One, "j.0.0.1", 1, wire::RUN_DONE);
  Board.takeReport(One, Now);
  Board.settle(Now);
  CHECK(JobStatus::Completed == job("j").status());
}

TEST(TaskBoard, StartsABrokenGangAgainOnlyWhenAllMembersAreGone) {
  auto Spec = jobOf("j", 2);
  Spec->mutable_steps(0)->set_gang(true);
  Board.addJob(Spec);
  wire::TaskReport One = reportOf("n1");
  Board.plan({One}, Config, Now);
  end(One, "j.0.0.0", 1, wire::RUN_STOPPED);
  Board.takeReport(One, Now);
  Board.plan({One}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(0).Phase);
  CHECK_TRUE(job("j").task(1).StopWanted);
  end(One, "j.0.0.1", 1, wire::RUN_BROKEN);
  Board.takeReport(One, Now);
  Board.plan({One}, Config, Now);
  LONGS_EQUAL(2, job("j").task(0).Run);
  LONGS_EQUAL(2, job("j").task(1).Run);
}

TEST(TaskBoard, BarsARunOnTheNextLifeOfItsWorkerBeforeStartingItAgain) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Old = reportOf("n1");
  Board.plan({Old}, Config, Now);
  wire::TaskReport New = reportOf("n1", "w#2");
  Board.takeReport(New, Now);
  Board.plan({New}, Config, Now);
  LONGS_EQUAL(1, Board.ordersFor(New).stops_size());
  LONGS_EQUAL(wire::TASK_PLACED, job("j").task(0).Phase);
  wire::RunRefusal &Refusal = *New.add_refusals();
  Refusal.set_task("j.0.0.0");
  Refusal.set_run(1);
  Refusal.set_reason(wire::REFUSED_BARRED);
  Board.takeReport(New, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(0).Phase);
}

TEST(TaskBoard, StopsARunThatItDidNotPlace) {
  wire::TaskReport Report = reportOf("n1");
  list(Report, "unknown.0.0.0", 7);
  Board.takeReport(Report, Now);
  LONGS_EQUAL(1, Board.ordersFor(Report).stops_size());
  LONGS_EQUAL(7, Board.ordersFor(Report).stops(0).run());
}

TEST(TaskBoard, SaysThatAStartMayHaveBeenSentByAnotherLifeOfTheAgent) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  CHECK_FALSE(Board.ordersFor(Report).starts(0).may_have_been_sent());
  Report.set_agent_life(2);
  CHECK_TRUE(Board.ordersFor(Report).starts(0).may_have_been_sent());
  TaskBoard Successor;
  Successor.addJob(jobOf("j", 1));
  Successor.restore(JobId("j"), job("j").progress(), 5);
  Report.set_agent_life(1);
  CHECK_TRUE(Successor.ordersFor(Report).starts(0).may_have_been_sent());
}

TEST(TaskBoard, MovesARunThatStandsStillAndSparesItsWorker) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1, 5);
  for (int Heard = 0; Heard < 5; ++Heard) {
    Board.takeReport(Report, Now);
    Board.moveStalled(Now);
    pass(400);
  }
  LONGS_EQUAL(1, Board.ordersFor(Report).stops_size());
  Board.addJob(jobOf("k", 1));
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("k").task(0).Phase);
}

TEST(TaskBoard, DoesNotTakeSilenceForAStall) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1, 5);
  Board.takeReport(Report, Now);
  pass(5000);
  Board.moveStalled(Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).stops_size());
}

TEST(TaskBoard, StartsNothingOnADrainingWorker) {
  Board.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Report.set_draining(true);
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).starts_size());
}

// The load of the users' heavy days: short urgent jobs that take whole workers
// come while long jobs, which could wait five times as long, fill all of them.
TEST(TaskBoard, LeavesWholeWorkersForUrgentJobsWhenLongOnesCanWait) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 11; ++J) {
    auto Long = jobOf("long" + std::to_string(J), 1);
    Long->mutable_steps(0)->set_accelerators(8);
    Long->mutable_steps(0)->set_estimate_ms(9000);
    Board.addJob(Long);
  }
  Board.plan(Reports, Config, Now);
  auto Urgent = jobOf("urgent", 1);
  Urgent->set_priority(0);
  Urgent->set_stretch(1.5);
  Urgent->mutable_steps(0)->set_accelerators(8);
  Board.addJob(Urgent);
  Board.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("urgent").task(0).Phase);
}

// The load of an evening: short jobs spread over most workers, and a job that
// takes a whole worker and could wait, with most of the room free.
TEST(TaskBoard, HoldsNoJobBackForUrgentOnesWhileMostRoomIsFree) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 9; ++J) {
    auto Small = jobOf("small" + std::to_string(J), 1);
    Small->mutable_steps(0)->set_accelerators(1);
    Board.addJob(Small);
    Board.plan({Reports[static_cast<std::size_t>(J)]}, Config, Now);
  }
  auto Whole = jobOf("whole", 1);
  Whole->mutable_steps(0)->set_accelerators(8);
  Whole->mutable_steps(0)->set_estimate_ms(9000);
  Board.addJob(Whole);
  Board.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("whole").task(0).Phase);
}

TEST(TaskBoard, HoldsNoJobBackForLongThatHasNothingRunning) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 9; ++J) {
    auto Half = jobOf("busy" + std::to_string(J), 2);
    Half->mutable_steps(0)->set_accelerators(4);
    Board.addJob(Half);
    Board.plan({Reports[static_cast<std::size_t>(J)]}, Config, Now);
  }
  auto Whole = jobOf("whole", 1);
  Whole->mutable_steps(0)->set_accelerators(8);
  Whole->mutable_steps(0)->set_estimate_ms(60000);
  Board.addJob(Whole);
  Board.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("whole").task(0).Phase);
  pass(8100);
  Board.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("whole").task(0).Phase);
}

// A burst of jobs of several whole-worker tasks each: one job is finished
// before the next begins, rather than all but one task of each.
TEST(TaskBoard, FinishesJobsThatHaveBegunBeforeOthersInABurst) {
  auto First = jobOf("first", 2);
  First->mutable_steps(0)->set_accelerators(8);
  Board.addJob(First);
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  auto Second = jobOf("second", 2);
  Second->mutable_steps(0)->set_accelerators(8);
  Board.addJob(Second);
  end(Report, "first.0.0.0", 1, wire::RUN_DONE);
  Board.takeReport(Report, Now);
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("first").task(1).Phase);
  LONGS_EQUAL(wire::TASK_WAITING, job("second").task(0).Phase);
}

TEST(TaskBoard, StopsBorrowersForAGuaranteedJobAfterHalfASecond) {
  Config.Workspaces[WorkspaceId("team")] = {WorkspaceId("team"), 8};
  auto Borrower = jobOf("borrower", 2);
  Board.addJob(Borrower);
  wire::TaskReport Report = reportOf("n1");
  Board.plan({Report}, Config, Now);
  list(Report, "borrower.0.0.0", 1, 1);
  list(Report, "borrower.0.0.1", 1, 1);
  Board.takeReport(Report, Now);
  auto Urgent = jobOf("urgent", 2);
  Urgent->set_priority(0);
  Urgent->set_workspace("team");
  Board.addJob(Urgent);
  Board.plan({Report}, Config, Now);
  LONGS_EQUAL(0, Board.ordersFor(Report).stops_size());
  pass(600);
  Board.plan({Report}, Config, Now);
  CHECK(Board.ordersFor(Report).stops_size() > 0);
}
