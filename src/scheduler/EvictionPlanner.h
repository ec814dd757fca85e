/// \file
/// Chooses which gangs to stop so that another gang fits, cheapest loss first.

#ifndef BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H
#define BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H

#include "scheduler/Job.h"

#include <functional>
#include <vector>

namespace baobabcove {

/// Loss of stopping a gang, in accelerator milliseconds; negative when the
/// gang must not be stopped.
using StopCost = std::function<double(const Job &)>;

/// Whether a worker may be used for the gang that needs room.
using WorkerFilter = std::function<bool(WorkerIndex)>;

/// Gangs to stop and the members that then fit.
struct EvictionPlan {
  std::vector<Job *> Victims;
  std::vector<Member> Members;
  double Cost = 0;
};

/// Plans evictions over the gangs that run on each worker.
class EvictionPlanner {
public:
  using Residents = std::vector<std::vector<Job *>>;

  EvictionPlanner(const Cluster &Workers, const Residents &OnWorker)
      : Workers(Workers), OnWorker(OnWorker) {}

  /// The cheapest victims on one worker that make room for \p Tasks tasks.
  /// Returns false when even all of them would not.
  bool onWorker(WorkerIndex Index, const Demand &Need, std::uint32_t Tasks,
                const StopCost &Cost, EvictionPlan &Plan) const;

  /// The cheapest plan for the whole gang within its adjacency. Returns false
  /// when there is none.
  bool forGang(const Demand &Need, const WorkerFilter &Allowed,
               const StopCost &Cost, EvictionPlan &Plan) const;

private:
  bool inGroup(const Group &Together, const Demand &Need,
               const WorkerFilter &Allowed, const StopCost &Cost,
               EvictionPlan &Plan) const;

  const Cluster &Workers;
  const Residents &OnWorker;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_EVICTIONPLANNER_H
