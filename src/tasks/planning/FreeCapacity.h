/// \file
/// How much of the workers' capacity is free.

#ifndef BAOBABCOVE_TASKS_PLANNING_FREECAPACITY_H
#define BAOBABCOVE_TASKS_PLANNING_FREECAPACITY_H

#include "tasks/planning/TaskPlanner.h"

#include <vector>

namespace baobabcove {

/// Resources by the index of the worker.
using ResourceList = std::vector<Resources>;

/// Returns the resources left after \p Need is taken of \p Available, relative
/// to the capacity of \p Worker. Best fit: a low score fills the fullest worker
/// and keeps the others fully free.
double leftoverScore(const PlanWorker &Worker, const Resources &Available,
                     const Resources &Need);

/// Whether all accelerators of \p Worker are available.
bool isFullyFree(const PlanWorker &Worker, const Resources &Available);

/// Returns the share of all accelerators that is not available.
double usedShare(const std::vector<PlanWorker> &Workers,
                 const ResourceList &Available);

/// Returns the number of fully free workers that may run tasks of \p Unit.
std::size_t countFullyFree(const std::vector<PlanWorker> &Workers,
                           const ResourceList &Available, const PlanUnit &Unit);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_FREECAPACITY_H
