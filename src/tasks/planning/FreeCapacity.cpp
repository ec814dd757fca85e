#include "tasks/planning/FreeCapacity.h"
#include "tasks/planning/PlacementRules.h"

namespace baobabcove {

double leftoverScore(const PlanWorker &Worker, const Resources &Available,
                     const Resources &Need) {
  const Resources &Capacity = Worker.Capacity;
  const auto Share = [](std::int64_t Left, std::int64_t Of) {
    return Of > 0 ? double(Left) / double(Of) : 0.0;
  };
  constexpr double AboveAnyWarmWorker = 100;
  return (Worker.IsCold ? AboveAnyWarmWorker : 0) +
         2 * Share(Available.Accelerators - Need.Accelerators,
                   Capacity.Accelerators) +
         Share(Available.MemoryMb - Need.MemoryMb, Capacity.MemoryMb) +
         Share(Available.MilliCores - Need.MilliCores, Capacity.MilliCores);
}

bool isFullyFree(const PlanWorker &Worker, const Resources &Available) {
  const std::int64_t All = Worker.Capacity.Accelerators;
  return All > 0 && Available.Accelerators == All;
}

double usedShare(const std::vector<PlanWorker> &Workers,
                 const ResourceList &Available) {
  std::int64_t All = 0;
  std::int64_t Left = 0;
  for (std::size_t W = 0; W < Workers.size(); ++W) {
    All += Workers[W].Capacity.Accelerators;
    Left += Available[W].Accelerators;
  }
  return All > 0 ? 1 - double(Left) / double(All) : 0;
}

std::size_t countFullyFree(const std::vector<PlanWorker> &Workers,
                           const ResourceList &Available,
                           const PlanUnit &Unit) {
  std::size_t Count = 0;
  for (std::size_t W = 0; W < Workers.size(); ++W)
    Count +=
        isFullyFree(Workers[W], Available[W]) && isEligible(Workers[W], Unit)
            ? 1
            : 0;
  return Count;
}

} // namespace baobabcove
