#include "scheduler/Guarantees.h"

#include <algorithm>
#include <numeric>

namespace baobabcove {

namespace {

/// Locations of one cell whose packing is tried before the choice is given up.
constexpr std::size_t MaxLocations = 24;
/// Locations of one cell that are looked at, and those without loss among them.
constexpr std::size_t EnoughLocations = 256;
constexpr std::size_t EnoughWithoutLoss = 8;

std::uint32_t nextPowerOfTwo(std::uint32_t Number) {
  std::uint32_t Power = 1;
  while (Power < Number)
    Power *= 2;
  return Power;
}

/// How wide a gang of this adjacency may lie, narrow first.
int width(Adjacency Near) {
  switch (Near) {
  case Adjacency::SameWorker:
    return 0;
  case Adjacency::SameRack:
    return 1;
  case Adjacency::SameDataCentre:
    return 2;
  case Adjacency::Any:
    break;
  }
  return 3;
}

} // namespace

std::vector<Guarantees::Cell>
Guarantees::cellsOf(const std::vector<WorkspaceGuarantee> &Wanted) const {
  const std::uint32_t Whole = workerSize();
  std::vector<Cell> Result;
  for (const WorkspaceGuarantee &Each : Wanted) {
    for (const GuaranteeShape &Shape : Each.Shapes) {
      Cell Piece;
      Piece.Workspace = Each.Workspace;
      if (Shape.Accelerators <= Whole) {
        Piece.Size = std::min(Whole, nextPowerOfTwo(Shape.Accelerators));
      } else {
        Piece.Size = (Shape.Accelerators + Whole - 1) / Whole * Whole;
        Piece.Near = Shape.Near == Adjacency::SameWorker ? Adjacency::SameRack
                                                         : Shape.Near;
      }
      Result.insert(Result.end(), Shape.Count, Piece);
    }
  }
  return Result;
}

void Guarantees::orderCells() {
  Order.clear();
  for (CellIndex I = 0; I < Cells.size(); ++I)
    if (Cells[I].Size != 0)
      Order.push_back(I);
  std::stable_sort(Order.begin(), Order.end(), [&](CellIndex L, CellIndex R) {
    return Cells[L].Size > Cells[R].Size;
  });
}

void Guarantees::set(const std::vector<WorkspaceGuarantee> &Wanted) {
  std::vector<Cell> Fresh = cellsOf(Wanted);
  // Cells in use stay where they are; an equal wanted cell takes them over.
  for (Cell &Old : Cells) {
    if (Old.Users == 0) {
      Old = Cell();
      continue;
    }
    const auto Same =
        std::find_if(Fresh.begin(), Fresh.end(), [&](const Cell &New) {
          return New.Workspace == Old.Workspace && New.Size == Old.Size &&
                 New.Near == Old.Near;
        });
    Old.Retired = Same == Fresh.end();
    if (!Old.Retired)
      Fresh.erase(Same);
  }
  for (Cell &New : Fresh) {
    const auto Dead = std::find_if(Cells.begin(), Cells.end(),
                                   [](const Cell &C) { return C.Size == 0; });
    if (Dead != Cells.end())
      *Dead = New;
    else
      Cells.push_back(New);
  }
  orderCells();
  workersChanged();
}

bool Guarantees::broken(const std::vector<CellUse> &Uses) const {
  for (const CellUse &Use : Uses)
    for (WorkerIndex I : Cells[Use.Cell].BoundTo)
      if (!Workers.worker(I).usable())
        return true;
  return false;
}

std::uint32_t Guarantees::tasksOnPart(const Cell &Which, std::size_t Part,
                                      const Demand &Need) const {
  const std::uint32_t Size = partSize(Which);
  if (Which.BoundTo.empty())
    return Size / Need.Accelerators;
  if (!Workers.worker(Which.BoundTo[Part]).usable())
    return 0;
  return (Size - Which.Used[Part]) / Need.Accelerators;
}

std::uint32_t Guarantees::tasksInCell(const Cell &Which,
                                      const Demand &Need) const {
  std::uint32_t Tasks = 0;
  const std::uint32_t Count = parts(Which);
  for (std::uint32_t Part = 0; Part < Count; ++Part)
    Tasks += tasksOnPart(Which, Part, Need);
  return Tasks;
}

bool Guarantees::suits(const Cell &Which, const WorkspaceId &Workspace,
                       const Demand &Need) const {
  if (Which.Workspace != Workspace || Which.Suspended || Which.Retired)
    return false;
  const Adjacency Spread =
      Which.Size <= workerSize() ? Adjacency::SameWorker : Which.Near;
  if (width(Spread) > width(Need.Near))
    return Need.Near == Adjacency::SameWorker && partFor(Which, Need) >= 0;
  const std::uint32_t Tasks = tasksInCell(Which, Need);
  // A gang that must lie together uses one cell; others may use several.
  return Need.Near == Adjacency::Any ? Tasks > 0 : Tasks >= Need.Tasks;
}

/// The fullest part of a wide cell that holds the whole gang, or -1.
int Guarantees::partFor(const Cell &Which, const Demand &Need) const {
  int Best = -1;
  std::uint32_t BestTasks = 0;
  for (std::uint32_t Part = 0; Part < parts(Which); ++Part) {
    const std::uint32_t Tasks = tasksOnPart(Which, Part, Need);
    if (Tasks < Need.Tasks || (Best >= 0 && Tasks >= BestTasks))
      continue;
    Best = static_cast<int>(Part);
    BestTasks = Tasks;
  }
  return Best;
}

bool Guarantees::withinShare(const Demand &Need) const {
  for (const Worker &Each : Workers.workers()) {
    if (!Each.Present)
      continue;
    Demand Full = Need;
    Full.Tasks = Each.Info.Accelerators / std::max(1U, Need.Accelerators);
    return Full.Tasks > 0 && Cluster::tasksWhenEmpty(Each, Full) >= Full.Tasks;
  }
  return false;
}

std::vector<CellIndex> Guarantees::pickCells(const WorkspaceId &Workspace,
                                             const Demand &Need) const {
  std::vector<CellIndex> Fitting;
  if (!withinShare(Need))
    return Fitting;
  for (CellIndex Index : Order)
    if (suits(Cells[Index], Workspace, Need))
      Fitting.push_back(Index);
  // Bound cells first, so that whole ones stay whole; then the smallest.
  std::stable_sort(Fitting.begin(), Fitting.end(),
                   [&](CellIndex L, CellIndex R) {
                     const bool LeftBound = !Cells[L].BoundTo.empty();
                     const bool RightBound = !Cells[R].BoundTo.empty();
                     if (LeftBound != RightBound)
                       return LeftBound;
                     return Cells[L].Size < Cells[R].Size;
                   });
  std::uint32_t Tasks = 0;
  for (CellIndex Index : Fitting)
    Tasks += tasksInCell(Cells[Index], Need);
  if (Tasks < Need.Tasks)
    Fitting.clear();
  return Fitting;
}

bool Guarantees::covers(const WorkspaceId &Workspace,
                        const Demand &Need) const {
  return !pickCells(Workspace, Need).empty();
}

std::vector<Member> Guarantees::spread(const Cell &Which, const Group &Bound,
                                       const Demand &Need,
                                       std::uint32_t Tasks) const {
  std::vector<Member> Members;
  if (Need.Near == Adjacency::SameWorker) {
    const int Part = partFor(Which, Need);
    if (Part >= 0)
      Members.push_back({Bound[static_cast<std::size_t>(Part)], Tasks});
    return Members;
  }
  for (std::size_t Part = 0; Part < Bound.size() && Tasks > 0; ++Part) {
    const std::uint32_t Here = std::min(Tasks, tasksOnPart(Which, Part, Need));
    if (Here == 0)
      continue;
    Members.push_back({Bound[Part], Here});
    Tasks -= Here;
  }
  return Members;
}

std::vector<Guarantees::Location>
Guarantees::narrowLocations(const Cell &Which, const Room &Free,
                            std::uint32_t Tasks,
                            const EvictionCost &Cost) const {
  // Tightest first, so that few costs need be reckoned.
  std::vector<Location> Fitting;
  for (WorkerIndex I = 0; I < Free.size(); ++I)
    if (Free[I] >= Which.Size)
      Fitting.push_back({{I}, 0, leftover(I, Free) - Which.Size});
  std::sort(
      Fitting.begin(), Fitting.end(), [](const Location &L, const Location &R) {
        return L.Leftover != R.Leftover ? L.Leftover < R.Leftover
                                        : L.Workers.front() < R.Workers.front();
      });
  std::vector<Location> Found;
  std::size_t WithoutLoss = 0;
  for (Location &Each : Fitting) {
    if (WithoutLoss >= EnoughWithoutLoss || Found.size() >= EnoughLocations)
      break;
    Each.Cost = Cost(Each.Workers.front(), Tasks);
    if (Each.Cost < 0)
      continue;
    WithoutLoss += Each.Cost == 0 ? 1 : 0;
    Found.push_back(std::move(Each));
  }
  return Found;
}

std::vector<Guarantees::Location>
Guarantees::wideLocations(const Cell &Which, const Room &Free,
                          const Demand &Need, std::uint32_t Tasks,
                          const EvictionCost &Cost) const {
  struct Candidate {
    double Loss;
    WorkerIndex Worker;
  };
  const std::uint32_t Part = partSize(Which);
  const std::uint32_t PerPart = Part / Need.Accelerators;
  std::vector<Location> Found;
  for (const Group &Together : Workers.groups(Which.Near)) {
    std::vector<Candidate> Whole;
    for (WorkerIndex I : Together) {
      const double Loss =
          Free[I] >= Part ? Cost(I, std::min(Tasks, PerPart)) : -1;
      if (Loss >= 0)
        Whole.push_back({Loss, I});
    }
    if (Whole.size() < parts(Which))
      continue;
    std::stable_sort(
        Whole.begin(), Whole.end(),
        [](const Candidate &L, const Candidate &R) { return L.Loss < R.Loss; });
    Location Place;
    Place.Leftover = Whole.size() - parts(Which);
    Whole.resize(parts(Which));
    for (const Candidate &Each : Whole) {
      Place.Workers.push_back(Each.Worker);
      Place.Cost += Each.Loss;
    }
    Found.push_back(std::move(Place));
  }
  return Found;
}

bool Guarantees::locate(const Cell &Which, Room &Free, const Demand &Need,
                        std::uint32_t Tasks, const EvictionCost &Cost,
                        const std::vector<CellIndex> &Placed,
                        Group &Bound) const {
  std::vector<Location> Found =
      Which.Size <= workerSize()
          ? narrowLocations(Which, Free, Tasks, Cost)
          : wideLocations(Which, Free, Need, Tasks, Cost);
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Location &L, const Location &R) {
                     if (L.Cost != R.Cost)
                       return L.Cost < R.Cost;
                     return L.Leftover < R.Leftover;
                   });
  const std::uint32_t Part = partSize(Which);
  const auto Others = unboundCells(Placed);
  std::size_t Tried = 0;
  for (const Location &Each : Found) {
    if (Tried++ == MaxLocations)
      break;
    Room After = Free;
    for (WorkerIndex I : Each.Workers)
      After[I] -= Part;
    if (!packAll(After, Others))
      continue;
    Free = std::move(After);
    Bound = Each.Workers;
    return true;
  }
  return false;
}

