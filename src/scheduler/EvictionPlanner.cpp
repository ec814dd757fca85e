#include "scheduler/EvictionPlanner.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace baobabcove {

namespace {

/// Groups evaluated for one plan; those with the most free accelerators are
/// preferred.
constexpr std::size_t MaxGroups = 64;

/// A gang that may be stopped.
struct Candidate {
  Job *Gang = nullptr;
  double Cost = 0;
  /// Candidates are stopped in ascending order: cost for each accelerator that
  /// the stop frees in the group, or the cost itself on a single worker.
  double SortKey = 0;
};

/// Free resources of a group's workers while victims are chosen.
class GroupCapacity {
public:
  GroupCapacity(const Cluster &Workers, const Group &InGroup,
                const Demand &Need, const WorkerFilter &Allowed)
      : Need(Need) {
    for (WorkerIndex I : InGroup)
      if (Allowed(I))
        Free[I] = Workers.worker(I).freeAfterStops();
    for (const auto &[Index, Available] : Free)
      Tasks += Available.tasksThatFit(Need);
  }

  bool fits() const { return Tasks >= Need.Tasks; }

  /// Adds or subtracts the resources of a stopped gang.
  void setStopped(const Job &Gang, bool Stopped) {
    for (const Member &Each : Gang.Members) {
      const auto Found = Free.find(Each.Worker);
      if (Found == Free.end())
        continue;
      Tasks -= Found->second.tasksThatFit(Need);
      const std::int64_t Count = Each.Tasks;
      Found->second.add(Gang.Need, Stopped ? Count : -Count);
      Tasks += Found->second.tasksThatFit(Need);
    }
  }

  /// Assigns the tasks to the workers that hold the most of them.
  std::vector<Member> chooseMembers() const {
    std::vector<Member> Ordered;
    for (const auto &[Index, Available] : Free)
      if (Available.tasksThatFit(Need) > 0)
        Ordered.push_back({Index, Available.tasksThatFit(Need)});
    std::sort(
        Ordered.begin(), Ordered.end(), [](const Member &L, const Member &R) {
          return L.Tasks != R.Tasks ? L.Tasks > R.Tasks : L.Worker < R.Worker;
        });
    std::vector<Member> Chosen;
    std::uint32_t Remaining = Need.Tasks;
    for (const Member &Each : Ordered) {
      if (Remaining == 0)
        break;
      Chosen.push_back({Each.Worker, std::min(Remaining, Each.Tasks)});
      Remaining -= Chosen.back().Tasks;
    }
    return Chosen;
  }

private:
  const Demand &Need;
  std::unordered_map<WorkerIndex, Capacity> Free;
  std::uint64_t Tasks = 0;
};

std::uint32_t
acceleratorsWithin(const Job &Gang,
                   const std::unordered_set<WorkerIndex> &AllowedWorkers) {
  std::uint32_t Sum = 0;
  for (const Member &Each : Gang.Members)
    if (AllowedWorkers.count(Each.Worker) != 0)
      Sum += Each.Tasks * Gang.Need.Accelerators;
  return Sum;
}

void sortByKey(std::vector<Candidate> &List) {
  std::sort(List.begin(), List.end(),
            [](const Candidate &L, const Candidate &R) {
              if (L.SortKey != R.SortKey)
                return L.SortKey < R.SortKey;
              return L.Gang->Info.Id < R.Gang->Info.Id;
            });
}

} // namespace

bool EvictionPlanner::planForWorker(WorkerIndex Index, const Demand &Need,
                                    std::uint32_t Tasks, const StopCost &Cost,
                                    EvictionPlan &Plan) const {
  Capacity Free = Workers.worker(Index).freeAfterStops();
  if (Free.tasksThatFit(Need) >= Tasks)
    return true;
  std::vector<Candidate> Candidates;
  for (Job *Gang : GangsOnWorker[Index]) {
    const double Loss = Cost(*Gang);
    if (Loss >= 0)
      Candidates.push_back({Gang, Loss, Loss});
  }
  sortByKey(Candidates);
  for (const Candidate &Each : Candidates) {
    for (const Member &Part : Each.Gang->Members)
      if (Part.Worker == Index)
        Free.add(Each.Gang->Need, Part.Tasks);
    Plan.Victims.push_back(Each.Gang);
    Plan.Cost += Each.Cost;
    if (Free.tasksThatFit(Need) >= Tasks)
      return true;
  }
  return false;
}

bool EvictionPlanner::planForGroup(const Group &InGroup, const Demand &Need,
                                   const WorkerFilter &Allowed,
                                   const StopCost &Cost,
                                   EvictionPlan &Plan) const {
  GroupCapacity Available(Workers, InGroup, Need, Allowed);
  std::unordered_set<WorkerIndex> AllowedWorkers;
  for (WorkerIndex I : InGroup)
    if (Allowed(I))
      AllowedWorkers.insert(I);
  std::unordered_set<Job *> Seen;
  std::vector<Candidate> Candidates;
  for (WorkerIndex I : AllowedWorkers) {
    for (Job *Gang : GangsOnWorker[I]) {
      if (!Seen.insert(Gang).second)
        continue;
      const double Loss = Cost(*Gang);
      if (Loss < 0)
        continue;
      const double Freed = acceleratorsWithin(*Gang, AllowedWorkers);
      Candidates.push_back({Gang, Loss, Loss / Freed});
    }
  }
  sortByKey(Candidates);
  std::vector<Candidate> Chosen;
  for (const Candidate &Each : Candidates) {
    if (Available.fits())
      break;
    Available.setStopped(*Each.Gang, true);
    Chosen.push_back(Each);
  }
  if (!Available.fits())
    return false;
  // Keep running the victims that a later, larger victim made unnecessary,
  // starting with the most expensive.
  for (auto Each = Chosen.rbegin(); Each != Chosen.rend(); ++Each) {
    Available.setStopped(*Each->Gang, false);
    if (Available.fits())
      continue;
    Available.setStopped(*Each->Gang, true);
    Plan.Victims.push_back(Each->Gang);
    Plan.Cost += Each->Cost;
  }
  Plan.Members = Available.chooseMembers();
  return true;
}

bool EvictionPlanner::planForGang(const Demand &Need,
                                  const WorkerFilter &Allowed,
                                  const StopCost &Cost,
                                  EvictionPlan &Plan) const {
  std::vector<const Group *> Groups;
  for (const Group &InGroup : Workers.groups(Need.Near))
    Groups.push_back(&InGroup);
  if (Groups.size() > MaxGroups) {
    const auto FreeIn = [&](const Group *InGroup) {
      std::int64_t Free = 0;
      for (WorkerIndex I : *InGroup)
        Free += Workers.worker(I).freeAfterStops().Accelerators;
      return Free;
    };
    std::partial_sort(
        Groups.begin(), Groups.begin() + MaxGroups, Groups.end(),
        [&](const Group *L, const Group *R) { return FreeIn(L) > FreeIn(R); });
    Groups.resize(MaxGroups);
  }
  bool Found = false;
  for (const Group *InGroup : Groups) {
    EvictionPlan Candidate;
    if (!planForGroup(*InGroup, Need, Allowed, Cost, Candidate))
      continue;
    if (!Found || Candidate.Cost < Plan.Cost)
      Plan = std::move(Candidate);
    Found = true;
  }
  return Found;
}

} // namespace baobabcove
