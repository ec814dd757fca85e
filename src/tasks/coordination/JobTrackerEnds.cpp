/// \file
/// The part of JobTracker that applies ends of runs and refused starts.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Delay before a refused task is placed again; by then the listing of the
/// worker is up to date.
constexpr Milliseconds RefusalRetryDelay{300};
/// A worker that reports itself unhealthy gets no new task for this long.
constexpr Milliseconds UnhealthyQuarantine{1500};

log4cplus::Logger runLog() { return logOf("run"); }

} // namespace

void JobTracker::applyEnds(const wire::TaskReport &Report,
                           const WorkerIncarnation &Incarnation,
                           const ClockReading &Now) {
  std::uint64_t &Through = AcknowledgedEnds[Incarnation];
  bool IsHeld = false;
  for (const wire::RunEnd &End : Report.ends()) {
    if (End.number() <= Through)
      continue;
    TaskRef At{};
    if (findRun(End.task(), End.run(), Incarnation, At))
      applyEnd(End, At, Now);
    else
      IsHeld = !applyStaleEnd(End, Incarnation, Now) || IsHeld;
    // An end that may not be acknowledged yet can wait for one that follows it.
    // Ends that are applied again concern runs that are not placed any more.
    if (!IsHeld)
      Through = End.number();
  }
}

bool JobTracker::applyStaleEnd(const wire::RunEnd &End,
                               const WorkerIncarnation &Incarnation,
                               const ClockReading &Now) {
  const auto At = findTask(End.task());
  if (!At)
    return true;
  noteBegun(*At, End.run(), "ended", Now);
  if (End.ending() == wire::RUN_DONE)
    return applyStaleDone(End, *At, Incarnation);
  if (End.ending() == wire::RUN_FAILED)
    applyStaleFailure(End, *At, Incarnation);
  return true;
}

bool JobTracker::applyStaleDone(const wire::RunEnd &End, TaskRef At,
                                const WorkerIncarnation &Incarnation) {
  if (At.Job->task(At.Task).Phase == wire::TASK_DONE ||
      At.Job->step(At.Task).long_running())
    return true;
  if (!At.Job->task(At.Task).DoneByEarlierRun)
    LOG4CPLUS_WARN(runLog(), LogFields("task completed by an earlier run")
                                 .add("task", End.task())
                                 .add("run", End.run())
                                 .add("expected", At.Job->task(At.Task).Run)
                                 .add("worker", Incarnation));
  if (!isUnitPlaced(At)) {
    completeTasks(At);
    return true;
  }
  for (std::size_t Member : gangMembers(At))
    At.Job->task(Member).DoneByEarlierRun = true;
  stopMembers(At);
  return false;
}

void JobTracker::applyStaleFailure(const wire::RunEnd &End, TaskRef At,
                                   const WorkerIncarnation &Incarnation) {
  if (At.Job->isOver() || At.Job->step(At.Task).long_running() ||
      At.Job->task(At.Task).Phase == wire::TASK_DONE)
    return;
  recordFailure(At, End.run(), Incarnation);
  // A later run that has begun may still complete the unit.
  if (!isUnitAtWork(At))
    failIfExhausted(At);
}

void JobTracker::applyEnd(const wire::RunEnd &End, TaskRef At,
                          const ClockReading &Now) {
  TaskState &Task = At.Job->task(At.Task);
  const NodeId Node = nodeOf(Task.Worker);
  if (!Task.Listed)
    noteCurrentRunBegun(At, "ended", Now);
  LOG4CPLUS_INFO(runLog(), LogFields("run ended")
                               .add("task", End.task())
                               .add("run", End.run())
                               .add("how", wire::RunEnding_Name(End.ending()))
                               .add("worker", Task.Worker)
                               .add("checkpoint", End.checkpoint()));
  if (!End.checkpoint().empty())
    updateCheckpoint(At, End.checkpoint(), Now);
  const wire::StepSpec &Step = At.Job->step(At.Task);
  if (End.ending() == wire::RUN_DONE || End.ending() == wire::RUN_FAILED)
    crashesOf(At).clearSuspicion();
  switch (End.ending()) {
  case wire::RUN_DONE:
    // The end of one member of a gang represents all. A member that is placed
    // has not ended in another way.
    for (std::size_t Member : gangMembers(At))
      if (const TaskState &Other = At.Job->task(Member);
          Other.Phase == wire::TASK_PLACED && !Other.Lost)
        Quarantine.noteSuccess(nodeOf(Other.Worker));
    RunTimes.noteDone(*At.Job, At.Task, Now.Boot);
    if (Step.long_running())
      requeue(At, Now, Milliseconds(0));
    else
      completeTasks(At);
    break;
  case wire::RUN_FAILED:
    Quarantine.noteFailure(
        Node, {At.Job->id(), At.Job->firstOfUnit(At.Task), End.run()},
        Now.Boot);
    recordFailure(At, End.run(), Task.Worker);
    requeue(At, Now, Milliseconds(0));
    failIfExhausted(At);
    break;
  default:
    requeue(At, Now, Milliseconds(0));
    break;
  }
}

