#include "scheduler/Guarantees.h"

#include <algorithm>
#include <numeric>

namespace baobabcove {

namespace {

/// Locations of a cell for which the packing of the other cells is tried before
/// the choice fails.
constexpr std::size_t MaxPackingAttempts = 24;
/// Limits on the locations of a cell that are evaluated: in total, and among
/// them those that evict nothing.
constexpr std::size_t MaxEvaluatedLocations = 256;
constexpr std::size_t MaxZeroCostLocations = 8;

std::uint32_t nextPowerOfTwo(std::uint32_t Number) {
  std::uint32_t Power = 1;
  while (Power < Number)
    Power *= 2;
  return Power;
}

/// Orders adjacencies from the narrowest to the widest.
int spreadRank(Adjacency Near) {
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
  const std::uint32_t PerWorker = workerSize();
  std::vector<Cell> Result;
  for (const WorkspaceGuarantee &Each : Wanted) {
    for (const GuaranteeShape &Shape : Each.Shapes) {
      Cell NewCell;
      NewCell.Workspace = Each.Workspace;
      if (Shape.Accelerators <= PerWorker) {
        NewCell.Size = std::min(PerWorker, nextPowerOfTwo(Shape.Accelerators));
      } else {
        NewCell.Size =
            (Shape.Accelerators + PerWorker - 1) / PerWorker * PerWorker;
        NewCell.Near = Shape.Near == Adjacency::SameWorker ? Adjacency::SameRack
                                                           : Shape.Near;
      }
      Result.insert(Result.end(), Shape.Count, NewCell);
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
  std::vector<Cell> NewCells = cellsOf(Wanted);
  // A cell in use keeps its workers; an equal cell of the new guarantees adopts
  // it.
  for (Cell &Old : Cells) {
    if (Old.Users == 0) {
      Old = Cell();
      continue;
    }
    const auto Match =
        std::find_if(NewCells.begin(), NewCells.end(), [&](const Cell &New) {
          return New.Workspace == Old.Workspace && New.Size == Old.Size &&
                 New.Near == Old.Near;
        });
    Old.Retired = Match == NewCells.end();
    if (!Old.Retired)
      NewCells.erase(Match);
  }
  for (Cell &New : NewCells) {
    const auto Unused = std::find_if(Cells.begin(), Cells.end(),
                                     [](const Cell &C) { return C.Size == 0; });
    if (Unused != Cells.end())
      *Unused = New;
    else
      Cells.push_back(New);
  }
  orderCells();
  workersChanged();
}

bool Guarantees::hasUnusableWorker(const std::vector<CellUse> &Uses) const {
  for (const CellUse &Use : Uses)
    for (WorkerIndex I : Cells[Use.Cell].BoundTo)
      if (!Workers.worker(I).usable())
        return true;
  return false;
}

std::uint32_t Guarantees::tasksOnPart(const Cell &C, std::size_t Part,
                                      const Demand &Need) const {
  const std::uint32_t Size = partSize(C);
  if (C.BoundTo.empty())
    return Size / Need.Accelerators;
  if (!Workers.worker(C.BoundTo[Part]).usable())
    return 0;
  return (Size - C.Used[Part]) / Need.Accelerators;
}

std::uint32_t Guarantees::tasksInCell(const Cell &C, const Demand &Need) const {
  std::uint32_t Tasks = 0;
  const std::uint32_t Count = parts(C);
  for (std::uint32_t Part = 0; Part < Count; ++Part)
    Tasks += tasksOnPart(C, Part, Need);
  return Tasks;
}

bool Guarantees::canServe(const Cell &C, const WorkspaceId &Workspace,
                          const Demand &Need) const {
  if (C.Workspace != Workspace || C.Unpackable || C.Retired)
    return false;
  const Adjacency Spread =
      C.Size <= workerSize() ? Adjacency::SameWorker : C.Near;
  if (spreadRank(Spread) > spreadRank(Need.Near))
    return Need.Near == Adjacency::SameWorker && fullestPartFor(C, Need) >= 0;
  const std::uint32_t Tasks = tasksInCell(C, Need);
  // A gang with an adjacency constraint uses one cell; others may use several.
  return Need.Near == Adjacency::Any ? Tasks > 0 : Tasks >= Need.Tasks;
}

/// Returns the fullest part of a wide cell that holds the whole gang, or -1.
int Guarantees::fullestPartFor(const Cell &C, const Demand &Need) const {
  int Best = -1;
  std::uint32_t BestTasks = 0;
  for (std::uint32_t Part = 0; Part < parts(C); ++Part) {
    const std::uint32_t Tasks = tasksOnPart(C, Part, Need);
    if (Tasks < Need.Tasks || (Best >= 0 && Tasks >= BestTasks))
      continue;
    Best = static_cast<int>(Part);
    BestTasks = Tasks;
  }
  return Best;
}

/// Returns whether the first present worker still holds the cores and memory
/// when tasks of this demand use all of its accelerators.
bool Guarantees::withinWorkerRatio(const Demand &Need) const {
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
  if (!withinWorkerRatio(Need))
    return Fitting;
  for (CellIndex Index : Order)
    if (canServe(Cells[Index], Workspace, Need))
      Fitting.push_back(Index);
  // Bound cells first, so that unbound cells stay free; then the smallest.
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

std::vector<Member> Guarantees::assignTasks(const Cell &C, const Group &Bound,
                                            const Demand &Need,
                                            std::uint32_t Tasks) const {
  std::vector<Member> Members;
  if (Need.Near == Adjacency::SameWorker) {
    const int Part = fullestPartFor(C, Need);
    if (Part >= 0)
      Members.push_back({Bound[static_cast<std::size_t>(Part)], Tasks});
    return Members;
  }
  for (std::size_t Part = 0; Part < Bound.size() && Tasks > 0; ++Part) {
    const std::uint32_t Here = std::min(Tasks, tasksOnPart(C, Part, Need));
    if (Here == 0)
      continue;
    Members.push_back({Bound[Part], Here});
    Tasks -= Here;
  }
  return Members;
}

std::vector<Guarantees::Location>
Guarantees::narrowLocations(const Cell &C, const FreeAccelerators &Free,
                            std::uint32_t Tasks,
                            const EvictionCost &Cost) const {
  // Best fit first, so that few costs have to be computed.
  std::vector<Location> Fitting;
  for (WorkerIndex I = 0; I < Free.size(); ++I)
    if (Free[I] >= C.Size)
      Fitting.push_back({{I}, 0, leftover(I, Free) - C.Size});
  std::sort(
      Fitting.begin(), Fitting.end(), [](const Location &L, const Location &R) {
        return L.Leftover != R.Leftover ? L.Leftover < R.Leftover
                                        : L.Workers.front() < R.Workers.front();
      });
  std::vector<Location> Found;
  std::size_t ZeroCost = 0;
  for (Location &Each : Fitting) {
    if (ZeroCost >= MaxZeroCostLocations ||
        Found.size() >= MaxEvaluatedLocations)
      break;
    Each.Cost = Cost(Each.Workers.front(), Tasks);
    if (Each.Cost < 0)
      continue;
    ZeroCost += Each.Cost == 0 ? 1 : 0;
    Found.push_back(std::move(Each));
  }
  return Found;
}

std::vector<Guarantees::Location>
Guarantees::wideLocations(const Cell &C, const FreeAccelerators &Free,
                          const Demand &Need, std::uint32_t Tasks,
                          const EvictionCost &Cost) const {
  struct Candidate {
    double Loss;
    WorkerIndex Worker;
  };
  const std::uint32_t Part = partSize(C);
  const std::uint32_t PerPart = Part / Need.Accelerators;
  std::vector<Location> Found;
  for (const Group &InGroup : Workers.groups(C.Near)) {
    std::vector<Candidate> Candidates;
    for (WorkerIndex I : InGroup) {
      const double Loss =
          Free[I] >= Part ? Cost(I, std::min(Tasks, PerPart)) : -1;
      if (Loss >= 0)
        Candidates.push_back({Loss, I});
    }
    if (Candidates.size() < parts(C))
      continue;
    std::stable_sort(
        Candidates.begin(), Candidates.end(),
        [](const Candidate &L, const Candidate &R) { return L.Loss < R.Loss; });
    Location Wide;
    Wide.Leftover = Candidates.size() - parts(C);
    Candidates.resize(parts(C));
    for (const Candidate &Each : Candidates) {
      Wide.Workers.push_back(Each.Worker);
      Wide.Cost += Each.Loss;
    }
    Found.push_back(std::move(Wide));
  }
  return Found;
}

bool Guarantees::findLocation(const Cell &C, FreeAccelerators &Free,
                              const Demand &Need, std::uint32_t Tasks,
                              const EvictionCost &Cost,
                              const std::vector<CellIndex> &Placed,
                              Group &Bound) const {
  std::vector<Location> Found = C.Size <= workerSize()
                                    ? narrowLocations(C, Free, Tasks, Cost)
                                    : wideLocations(C, Free, Need, Tasks, Cost);
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Location &L, const Location &R) {
                     if (L.Cost != R.Cost)
                       return L.Cost < R.Cost;
                     return L.Leftover < R.Leftover;
                   });
  const std::uint32_t Part = partSize(C);
  const auto Others = unboundCells(Placed);
  std::size_t Attempts = 0;
  for (const Location &Each : Found) {
    if (Attempts++ == MaxPackingAttempts)
      break;
    FreeAccelerators After = Free;
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
  FreeAccelerators Free = unboundAccelerators();
  std::vector<CellIndex> Placed;
  std::uint32_t Remaining = Need.Tasks;
  for (CellIndex Index : Picked) {
    if (Remaining == 0)
      break;
    const Cell &C = Cells[Index];
    const std::uint32_t Tasks = std::min(Remaining, tasksInCell(C, Need));
    Group Bound = C.BoundTo;
    Placed.push_back(Index);
    if (Bound.empty() &&
        !findLocation(C, Free, Need, Tasks, Cost, Placed, Bound)) {
      Placed.pop_back();
      continue;
    }
    CellUse Use{Index, assignTasks(C, Bound, Need, Tasks)};
    const bool Evictable = std::all_of(
        Use.Members.begin(), Use.Members.end(),
        [&](const Member &Each) { return Cost(Each.Worker, Each.Tasks) >= 0; });
    if (!Evictable)
      continue;
    Chosen.Members.insert(Chosen.Members.end(), Use.Members.begin(),
                          Use.Members.end());
    Chosen.Uses.push_back(std::move(Use));
    Chosen.Bindings.push_back(std::move(Bound));
    Remaining -= Tasks;
  }
  return Remaining == 0;
}

bool Guarantees::adopt(const WorkspaceId &Workspace, const Demand &Need,
                       const std::vector<Member> &Members,
                       GuaranteedPlacement &Chosen) const {
  Chosen = GuaranteedPlacement();
  Chosen.Members = Members;
  FreeAccelerators Free = unboundAccelerators();
  std::vector<CellIndex> Taken;
  for (const Member &Each : Members) {
    std::uint32_t Remaining = Each.Tasks;
    for (CellIndex Index : Order) {
      const Cell &C = Cells[Index];
      const bool Narrow = C.Size <= workerSize();
      if (Remaining == 0)
        break;
      if (C.Workspace != Workspace || C.Retired || !Narrow ||
          contains(Taken, Index))
        continue;
      const bool Here = C.BoundTo.empty() ? Free[Each.Worker] >= C.Size
                                          : C.BoundTo[0] == Each.Worker;
      const std::uint32_t Tasks =
          Here ? std::min(Remaining, tasksOnPart(C, 0, Need)) : 0;
      if (Tasks == 0)
        continue;
      if (C.BoundTo.empty())
        Free[Each.Worker] -= C.Size;
      Taken.push_back(Index);
      Chosen.Uses.push_back({Index, {{Each.Worker, Tasks}}});
      Chosen.Bindings.push_back({Each.Worker});
      Remaining -= Tasks;
    }
    if (Remaining > 0)
      return false;
  }
  return !Members.empty();
}

void Guarantees::bind(const GuaranteedPlacement &Chosen, const Demand &Need) {
  for (std::size_t I = 0; I < Chosen.Uses.size(); ++I) {
    Cell &C = Cells[Chosen.Uses[I].Cell];
    if (C.BoundTo.empty()) {
      C.BoundTo = Chosen.Bindings[I];
      C.Used.assign(C.BoundTo.size(), 0);
    }
    ++C.Users;
    for (const Member &Each : Chosen.Uses[I].Members) {
      const auto Part =
          std::find(C.BoundTo.begin(), C.BoundTo.end(), Each.Worker) -
          C.BoundTo.begin();
      C.Used[static_cast<std::size_t>(Part)] += Each.Tasks * Need.Accelerators;
    }
  }
}

void Guarantees::release(const std::vector<CellUse> &Uses, const Demand &Need) {
  bool Unbound = false;
  for (const CellUse &Use : Uses) {
    Cell &C = Cells[Use.Cell];
    for (const Member &Each : Use.Members) {
      const auto Part =
          std::find(C.BoundTo.begin(), C.BoundTo.end(), Each.Worker) -
          C.BoundTo.begin();
      C.Used[static_cast<std::size_t>(Part)] -= Each.Tasks * Need.Accelerators;
    }
    if (--C.Users != 0)
      continue;
    C.BoundTo.clear();
    C.Used.clear();
    if (C.Retired)
      C = Cell();
    Unbound = true;
  }
  if (Unbound)
    orderCells();
  if (Unbound && unpackable() != 0)
    workersChanged();
}

} // namespace baobabcove
