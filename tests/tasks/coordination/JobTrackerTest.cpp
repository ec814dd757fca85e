#include "tasks/coordination/JobTracker.h"

#include <limits>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(JobTracker) {
  JobTracker Tracker;
  QueueConfig Config;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  std::uint64_t Ends = 0;

  wire::TaskReport reportOf(const std::string &Node,
                            const std::string &Incarnation = "w#1") {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(Node + "/" + Incarnation);
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

  void advance(int Ms) {
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

  TaskJob &job(const std::string &Id) { return Tracker.jobs().at(JobId(Id)); }
};

// Pattern: an ended job is removed while its worker still reports.
TEST(JobTracker, GivesNoOrdersForARemovedJob) {
  Tracker.addJob(jobOf("a", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).starts_size());
  Tracker.jobs().erase(JobId("a"));
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  Tracker.applyReport(Report, Now);
  Tracker.expireLeases(NodeId("n1"), Now);
  CHECK_TRUE(Tracker.nodesWithRuns().empty());
}

// Pattern: hundreds of workers; the orders of each concern its own runs only.
TEST(JobTracker, GivesEachWorkerTheOrdersOfItsOwnRuns) {
  std::vector<wire::TaskReport> Reports;
  for (int Node = 0; Node < 240; ++Node)
    Reports.push_back(reportOf("n" + std::to_string(Node)));
  // Half of the cell, below the load at which workers are kept free.
  Tracker.addJob(jobOf("a", 240));
  Tracker.plan(Reports, Config, Now);
  std::set<std::string> Ordered;
  for (const wire::TaskReport &Report : Reports) {
    const wire::TaskOrders Orders = Tracker.ordersFor(Report);
    for (const wire::StartOrder &Start : Orders.starts())
      CHECK_TRUE(Ordered.insert(Start.task()).second);
  }
  LONGS_EQUAL(240, Ordered.size());
  LONGS_EQUAL(120, Tracker.nodesWithRuns().size());
  Tracker.expireLeases(*Tracker.nodesWithRuns().begin(), Now);
  LONGS_EQUAL(119, Tracker.nodesWithRuns().size());
}

TEST(JobTracker, OrdersAPlacedRunUntilTheWorkerListsIt) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(1, Tracker.dirty().count(JobId("j")));
  LONGS_EQUAL(1, Tracker.ordersFor(Report).starts_size());
  STRCMP_EQUAL("j.0.0.0", Tracker.ordersFor(Report).starts(0).task().c_str());
  LONGS_EQUAL(1, Tracker.ordersFor(Report).starts(0).run());
  list(Report, "j.0.0.0", 1);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  LONGS_EQUAL(0, Tracker.ordersFor(Report).stops_size());
}

TEST(JobTracker, CompletesAJobWhenEveryTaskIsDone) {
  Tracker.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  Tracker.finishJobs(Now);
  CHECK(JobStatus::Running == job("j").status());
  end(Report, "j.0.0.1", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  Tracker.finishJobs(Now);
  CHECK(JobStatus::Completed == job("j").status());
  LONGS_EQUAL(2, Tracker.ordersFor(Report).acknowledged_end());
}

TEST(JobTracker, NeverRestartsACompletedTask) {
  Tracker.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  Tracker.expireLeases(NodeId("n1"), Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(1).Phase);
}

TEST(JobTracker, AppliesARepeatedEndOnce) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_FAILED);
  Tracker.applyReport(Report, Now);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(1, job("j").task(0).Failures.count());
}

// Pattern: a start of the newer run is still on its way when the end of the
// earlier one is acknowledged, and the task starts again.
TEST(JobTracker, CompletesATaskByTheEndOfAnEarlierRun) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(2, job("j").task(0).Run);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).stops_size());
  LONGS_EQUAL(1, Tracker.ordersFor(Report).acknowledged_end());
  wire::RunRefusal &Refusal = *Report.add_refusals();
  Refusal.set_task("j.0.0.0");
  Refusal.set_run(2);
  Refusal.set_reason(wire::REFUSED_BARRED);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(2, Tracker.ordersFor(Report).acknowledged_end());
}

