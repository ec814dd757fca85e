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