bool Guarantees::choose(const WorkspaceId &Workspace, const Demand &Need,
                        const EvictionCost &Cost,
                        GuaranteedPlacement &Chosen) const {
  const std::vector<CellIndex> Picked = pickCells(Workspace, Need);
  if (Picked.empty())
    return false;
  Chosen = GuaranteedPlacement();
  Room Free = unboundRoom();
  std::vector<CellIndex> Placed;
  std::uint32_t Left = Need.Tasks;
  for (CellIndex Index : Picked) {
    if (Left == 0)
      break;
    const Cell &Which = Cells[Index];
    const std::uint32_t Tasks = std::min(Left, tasksInCell(Which, Need));
    Group Bound = Which.BoundTo;
    Placed.push_back(Index);
    if (Bound.empty() &&
        !locate(Which, Free, Need, Tasks, Cost, Placed, Bound)) {
      Placed.pop_back();
      continue;
    }
    CellUse Use{Index, spread(Which, Bound, Need, Tasks)};
    const bool Evictable = std::all_of(
        Use.Members.begin(), Use.Members.end(),
        [&](const Member &Each) { return Cost(Each.Worker, Each.Tasks) >= 0; });
    if (!Evictable)
      continue;
    Chosen.Members.insert(Chosen.Members.end(), Use.Members.begin(),
                          Use.Members.end());
    Chosen.Uses.push_back(std::move(Use));
    Chosen.Bindings.push_back(std::move(Bound));
    Left -= Tasks;
  }
  return Left == 0;
}