// Pattern: the end of the newer run follows the one that waits for it, and both
// are repeated without end.
TEST(JobTracker, AppliesEndsBehindOneThatIsNotAcknowledged) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_DONE);
  end(Report, "j.0.0.0", 2, wire::RUN_FAILED);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).acknowledged_end());
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(3, Tracker.ordersFor(Report).acknowledged_end());
  CHECK(JobStatus::Failed != job("j").status());
}

TEST(JobTracker, FailsAJobAfterItsLastAttempt) {
  Tracker.addJob(jobOf("j", 1));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    wire::TaskReport Report = reportOf(Run == 1 ? "n1" : "n2");
    Tracker.plan({Report}, Config, Now);
    LONGS_EQUAL(Run, job("j").task(0).Run);
    Ends = 0;
    end(Report, "j.0.0.0", Run, wire::RUN_FAILED);
    Tracker.applyReport(Report, Now);
  }
  CHECK(JobStatus::Failed == job("j").status());
  wire::TaskReport Third = reportOf("n3");
  Tracker.plan({Third}, Config, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Third).starts_size());
}

TEST(JobTracker, DoesNotCountStopsAndExpiredLeasesAsAttempts) {
  Tracker.addJob(jobOf("j", 1));
  std::uint64_t Run = 0;
  for (wire::RunEnding How : {wire::RUN_STOPPED, wire::RUN_LAPSED,
                              wire::RUN_BROKEN, wire::RUN_ALONE}) {
    wire::TaskReport Report = reportOf("n1");
    Tracker.plan({Report}, Config, Now);
    end(Report, "j.0.0.0", ++Run, How);
    Tracker.applyReport(Report, Now);
  }
  LONGS_EQUAL(0, job("j").task(0).Failures.count());
  CHECK(JobStatus::Running == job("j").status());
}

TEST(JobTracker, ResumesFromTheNewestCheckpoint) {
  auto Spec = jobOf("j", 1);
  Spec->mutable_steps(0)->set_checkpointing(true);
  Tracker.addJob(Spec);
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED, "half");
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  STRCMP_EQUAL("half",
               Tracker.ordersFor(Report).starts(0).checkpoint().c_str());
}

TEST(JobTracker, MarksJobsWithNewCheckpointsOncePerPeriod) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  Tracker.flushCheckpoints(Now);
  Tracker.dirty().clear();
  list(Report, "j.0.0.0", 1, 10);
  Report.mutable_running(0)->set_checkpoint("tenth");
  Tracker.applyReport(Report, Now);
  Tracker.flushCheckpoints(Now);
  LONGS_EQUAL(0, Tracker.dirty().size());
  advance(1100);
  Tracker.flushCheckpoints(Now);
  LONGS_EQUAL(1, Tracker.dirty().size());
}

// Pattern: one thread passes the job on while another one passes on its
// cancellation. A cancellation that came first was lost for good.
TEST(JobTracker, StartsNothingOfAJobThatItsCancellationOvertook) {
  Tracker.cancel(JobId("j"), Now);
  Tracker.addJob(jobOf("j", 3));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  Tracker.finishJobs(Now);
  CHECK(JobStatus::Cancelled == job("j").status());
}

