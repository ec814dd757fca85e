/// \file
/// Strategies that choose workers for a gang out of what is free.

#ifndef BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H
#define BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H

#include "scheduler/Cluster.h"

#include <functional>
#include <memory>

namespace baobabcove {

/// Tasks of the demand that a worker may take now; zero for a worker that is
/// not to be used.
using RoomOnWorker = std::function<std::uint32_t(WorkerIndex)>;

/// Chooses where a gang runs.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Fills \p Chosen with members for every task of \p Need, or returns false
  /// when the gang does not fit whole.
  virtual bool choose(const Cluster &Workers, const Demand &Need,
                      const RoomOnWorker &Room,
                      std::vector<Member> &Chosen) const = 0;
};

/// Takes the first group and the first workers that fit.
std::unique_ptr<PlacementPolicy> makeFirstFit();
/// Takes the rack with the least room that fits, and in it the fullest worker.
std::unique_ptr<PlacementPolicy> makeBestFit();
/// Keeps whole workers and whole racks whole: takes the narrowest level of
/// adjacency that fits, the place with the least left over, and the fewest
/// workers.
std::unique_ptr<PlacementPolicy> makePackingFit();

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_PLACEMENTPOLICY_H
