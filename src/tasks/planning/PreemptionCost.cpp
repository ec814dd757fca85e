#include "tasks/planning/PreemptionCost.h"

#include <algorithm>
#include <limits>

namespace baobabcove {

double preemptionCost(const PreemptibleRun &Run) {
  constexpr double AboveAnyLoss = 1e12;
  return Run.Loss + (Run.WasPreempted ? AboveAnyLoss : 0);
}

std::vector<std::size_t> gangOf(const std::vector<PreemptibleRun> &Runs,
                                std::size_t Run) {
  std::vector<std::size_t> Group;
  for (std::size_t R = 0; R < Runs.size(); ++R)
    if (R == Run || (!Runs[R].Gang.empty() && Runs[R].Gang == Runs[Run].Gang))
      Group.push_back(R);
  return Group;
}

std::pair<double, std::optional<std::size_t>>
costOfFitting(const std::vector<PreemptibleRun> &Runs, std::size_t W,
              Resources Available, const Resources &Need,
              const std::vector<bool> &Removed) {
  std::vector<std::size_t> There;
  for (std::size_t R = 0; R < Runs.size(); ++R)
    if (Runs[R].Worker == W && !Removed[R])
      There.push_back(R);
  std::sort(There.begin(), There.end(), [&](std::size_t L, std::size_t R) {
    return preemptionCost(Runs[L]) < preemptionCost(Runs[R]);
  });
  double Cost = 0;
  std::optional<std::size_t> First;
  for (std::size_t R : There) {
    if (Available.covers(Need))
      break;
    if (!First)
      First = R;
    Cost += preemptionCost(Runs[R]);
    Available += Runs[R].Usage;
  }
  if (Available.covers(Need))
    return {Cost, First};
  return {std::numeric_limits<double>::infinity(), std::nullopt};
}

} // namespace baobabcove