TEST(JobTracker, StopsTheRunsOfACancelledJobAndStartsNoMore) {
  Tracker.addJob(jobOf("j", 3));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(2, Tracker.ordersFor(Report).starts_size());
  Tracker.cancel(JobId("j"), Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  LONGS_EQUAL(2, Tracker.ordersFor(Report).stops_size());
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  end(Report, "j.0.0.1", 1, wire::RUN_STOPPED);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  Tracker.finishJobs(Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  CHECK(job("j").EndedMs != 0);
}

TEST(JobTracker, SharesRunNumberAndEndAmongGangMembers) {
  auto Spec = jobOf("j", 2);
  Spec->mutable_steps(0)->set_gang(true);
  Tracker.addJob(Spec);
  wire::TaskReport One = reportOf("n1");
  Tracker.plan({One}, Config, Now);
  LONGS_EQUAL(job("j").task(0).Run, job("j").task(1).Run);
  end(One, "j.0.0.1", 1, wire::RUN_DONE);
  Tracker.applyReport(One, Now);
  Tracker.finishJobs(Now);
  CHECK(JobStatus::Completed == job("j").status());
}

TEST(JobTracker, RestartsABrokenGangOnlyAfterAllMembersEnded) {
  auto Spec = jobOf("j", 2);
  Spec->mutable_steps(0)->set_gang(true);
  Tracker.addJob(Spec);
  wire::TaskReport One = reportOf("n1");
  Tracker.plan({One}, Config, Now);
  end(One, "j.0.0.0", 1, wire::RUN_STOPPED);
  Tracker.applyReport(One, Now);
  Tracker.plan({One}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(0).Phase);
  CHECK_TRUE(job("j").task(1).StopRequested);
  end(One, "j.0.0.1", 1, wire::RUN_BROKEN);
  Tracker.applyReport(One, Now);
  Tracker.plan({One}, Config, Now);
  LONGS_EQUAL(2, job("j").task(0).Run);
  LONGS_EQUAL(2, job("j").task(1).Run);
}

TEST(JobTracker, BarsARunOnTheNextWorkerIncarnationBeforeRestartingIt) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Old = reportOf("n1");
  Tracker.plan({Old}, Config, Now);
  wire::TaskReport New = reportOf("n1", "w#2");
  Tracker.applyReport(New, Now);
  Tracker.plan({New}, Config, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(New).stops_size());
  LONGS_EQUAL(wire::TASK_PLACED, job("j").task(0).Phase);
  // Its start may be on its way to a later incarnation.
  LONGS_EQUAL(1, Tracker.takeGivenUp().size());
  wire::RunRefusal &Refusal = *New.add_refusals();
  Refusal.set_task("j.0.0.0");
  Refusal.set_run(1);
  Refusal.set_reason(wire::REFUSED_BARRED);
  Tracker.applyReport(New, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(0).Phase);
}

TEST(JobTracker, StopsARunThatItDidNotPlace) {
  wire::TaskReport Report = reportOf("n1");
  list(Report, "unknown.0.0.0", 7);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).stops_size());
  LONGS_EQUAL(7, Tracker.ordersFor(Report).stops(0).run());
}

TEST(JobTracker, MarksAStartThatAnotherAgentIncarnationMayHaveSent) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  CHECK_FALSE(Tracker.ordersFor(Report).starts(0).may_have_been_sent());
  Report.set_agent_life(2);
  CHECK_TRUE(Tracker.ordersFor(Report).starts(0).may_have_been_sent());
  JobTracker Successor;
  Successor.addJob(jobOf("j", 1));
  Successor.restore(JobId("j"), job("j").progress(), 5);
  Report.set_agent_life(1);
  CHECK_TRUE(Successor.ordersFor(Report).starts(0).may_have_been_sent());
}

TEST(JobTracker, MovesAStalledRunAndQuarantinesItsWorker) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1, 5);
  for (int Round = 0; Round < 5; ++Round) {
    Tracker.applyReport(Report, Now);
    Tracker.moveStalledRuns(Now);
    advance(400);
  }
  LONGS_EQUAL(1, Tracker.ordersFor(Report).stops_size());
  Tracker.addJob(jobOf("k", 1));
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("k").task(0).Phase);
}

// Guards against stopping a whole gang because its members on fast workers have
// done their work and wait for the slow ones.
TEST(JobTracker, LeavesAGangWhoseFastMembersWaitForTheSlowest) {
  auto Spec = jobOf("j", 2);
  Spec->mutable_steps(0)->set_gang(true);
  Spec->mutable_steps(0)->set_checkpointing(true);
  Tracker.addJob(std::move(Spec));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  for (std::uint32_t Percent = 10; Percent < 40; Percent += 5) {
    Report.clear_running();
    list(Report, "j.0.0.0", 1, 100);
    list(Report, "j.0.0.1", 1, Percent);
    Tracker.applyReport(Report, Now);
    Tracker.moveStalledRuns(Now);
    advance(400);
  }
  LONGS_EQUAL(0, Tracker.ordersFor(Report).stops_size());
  Tracker.addJob(jobOf("k", 1));
  wire::TaskReport Idle = reportOf("n2");
  Tracker.plan({Report, Idle}, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("k").task(0).Phase);
}

