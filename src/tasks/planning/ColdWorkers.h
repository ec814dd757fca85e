/// \file
/// How many runs a cold worker may get. A cold worker still loads what its
/// tasks need, and only a limited rate of starts is served at full speed.

#ifndef BAOBABCOVE_TASKS_PLANNING_COLDWORKERS_H
#define BAOBABCOVE_TASKS_PLANNING_COLDWORKERS_H

#include "baobabcove/Clock.h"
#include "tasks/QueueConfig.h"
#include "tasks/WorkerIncarnation.h"
#include "tasks/planning/TaskPlanner.h"

#include <cstdint>
#include <deque>
#include <map>

namespace baobabcove {

/// By how much the starts in one second may exceed the rate of a service: the
/// rate is multiplied by Overage, then Slack is added.
struct ColdLimits {
  double Overage = 1.5;
  double Slack = 5;
};

/// Counts the starts on cold workers. Not thread-safe.
class ColdWorkers {
public:
  explicit ColdWorkers(ColdLimits Limits = {}) : Limits(Limits) {}

  /// Sets whether the worker of \p Report is cold, and how many more runs it
  /// may get at \p Now.
  void describe(const wire::TaskReport &Report, const QueueConfig &Config,
                BootInstant Now, PlanWorker &Worker) const;

  /// Returns how many more runs the cold worker may get at \p Now. Stays at a
  /// part of the limit, so that orders that are delayed and then arrive
  /// together do not exceed it.
  std::uint32_t startsLeft(const WorkerIncarnation &Worker,
                           const ServiceRule &Service, BootInstant Now) const;
  /// Records that a run was placed on a cold worker.
  void noteStart(const WorkerIncarnation &Worker, BootInstant Now);

private:
  ColdLimits Limits;
  /// Times of the latest placements, by worker.
  std::map<WorkerIncarnation, std::deque<BootInstant>> Placed;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_COLDWORKERS_H
