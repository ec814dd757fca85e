/// \file
/// The part of JobTracker that monitors the progress of runs.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

namespace baobabcove {

namespace {

/// New checkpoints of running tasks are stored this often, so that work
/// survives the simultaneous loss of worker and coordinator. Tasks on the
/// production sites take a checkpoint every 0.5 to 2 s.
constexpr Milliseconds CheckpointPeriod{1000};

/// Clients may see that a job has begun 2 s after its worker began it. The
/// other part of that time is for the report, the round and the entries' copy.
constexpr Milliseconds MaxBegunJobDelay{500};

/// No run is stalled before it has made no progress for this long. Reports
/// arrive twice a second. Tasks of more than 160 s need longer for one percent;
/// their limit follows from their pace and expected duration.
constexpr Milliseconds StallTimeout{1600};
/// A worker with stalled runs gets no new task for this long.
constexpr Milliseconds StallQuarantine{2500};
/// A stalled run without checkpoints is moved if at most this much work is
/// lost. Stalls last 4 to 7 s.
constexpr Milliseconds MaxStallLoss{3000};
constexpr std::uint32_t AllWorkDone = 100;

} // namespace

void JobTracker::noteBegun(TaskRef At, std::uint64_t Run,
                           const std::string &Evidence,
                           const ClockReading &Now) {
  TaskJob &Job = *At.Job;
  Job.task(At.Task).HasBegun = true;
  if (Job.Begun)
    return;
  Job.Begun = true;
  if (UnstoredBegun.empty())
    UnstoredBegunSince = Now.Boot;
  UnstoredBegun.insert(Job.id());
  LOG4CPLUS_INFO(logOf("jobs"),
                 LogFields("job begun")
                     .add("job", Job.id())
                     .add("task", toText(Job.name(At.Task)))
                     .add("run", Run)
                     .add("evidence", Evidence)
                     .add("after_ms", Now.UnixMs - Job.spec().accepted_ms()));
}

void JobTracker::noteCurrentRunBegun(TaskRef At, const std::string &Evidence,
                                     const ClockReading &Now) {
  noteBegun(At, At.Job->task(At.Task).Run, Evidence, Now);
  WaitingSteps.erase(stepKey(At.Job->name(At.Task)));
}

void JobTracker::noteLostRuns(const wire::TaskReport &Report,
                              const ClockReading &Now) {
  for (const wire::RunKey &Run : Report.lost_runs())
    if (const auto At = Run.begun() ? findTask(Run.task()) : std::nullopt)
      noteBegun(*At, Run.run(), "lost", Now);
}

void JobTracker::flushBegunJobs(const ClockReading &Now) {
  if (UnstoredBegun.empty() ||
      (Dirty.empty() && Now.Boot - UnstoredBegunSince < MaxBegunJobDelay))
    return;
  Dirty.insert(UnstoredBegun.begin(), UnstoredBegun.end());
  UnstoredBegun.clear();
}

void JobTracker::moveStalledRuns(const ClockReading &Now) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      // The members of a gang end together: on uneven workers the fast ones
      // wait at 100 percent for the slowest.
      if (Job.step(At).gang() && Task.Percent >= AllWorkDone)
        continue;
      // Only a run that was listed throughout the timeout can be stalled.
      if (Task.Phase != wire::TASK_PLACED || !Task.Listed ||
          Task.StopRequested || Job.step(At).long_running() ||
          Now.Boot - Task.LastListedAt > StallTimeout ||
          Task.LastListedAt - Task.PercentChangedAt < StallTimeout)
        continue;
      const Milliseconds Timeout = RunTimes.stallTimeout(Job, At, StallTimeout);
      if (Task.LastListedAt - Task.PercentChangedAt < Timeout)
        continue;
      Quarantine.quarantine(nodeOf(Task.Worker), Now.Boot, StallQuarantine);
      const bool IsCheap = Job.step(At).checkpointing() ||
                           RunTimes.workDone(Job, At) <= MaxStallLoss;
      LOG4CPLUS_INFO(logOf("run"),
                     LogFields("run stalled")
                         .add("task", toText(Job.name(At)))
                         .add("run", Task.Run)
                         .add("worker", Task.Worker)
                         .add("percent", Task.Percent)
                         .add("timeout_ms", Timeout.count())
                         .add("outcome", IsCheap ? "moved" : "left"));
      if (IsCheap) {
        ++Job.task(At).StallMoves;
        stopMembers({&Job, At});
      } else
        Job.task(At).PercentChangedAt = Now.Boot;
    }
  }
}

void JobTracker::flushCheckpoints(const ClockReading &Now) {
  if (Now.Boot - CheckpointsFlushedAt < CheckpointPeriod)
    return;
  CheckpointsFlushedAt = Now.Boot;
  Dirty.insert(UnflushedCheckpoints.begin(), UnflushedCheckpoints.end());
  UnflushedCheckpoints.clear();
}

} // namespace baobabcove