TEST(JobTracker, DoesNotTreatMissingReportsAsAStall) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1, 5);
  Tracker.applyReport(Report, Now);
  advance(5000);
  Tracker.moveStalledRuns(Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).stops_size());
}

TEST(JobTracker, StartsNothingOnADrainingWorker) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Report.set_draining(true);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
}

// Models a busy day on the production sites: short urgent jobs that need whole
// workers arrive while long jobs, which could wait five times as long, would
// fill all workers.
TEST(JobTracker, KeepsWorkersFullyFreeForUrgentJobsWhenLongOnesCanWait) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 11; ++J) {
    auto Long = jobOf("long" + std::to_string(J), 1);
    Long->mutable_steps(0)->set_accelerators(8);
    Long->mutable_steps(0)->set_estimate_ms(9000);
    Tracker.addJob(Long);
  }
  Tracker.plan(Reports, Config, Now);
  auto Urgent = jobOf("urgent", 1);
  Urgent->set_priority(0);
  Urgent->set_stretch(1.5);
  Urgent->mutable_steps(0)->set_accelerators(8);
  Tracker.addJob(Urgent);
  Tracker.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("urgent").task(0).Phase);
}

// Models an evening: short jobs spread over most workers while most resources
// are free. A job that needs a whole worker and could wait must not be held
// back.
TEST(JobTracker, HoldsNoJobBackWhileMostResourcesAreFree) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 9; ++J) {
    auto Small = jobOf("small" + std::to_string(J), 1);
    Small->mutable_steps(0)->set_accelerators(1);
    Tracker.addJob(Small);
    Tracker.plan({Reports[static_cast<std::size_t>(J)]}, Config, Now);
  }
  auto Whole = jobOf("whole", 1);
  Whole->mutable_steps(0)->set_accelerators(8);
  Whole->mutable_steps(0)->set_estimate_ms(9000);
  Tracker.addJob(Whole);
  Tracker.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("whole").task(0).Phase);
}

TEST(JobTracker, StopsHoldingBackAJobWithNothingRunning) {
  std::vector<wire::TaskReport> Reports;
  for (int N = 0; N < 11; ++N)
    Reports.push_back(reportOf("n" + std::to_string(N)));
  for (int J = 0; J < 9; ++J) {
    auto Half = jobOf("busy" + std::to_string(J), 2);
    Half->mutable_steps(0)->set_accelerators(4);
    Tracker.addJob(Half);
    Tracker.plan({Reports[static_cast<std::size_t>(J)]}, Config, Now);
  }
  auto Whole = jobOf("whole", 1);
  Whole->mutable_steps(0)->set_accelerators(8);
  Whole->mutable_steps(0)->set_estimate_ms(60000);
  Tracker.addJob(Whole);
  Tracker.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("whole").task(0).Phase);
  advance(8100);
  Tracker.plan(Reports, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("whole").task(0).Phase);
}

// Models a burst of jobs with several whole-worker tasks each. Without this
// rule all but one task of each job would run instead of one job after the
// other.
TEST(JobTracker, FinishesStartedJobsFirstInABurst) {
  auto First = jobOf("first", 2);
  First->mutable_steps(0)->set_accelerators(8);
  Tracker.addJob(First);
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  auto Second = jobOf("second", 2);
  Second->mutable_steps(0)->set_accelerators(8);
  Tracker.addJob(Second);
  end(Report, "first.0.0.0", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("first").task(1).Phase);
  LONGS_EQUAL(wire::TASK_WAITING, job("second").task(0).Phase);
}

TEST(JobTracker, PreemptsBorrowersForAGuaranteedJobAfterHalfASecond) {
  Config.Workspaces[WorkspaceId("team")] = {WorkspaceId("team"), 8};
  auto Borrower = jobOf("borrower", 2);
  Tracker.addJob(Borrower);
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  list(Report, "borrower.0.0.0", 1, 1);
  list(Report, "borrower.0.0.1", 1, 1);
  Tracker.applyReport(Report, Now);
  auto Urgent = jobOf("urgent", 2);
  Urgent->set_priority(0);
  Urgent->set_workspace("team");
  Tracker.addJob(Urgent);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).stops_size());
  advance(600);
  Tracker.plan({Report}, Config, Now);
  CHECK(Tracker.ordersFor(Report).stops_size() > 0);
}

