// Workers crash under the tasks that they run. A small cell of workers carries
// out the tracker's orders: a deadly task crashes each worker that starts it,
// any other task ends after a while.

#include "tasks/coordination/JobTracker.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr int RoundMs = 100;
/// Runs on a worker that has crashed are barred there and may start elsewhere
/// after this many rounds.
constexpr int RequeueRounds = 4;

struct CellWorker {
  std::string Node;
  int Incarnation = 1;
  std::uint64_t AgentIncarnation = 1;
  bool Draining = false;
  std::string Left;
  struct Run {
    std::uint64_t Number = 0;
    int RoundsLeft = 0;
  };
  std::map<std::string, Run> Running;
  std::vector<wire::RunEnd> Ends;
  std::vector<wire::RunRefusal> Refusals;
  std::uint64_t LastEnd = 0;

  std::string name() const {
    return Node + "/w#" + std::to_string(Incarnation);
  }

  /// Ends this incarnation of the worker. The next one runs nothing.
  void restart() {
    ++Incarnation;
    Draining = false;
    Running.clear();
    Ends.clear();
    Refusals.clear();
    LastEnd = 0;
  }
  void leave() {
    Left = name();
    restart();
  }

  void end(const std::string &Task, wire::RunEnding How) {
    wire::RunEnd &End = Ends.emplace_back();
    End.set_number(++LastEnd);
    End.set_task(Task);
    End.set_run(Running.at(Task).Number);
    End.set_ending(How);
    Running.erase(Task);
  }

  void stop(const wire::RunKey &Run) {
    if (Running.count(Run.task()) &&
        Running.at(Run.task()).Number == Run.run()) {
      end(Run.task(), wire::RUN_STOPPED);
      return;
    }
    const auto IsKnown = [&](const auto &Known) {
      return Known.task() == Run.task() && Known.run() == Run.run();
    };
    if (std::any_of(Ends.begin(), Ends.end(), IsKnown))
      return;
    wire::RunRefusal &Refusal = Refusals.emplace_back();
    Refusal.set_task(Run.task());
    Refusal.set_run(Run.run());
    Refusal.set_reason(wire::REFUSED_BARRED);
  }

  wire::TaskReport report() const {
    wire::TaskReport Report;
    Report.set_node(Node);
    Report.set_worker(name());
    Report.set_service("planner");
    Report.set_milli_cores(32000);
    Report.set_memory_mb(131072);
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(AgentIncarnation);
    Report.set_draining(Draining);
    Report.set_left_worker(Left);
    for (const auto &[Task, Run] : Running) {
      wire::RunStatus &Status = *Report.add_running();
      Status.set_task(Task);
      Status.set_run(Run.Number);
    }
    *Report.mutable_ends() = {Ends.begin(), Ends.end()};
    *Report.mutable_refusals() = {Refusals.begin(), Refusals.end()};
    return Report;
  }
};

} // namespace

