#include "tasks/planning/PlacementRules.h"

#include <algorithm>

namespace baobabcove {

namespace {

bool isSuitable(const PlanWorker &Worker, const PlanUnit &Unit) {
  const std::string &Label = Unit.Step->required_label();
  return Worker.Service == Unit.Service &&
         (Label.empty() || std::find(Worker.Labels.begin(), Worker.Labels.end(),
                                     Label) != Worker.Labels.end());
}

} // namespace

bool isEligible(const PlanWorker &Worker, const PlanUnit &Unit) {
  return Worker.AcceptsTasks && isSuitable(Worker, Unit);
}

bool hasWorkerFor(const std::vector<PlanWorker> &Workers,
                  const PlanUnit &Unit) {
  const Resources Need = resourcesOf(*Unit.Step);
  return std::any_of(
      Workers.begin(), Workers.end(), [&](const PlanWorker &Worker) {
        return isSuitable(Worker, Unit) && Worker.Capacity.covers(Need);
      });
}

bool mayJoin(const PlanWorker &Worker, const PlanUnit &Unit) {
  if (!Unit.Isolated)
    return !Worker.HasSuspect;
  return Worker.Runs == 0 || (Unit.MayShareWorker && !Worker.HasSuspect &&
                              !Worker.HasRunOnProbation);
}

bool hasCrashedOn(const PlanUnit &Unit, const PlanWorker &Worker) {
  return std::find(Unit.CrashNodes.begin(), Unit.CrashNodes.end(),
                   nodeOf(Worker.Incarnation)) != Unit.CrashNodes.end();
}

bool canAvoidCrashes(const std::vector<PlanWorker> &Workers,
                     const PlanUnit &Unit) {
  if (Unit.CrashNodes.empty())
    return false;
  const Resources Need = resourcesOf(*Unit.Step);
  std::size_t Places = 0;
  for (const PlanWorker &Worker : Workers) {
    if (!isEligible(Worker, Unit) || hasCrashedOn(Unit, Worker))
      continue;
    Resources Left = Worker.Capacity;
    for (std::size_t T = 0; T < Unit.Tasks.size() && Left.covers(Need); ++T) {
      Left -= Need;
      ++Places;
    }
  }
  return Places >= Unit.Tasks.size();
}

} // namespace baobabcove
