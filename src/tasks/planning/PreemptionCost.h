/// \file
/// What it costs to stop runs.

#ifndef BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H
#define BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H

#include "tasks/planning/TaskPlanner.h"

#include <vector>

namespace baobabcove {

/// Returns the cost by which runs are compared: the loss, far above any other
/// for a run whose task was preempted in its previous run.
double preemptionCost(const PreemptibleRun &Run);

/// Returns \p Run and the other members of its gang, which end with it.
std::vector<std::size_t> gangOf(const std::vector<PreemptibleRun> &Runs,
                                std::size_t Run);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H