// Pattern: a worker's capacity shrinks while a start is on its way to it.
TEST(JobTracker, WithdrawsAStartThatNoLongerFitsItsWorker) {
  Tracker.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).starts_size());
  Report.set_accelerators(4);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
  LONGS_EQUAL(1, Tracker.ordersFor(Report).stops_size());
  STRCMP_EQUAL("j.0.0.1", Tracker.ordersFor(Report).stops(0).task().c_str());
}

// Pattern: a worker's capacity shrinks below what runs on it. The runs go on,
// but nothing joins them until the capacity has grown again.
TEST(JobTracker, PlacesNothingBeyondAShrunkCapacity) {
  auto Small = jobOf("small", 1);
  Small->mutable_steps(0)->set_accelerators(0);
  Tracker.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 1);
  list(Report, "j.0.0.1", 1);
  Report.set_accelerators(2);
  Tracker.applyReport(Report, Now);
  Tracker.addJob(Small);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("small").task(0).Phase);
  LONGS_EQUAL(0, Tracker.ordersFor(Report).stops_size());
  Report.set_accelerators(8);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("small").task(0).Phase);
}

// Pattern: an earlier run of a task turns out to be done while a later one
// runs. What is being stopped still uses its resources.
TEST(JobTracker, CountsARunThatIsBeingStoppedAfterItsTaskIsDone) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "j.0.0.0", 1, wire::RUN_STOPPED);
  Tracker.applyReport(Report, Now);
  Tracker.plan({Report}, Config, Now);
  list(Report, "j.0.0.0", 2);
  wire::TaskReport Other = reportOf("n2");
  end(Other, "j.0.0.0", 1, wire::RUN_DONE);
  Tracker.applyReport(Report, Now);
  Tracker.applyReport(Other, Now);
  LONGS_EQUAL(1, Tracker.ordersFor(Report).stops_size());
  auto Whole = jobOf("whole", 1);
  Whole->mutable_steps(0)->set_accelerators(8);
  Tracker.addJob(Whole);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("whole").task(0).Phase);
  Report.clear_running();
  end(Report, "j.0.0.0", 2, wire::RUN_STOPPED);
  Tracker.applyReport(Report, Now);
  LONGS_EQUAL(wire::TASK_DONE, job("j").task(0).Phase);
  Tracker.plan({Report}, Config, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("whole").task(0).Phase);
}

// Pattern: a report of expired leases gives up runs that were placed after it
// was made, whose starts its agent carries out, so that they run twice.
TEST(JobTracker, KeepsRunsThatWereOrderedAfterAReportOfExpiredLeases) {
  Tracker.beginTerm(Epoch(5));
  Tracker.addJob(jobOf("j", 2));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  wire::TaskReport Lapsed = Report;
  Lapsed.set_complete(false);
  Lapsed.set_lapsed(true);
  Lapsed.set_lapsed_epoch(5);
  Lapsed.set_lapsed_revision(100);
  Tracker.applyReport(Lapsed, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("j").task(0).Phase);
  (void)Tracker.ordersFor(Report, 101);
  Tracker.applyReport(Lapsed, Now);
  LONGS_EQUAL(wire::TASK_PLACED, job("j").task(0).Phase);
  CHECK_TRUE(Tracker.takeGivenUp().empty());
  Lapsed.set_lapsed_revision(101);
  Tracker.applyReport(Lapsed, Now);
  LONGS_EQUAL(wire::TASK_WAITING, job("j").task(0).Phase);
  LONGS_EQUAL(2, Tracker.takeGivenUp().size());
}

