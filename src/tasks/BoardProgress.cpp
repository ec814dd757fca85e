/// \file
/// The part of the board that follows the progress of runs.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/TaskBoard.h"

namespace baobabcove {

namespace {

/// New checkpoints of running tasks are stored this often, so that work
/// outlives the loss of worker and coordinator together. Tasks take one every
/// 0.5 to 2 s on the users' sites.
constexpr Milliseconds CheckpointPeriod{1000};

/// A run whose progress does not change for this long stands still: reports
/// come twice a second, and the slowest tasks of the users' sites, on a slow
/// worker away from their data, gain a percent in that time.
constexpr Milliseconds StallPatience{1600};
/// A worker with runs that stand still gets no new task for this long.
constexpr Milliseconds StalledRest{2500};
/// Work of a run without checkpoints that is thrown away to move it; such
/// stalls last 4 to 7 s.
constexpr Milliseconds StallLoss{3000};

} // namespace

double TaskBoard::doneMs(const TaskJob &Job, std::size_t At) const {
  const auto Whole = Durations.expected(
      Job.spec().queue(), Milliseconds(Job.step(At).estimate_ms()));
  return double(Whole.count()) * double(Job.task(At).Percent) / 100;
}

void TaskBoard::moveStalled(const BoardTime &Now) {
  for (auto &[Id, Job] : Jobs) {
    if (Job.EndedMs)
      continue;
    for (std::size_t At = 0; At < Job.size(); ++At) {
      const TaskState &Task = Job.task(At);
      // Only what is listed anew all the while can be said to stand still.
      if (Task.Phase != wire::TASK_PLACED || !Task.Seen || Task.StopWanted ||
          Job.step(At).long_running() ||
          Now.Boot - Task.SeenAt > StallPatience ||
          Task.SeenAt - Task.PercentAt < StallPatience)
        continue;
      Suspicion.suspect(nodeOf(Task.Worker), Now.Boot, StalledRest);
      const bool Cheap = Job.step(At).checkpointing() ||
                         doneMs(Job, At) <= double(StallLoss.count());
      LOG4CPLUS_INFO(logOf("run"),
                     LogFields("run stands still")
                         .add("task", toText(Job.name(At)))
                         .add("run", Task.Run)
                         .add("worker", Task.Worker)
                         .add("percent", Task.Percent)
                         .add("outcome", Cheap ? "moved" : "left"));
      if (Cheap)
        stopMembers({&Job, At});
      else
        Job.task(At).PercentAt = Now.Boot;
    }
  }
}

void TaskBoard::keepCheckpoints(const BoardTime &Now) {
  if (Now.Boot - CheckpointsKeptAt < CheckpointPeriod)
    return;
  CheckpointsKeptAt = Now.Boot;
  Dirty.insert(Unkept.begin(), Unkept.end());
  Unkept.clear();
}

} // namespace baobabcove
