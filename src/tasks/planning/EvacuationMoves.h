/// \file
/// Which runs are moved out of evacuated data centres, and where to. Pure
/// decisions.

#ifndef BAOBABCOVE_TASKS_PLANNING_EVACUATIONMOVES_H
#define BAOBABCOVE_TASKS_PLANNING_EVACUATIONMOVES_H

#include "tasks/planning/TaskPlanner.h"

#include <cstddef>
#include <vector>

namespace baobabcove {

/// A unit whose runs are stopped so that they continue elsewhere.
struct PlannedMove {
  JobId Job;
  std::vector<std::size_t> Tasks;
  /// The workers for the tasks, in their order.
  std::vector<WorkerIncarnation> Targets;
};

/// Selects units of \p Candidates that fit on what \p Plan leaves free of
/// \p Input, in the order of their ranks, with at most \p Limit runs in total.
/// A gang of more runs is selected only on its own and only if \p Limit is the
/// full \p MaxMovesAtOnce. Preempts nothing.
std::vector<PlannedMove> planMoves(const PlanInput &Input, const TaskPlan &Plan,
                                   std::vector<PlanUnit> Candidates,
                                   std::size_t Limit);

/// Runs that are moved at a time: each loses the work since its checkpoint, and
/// the moves share the links with the checkpoints of other tasks.
constexpr std::size_t MaxMovesAtOnce = 4;

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_EVACUATIONMOVES_H