// Pattern: an agent that still takes the orders of the last coordinator reports
// expired leases, and a restored run is given up that it then starts.
TEST(JobTracker, KeepsRestoredRunsUntilTheAgentKnowsTheTerm) {
  Tracker.addJob(jobOf("j", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  JobTracker Successor;
  Successor.beginTerm(Epoch(6));
  Successor.addJob(jobOf("j", 1));
  Successor.restore(JobId("j"), job("j").progress(), 5);
  Report.set_complete(false);
  Report.set_lapsed(true);
  Report.set_lapsed_epoch(5);
  Report.set_lapsed_revision(std::numeric_limits<std::uint64_t>::max());
  Successor.applyReport(Report, Now);
  LONGS_EQUAL(1, Successor.nodesWithRuns().size());
  Report.set_worker("n1/w#2");
  Successor.applyReport(Report, Now);
  LONGS_EQUAL(1, Successor.nodesWithRuns().size());
  Report.set_lapsed_epoch(6);
  Successor.applyReport(Report, Now);
  LONGS_EQUAL(0, Successor.nodesWithRuns().size());
}

// Pattern: the orders for 1,200 tasks exceed the size of a message, so that the
// agent gets neither them nor its grant.
TEST(JobTracker, OrdersManyStartsInPartsThatFitAMessage) {
  auto Spec = jobOf("j", 1200);
  Spec->set_payload(std::string(4000, 'x'));
  Spec->mutable_steps(0)->set_accelerators(0);
  Spec->mutable_steps(0)->set_milli_cores(10);
  Spec->mutable_steps(0)->set_memory_mb(10);
  Tracker.addJob(Spec);
  wire::TaskReport Report = reportOf("n1");
  // A round plans a part of a step.
  for (int Round = 0; Round < 5; ++Round)
    Tracker.plan({Report}, Config, Now);
  std::set<std::string> Ordered;
  for (std::uint64_t Revision = 1; Ordered.size() < 1200; ++Revision) {
    const wire::TaskOrders Orders = Tracker.ordersFor(Report, Revision);
    CHECK(Orders.starts_size() > 0);
    CHECK(Orders.ByteSizeLong() < (1 << 20));
    // Until they are listed, the same starts are ordered.
    STRCMP_EQUAL(
        Orders.SerializeAsString().c_str(),
        Tracker.ordersFor(Report, Revision).SerializeAsString().c_str());
    for (const wire::StartOrder &Start : Orders.starts()) {
      CHECK_TRUE(Ordered.insert(Start.task()).second);
      list(Report, Start.task(), Start.run());
    }
    Tracker.applyReport(Report, Now);
    CHECK(Revision < 100);
  }
  LONGS_EQUAL(0, Tracker.ordersFor(Report).starts_size());
}

// Pattern: a job of thousands of tasks on one worker is cancelled, and the
// stops exceed the size of a message.
TEST(JobTracker, OrdersManyStopsInPartsThatFitAMessage) {
  wire::TaskReport Report = reportOf("n1");
  for (int Run = 0; Run < 100000; ++Run)
    list(Report, "unknown.0.0." + std::to_string(Run), 7);
  const wire::TaskOrders Orders = Tracker.ordersFor(Report);
  CHECK(Orders.stops_size() > 1000);
  CHECK(Orders.ByteSizeLong() < (1 << 20));
}

// Guards against a worker that fails whatever it starts and gets the same task
// again at once, until the attempts are used up beside free workers.
TEST(JobTracker, StartsAFailedTaskOnAnotherWorker) {
  Tracker.addJob(jobOf("a", 1));
  std::map<std::string, wire::TaskReport> Reports;
  for (const char *Node : {"n1", "n2", "n3"})
    Reports[Node] = reportOf(Node);
  const auto Plan = [&] {
    Tracker.plan({Reports["n1"], Reports["n2"], Reports["n3"]}, Config, Now);
    return job("a").task(0).Worker;
  };
  const WorkerIncarnation First = Plan();
  wire::TaskReport &Report = Reports[nodeOf(First).str()];
  end(Report, "a.0.0.0", 1, wire::RUN_FAILED);
  Tracker.applyReport(Report, Now);
  advance(100);
  CHECK_FALSE(Plan() == First);
}

// Guards against a task that waits although the worker where it failed is the
// only one.
TEST(JobTracker, StartsAFailedTaskAgainOnTheOnlyWorker) {
  Tracker.addJob(jobOf("a", 1));
  wire::TaskReport Report = reportOf("n1");
  Tracker.plan({Report}, Config, Now);
  end(Report, "a.0.0.0", 1, wire::RUN_FAILED);
  Tracker.applyReport(Report, Now);
  advance(100);
  Tracker.plan({Report}, Config, Now);
  CHECK(wire::TASK_PLACED == job("a").task(0).Phase);
  LONGS_EQUAL(2, job("a").task(0).Run);
}
