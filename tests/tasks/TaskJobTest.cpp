#include "tasks/TaskJob.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskJob) {
  std::shared_ptr<wire::TaskJobSpec> Spec =
      std::make_shared<wire::TaskJobSpec>();

  void setup() override {
    Spec->set_id("00000000000000aa");
    Spec->add_steps()->set_count(2);
    wire::StepSpec &Second = *Spec->add_steps();
    Second.set_count(3);
    Second.add_after(0);
  }

  /// Adds what a release before the field failed_runs stored for a task with a
  /// failed run.
  static wire::TaskRecord &addOldRecord(
      wire::TaskJobProgress & Stored, std::uint32_t Index,
      wire::TaskPhase Phase, std::uint64_t Run) {
    wire::TaskRecord &Record = *Stored.add_tasks();
    Record.set_step(1);
    Record.set_index(Index);
    Record.set_phase(Phase);
    Record.set_run(Run);
    if (Phase == wire::TASK_PLACED)
      Record.set_worker("n/w#1");
    return Record;
  }
};

TEST(TaskJob, ParsesTheNamesThatItFormats) {
  const TaskJob Job(Spec);
  for (std::size_t At = 0; At < Job.size(); ++At) {
    const auto Name = parseTaskName(toText(Job.name(At)));
    CHECK_TRUE(Name.has_value());
    LONGS_EQUAL(At, *Job.position(*Name));
  }
}

TEST(TaskJob, RejectsInvalidTaskNames) {
  for (const char *Text : {"", "a.b.c.d", "aa.0.0", "aa.0.0.0.0", "aa.0.0.-1",
                           "aa.0.0.99999999999999"})
    CHECK_FALSE(parseTaskName(Text).has_value());
  const TaskJob Job(Spec);
  CHECK_FALSE(Job.position({Job.id(), 0, 1, 3}).has_value());
  CHECK_FALSE(Job.position({Job.id(), 0, 2, 0}).has_value());
  CHECK_FALSE(Job.position({Job.id(), 1, 0, 0}).has_value());
}

TEST(TaskJob, HoldsAStepBackUntilEarlierOnesAreDone) {
  TaskJob Job(Spec);
  CHECK_TRUE(StepProgress(Job).isReady(0, 0, 0));
  CHECK_FALSE(StepProgress(Job).isReady(0, 1, 0));
  Job.task(0).Phase = wire::TASK_DONE;
  CHECK_FALSE(StepProgress(Job).isReady(0, 1, 0));
  Job.task(1).Phase = wire::TASK_DONE;
  CHECK_TRUE(StepProgress(Job).isReady(0, 1, 0));
}

TEST(TaskJob, HoldsAnOccurrenceBackUntilItIsDue) {
  Spec->set_repeat_count(2);
  Spec->set_first_due_ms(1000);
  Spec->set_interval_ms(500);
  const TaskJob Job(Spec);
  const StepProgress Progress(Job);
  LONGS_EQUAL(10, Job.size());
  CHECK_FALSE(Progress.isReady(0, 0, 999));
  CHECK_TRUE(Progress.isReady(0, 0, 1000));
  CHECK_FALSE(Progress.isReady(1, 0, 1499));
  CHECK_TRUE(Progress.isReady(1, 0, 1500));
}

TEST(TaskJob, SkipsStepsWithoutTasks) {
  Spec->clear_steps();
  Spec->add_steps();
  Spec->add_steps()->set_count(2);
  Spec->add_steps()->add_after(1);
  wire::StepSpec &Last = *Spec->add_steps();
  Last.set_count(1);
  Last.add_after(0);
  Last.add_after(2);
  Spec->set_repeat_count(3);
  const TaskJob Job(Spec);
  LONGS_EQUAL(9, Job.size());
  CHECK_TRUE(std::vector<std::uint32_t>({1, 3}) == Job.populatedSteps());
  CHECK_FALSE(Job.populatedIndex(2).has_value());
  const StepProgress Progress(Job);
  CHECK_TRUE(Progress.isDone(2, 0));
  CHECK_FALSE(Progress.isDone(2, 1));
  // Nothing of the steps that it follows has to be done.
  CHECK_TRUE(Progress.isReady(2, 3, 0));
}

