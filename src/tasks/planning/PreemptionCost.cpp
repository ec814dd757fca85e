#include "tasks/planning/PreemptionCost.h"

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

} // namespace baobabcove
