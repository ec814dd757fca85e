#include "tasks/planning/PlacementRules.h"

#include <algorithm>
#include <map>

namespace baobabcove {

namespace {

bool isSuitable(const PlanWorker &Worker, const PlanUnit &Unit) {
  const std::string &Label = Unit.Step->required_label();
  return Worker.Service == Unit.Service &&
         (Label.empty() || std::find(Worker.Labels.begin(), Worker.Labels.end(),
                                     Label) != Worker.Labels.end());
}

/// Returns how many tasks of \p Unit fit on an otherwise empty worker.
std::size_t placesOn(const PlanWorker &Worker, const PlanUnit &Unit) {
  const Resources Need = resourcesOf(*Unit.Step);
  const std::size_t Limit = Unit.Step->spread_limit() > 0
                                ? Unit.Step->spread_limit()
                                : Unit.Tasks.size();
  Resources Left = Worker.Capacity;
  std::size_t Places = 0;
  while (Places < std::min(Limit, Unit.Tasks.size()) && Left.covers(Need)) {
    Left -= Need;
    ++Places;
  }
  return Places;
}

bool isNearData(const PlanWorker &Worker, const PlanUnit &Unit) {
  const std::string &Rack = Unit.Step->data_rack();
  return Rack.empty() || Worker.Rack == RackName(Rack);
}

} // namespace

bool hasLocality(const PlanUnit &Unit) {
  return !Unit.Step->data_rack().empty() || Unit.Step->same_rack();
}

bool canAnyRackHold(const std::vector<PlanWorker> &Workers,
                    const PlanUnit &Unit) {
  std::map<RackName, std::size_t> Places;
  for (const PlanWorker &Worker : Workers) {
    if (!(Worker.AcceptsTasks || Worker.IsQuarantined) ||
        !isSuitable(Worker, Unit) || !isNearData(Worker, Unit))
      continue;
    std::size_t &OfRack = Places[Worker.Rack];
    OfRack += placesOn(Worker, Unit);
    if (OfRack >= Unit.Tasks.size())
      return true;
  }
  return false;
}

bool waitsForQuarantine(const std::vector<PlanWorker> &Workers,
                        const PlanUnit &Unit) {
  return std::any_of(
      Workers.begin(), Workers.end(), [&](const PlanWorker &Worker) {
        return Worker.IsQuarantined && isSuitable(Worker, Unit) &&
               isNearData(Worker, Unit) && placesOn(Worker, Unit) > 0;
      });
}

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

bool avoidsNodeOf(const PlanUnit &Unit, const PlanWorker &Worker) {
  return std::find(Unit.AvoidedNodes.begin(), Unit.AvoidedNodes.end(),
                   nodeOf(Worker.Incarnation)) != Unit.AvoidedNodes.end();
}

bool canAvoidNodes(const std::vector<PlanWorker> &Workers,
                   const PlanUnit &Unit) {
  if (Unit.AvoidedNodes.empty())
    return false;
  std::size_t Places = 0;
  for (const PlanWorker &Worker : Workers)
    if (isEligible(Worker, Unit) && !avoidsNodeOf(Unit, Worker))
      Places += placesOn(Worker, Unit);
  return Places >= Unit.Tasks.size();
}

} // namespace baobabcove
