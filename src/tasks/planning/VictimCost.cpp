#include "tasks/planning/VictimCost.h"
#include "tasks/planning/PreemptionCost.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Loss of stopping a long-running task of a step that may miss no more tasks
/// than this one, in core-seconds: a worker of 32 cores and 8 accelerators that
/// is not at work for 2 s, which a stop and a start take.
constexpr double LongRunningLoss = 200;

} // namespace

VictimCosts::VictimCosts(const PlanInput &Input) : Runs(Input.Preemptible) {
  for (const PreemptibleRun &Run : Runs) {
    if (Run.LongRunningStep.empty())
      continue;
    const auto Found = Input.MayMiss.find(Run.LongRunningStep);
    MayMiss[Run.LongRunningStep] =
        Found == Input.MayMiss.end() ? 0 : Found->second;
    ++RunsLeft[Run.LongRunningStep];
  }
}

VictimCost VictimCosts::costOf(std::size_t Run) const {
  const PreemptibleRun &Victim = Runs[Run];
  if (Victim.LongRunningStep.empty())
    return {0, preemptionCost(Victim)};
  const std::int64_t Left = MayMiss.at(Victim.LongRunningStep);
  const auto Members = static_cast<std::int64_t>(Victim.Members);
  // The losses are the same for all sizes, so that the step with the most left
  // comes first.
  if (Left >= Members)
    return {0, LongRunningLoss / double(Left)};
  // A step beyond its limit violates it already. Of those that do not yet, the
  // one with the most runs may make further violations needless.
  const double Loss =
      LongRunningLoss * (1 + 1 / double(std::max<std::int64_t>(
                                     RunsLeft.at(Victim.LongRunningStep), 1)));
  return {Left >= 0 ? 1U : 0U, Loss};
}

void VictimCosts::take(std::size_t Run) {
  const PreemptibleRun &Victim = Runs[Run];
  if (!Victim.LongRunningStep.empty()) {
    const auto Members = static_cast<std::int64_t>(Victim.Members);
    MayMiss[Victim.LongRunningStep] -= Members;
    RunsLeft[Victim.LongRunningStep] -= Members;
  }
}

VictimCosts
VictimCosts::restrictedTo(const std::vector<std::size_t> &Chosen) const {
  VictimCosts Costs(Runs);
  for (std::size_t R : Chosen) {
    const std::string &Step = Runs[R].LongRunningStep;
    if (Step.empty())
      continue;
    Costs.MayMiss[Step] = MayMiss.at(Step);
    Costs.RunsLeft[Step] = RunsLeft.at(Step);
  }
  return Costs;
}

std::pair<VictimCost, std::optional<std::size_t>>
VictimCosts::untilFits(std::size_t Worker, Resources Available,
                       const Resources &Need,
                       const std::vector<bool> &Removed) const {
  std::vector<std::size_t> Left;
  for (std::size_t R = 0; R < Runs.size(); ++R)
    if (Runs[R].Worker == Worker && !Removed[R])
      Left.push_back(R);
  VictimCosts Costs = restrictedTo(Left);
  VictimCost Total;
  std::optional<std::size_t> First;
  while (!Available.covers(Need)) {
    const auto Next = std::min_element(
        Left.begin(), Left.end(), [&](std::size_t L, std::size_t R) {
          return Costs.costOf(L) < Costs.costOf(R);
        });
    if (Next == Left.end())
      return {};
    const std::size_t Victim = *Next;
    First = First.value_or(Victim);
    Total += Costs.costOf(Victim);
    Costs.take(Victim);
    // The members of a gang end together.
    const auto Ending =
        std::partition(Left.begin(), Left.end(), [&](std::size_t R) {
          return R != Victim &&
                 (Runs[R].Gang.empty() || Runs[R].Gang != Runs[Victim].Gang);
        });
    for (auto R = Ending; R != Left.end(); ++R)
      Available += Runs[*R].Usage;
    Left.erase(Ending, Left.end());
  }
  return {Total, First};
}

} // namespace baobabcove
