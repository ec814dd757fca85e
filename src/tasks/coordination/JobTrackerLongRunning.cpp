/// \file
/// The part of JobTracker that concerns long-running tasks, which run until
/// their job is cancelled: how many of a step may be stopped, and how those
/// that are down come back.

#include "tasks/coordination/JobTracker.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// The worker reports this when a long-running task is at work.
constexpr std::uint32_t AtWorkPercent = 100;
/// Rank of a long-running task that was down: after all guaranteed units,
/// before all others.
constexpr double RestartRank = -1e14;

} // namespace

void JobTracker::noteAtWork(TaskRef At) {
  TaskState &Task = At.Job->task(At.Task);
  if (!Task.Preempted || Task.StopRequested || Task.Percent < AtWorkPercent)
    return;
  Task.Preempted = false;
  Dirty.insert(At.Job->id());
}

void JobTracker::notePreempted(TaskRef At) {
  if (!At.Job->step(At.Task).long_running())
    return;
  for (std::size_t Member : gangMembers(At))
    At.Job->task(Member).Preempted = true;
  Dirty.insert(At.Job->id());
}

void JobTracker::addMayMiss(const TaskJob &Job, PlanInput &Input) {
  for (const std::uint32_t Number : Job.populatedSteps()) {
    const wire::StepSpec &Step = Job.spec().steps(static_cast<int>(Number));
    if (!Step.long_running())
      continue;
    for (std::uint32_t Occurrence = 0; Occurrence < Job.occurrences();
         ++Occurrence) {
      const std::size_t First = Job.first(Occurrence, Number);
      std::int64_t Left = Step.may_miss();
      for (std::size_t At = First; At < First + Step.count(); ++At)
        Left -= Job.task(At).Preempted ? 1 : 0;
      Input.MayMiss[stepKey({Job.id(), Occurrence, Number, 0})] = Left;
    }
  }
}

void JobTracker::preferRestart(PlanUnit &Unit, const TaskJob &Job) {
  const bool WasDown =
      std::any_of(Unit.Tasks.begin(), Unit.Tasks.end(),
                  [&](std::size_t At) { return Job.task(At).HasBegun; });
  if (!WasDown || !Unit.Step->long_running())
    return;
  Unit.KeepFullyFree = 0;
  Unit.Rank = std::min(Unit.Rank, RestartRank);
}

} // namespace baobabcove