TEST_GROUP(JobTrackerCrash) {
  JobTracker Tracker;
  std::vector<std::shared_ptr<wire::TaskJobSpec>> Specs;
  std::map<JobId, wire::TaskJobProgress> Stored;
  std::vector<CellWorker> Workers;
  /// Tasks that crash the worker that starts them.
  std::set<std::string> Deadly;
  std::map<std::string, int> Starts;
  /// Number of rounds after which any other task is done.
  int Duration = 30;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};

  void addWorkers(int Count) {
    for (int W = 0; W < Count; ++W) {
      Workers.emplace_back();
      Workers.back().Node = "n" + std::to_string(Workers.size());
    }
  }

  wire::TaskJobSpec &addJob(const std::string &Id, std::uint32_t Tasks = 1) {
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
    Step.set_accelerators(1);
    Step.set_milli_cores(1000);
    Step.set_memory_mb(1000);
    Step.set_estimate_ms(3000);
    Tracker.addJob(Spec);
    Specs.push_back(Spec);
    return *Spec;
  }

  TaskJob &job(const std::string &Id) { return Tracker.jobs().at(JobId(Id)); }

  bool isCompleted(const std::string &Id) {
    return job(Id).status() == JobStatus::Completed;
  }
  bool isFailed(const std::string &Id) {
    return job(Id).status() == JobStatus::Failed;
  }

  /// The worker that runs \p Task, or nothing.
  CellWorker *workerOf(const std::string &Task) {
    for (CellWorker &Worker : Workers)
      if (Worker.Running.count(Task))
        return &Worker;
    return nullptr;
  }

  /// Continues with a new coordinator, which knows what is stored.
  void takeOver() {
    Tracker.clear();
    for (const auto &Spec : Specs)
      Tracker.addJob(Spec);
    for (const auto &[Id, Progress] : Stored)
      Tracker.restore(Id, Progress, 1);
  }

  std::vector<wire::TaskReport> applyReports() {
    std::vector<wire::TaskReport> Reports;
    for (const CellWorker &Worker : Workers) {
      Reports.push_back(Worker.report());
      Tracker.applyReport(Reports.back(), Now);
    }
    return Reports;
  }

  void carryOut(CellWorker & Worker, const wire::TaskOrders &Orders) {
    Worker.Refusals.clear();
    for (const wire::RunKey &Stop : Orders.stops())
      Worker.stop(Stop);
    bool Crashes = false;
    for (const wire::StartOrder &Start : Orders.starts()) {
      Worker.Running[Start.task()] = {Start.run(), Duration};
      ++Starts[Start.task()];
      Crashes = Crashes || Deadly.count(Start.task()) > 0;
    }
    if (Crashes)
      Worker.restart();
  }

  void endRuns(CellWorker & Worker) {
    std::vector<std::string> Finished;
    for (auto &[Task, Run] : Worker.Running)
      if (--Run.RoundsLeft == 0)
        Finished.push_back(Task);
    for (const std::string &Task : Finished)
      Worker.end(Task, wire::RUN_DONE);
  }

  void round() {
    const std::vector<wire::TaskReport> Reports = applyReports();
    Tracker.finishJobs(Now);
    Tracker.plan(Reports, QueueConfig(), Now);
    for (const JobId &Id : Tracker.dirty())
      Stored[Id] = job(Id.str()).progress();
    Tracker.dirty().clear();
    for (std::size_t W = 0; W < Workers.size(); ++W) {
      endRuns(Workers[W]);
      carryOut(Workers[W], Tracker.ordersFor(Reports[W]));
    }
    Now.Boot += Milliseconds(RoundMs);
    Now.UnixMs += RoundMs;
  }

  void rounds(int Count) {
    for (int R = 0; R < Count; ++R)
      round();
  }

  /// Ends the worker under the only task of job "j", which lasts, again and
  /// again by \p End.
  template <typename EndFunction> void endWorkersUnderATask(EndFunction End) {
    addWorkers(3);
    addJob("j").mutable_steps(0)->set_long_running(true);
    Duration = 1000;
    for (int Times = 0; Times < 8; ++Times) {
      rounds(5);
      CHECK_TRUE(workerOf("j.0.0.0") != nullptr);
      End(*workerOf("j.0.0.0"));
    }
    rounds(5);
    CHECK_FALSE(isFailed("j"));
    CHECK_FALSE(job("j").progress().tasks(0).has_crashes());
  }

  /// Starts a deadly task together with eight others on one of \p Count
  /// workers.
  void startADeadlyTaskAmongEight(int Count) {
    addWorkers(Count);
    addJob("good", 8).mutable_steps(0)->set_accelerators(0);
    // Its place in the order of the jobs gives it no precedence.
    addJob("unsafe").mutable_steps(0)->set_accelerators(0);
    Deadly = {"unsafe.0.0.0"};
    round();
    LONGS_EQUAL(9, Starts.size());
    LONGS_EQUAL(1, std::count_if(Workers.begin(), Workers.end(),
                                 [](const CellWorker &Worker) {
                                   return Worker.Incarnation > 1;
                                 }));
  }

  /// Starts the gang "gang", whose two members need a worker each.
  void startAGangOnTwoWorkers() {
    addWorkers(3);
    wire::StepSpec &Step = *addJob("gang", 2).mutable_steps(0);
    Step.set_gang(true);
    Step.set_accelerators(8);
    Duration = 1000;
    rounds(10);
    CHECK_TRUE(workerOf("gang.0.0.0") != nullptr);
    CHECK_TRUE(workerOf("gang.0.0.1") != workerOf("gang.0.0.0"));
  }

  void checkGivenUp(const std::string &Id, const std::string &Task) {
    CHECK_TRUE(isFailed(Id));
    CHECK_TRUE(job(Id).EndedMs != 0);
    CHECK_TRUE_TEXT(
        Starts[Task] >= 3 && Starts[Task] <= 5,
        (Task + " starts: " + std::to_string(Starts[Task])).c_str());
  }
};

