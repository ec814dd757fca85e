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
  CHECK_TRUE(Job.isStepReady(0, 0, 0));
  CHECK_FALSE(Job.isStepReady(0, 1, 0));
  Job.task(0).Phase = wire::TASK_DONE;
  CHECK_FALSE(Job.isStepReady(0, 1, 0));
  Job.task(1).Phase = wire::TASK_DONE;
  CHECK_TRUE(Job.isStepReady(0, 1, 0));
}

TEST(TaskJob, HoldsAnOccurrenceBackUntilItIsDue) {
  Spec->set_repeat_count(2);
  Spec->set_first_due_ms(1000);
  Spec->set_interval_ms(500);
  const TaskJob Job(Spec);
  LONGS_EQUAL(10, Job.size());
  CHECK_FALSE(Job.isStepReady(0, 0, 999));
  CHECK_TRUE(Job.isStepReady(0, 0, 1000));
  CHECK_FALSE(Job.isStepReady(1, 0, 1499));
  CHECK_TRUE(Job.isStepReady(1, 0, 1500));
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

TEST(TaskJob, ReportsAJobCompletedBeforeItsCancellationAsCompleted) {
  TaskJob Job(Spec);
  Job.Cancelled = true;
  CHECK(JobStatus::Cancelled == Job.status());
  Job.Completed = true;
  CHECK(JobStatus::Completed == Job.status());
}
