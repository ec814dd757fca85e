#include "scheduler/Guarantees.h"

#include <algorithm>
#include <numeric>

namespace baobabcove {

namespace {

constexpr std::uint32_t DefaultWorkerSize = 8;
/// Locations of one cell whose packing is tried before the choice is given up.
constexpr std::size_t MaxLocations = 24;
/// More than the accelerators of any rack.
constexpr std::uint64_t RackScale = 1 << 20;

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

bool contains(const std::vector<CellIndex> &List, CellIndex Index) {
  return std::find(List.begin(), List.end(), Index) != List.end();
}

} // namespace

std::uint32_t Guarantees::workerSize() const {
  std::uint32_t Size = 0;
  for (const Worker &Each : Workers.workers())
    if (Each.Present)
      Size = std::max(Size, Each.Info.Accelerators);
  return Size == 0 ? DefaultWorkerSize : Size;
}

std::uint32_t Guarantees::partSize(const Cell &Which) const {
  return std::min(Which.Size, workerSize());
}

std::uint32_t Guarantees::parts(const Cell &Which) const {
  const std::uint32_t Part = partSize(Which);
  return (Which.Size + Part - 1) / Part;
}

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

Guarantees::Room Guarantees::emptyRoom() const {
  Room Free(Workers.workers().size());
  for (WorkerIndex I = 0; I < Free.size(); ++I)
    if (Workers.worker(I).usable())
      Free[I] = Workers.worker(I).Info.Accelerators;
  return Free;
}

Guarantees::Room Guarantees::unboundRoom() const {
  Room Free = emptyRoom();
  for (CellIndex Index : Order) {
    const Cell &Each = Cells[Index];
    const std::uint32_t Part = Each.BoundTo.empty() ? 0 : partSize(Each);
    for (WorkerIndex I : Each.BoundTo)
      Free[I] -= std::min(Free[I], Part);
  }
  return Free;
}

std::vector<std::uint32_t> Guarantees::levels(const Room &Free) {
  std::vector<std::uint32_t> Count;
  for (std::uint32_t Accelerators : Free) {
    if (Accelerators >= Count.size())
      Count.resize(Accelerators + 1);
    ++Count[Accelerators];
  }
  return Count;
}

bool Guarantees::packWide(Room &Free, const Cell &Which) const {
  const std::uint32_t Part = partSize(Which);
  const std::uint32_t Wanted = parts(Which);
  const Group *Best = nullptr;
  std::size_t BestWhole = 0;
  for (const Group &Candidate : Workers.groups(Which.Near)) {
    std::size_t Whole = 0;
    for (WorkerIndex I : Candidate)
      Whole += Free[I] >= Part ? 1 : 0;
    if (Whole >= Wanted && (!Best || Whole < BestWhole)) {
      Best = &Candidate;
      BestWhole = Whole;
    }
  }
  if (!Best)
    return false;
  std::uint32_t Left = Wanted;
  for (WorkerIndex I : *Best) {
    if (Left == 0 || Free[I] < Part)
      continue;
    Free[I] -= Part;
    --Left;
  }
  return true;
}

std::vector<const Guarantees::Cell *>
Guarantees::unboundCells(const std::vector<CellIndex> &Skipped) const {
  std::vector<const Cell *> Pieces;
  for (CellIndex Index : Order) {
    const Cell &Each = Cells[Index];
    if (Each.BoundTo.empty() && !Each.Suspended && !contains(Skipped, Index))
      Pieces.push_back(&Each);
  }
  return Pieces;
}

/// Packs pieces, largest first. For sizes that are powers of two within equal
/// workers, best fit in falling order finds a packing whenever there is one.
bool Guarantees::packAll(Room Free,
                         const std::vector<const Cell *> &Pieces) const {
  const std::uint32_t Whole = workerSize();
  std::size_t I = 0;
  for (; I < Pieces.size() && Pieces[I]->Size > Whole; ++I)
    if (!packWide(Free, *Pieces[I]))
      return false;
  std::vector<std::uint32_t> Count = levels(Free);
  for (; I < Pieces.size(); ++I) {
    const std::uint32_t Size = Pieces[I]->Size;
    std::size_t Level = Size;
    while (Level < Count.size() && Count[Level] == 0)
      ++Level;
    if (Level >= Count.size())
      return false;
    --Count[Level];
    ++Count[Level - Size];
  }
  return true;
}

bool Guarantees::broken(const std::vector<CellUse> &Uses) const {
  for (const CellUse &Use : Uses)
    for (WorkerIndex I : Cells[Use.Cell].BoundTo)
      if (!Workers.worker(I).usable())
        return true;
  return false;
}

void Guarantees::workersChanged() {
  Room Free = unboundRoom();
  const std::uint32_t Whole = workerSize();
  for (CellIndex Index : Order) {
    Cell &Each = Cells[Index];
    if (!Each.BoundTo.empty())
      continue;
    if (Each.Size > Whole) {
      Each.Suspended = !packWide(Free, Each);
      continue;
    }
    WorkerIndex Best = 0;
    bool Found = false;
    for (WorkerIndex I = 0; I < Free.size(); ++I) {
      if (Free[I] < Each.Size || (Found && Free[I] >= Free[Best]))
        continue;
      Best = I;
      Found = true;
    }
    Each.Suspended = !Found;
    if (Found)
      Free[Best] -= Each.Size;
  }
}

bool Guarantees::packableWhenEmpty(
    const std::vector<WorkspaceGuarantee> &Wanted) const {
  std::vector<Cell> Pieces = cellsOf(Wanted);
  std::stable_sort(
      Pieces.begin(), Pieces.end(),
      [](const Cell &L, const Cell &R) { return L.Size > R.Size; });
  std::vector<const Cell *> List;
  List.reserve(Pieces.size());
  for (const Cell &Each : Pieces)
    List.push_back(&Each);
  return packAll(emptyRoom(), List);
}

std::size_t Guarantees::unpackable() const {
  return static_cast<std::size_t>(
      std::count_if(Order.begin(), Order.end(),
                    [&](CellIndex I) { return Cells[I].Suspended; }));
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

/// What a worker and then its rack would have left over; a nearly full worker
/// in a nearly full rack keeps the larger pieces whole.
std::uint64_t Guarantees::leftover(WorkerIndex Index, const Room &Free) const {
  std::uint64_t InRack = 0;
  for (WorkerIndex I : Workers.rackOf(Index))
    InRack += Free[I];
  return std::uint64_t(Free[Index]) * RackScale + InRack;
}

std::vector<Guarantees::Location>
Guarantees::narrowLocations(const Cell &Which, const Room &Free,
                            std::uint32_t Tasks,
                            const EvictionCost &Cost) const {
  std::vector<Location> Found;
  for (WorkerIndex I = 0; I < Free.size(); ++I) {
    if (Free[I] < Which.Size)
      continue;
    const double Loss = Cost(I, Tasks);
    if (Loss >= 0)
      Found.push_back({{I}, Loss, leftover(I, Free) - Which.Size});
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