// Guards against rounds that walk through all occurrences of a job without
// tasks, of which there may be billions.
TEST(TaskJob, HasNoOccurrencesWithoutTasks) {
  Spec->clear_steps();
  Spec->add_steps();
  Spec->set_repeat_count(4000000000);
  const TaskJob Job(Spec);
  LONGS_EQUAL(0, Job.occurrences());
  LONGS_EQUAL(0, Job.size());
  CHECK_TRUE(Job.areAllDone());
}

TEST(TaskJob, CountsStepsWithoutTasksTowardsTheLimits) {
  Spec->add_steps();
  Spec->add_steps();
  Spec->set_repeat_count(10);
  LONGS_EQUAL(50, taskCount(*Spec));
  LONGS_EQUAL(52, unfinishedSize(*Spec));
}

TEST(TaskJob, RemovesRepeatedDependencies) {
  wire::StepSpec Step;
  for (const std::uint32_t Earlier : {2U, 0U, 2U, 1U, 0U})
    Step.add_after(Earlier);
  removeRepeatedDependencies(Step);
  LONGS_EQUAL(3, Step.after_size());
  LONGS_EQUAL(2, Step.after(0));
  LONGS_EQUAL(0, Step.after(1));
  LONGS_EQUAL(1, Step.after(2));
}

TEST(TaskJob, RestoresTheProgressThatItStored) {
  TaskJob Job(Spec);
  Job.task(0).Phase = wire::TASK_DONE;
  Job.task(0).Run = 2;
  Job.task(3).Phase = wire::TASK_PLACED;
  Job.task(3).Run = 4;
  Job.task(3).Worker = WorkerIncarnation("n/w#1");
  CHECK_TRUE(Job.task(3).Failures.record(2));
  Job.task(3).Checkpoint = "half";
  Job.Begun = true;
  TaskJob Restored(Spec);
  Restored.restore(Job.progress());
  CHECK_TRUE(Restored.Begun);
  CHECK_TRUE(Restored.task(3).HasBegun);
  CHECK_FALSE(Restored.task(1).HasBegun);
  LONGS_EQUAL(wire::TASK_DONE, Restored.task(0).Phase);
  LONGS_EQUAL(4, Restored.task(3).Run);
  LONGS_EQUAL(1, Restored.task(3).Failures.count());
  CHECK_FALSE(Restored.task(3).Failures.record(2));
  STRCMP_EQUAL("half", Restored.task(3).Checkpoint.c_str());
  STRCMP_EQUAL("n/w#1", Restored.task(3).Worker.str().c_str());
  LONGS_EQUAL(2, Job.progress().tasks_size());
}

TEST(TaskJob, RestoresTheCrashesThatItStored) {
  TaskJob Job(Spec);
  Job.task(3).Phase = wire::TASK_PLACED;
  Job.task(3).Run = 4;
  Job.task(3).Worker = WorkerIncarnation("n/w#2");
  Job.task(3).Lost = true;
  Job.task(3).Crashes.record(Blame::Certain, NodeId("n"), 4);
  TaskJob Restored(Spec);
  Restored.restore(Job.progress());
  CHECK_TRUE(Restored.task(3).Crashes.isSuspect());
  LONGS_EQUAL(1, Restored.task(3).Crashes.crashes());
  CHECK_TRUE(Restored.task(3).Lost);
  CHECK_TRUE(Restored.task(3).StopRequested);
}

