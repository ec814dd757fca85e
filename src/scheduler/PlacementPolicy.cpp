#include "scheduler/PlacementPolicy.h"

#include <limits>

namespace baobabcove {

namespace {

/// Tasks that fit on the workers of a group, counted up to what is needed.
std::uint32_t roomInGroup(const Group &Together, const Demand &Need,
                          const RoomOnWorker &Room) {
  std::uint32_t Tasks = 0;
  for (WorkerIndex I : Together) {
    Tasks += Room(I);
    if (Tasks >= Need.Tasks)
      return Need.Tasks;
  }
  return Tasks;
}

/// Fills the gang from the workers in the order given.
void fill(const Group &Ordered, const Demand &Need, const RoomOnWorker &Room,
          std::vector<Member> &Chosen) {
  std::uint32_t Left = Need.Tasks;
  for (WorkerIndex I : Ordered) {
    const std::uint32_t Here = std::min(Left, Room(I));
    if (Here == 0)
      continue;
    Chosen.push_back({I, Here});
    Left -= Here;
    if (Left == 0)
      return;
  }
}

class FirstFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const RoomOnWorker &Room,
              std::vector<Member> &Chosen) const override {
    for (const Group &Together : Workers.groups(Need.Near)) {
      if (roomInGroup(Together, Need, Room) < Need.Tasks)
        continue;
      fill(Together, Need, Room, Chosen);
      return true;
    }
    return false;
  }
};

std::int64_t freeInGroup(const Cluster &Workers, const Group &Together) {
  std::int64_t Free = 0;
  for (WorkerIndex I : Together)
    Free += Workers.worker(I).Free.Accelerators;
  return Free;
}

class BestFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const RoomOnWorker &Room,
              std::vector<Member> &Chosen) const override {
    const Group *Best = nullptr;
    std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
    for (const Group &Together : Workers.groups(Need.Near)) {
      const std::int64_t Free = freeInGroup(Workers, Together);
      if (Free >= BestFree || roomInGroup(Together, Need, Room) < Need.Tasks)
        continue;
      Best = &Together;
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
    fill(Ordered, Need, Room, Chosen);
    return true;
  }
};

class PackingFit : public PlacementPolicy {
public:
  bool choose(const Cluster &Workers, const Demand &Need,
              const RoomOnWorker &Room,
              std::vector<Member> &Chosen) const override {
    static constexpr Adjacency Levels[] = {
        Adjacency::SameWorker, Adjacency::SameRack, Adjacency::SameDataCentre,
        Adjacency::Any};
    for (const Adjacency Level : Levels) {
      if (chooseWithin(Workers, Workers.groups(Level), Need, Room, Chosen))
        return true;
      if (Level == Need.Near)
        return false;
    }
    return false;
  }

private:
  static bool chooseWithin(const Cluster &Workers,
                           const std::vector<Group> &Groups, const Demand &Need,
                           const RoomOnWorker &Room,
                           std::vector<Member> &Chosen) {
    const Group *Best = nullptr;
    std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
    std::int64_t BestRackFree = 0;
    for (const Group &Together : Groups) {
      const std::int64_t Free = freeInGroup(Workers, Together);
      if (Free > BestFree || roomInGroup(Together, Need, Room) < Need.Tasks)
        continue;
      // Of equal places, the one in the fuller rack keeps other racks whole.
      const std::int64_t RackFree = Workers.freeInRack(Together.front());
      if (Free == BestFree && RackFree >= BestRackFree)
        continue;
      Best = &Together;
      BestFree = Free;
      BestRackFree = RackFree;
    }
    if (!Best)
      return false;
    fillTightly(Workers, *Best, Need, Room, Chosen);
    return true;
  }

  /// Takes the worker that holds most of what is left, and for the last tasks
  /// the fullest worker that holds them all.
  static void fillTightly(const Cluster &Workers, const Group &Together,
                          const Demand &Need, const RoomOnWorker &Room,
                          std::vector<Member> &Chosen) {
    Group Ordered = Together;
    std::stable_sort(Ordered.begin(), Ordered.end(),
                     [&](WorkerIndex L, WorkerIndex R) {
                       const std::uint32_t Left = Room(L);
                       const std::uint32_t Right = Room(R);
                       if (Left != Right)
                         return Left > Right;
                       return Workers.worker(L).Free.Accelerators <
                              Workers.worker(R).Free.Accelerators;
                     });
    std::uint32_t Left = Need.Tasks;
    for (std::size_t I = 0; I < Ordered.size() && Left > 0; ++I) {
      std::size_t Pick = I;
      if (Room(Ordered[I]) >= Left)
        Pick = tightest(Workers, Ordered, I, Left, Room);
      const std::uint32_t Here = std::min(Left, Room(Ordered[Pick]));
      if (Here > 0)
        Chosen.push_back({Ordered[Pick], Here});
      Left -= Here;
    }
  }

  static std::size_t tightest(const Cluster &Workers, const Group &Ordered,
                              std::size_t From, std::uint32_t Left,
                              const RoomOnWorker &Room) {
    std::size_t Pick = From;
    for (std::size_t I = From; I < Ordered.size(); ++I) {
      if (Room(Ordered[I]) < Left)
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