void JobTracker::applyRefusals(const wire::TaskReport &Report,
                               const WorkerIncarnation &Incarnation,
                               const ClockReading &Now) {
  for (const wire::RunRefusal &Refusal : Report.refusals()) {
    TaskRef At{};
    if (!findRun(Refusal.task(), Refusal.run(), Incarnation, At))
      continue;
    LOG4CPLUS_INFO(runLog(),
                   LogFields("run did not start")
                       .add("task", Refusal.task())
                       .add("run", Refusal.run())
                       .add("why", wire::RefusalReason_Name(Refusal.reason()))
                       .add("worker", Incarnation));
    if (Refusal.reason() == wire::REFUSED_UNHEALTHY)
      Quarantine.quarantine(NodeId(Report.node()), Now.Boot,
                            UnhealthyQuarantine);
    requeue(At, Now, RefusalRetryDelay);
  }
}

bool JobTracker::isUnitAtWork(TaskRef At) const {
  const std::vector<std::size_t> Members = gangMembers(At);
  return std::all_of(Members.begin(), Members.end(), [&](std::size_t Member) {
    const TaskState &Task = At.Job->task(Member);
    return Task.Phase == wire::TASK_PLACED && Task.Listed &&
           !Task.StopRequested;
  });
}

void JobTracker::completeTasks(TaskRef At) {
  // The end of one member of a gang applies to all members.
  for (std::size_t Member : gangMembers(At)) {
    TaskState &Task = At.Job->task(Member);
    Task.Phase = wire::TASK_DONE;
    Task.DoneByEarlierRun = false;
    Task.StopRequested = false;
    Task.Lost = false;
  }
  Dirty.insert(At.Job->id());
}

void JobTracker::recordFailure(TaskRef At, std::uint64_t Run,
                               const WorkerIncarnation &Worker) {
  TaskJob &Job = *At.Job;
  FailedRuns &Failures = Job.task(Job.firstOfUnit(At.Task)).Failures;
  const bool IsNew = Failures.record(Run);
  if (IsNew)
    Dirty.insert(Job.id());
  LOG4CPLUS_INFO(runLog(), LogFields("attempt failed")
                               .add("task", toText(Job.name(At.Task)))
                               .add("run", Run)
                               .add("worker", Worker)
                               .add("failures", Failures.count())
                               .add("max_attempts", Job.spec().max_attempts())
                               .add("outcome", IsNew ? "counted" : "known"));
}

void JobTracker::failIfExhausted(TaskRef At) {
  TaskJob &Job = *At.Job;
  const FailedRuns &Failures = Job.task(Job.firstOfUnit(At.Task)).Failures;
  const TaskState &Task = Job.task(At.Task);
  if (Job.step(At.Task).long_running() || Job.isOver() ||
      Task.Phase == wire::TASK_DONE || Task.DoneByEarlierRun ||
      Failures.count() == 0 || Failures.count() < Job.spec().max_attempts())
    return;
  fail(Job);
  Dirty.insert(Job.id());
  LOG4CPLUS_INFO(logOf("jobs"), LogFields("job failed")
                                    .add("job", Job.id())
                                    .add("task", toText(Job.name(At.Task)))
                                    .add("failures", Failures.count()));
}

} // namespace baobabcove