// Pattern: one task crashes every worker that starts it.
TEST(JobTrackerCrash, GivesUpATaskThatCrashesEachWorker) {
  addWorkers(4);
  addJob("bad");
  Deadly = {"bad.0.0.0"};
  rounds(300);
  checkGivenUp("bad", "bad.0.0.0");
}

// Pattern: a task that lasts is restarted however it ends, and crashes every
// worker. Guards against a job that is shown as failed because of crashes, and
// against a record that grows with each of them.
TEST(JobTrackerCrash, NeverFailsALongRunningTaskThatCrashesEachWorker) {
  addWorkers(4);
  addJob("bad").mutable_steps(0)->set_long_running(true);
  Deadly = {"bad.0.0.0"};
  rounds(900);
  CHECK_FALSE(isFailed("bad"));
  CHECK_TRUE(Starts["bad.0.0.0"] > 20);
  CHECK_TRUE(job("bad").task(0).Crashes.crashes() <= 32);
}

// Guards against a long-running task that crashes its workers without end and
// takes the tasks of other jobs with it.
TEST(JobTrackerCrash, CompletesTheNeighboursOfADeadlyLongRunningTask) {
  addWorkers(4);
  for (int J = 0; J < 6; ++J)
    addJob("good" + std::to_string(J), 4);
  addJob("bad").mutable_steps(0)->set_long_running(true);
  Deadly = {"bad.0.0.0"};
  rounds(900);
  CHECK_FALSE(isFailed("bad"));
  for (int J = 0; J < 6; ++J)
    CHECK_TRUE(isCompleted("good" + std::to_string(J)));
}

// Pattern: the only worker that a task may run on crashes under it each time.
TEST(JobTrackerCrash, GivesUpATaskThatCrashesTheOnlyWorker) {
  addWorkers(1);
  addJob("bad");
  Deadly = {"bad.0.0.0"};
  rounds(300);
  checkGivenUp("bad", "bad.0.0.0");
}

// Pattern: tasks of other jobs run on the workers that a deadly task crashes.
TEST(JobTrackerCrash, CompletesTheNeighboursOfADeadlyTask) {
  addWorkers(4);
  for (int J = 0; J < 6; ++J)
    addJob("good" + std::to_string(J), 4);
  addJob("bad", 4);
  Deadly = {"bad.0.0.2"};
  rounds(600);
  checkGivenUp("bad", "bad.0.0.2");
  for (int J = 0; J < 6; ++J)
    CHECK_TRUE(isCompleted("good" + std::to_string(J)));
}