bool Guarantees::adopt(const WorkspaceId &Workspace, const Demand &Need,
                       const std::vector<Member> &Members,
                       GuaranteedPlacement &Chosen) const {
  Chosen = GuaranteedPlacement();
  Chosen.Members = Members;
  Room Free = unboundRoom();
  std::vector<CellIndex> Taken;
  for (const Member &Each : Members) {
    std::uint32_t Left = Each.Tasks;
    for (CellIndex Index : Order) {
      const Cell &Which = Cells[Index];
      const bool Narrow = Which.Size <= workerSize();
      if (Left == 0)
        break;
      if (Which.Workspace != Workspace || Which.Retired || !Narrow ||
          contains(Taken, Index))
        continue;
      const bool Here = Which.BoundTo.empty() ? Free[Each.Worker] >= Which.Size
                                              : Which.BoundTo[0] == Each.Worker;
      const std::uint32_t Tasks =
          Here ? std::min(Left, tasksOnPart(Which, 0, Need)) : 0;
      if (Tasks == 0)
        continue;
      if (Which.BoundTo.empty())
        Free[Each.Worker] -= Which.Size;
      Taken.push_back(Index);
      Chosen.Uses.push_back({Index, {{Each.Worker, Tasks}}});
      Chosen.Bindings.push_back({Each.Worker});
      Left -= Tasks;
    }
    if (Left > 0)
      return false;
  }
  return !Members.empty();
}

