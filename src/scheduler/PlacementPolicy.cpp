#include "scheduler/PlacementPolicy.h"

#include <limits>

namespace baobabcove {

namespace {

/// Returns how many tasks fit on the workers of a group, at most Need.Tasks.
std::uint32_t slotsInGroup(const Group &InGroup, const Demand &Need,
                           const WorkerTaskSlots &Slots) {
  std::uint32_t Tasks = 0;
  for (WorkerIndex I : InGroup) {
    Tasks += Slots(I);
    if (Tasks >= Need.Tasks)
      return Need.Tasks;
  }
  return Tasks;
}

/// Assigns the gang's tasks to the workers in the given order.
void assignInOrder(const Group &Ordered, const Demand &Need,
                   const WorkerTaskSlots &Slots, std::vector<Member> &Chosen) {
  std::uint32_t Remaining = Need.Tasks;
  for (WorkerIndex I : Ordered) {
    const std::uint32_t Here = std::min(Remaining, Slots(I));
    if (Here == 0)
      continue;
    Chosen.push_back({I, Here});
    Remaining -= Here;
    if (Remaining == 0)
      return;
  }
}

class FirstFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const WorkerTaskSlots &Slots,
              std::vector<Member> &Chosen) const override {
    for (const Group &InGroup : Workers.groups(Need.Near)) {
      if (slotsInGroup(InGroup, Need, Slots) < Need.Tasks)
        continue;
      assignInOrder(InGroup, Need, Slots, Chosen);
      return true;
    }
    return false;
  }
};

std::int64_t freeInGroup(const Cluster &Workers, const Group &InGroup) {
  std::int64_t Free = 0;
  for (WorkerIndex I : InGroup)
    Free += Workers.worker(I).Free.Accelerators;
  return Free;
}

class BestFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const WorkerTaskSlots &Slots,
              std::vector<Member> &Chosen) const override {
    const Group *Best = nullptr;
    std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
    for (const Group &InGroup : Workers.groups(Need.Near)) {
      const std::int64_t Free = freeInGroup(Workers, InGroup);
      if (Free >= BestFree || slotsInGroup(InGroup, Need, Slots) < Need.Tasks)
        continue;
      Best = &InGroup;
      BestFree = Free;
    }
    if (!Best)
      return false;
    Group Ordered = *Best;
    std::stable_sort(Ordered.begin(), Ordered.end(),
                     [&](WorkerIndex L, WorkerIndex R) {
                       return Workers.worker(L).Free.Accelerators <
                              Workers.worker(R).Free.Accelerators;
                     });
    assignInOrder(Ordered, Need, Slots, Chosen);
    return true;
  }
};

class PackingFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const WorkerTaskSlots &Slots,
              std::vector<Member> &Chosen) const override {
    static constexpr Adjacency Levels[] = {
        Adjacency::SameWorker, Adjacency::SameRack, Adjacency::SameDataCentre,
        Adjacency::Any};
    for (const Adjacency Level : Levels) {
      if (chooseWithin(Workers, Workers.groups(Level), Need, Slots, Chosen))
        return true;
      if (Level == Need.Near)
        return false;
    }
    return false;
  }

private:
  static bool chooseWithin(const Cluster &Workers,
                           const std::vector<Group> &Groups, const Demand &Need,
                           const WorkerTaskSlots &Slots,
                           std::vector<Member> &Chosen) {
    const Group *Best = nullptr;
    std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
    std::int64_t BestRackFree = 0;
    for (const Group &InGroup : Groups) {
      const std::int64_t Free = freeInGroup(Workers, InGroup);
      if (Free > BestFree || slotsInGroup(InGroup, Need, Slots) < Need.Tasks)
        continue;
      // Among equal groups, prefer the fuller rack to leave other racks empty.
      const std::int64_t RackFree = Workers.freeInRack(InGroup.front());
      if (Free == BestFree && RackFree >= BestRackFree)
        continue;
      Best = &InGroup;
      BestFree = Free;
      BestRackFree = RackFree;
    }
    if (!Best)
      return false;
    assignTightly(Workers, *Best, Need, Slots, Chosen);
    return true;
  }

  /// Repeatedly takes the worker that holds the most tasks; the last tasks go
  /// to the fullest worker that holds them all.
  static void assignTightly(const Cluster &Workers, const Group &InGroup,
                            const Demand &Need, const WorkerTaskSlots &Slots,
                            std::vector<Member> &Chosen) {
    Group Ordered = InGroup;
    std::stable_sort(Ordered.begin(), Ordered.end(),
                     [&](WorkerIndex L, WorkerIndex R) {
                       const std::uint32_t Left = Slots(L);
                       const std::uint32_t Right = Slots(R);
                       if (Left != Right)
                         return Left > Right;
                       return Workers.worker(L).Free.Accelerators <
                              Workers.worker(R).Free.Accelerators;
                     });
    std::uint32_t Remaining = Need.Tasks;
    for (std::size_t I = 0; I < Ordered.size() && Remaining > 0; ++I) {
      std::size_t Pick = I;
      if (Slots(Ordered[I]) >= Remaining)
        Pick = tightestWorker(Workers, Ordered, I, Remaining, Slots);
      const std::uint32_t Here = std::min(Remaining, Slots(Ordered[Pick]));
      if (Here > 0)
        Chosen.push_back({Ordered[Pick], Here});
      Remaining -= Here;
    }
  }

  /// Returns the position in \p Ordered, from \p From on, of the worker with
  /// the fewest free accelerators that holds all remaining tasks.
  static std::size_t tightestWorker(const Cluster &Workers,
                                    const Group &Ordered, std::size_t From,
                                    std::uint32_t Remaining,
                                    const WorkerTaskSlots &Slots) {
    std::size_t Pick = From;
    for (std::size_t I = From; I < Ordered.size(); ++I) {
      if (Slots(Ordered[I]) < Remaining)
        break;
      if (Workers.worker(Ordered[I]).Free.Accelerators <
          Workers.worker(Ordered[Pick]).Free.Accelerators)
        Pick = I;
    }
    return Pick;
  }
};

} // namespace

std::unique_ptr<PlacementPolicy> makeFirstFit() {
  return std::make_unique<FirstFit>();
}

std::unique_ptr<PlacementPolicy> makeBestFit() {
  return std::make_unique<BestFit>();
}

std::unique_ptr<PlacementPolicy> makePackingFit() {
  return std::make_unique<PackingFit>();
}

} // namespace baobabcove