// Pattern: several deadly tasks crash workers at the same time, in a cell that
// never has an idle worker.
TEST(JobTrackerCrash, GivesUpSeveralDeadlyTasksOnABusyCell) {
  addWorkers(3);
  for (int J = 0; J < 30; ++J)
    addJob("good" + std::to_string(J), 6);
  for (int J = 0; J < 3; ++J) {
    addJob("bad" + std::to_string(J));
    Deadly.insert("bad" + std::to_string(J) + ".0.0.0");
  }
  rounds(3000);
  for (int J = 0; J < 3; ++J)
    checkGivenUp("bad" + std::to_string(J),
                 "bad" + std::to_string(J) + ".0.0.0");
  for (int J = 0; J < 30; ++J)
    CHECK_TRUE(isCompleted("good" + std::to_string(J)));
}

// Pattern: one member of a gang crashes its worker, which breaks the gang.
TEST(JobTrackerCrash, GivesUpAGangWithADeadlyMember) {
  addWorkers(4);
  wire::StepSpec &Step = *addJob("bad", 3).mutable_steps(0);
  Step.set_gang(true);
  Step.set_accelerators(5);
  Deadly = {"bad.0.0.1"};
  rounds(400);
  checkGivenUp("bad", "bad.0.0.1");
}

// Pattern: the coordinator is replaced after each crash; crashes that only the
// earlier ones have seen must count.
TEST(JobTrackerCrash, CountsCrashesAcrossTakeovers) {
  addWorkers(4);
  addJob("bad");
  Deadly = {"bad.0.0.0"};
  for (int R = 0; R < 300; ++R) {
    round();
    takeOver();
  }
  checkGivenUp("bad", "bad.0.0.0");
}

// Pattern: the agent is restarted with its worker and does not know how the
// worker's last incarnation ended.
TEST(JobTrackerCrash, CountsTheCrashOfAWorkerWhoseAgentWasRestarted) {
  addWorkers(4);
  addJob("bad");
  Deadly = {"bad.0.0.0"};
  for (int R = 0; R < 300; ++R) {
    const int Before = Starts["bad.0.0.0"];
    round();
    for (CellWorker &Worker : Workers)
      Worker.AgentIncarnation +=
          static_cast<std::uint64_t>(Starts["bad.0.0.0"] - Before);
  }
  checkGivenUp("bad", "bad.0.0.0");
}

// Pattern: the agent reports the departed worker and, seconds later, the next
// incarnation. That is one crash.
TEST(JobTrackerCrash, CountsTheCrashOfADepartedWorkerOnce) {
  addWorkers(1);
  addJob("j");
  rounds(2);
  CellWorker &Worker = Workers[0];
  wire::TaskReport Departed = Worker.report();
  Departed.set_worker("n1/none#1");
  Departed.set_draining(true);
  Departed.clear_running();
  Tracker.applyReport(Departed, Now);
  LONGS_EQUAL(1, job("j").progress().tasks(0).crashes().certain_nodes_size());
  Worker.restart();
  applyReports();
  LONGS_EQUAL(1, job("j").progress().tasks(0).crashes().certain_nodes_size());
}

// Pattern: workers are replaced one after the other under a task that lasts.
TEST(JobTrackerCrash, CountsNothingWhenWorkersLeaveInAnOrderlyWay) {
  endWorkersUnderATask([](CellWorker &Worker) { Worker.leave(); });
  LONGS_EQUAL(9, Starts["j.0.0.0"]);
}

// Pattern: workers drain and end with tasks on them, and their agents are
// replaced at the same time and know nothing of it.
TEST(JobTrackerCrash, CountsNothingWhenADrainingWorkerEnds) {
  endWorkersUnderATask([this](CellWorker &Worker) {
    Worker.Draining = true;
    round();
    Worker.restart();
    ++Worker.AgentIncarnation;
  });
}

// Pattern: workers get out of reach until their leases have expired.
TEST(JobTrackerCrash, CountsNothingWhenLeasesExpire) {
  endWorkersUnderATask([this](CellWorker &Worker) {
    Tracker.expireLeases(NodeId(Worker.Node), Now);
    Worker.restart();
  });
}

