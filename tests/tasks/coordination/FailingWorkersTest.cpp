// What the runs of gangs say about the workers of their members. A run counts
// once on each of its workers, however many members it has there.

#include "tasks/coordination/JobTracker.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(FailingWorkers) {
  JobTracker Tracker;
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  /// Reports of the workers, by node.
  std::map<std::string, wire::TaskReport> Workers;
  /// Number of the last end, by node.
  std::map<std::string, std::uint64_t> LastEnd;

  /// Adds workers whose label is the name of their node.
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
      Report.add_labels(Node);
      Report.set_complete(true);
      Report.set_agent_life(1);
    }
  }

  /// Adds a job with one attempt and one step, which is a copy of \p Step.
  void addJob(const std::string &Id, const wire::StepSpec &Step) {
    const auto Spec = std::make_shared<wire::TaskJobSpec>();
    Spec->set_id(Id);
    Spec->set_queue("q");
    Spec->set_service("planner");
    Spec->set_max_attempts(1);
    Spec->set_stretch(3);
    *Spec->add_steps() = Step;
    Tracker.addJob(Spec);
  }

  /// Adds a job with one task for the worker \p Node.
  void addTask(const std::string &Id, const std::string &Node) {
    wire::StepSpec Step;
    Step.set_count(1);
    Step.set_accelerators(8);
    Step.set_required_label(Node);
    addJob(Id, Step);
  }

  void addGang(const std::string &Id, std::uint32_t Tasks,
               std::int64_t Accelerators) {
    wire::StepSpec Step;
    Step.set_gang(true);
    Step.set_count(Tasks);
    Step.set_accelerators(Accelerators);
    addJob(Id, Step);
  }

  TaskJob &job(const std::string &Id) { return Tracker.jobs().at(JobId(Id)); }

  void plan(int AfterMs) {
    Now.Boot += Milliseconds(AfterMs);
    Now.UnixMs += AfterMs;
    std::vector<wire::TaskReport> Reports;
    for (const auto &[Node, Report] : Workers)
      Reports.push_back(Report);
    Tracker.plan(Reports, QueueConfig(), Now);
  }

  bool isPlaced(const std::string &Id) {
    return job(Id).task(0).Phase == wire::TASK_PLACED;
  }

  /// Reports that the current run of a task ended where it was placed.
  void endRun(const std::string &Id, std::size_t At, wire::RunEnding How) {
    CHECK(wire::TASK_PLACED == job(Id).task(At).Phase);
    const std::string Node = nodeOf(job(Id).task(At).Worker).str();
    wire::RunEnd &End = *Workers[Node].add_ends();
    End.set_number(++LastEnd[Node]);
    End.set_task(toText(job(Id).name(At)));
    End.set_run(job(Id).task(At).Run);
    End.set_ending(How);
    Tracker.applyReport(Workers[Node], Now);
  }

  /// Places a job with one task on \p Node and lets it fail there.
  void failTask(const std::string &Id, const std::string &Node) {
    addTask(Id, Node);
    plan(0);
    endRun(Id, 0, wire::RUN_FAILED);
  }
};

// Guards against a worker that gets no tasks for 10 instead of 2.5 s because
// all four members of one run of a gang failed on it.
TEST(FailingWorkers, RunOfAGangThatFailsOnOneWorkerQuarantinesItOnce) {
  addWorkers(1);
  failTask("first", "n0");
  addGang("gang", 4, 2);
  plan(0);
  for (std::size_t At = 0; At < 4; ++At)
    endRun("gang", At, wire::RUN_FAILED);
  addTask("next", "n0");
  plan(2400);
  CHECK_FALSE(isPlaced("next"));
  plan(100);
  CHECK_TRUE(isPlaced("next"));
}

// Guards against a worker that is taken for one on which two jobs failed in a
// row, because of the gang that ended done between them only another member's
// worker was heard.
TEST(FailingWorkers, DoneGangIsASuccessOnTheWorkersOfAllItsMembers) {
  addWorkers(2);
  failTask("first", "n1");
  addGang("gang", 2, 8);
  plan(0);
  for (std::size_t At = 0; At < 2; ++At)
    if (nodeOf(job("gang").task(At).Worker) == NodeId("n0"))
      endRun("gang", At, wire::RUN_DONE);
  CHECK(wire::TASK_DONE == job("gang").task(0).Phase);
  failTask("second", "n1");
  addTask("next", "n1");
  plan(0);
  CHECK_TRUE(isPlaced("next"));
}

// Guards against a worker that is taken for sound because the gang whose member
// failed there ended done on another worker.
TEST(FailingWorkers, DoneGangIsNoSuccessWhereAMemberFailed) {
  addWorkers(2);
  failTask("first", "n0");
  addGang("gang", 2, 8);
  plan(0);
  const std::size_t Failed =
      nodeOf(job("gang").task(0).Worker) == NodeId("n0") ? 0 : 1;
  endRun("gang", Failed, wire::RUN_FAILED);
  endRun("gang", 1 - Failed, wire::RUN_DONE);
  addTask("next", "n0");
  plan(0);
  CHECK_FALSE(isPlaced("next"));
}