TEST(TaskJob, RestoresRecordsThatPrecedeTheCountingOfCrashes) {
  wire::TaskJobProgress Stored;
  wire::TaskRecord &Record = *Stored.add_tasks();
  Record.set_phase(wire::TASK_PLACED);
  Record.set_run(1);
  Record.set_worker("n/w#1");
  TaskJob Restored(Spec);
  Restored.restore(Stored);
  CHECK_TRUE(Restored.task(0).Crashes.empty());
  CHECK_FALSE(Restored.task(0).StopRequested);
}

// Guards against a failed run that counts again because the process that stored
// it knew no numbers of runs and its end is listed again.
TEST(TaskJob, CountsTheFailedRunOfAWaitingTaskOnceInARecordWithoutNumbers) {
  wire::TaskJobProgress Stored;
  addOldRecord(Stored, 0, wire::TASK_WAITING, 3).set_failures(1);
  TaskJob Restored(Spec);
  Restored.restore(Stored);
  FailedRuns &Failures = Restored.task(2).Failures;
  LONGS_EQUAL(1, Failures.count());
  CHECK_FALSE(Failures.record(3));
  CHECK_TRUE(Failures.record(4));
}

// Guards against a current run that does not count if it fails.
TEST(TaskJob, CountsTheRunOfAPlacedTaskInARecordWithoutNumbers) {
  wire::TaskJobProgress Stored;
  addOldRecord(Stored, 0, wire::TASK_PLACED, 3).set_failures(1);
  TaskJob Restored(Spec);
  Restored.restore(Stored);
  FailedRuns &Failures = Restored.task(2).Failures;
  CHECK_FALSE(Failures.record(2));
  CHECK_TRUE(Failures.record(3));
  LONGS_EQUAL(2, Failures.count());
}

// Guards against a run of a gang that counts once more because one member's end
// was stored without its number and another's is heard after the takeover.
TEST(TaskJob, CountsTheRunOfABrokenGangOnceInARecordWithoutNumbers) {
  for (const std::uint32_t Ended : {0U, 1U, 2U}) {
    Spec->mutable_steps(1)->set_gang(true);
    wire::TaskJobProgress Stored;
    for (std::uint32_t Index = 0; Index < 3; ++Index) {
      wire::TaskRecord &Record = addOldRecord(
          Stored, Index,
          Index == Ended ? wire::TASK_WAITING : wire::TASK_PLACED, 3);
      // A gang's failures are counted at its first member.
      Record.set_failures(Index == 0 ? 1 : 0);
    }
    TaskJob Restored(Spec);
    Restored.restore(Stored);
    for (std::uint32_t Index = 0; Index < 3; ++Index)
      CHECK_EQUAL(Index != Ended, Restored.task(2 + Index).StopRequested);
    FailedRuns &Failures = Restored.task(2).Failures;
    CHECK_FALSE(Failures.record(3));
    CHECK_TRUE(Failures.record(4));
  }
}

// Guards against a run of a gang that does not count if it fails although all
// its members were placed when the record was written.
TEST(TaskJob, CountsTheRunOfAPlacedGangInARecordWithoutNumbers) {
  Spec->mutable_steps(1)->set_gang(true);
  wire::TaskJobProgress Stored;
  for (std::uint32_t Index = 0; Index < 3; ++Index)
    addOldRecord(Stored, Index, wire::TASK_PLACED, 3)
        .set_failures(Index == 0 ? 2 : 0);
  TaskJob Restored(Spec);
  Restored.restore(Stored);
  FailedRuns &Failures = Restored.task(2).Failures;
  CHECK_FALSE(Failures.record(2));
  CHECK_TRUE(Failures.record(3));
  CHECK_FALSE(Failures.record(3));
  LONGS_EQUAL(3, Failures.count());
}

TEST(TaskJob, ReportsAJobCompletedBeforeItsCancellationAsCompleted) {
  TaskJob Job(Spec);
  Job.Cancelled = true;
  CHECK(JobStatus::Cancelled == Job.status());
  Job.Completed = true;
  CHECK(JobStatus::Completed == Job.status());
}