// Pattern: one worker crashes again and again, whatever it runs.
TEST(JobTrackerCrash, CompletesJobsBesideAWorkerThatKeepsCrashing) {
  addWorkers(3);
  for (int J = 0; J < 20; ++J)
    addJob("good" + std::to_string(J), 2);
  for (int R = 0; R < 1000; ++R) {
    round();
    if (R % 12 == 0)
      Workers[0].restart();
  }
  for (int J = 0; J < 20; ++J)
    CHECK_TRUE(isCompleted("good" + std::to_string(J)));
}

// Pattern: the worker of a task that lasts crashes once, and all others stay
// full.
TEST(JobTrackerCrash, ReturnsToTheNodeOfACrashIfTheOthersStayFull) {
  addWorkers(2);
  Duration = 100000;
  addJob("full", 8).mutable_steps(0)->set_long_running(true);
  round();
  addJob("j").mutable_steps(0)->set_long_running(true);
  rounds(3);
  CHECK_TRUE(workerOf("j.0.0.0") != nullptr);
  workerOf("j.0.0.0")->restart();
  rounds(60);
  CHECK_TRUE(workerOf("j.0.0.0") != nullptr);
  LONGS_EQUAL(2, Starts["j.0.0.0"]);
}

// Pattern: the machines lose power now and then while a task that lasts runs
// alone on one of them. A task that has run for long crashes no worker.
TEST(JobTrackerCrash, NeverGivesUpATaskThatRunsForLongBetweenCrashes) {
  addWorkers(4);
  addJob("j").mutable_steps(0)->set_long_running(true);
  Duration = 100000;
  for (int Times = 0; Times < 8; ++Times) {
    rounds(150);
    for (CellWorker &Worker : Workers)
      Worker.restart();
  }
  rounds(5);
  LONGS_EQUAL(9, Starts["j.0.0.0"]);
  CHECK_FALSE(isFailed("j"));
}

// Pattern: a task under suspicion runs beside others whose worker it may crash.
TEST(JobTrackerCrash, PlacesNothingBesideASuspectUntilItHasRunForAWhile) {
  addWorkers(2);
  addJob("j");
  Duration = 1000;
  rounds(3);
  workerOf("j.0.0.0")->restart();
  rounds(8);
  CHECK_TRUE(workerOf("j.0.0.0") != nullptr);
  // All of these would fit on one worker; one of them does not fit any more.
  addJob("other", 9);
  rounds(2);
  LONGS_EQUAL(1, workerOf("j.0.0.0")->Running.size());
  LONGS_EQUAL(8, Starts.size() - 1);
  rounds(25);
  LONGS_EQUAL(9, Starts.size() - 1);
  LONGS_EQUAL(2, workerOf("j.0.0.0")->Running.size());
}

// Pattern: all machines lose power at once. Jobs waited for up to 10 s for
// workers of their own, while most of the cell was free.
TEST(JobTrackerCrash, RestartsEveryJobAtOnceAfterAPowerLoss) {
  addWorkers(11);
  Duration = 60;
  for (int J = 0; J < 63; ++J)
    addJob("j" + std::to_string(J));
  rounds(5);
  for (CellWorker &Worker : Workers)
    Worker.restart();
  addJob("new");
  rounds(RequeueRounds + 2);
  for (int J = 0; J < 63; ++J)
    LONGS_EQUAL(2, Starts["j" + std::to_string(J) + ".0.0.0"]);
  LONGS_EQUAL(1, Starts["new.0.0.0"]);
  rounds(100);
  for (int J = 0; J < 63; ++J)
    CHECK_TRUE(isCompleted("j" + std::to_string(J)));
}

