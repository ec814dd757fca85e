/// \file
/// What it costs to stop runs.

#ifndef BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H
#define BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H

#include "tasks/planning/TaskPlanner.h"

#include <optional>
#include <utility>
#include <vector>

namespace baobabcove {

/// Returns the cost by which runs are compared: the loss, far above any other
/// for a run whose task was preempted in its previous run.
double preemptionCost(const PreemptibleRun &Run);

/// Returns \p Run and the other members of its gang, which end with it.
std::vector<std::size_t> gangOf(const std::vector<PreemptibleRun> &Runs,
                                std::size_t Run);

/// Returns the cost of preempting runs on worker \p W until \p Need fits into
/// \p Available, and the first of these runs. Runs in \p Removed are gone.
std::pair<double, std::optional<std::size_t>>
costOfFitting(const std::vector<PreemptibleRun> &Runs, std::size_t W,
              Resources Available, const Resources &Need,
              const std::vector<bool> &Removed);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_PREEMPTIONCOST_H