void Guarantees::bind(const GuaranteedPlacement &Chosen, const Demand &Need) {
  for (std::size_t I = 0; I < Chosen.Uses.size(); ++I) {
    Cell &Which = Cells[Chosen.Uses[I].Cell];
    if (Which.BoundTo.empty()) {
      Which.BoundTo = Chosen.Bindings[I];
      Which.Used.assign(Which.BoundTo.size(), 0);
    }
    ++Which.Users;
    for (const Member &Each : Chosen.Uses[I].Members) {
      const auto Part =
          std::find(Which.BoundTo.begin(), Which.BoundTo.end(), Each.Worker) -
          Which.BoundTo.begin();
      Which.Used[static_cast<std::size_t>(Part)] +=
          Each.Tasks * Need.Accelerators;
    }
  }
}

void Guarantees::release(const std::vector<CellUse> &Uses, const Demand &Need) {
  bool Unbound = false;
  for (const CellUse &Use : Uses) {
    Cell &Which = Cells[Use.Cell];
    for (const Member &Each : Use.Members) {
      const auto Part =
          std::find(Which.BoundTo.begin(), Which.BoundTo.end(), Each.Worker) -
          Which.BoundTo.begin();
      Which.Used[static_cast<std::size_t>(Part)] -=
          Each.Tasks * Need.Accelerators;
    }
    if (--Which.Users != 0)
      continue;
    Which.BoundTo.clear();
    Which.Used.clear();
    if (Which.Retired)
      Which = Cell();
    Unbound = true;
  }
  if (Unbound)
    orderCells();
  if (Unbound && unpackable() != 0)
    workersChanged();
}

} // namespace baobabcove
