#include "scheduler/EvictionPlanner.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace baobabcove {

namespace {

/// Groups looked into for one plan, those with most free room first.
constexpr std::size_t MaxGroups = 64;

struct Candidate {
  Job *Gang = nullptr;
  double Cost = 0;
  /// Loss for each accelerator that the stop frees where it is needed.
  double Price = 0;
};

/// Capacity of a group's workers while victims are chosen.
class RoomAfter {
public:
  RoomAfter(const Cluster &Workers, const Group &Together, const Demand &Need,
            const WorkerFilter &Allowed)
      : Need(Need) {
    for (WorkerIndex I : Together)
      if (Allowed(I))
        Free[I] = Workers.worker(I).soonFree();
    for (const auto &[Index, Room] : Free)
      Tasks += Room.tasks(Need);
  }

  bool fits() const { return Tasks >= Need.Tasks; }

  void change(const Job &Gang, bool Stopped) {
    for (const Member &Each : Gang.Members) {
      const auto Found = Free.find(Each.Worker);
      if (Found == Free.end())
        continue;
      Tasks -= Found->second.tasks(Need);
      const std::int64_t Count = Each.Tasks;
      Found->second.add(Gang.Need, Stopped ? Count : -Count);
      Tasks += Found->second.tasks(Need);
    }
  }

  std::vector<Member> members() const {
    std::vector<Member> Ordered;
    for (const auto &[Index, Room] : Free)
      if (Room.tasks(Need) > 0)
        Ordered.push_back({Index, Room.tasks(Need)});
    std::sort(
        Ordered.begin(), Ordered.end(), [](const Member &L, const Member &R) {
          return L.Tasks != R.Tasks ? L.Tasks > R.Tasks : L.Worker < R.Worker;
        });
    std::vector<Member> Chosen;
    std::uint32_t Left = Need.Tasks;
    for (const Member &Each : Ordered) {
      if (Left == 0)
        break;
      Chosen.push_back({Each.Worker, std::min(Left, Each.Tasks)});
      Left -= Chosen.back().Tasks;
    }
    return Chosen;
  }

private:
  const Demand &Need;
  std::unordered_map<WorkerIndex, Capacity> Free;
  std::uint64_t Tasks = 0;
};

std::uint32_t acceleratorsWithin(const Job &Gang,
                                 const std::unordered_set<WorkerIndex> &Set) {
  std::uint32_t Sum = 0;
  for (const Member &Each : Gang.Members)
    if (Set.count(Each.Worker) != 0)
      Sum += Each.Tasks * Gang.Need.Accelerators;
  return Sum;
}

void sortByPrice(std::vector<Candidate> &List) {
  std::sort(List.begin(), List.end(),
            [](const Candidate &L, const Candidate &R) {
              if (L.Price != R.Price)
                return L.Price < R.Price;
              return L.Gang->Info.Id < R.Gang->Info.Id;
            });
}

} // namespace

bool EvictionPlanner::onWorker(WorkerIndex Index, const Demand &Need,
                               std::uint32_t Tasks, const StopCost &Cost,
                               EvictionPlan &Plan) const {
  Capacity Free = Workers.worker(Index).soonFree();
  if (Free.tasks(Need) >= Tasks)
    return true;
  std::vector<Candidate> Candidates;
  for (Job *Gang : OnWorker[Index]) {
    const double Loss = Cost(*Gang);
    if (Loss >= 0)
      Candidates.push_back({Gang, Loss, Loss});
  }
  sortByPrice(Candidates);
  for (const Candidate &Each : Candidates) {
    for (const Member &Part : Each.Gang->Members)
      if (Part.Worker == Index)
        Free.add(Each.Gang->Need, Part.Tasks);
    Plan.Victims.push_back(Each.Gang);
    Plan.Cost += Each.Cost;
    if (Free.tasks(Need) >= Tasks)
      return true;
  }
  return false;
}

bool EvictionPlanner::inGroup(const Group &Together, const Demand &Need,
                              const WorkerFilter &Allowed, const StopCost &Cost,
                              EvictionPlan &Plan) const {
  RoomAfter Room(Workers, Together, Need, Allowed);
  std::unordered_set<WorkerIndex> Set;
  for (WorkerIndex I : Together)
    if (Allowed(I))
      Set.insert(I);
  std::unordered_set<Job *> Seen;
  std::vector<Candidate> Candidates;
  for (WorkerIndex I : Set) {
    for (Job *Gang : OnWorker[I]) {
      if (!Seen.insert(Gang).second)
        continue;
      const double Loss = Cost(*Gang);
      if (Loss < 0)
        continue;
      const double Freed = acceleratorsWithin(*Gang, Set);
      Candidates.push_back({Gang, Loss, Loss / Freed});
    }
  }
  sortByPrice(Candidates);
  std::vector<Candidate> Chosen;
  for (const Candidate &Each : Candidates) {
    if (Room.fits())
      break;
    Room.change(*Each.Gang, true);
    Chosen.push_back(Each);
  }
  if (!Room.fits())
    return false;
  // What a later, larger victim made needless is spared, dearest first.
  for (auto Each = Chosen.rbegin(); Each != Chosen.rend(); ++Each) {
    Room.change(*Each->Gang, false);
    if (Room.fits())
      continue;
    Room.change(*Each->Gang, true);
    Plan.Victims.push_back(Each->Gang);
    Plan.Cost += Each->Cost;
  }
  Plan.Members = Room.members();
  return true;
}

bool EvictionPlanner::forGang(const Demand &Need, const WorkerFilter &Allowed,
                              const StopCost &Cost, EvictionPlan &Plan) const {
  std::vector<const Group *> Order;
  for (const Group &Together : Workers.groups(Need.Near))
    Order.push_back(&Together);
  if (Order.size() > MaxGroups) {
    const auto FreeIn = [&](const Group *Together) {
      std::int64_t Free = 0;
      for (WorkerIndex I : *Together)
        Free += Workers.worker(I).soonFree().Accelerators;
      return Free;
    };
    std::partial_sort(
        Order.begin(), Order.begin() + MaxGroups, Order.end(),
        [&](const Group *L, const Group *R) { return FreeIn(L) > FreeIn(R); });
    Order.resize(MaxGroups);
  }
  bool Found = false;
  for (const Group *Together : Order) {
    EvictionPlan Candidate;
    if (!inGroup(*Together, Need, Allowed, Cost, Candidate))
      continue;
    if (!Found || Candidate.Cost < Plan.Cost)
      Plan = std::move(Candidate);
    Found = true;
  }
  return Found;
}

} // namespace baobabcove
