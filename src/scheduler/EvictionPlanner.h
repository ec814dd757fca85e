#ifndef BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H
#define BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H

#include "scheduler/Job.h"

#include <functional>
#include <vector>

namespace baobabcove {

/// Cost of stopping a gang, in accelerator milliseconds; negative when the
/// gang must not be stopped.
using StopCost = std::function<double(const Job &)>;

/// Returns whether the pending gang may use a worker.
using WorkerFilter = std::function<bool(WorkerIndex)>;

/// Gangs to stop, and the placement that is possible afterwards.
struct EvictionPlan {
  std::vector<Job *> Victims;
  std::vector<Member> Members;
  double Cost = 0;
};

/// Chooses which gangs to stop so that another gang fits, at the lowest cost.
class EvictionPlanner {
public:
  using GangsByWorker = std::vector<std::vector<Job *>>;

  EvictionPlanner(const Cluster &Workers, const GangsByWorker &GangsOnWorker)
      : Workers(Workers), GangsOnWorker(GangsOnWorker) {}

  /// Adds victims to \p Plan, in order of cost, until \p Tasks tasks fit on the
  /// worker. Returns false when stopping every candidate is not enough.
  bool planForWorker(WorkerIndex Index, const Demand &Need, std::uint32_t Tasks,
                     const StopCost &Cost, EvictionPlan &Plan) const;

  /// Finds the cheapest plan that places the whole gang within its adjacency.
  /// Returns false when there is none.
  bool planForGang(const Demand &Need, const WorkerFilter &Allowed,
                   const StopCost &Cost, EvictionPlan &Plan) const;

private:
  bool planForGroup(const Group &InGroup, const Demand &Need,
                    const WorkerFilter &Allowed, const StopCost &Cost,
                    EvictionPlan &Plan) const;

  const Cluster &Workers;
  const GangsByWorker &GangsOnWorker;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H