// Pattern: a worker with many small runs crashes. Each of them got a worker of
// its own, and hardly any were left for other tasks.
TEST(JobTrackerCrash, LeavesMostWorkersToOthersAfterACrashUnderManyRuns) {
  addWorkers(11);
  Duration = 1000;
  addJob("small", 8);
  rounds(3);
  CellWorker *Crashed = workerOf("small.0.0.0");
  CHECK_TRUE(Crashed != nullptr);
  LONGS_EQUAL(8, Crashed->Running.size());
  Crashed->restart();
  rounds(RequeueRounds + 2);
  for (int T = 0; T < 8; ++T)
    LONGS_EQUAL(2, Starts["small.0.0." + std::to_string(T)]);
  // Urgent, so that no worker is held back from it.
  addJob("other", 88).set_priority(0);
  rounds(2);
  LONGS_EQUAL(8, std::count_if(Workers.begin(), Workers.end(),
                               [](const CellWorker &Worker) {
                                 const auto At = Worker.Running.begin();
                                 return At != Worker.Running.end() &&
                                        At->first.rfind("other.", 0) == 0;
                               }));
}

// Pattern: a deadly task starts among many others, which are as suspect as it
// is and share the few workers for isolated units with it.
TEST(JobTrackerCrash, GivesUpADeadlyTaskAmongManyOthers) {
  startADeadlyTaskAmongEight(11);
  rounds(300);
  checkGivenUp("unsafe", "unsafe.0.0.0");
  CHECK_TRUE(isCompleted("good"));
}

// Pattern: the same in a small cell, where so few units are isolated at a time
// that the deadly task may stay among the others for several starts.
TEST(JobTrackerCrash, GivesUpADeadlyTaskAmongManyOthersInASmallCell) {
  startADeadlyTaskAmongEight(4);
  rounds(300);
  checkGivenUp("unsafe", "unsafe.0.0.0");
  CHECK_TRUE(isCompleted("good"));
}

// Guards against a gang that counts as two crashes because the workers of two
// members crashed in one run and a takeover lies between the reports.
TEST(JobTrackerCrash, CountsOneRunOfAGangOnceAroundATakeover) {
  startAGangOnTwoWorkers();
  CellWorker &Second = *workerOf("gang.0.0.1");
  CellWorker &First = *workerOf("gang.0.0.0");
  First.restart();
  Tracker.applyReport(First.report(), Now);
  LONGS_EQUAL(1, job("gang").task(0).Crashes.crashes());
  Stored[JobId("gang")] = job("gang").progress();
  takeOver();
  Second.restart();
  applyReports();
  CHECK_TRUE(job("gang").task(1).Lost);
  LONGS_EQUAL(1, job("gang").task(0).Crashes.crashes());
}

// Faults that are open; see KNOWN-RED.txt.
TEST_GROUP_BASE(GangSuspicion, TEST_GROUP_CppUTestGroupJobTrackerCrash){};

// Guards against a gang that crashes a worker and gets no worker of its own in
// its next run, because another member of that run is still being stopped when
// the time of probation is over.
TEST(GangSuspicion, OutlivesTheOtherMembersOfTheRunWithTheCrash) {
  startAGangOnTwoWorkers();
  CellWorker &Crashed = *workerOf("gang.0.0.0");
  Crashed.restart();
  // The stop of the other member takes a while.
  for (int R = 0; R < 20; ++R) {
    applyReports();
    carryOut(Crashed, Tracker.ordersFor(Crashed.report()));
    Now.Boot += Milliseconds(RoundMs);
  }
  CHECK(wire::TASK_WAITING == job("gang").task(0).Phase);
  CHECK_TRUE(job("gang").task(1).Listed);
  CHECK_TRUE(job("gang").task(0).Crashes.isSuspect());
}

// Guards against the same because another member of that run ended failed.
TEST(GangSuspicion, OutlivesAFailedMemberOfTheRunWithTheCrash) {
  startAGangOnTwoWorkers();
  workerOf("gang.0.0.0")->restart();
  applyReports();
  workerOf("gang.0.0.1")->end("gang.0.0.1", wire::RUN_FAILED);
  applyReports();
  LONGS_EQUAL(1, job("gang").task(0).Failures.count());
  CHECK_TRUE(job("gang").task(0).Crashes.isSuspect());
}
