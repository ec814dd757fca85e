#include "tasks/planning/EvacuationMoves.h"

#include <algorithm>
#include <map>
#include <utility>

namespace baobabcove {

namespace {

using UnitKey = std::pair<JobId, std::size_t>;

/// Takes what \p Plan uses and reserves out of \p Input.
void deduct(const TaskPlan &Plan, PlanInput &Input) {
  std::map<UnitKey, const PlanUnit *> UnitOf;
  std::map<WorkerIncarnation, std::size_t> Position;
  for (const PlanUnit &Unit : Input.Units)
    for (std::size_t Task : Unit.Tasks)
      UnitOf[{Unit.Job, Task}] = &Unit;
  for (std::size_t W = 0; W < Input.Workers.size(); ++W)
    Position[Input.Workers[W].Incarnation] = W;
  const auto Take = [&](const PlanUnit &Unit, std::size_t W) {
    Input.Workers[W].Free -= resourcesOf(*Unit.Step);
    ++Input.OnWorker[{Unit.StepKey, W}];
  };
  for (const PlannedStart &Start : Plan.Starts) {
    Take(*UnitOf.at({Start.Job, Start.Task}), Start.Worker);
    PlanWorker &Worker = Input.Workers[Start.Worker];
    ++Worker.Runs;
    Worker.StartsLeft -= Worker.StartsLeft > 0 ? 1 : 0;
  }
  for (const auto &[Key, Workers] : Plan.Reservations)
    for (const WorkerIncarnation &Worker : Workers)
      if (const auto W = Position.find(Worker); W != Position.end())
        Take(*UnitOf.at(Key), W->second);
}

} // namespace

std::vector<PlannedMove> planMoves(const PlanInput &Input, const TaskPlan &Plan,
                                   std::vector<PlanUnit> Candidates,
                                   std::size_t Limit) {
  if (Candidates.empty() || Limit == 0)
    return {};
  PlanInput Rest = Input;
  deduct(Plan, Rest);
  Rest.Preemptible.clear();
  Rest.Reservations.clear();
  for (PlanUnit &Unit : Candidates) {
    // The rank keeps guaranteed jobs first; nothing is reserved or preempted.
    Unit.Guaranteed = false;
    Unit.MayPreempt = false;
  }
  Rest.Units = std::move(Candidates);
  std::map<UnitKey, std::size_t> SizeOf;
  std::map<UnitKey, std::size_t> FirstOf;
  for (const PlanUnit &Unit : Rest.Units)
    for (std::size_t Task : Unit.Tasks) {
      SizeOf[{Unit.Job, Task}] = Unit.Tasks.size();
      FirstOf[{Unit.Job, Task}] = Unit.Tasks.front();
    }
  std::vector<PlannedMove> Moves;
  std::size_t Runs = 0;
  for (const PlannedStart &Start : planTasks(Rest).Starts) {
    const UnitKey Key{Start.Job, Start.Task};
    if (FirstOf.at(Key) == Start.Task) {
      const bool IsAlone = Moves.empty() && Limit == MaxMovesAtOnce;
      if (Runs + SizeOf.at(Key) > Limit && !IsAlone)
        break;
      Runs += SizeOf.at(Key);
      Moves.push_back({Start.Job, {}, {}});
    }
    Moves.back().Tasks.push_back(Start.Task);
    Moves.back().Targets.push_back(Input.Workers[Start.Worker].Incarnation);
  }
  return Moves;
}

} // namespace baobabcove
