#ifndef BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H
#define BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H

#include "scheduler/Cluster.h"

#include <functional>
#include <memory>

namespace baobabcove {

/// Returns how many tasks of the demand a worker can take now; zero for a
/// worker that must not be used.
using WorkerTaskSlots = std::function<std::uint32_t(WorkerIndex)>;

/// Strategy that chooses workers with free resources for a gang.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Fills \p Chosen with members for every task of \p Need, or returns false
  /// when the whole gang does not fit.
  virtual bool choose(const Cluster &Workers, const Demand &Need,
                      const WorkerTaskSlots &Slots,
                      std::vector<Member> &Chosen) const = 0;
};

/// Creates the policy that takes the first group and workers that fit.
std::unique_ptr<PlacementPolicy> makeFirstFit();
/// Creates the policy that takes the group with the fewest free accelerators
/// that fits, and the fullest workers in it.
std::unique_ptr<PlacementPolicy> makeBestFit();
/// Creates the policy that limits fragmentation: it takes the narrowest level
/// of adjacency that fits, the group with the fewest free accelerators, and the
/// fewest workers, so that empty workers and racks stay available.
std::unique_ptr<PlacementPolicy> makePackingFit();

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H
