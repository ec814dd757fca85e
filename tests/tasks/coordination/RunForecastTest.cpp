#include "tasks/coordination/TaskRunTimes.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace baobabcove;

TEST_GROUP(RunForecast) {
  std::shared_ptr<wire::TaskJobSpec> Spec =
      std::make_shared<wire::TaskJobSpec>();
  std::unique_ptr<TaskJob> Job;
  /// Percents are whole numbers: after 25 of them, 75 at the same pace of 0.2 s
  /// are known to three.
  static constexpr double Rounding = 600;

  /// Returns a job with a step of \p Tasks tasks with an estimate of 4 s.
  TaskJob &makeJob(std::uint32_t Tasks, bool Gang = false) {
    Spec->set_id("j");
    Spec->set_queue("q");
    wire::StepSpec &Step = *Spec->add_steps();
    Step.set_count(Tasks);
    Step.set_gang(Gang);
    Step.set_estimate_ms(4000);
    Job = std::make_unique<TaskJob>(Spec);
    return *Job;
  }

  static BootInstant at(int Ms) {
    return BootInstant(Milliseconds(50000 + Ms));
  }

  /// Lets a task run until \p EndMs with one percent in \p MsPerPercent.
  void runTask(std::size_t At, int MsPerPercent, int EndMs) {
    TaskState &Task = Job->task(At);
    Task.Phase = wire::TASK_PLACED;
    Task.Worker = WorkerIncarnation("n" + std::to_string(At) + "/w#1");
    Task.PlacedAt = Task.FirstListedAt = at(0);
    Task.Listed = true;
    for (int Ms = 0; Ms <= EndMs; Ms += 500) {
      Task.Percent = static_cast<std::uint32_t>(Ms / MsPerPercent);
      Task.Pace.note(Task.Percent, at(Ms));
    }
  }

  std::int64_t remaining(const TaskRunTimes &Times, int NowMs) {
    return Times
        .remainingOfStep(*Job, 0, Times.timesOf(*Spec, Spec->steps(0)),
                         at(NowMs))
        .count();
  }

  static TaskRunTimes make(bool Learns) {
    RunTimeSettings Settings;
    Settings.Learns = Learns;
    return TaskRunTimes(Settings);
  }
};

// Guards against a forecast that keeps to an estimate of 4 s although the run
// needs 20 s at its pace.
TEST(RunForecast, TakesTheTimeLeftFromThePaceOfARun) {
  makeJob(1);
  runTask(0, 200, 5000);
  DOUBLES_EQUAL(15000, double(remaining(make(true), 5000)), Rounding);
  LONGS_EQUAL(4000, remaining(make(false), 5000));
}

// Guards against a step that seems to end with its first task.
TEST(RunForecast, TakesTheLongestTaskOfAStep) {
  makeJob(3);
  runTask(0, 100, 5000);
  runTask(1, 500, 5000);
  Job->task(2).Phase = wire::TASK_DONE;
  DOUBLES_EQUAL(45000, double(remaining(make(true), 5000)), Rounding);
}

// Guards against a wide step being expected to take as long as one task.
TEST(RunForecast, ExpectsAWideStepToTakeLonger) {
  makeJob(40);
  const StepTimes Times = make(true).timesOf(*Spec, Spec->steps(0));
  CHECK(Times.Longest > Times.Task);
  CHECK(Times.Longest < 2 * Times.Task);
  const StepTimes Off = make(false).timesOf(*Spec, Spec->steps(0));
  LONGS_EQUAL(4000, Off.Longest.count());
}

// Guards against waiting for a gang of which only the fast members are near
// their end.
TEST(RunForecast, EndsAGangWithItsSlowestMember) {
  makeJob(2, true);
  runTask(0, 50, 5000);
  runTask(1, 200, 5000);
  const auto End = make(true).timeToEnd(*Job, 0, at(5000));
  DOUBLES_EQUAL(15000, double(End->count()), Rounding);
}

// Guards against waiting for a run whose pace is not known.
TEST(RunForecast, ExpectsNoEndWithoutAPace) {
  makeJob(1);
  runTask(0, 200, 500);
  CHECK_FALSE(make(true).timeToEnd(*Job, 0, at(500)).has_value());
}

// Guards against taking the loss of one member for that of a gang, and against
// a checkpoint that makes a stop free.
TEST(RunForecast, CountsTheLossOfAWholeGang) {
  makeJob(2, true);
  runTask(0, 200, 5000);
  runTask(1, 200, 5000);
  DOUBLES_EQUAL(10.2, make(true).secondsLostByStop(*Job, 0, at(5000)), 0.01);
  Spec->mutable_steps(0)->set_checkpointing(true);
  Job->task(0).CheckpointAt = at(4000);
  DOUBLES_EQUAL(3.0, make(true).secondsLostByStop(*Job, 0, at(5000)), 0.01);
}

// Guards against a run that seems to have much work to lose because its worker
// began it long after it was placed.
TEST(RunForecast, CountsNoWorkBeforeARunHasBegun) {
  makeJob(1);
  TaskState &Task = Job->task(0);
  Task.Phase = wire::TASK_PLACED;
  Task.PlacedAt = at(0);
  DOUBLES_EQUAL(0.1, make(true).secondsLostByStop(*Job, 0, at(5000)), 0.01);
  Task.Listed = true;
  Task.FirstListedAt = at(5000);
  for (const bool Learns : {true, false})
    DOUBLES_EQUAL(1.1, make(Learns).secondsLostByStop(*Job, 0, at(6000)), 0.01);
}

// Guards against a duration that is learned from the time of the placement: an
// end whose run was never listed does not tell how long it took.
TEST(RunForecast, LearnsNothingFromARunThatWasNeverListed) {
  makeJob(1);
  TaskState &Task = Job->task(0);
  Task.Worker = WorkerIncarnation("n0/w#1");
  Task.PlacedAt = at(0);
  TaskRunTimes Learning = make(true);
  Learning.noteDone(*Job, 0, at(9000));
  LONGS_EQUAL(0, Learning.model().samples());
  TaskRunTimes Means = make(false);
  Means.noteDone(*Job, 0, at(9000));
  LONGS_EQUAL(4000, Means.expected(*Spec, Spec->steps(0)).count());
  Task.Listed = true;
  Task.FirstListedAt = at(8000);
  Means.noteDone(*Job, 0, at(9000));
  CHECK(Means.expected(*Spec, Spec->steps(0)) < Milliseconds(4000));
}

// Guards against a run that looks new after a takeover, although its percent
// tells what it has done.
TEST(RunForecast, CountsWorkFromBeforeATakeover) {
  makeJob(1);
  TaskState &Task = Job->task(0);
  Task.PlacedAt = Task.FirstListedAt = at(0);
  Task.Listed = true;
  for (int Ms = 0; Ms <= 2000; Ms += 500) {
    Task.Percent = static_cast<std::uint32_t>(80 + Ms / 500);
    Task.Pace.note(Task.Percent, at(Ms));
  }
  DOUBLES_EQUAL(42.1, make(true).secondsLostByStop(*Job, 0, at(2000)), 0.2);
}
