/// \file
/// Which workers a unit may be placed on, apart from their resources.

#ifndef BAOBABCOVE_TASKS_PLANNING_PLACEMENTRULES_H
#define BAOBABCOVE_TASKS_PLANNING_PLACEMENTRULES_H

#include "tasks/planning/TaskPlanner.h"

#include <vector>

namespace baobabcove {

/// Whether \p Worker accepts tasks of the service of \p Unit and has the label
/// that it requires.
bool isEligible(const PlanWorker &Worker, const PlanUnit &Unit);

/// Whether any worker has the service and label that \p Unit requires, and the
/// capacity for one of its tasks.
bool hasWorkerFor(const std::vector<PlanWorker> &Workers, const PlanUnit &Unit);

/// Whether \p Unit takes longer away from its data or on several racks.
bool hasLocality(const PlanUnit &Unit);

/// Whether all tasks of \p Unit fit on the workers of its rack, or of any rack
/// if it may choose, once these run nothing else. Workers in quarantine count.
bool canAnyRackHold(const std::vector<PlanWorker> &Workers,
                    const PlanUnit &Unit);

/// Whether a worker in quarantine may hold tasks of \p Unit near its data.
bool waitsForQuarantine(const std::vector<PlanWorker> &Workers,
                        const PlanUnit &Unit);

/// Whether \p Unit may start beside the runs on \p Worker.
bool mayJoin(const PlanWorker &Worker, const PlanUnit &Unit);

/// Whether \p Worker is on a node that \p Unit avoids.
bool avoidsNodeOf(const PlanUnit &Unit, const PlanWorker &Worker);

/// Whether \p Unit fits on workers that it need not avoid, if they run nothing
/// else.
bool canAvoidNodes(const std::vector<PlanWorker> &Workers,
                   const PlanUnit &Unit);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_PLACEMENTRULES_H
