#include "scheduler/Guarantees.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Accelerators of a worker, assumed while no worker is present.
constexpr std::uint32_t DefaultWorkerSize = 8;
/// Exceeds the accelerators of any rack, so that the worker's own remainder
/// outweighs that of its rack.
constexpr std::uint64_t RackScale = 1 << 20;

} // namespace

std::uint32_t Guarantees::workerSize() const {
  const std::uint32_t Size = Workers.largestWorker();
  return Size == 0 ? DefaultWorkerSize : Size;
}

std::uint32_t Guarantees::partSize(const Cell &C) const {
  return std::min(C.Size, workerSize());
}

std::uint32_t Guarantees::parts(const Cell &C) const {
  const std::uint32_t Part = partSize(C);
  return (C.Size + Part - 1) / Part;
}

Guarantees::FreeAccelerators Guarantees::acceleratorsWhenEmpty() const {
  FreeAccelerators Free(Workers.workers().size());
  for (WorkerIndex I = 0; I < Free.size(); ++I)
    if (Workers.worker(I).usable())
      Free[I] = Workers.worker(I).Info.Accelerators;
  return Free;
}

Guarantees::FreeAccelerators Guarantees::unboundAccelerators() const {
  FreeAccelerators Free = acceleratorsWhenEmpty();
  for (CellIndex Index : Order) {
    const Cell &Each = Cells[Index];
    const std::uint32_t Part = Each.BoundTo.empty() ? 0 : partSize(Each);
    for (WorkerIndex I : Each.BoundTo)
      Free[I] -= std::min(Free[I], Part);
  }
  return Free;
}

std::vector<std::uint32_t>
Guarantees::workersByFree(const FreeAccelerators &Free) {
  std::vector<std::uint32_t> Count;
  for (std::uint32_t Accelerators : Free) {
    if (Accelerators >= Count.size())
      Count.resize(Accelerators + 1);
    ++Count[Accelerators];
  }
  return Count;
}

bool Guarantees::packWide(FreeAccelerators &Free, const Cell &C) const {
  const std::uint32_t Part = partSize(C);
  const std::uint32_t PartCount = parts(C);
  const Group *Best = nullptr;
  std::size_t FewestFreeWorkers = 0;
  for (const Group &Candidate : Workers.groups(C.Near)) {
    std::size_t FreeWorkers = 0;
    for (WorkerIndex I : Candidate)
      FreeWorkers += Free[I] >= Part ? 1 : 0;
    if (FreeWorkers >= PartCount &&
        (!Best || FreeWorkers < FewestFreeWorkers)) {
      Best = &Candidate;
      FewestFreeWorkers = FreeWorkers;
    }
  }
  if (!Best)
    return false;
  std::uint32_t Remaining = PartCount;
  for (WorkerIndex I : *Best) {
    if (Remaining == 0 || Free[I] < Part)
      continue;
    Free[I] -= Part;
    --Remaining;
  }
  return true;
}

std::vector<const Guarantees::Cell *>
Guarantees::unboundCells(const std::vector<CellIndex> &Skipped) const {
  std::vector<const Cell *> Unbound;
  for (CellIndex Index : Order) {
    const Cell &Each = Cells[Index];
    if (Each.BoundTo.empty() && !Each.Unpackable && !contains(Skipped, Index))
      Unbound.push_back(&Each);
  }
  return Unbound;
}

/// Packs cells, largest first. For sizes that are powers of two and workers of
/// equal size, best-fit decreasing finds a packing whenever one exists.
bool Guarantees::packAll(FreeAccelerators Free,
                         const std::vector<const Cell *> &ToPack) const {
  const std::uint32_t PerWorker = workerSize();
  std::size_t I = 0;
  for (; I < ToPack.size() && ToPack[I]->Size > PerWorker; ++I)
    if (!packWide(Free, *ToPack[I]))
      return false;
  std::vector<std::uint32_t> Count = workersByFree(Free);
  for (; I < ToPack.size(); ++I) {
    const std::uint32_t Size = ToPack[I]->Size;
    std::size_t Available = Size;
    while (Available < Count.size() && Count[Available] == 0)
      ++Available;
    if (Available >= Count.size())
      return false;
    --Count[Available];
    ++Count[Available - Size];
  }
  return true;
}

void Guarantees::workersChanged() {
  FreeAccelerators Free = unboundAccelerators();
  const std::uint32_t PerWorker = workerSize();
  for (CellIndex Index : Order) {
    Cell &Each = Cells[Index];
    if (!Each.BoundTo.empty())
      continue;
    if (Each.Size > PerWorker) {
      Each.Unpackable = !packWide(Free, Each);
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
    Each.Unpackable = !Found;
    if (Found)
      Free[Best] -= Each.Size;
  }
}

bool Guarantees::packableWhenEmpty(
    const std::vector<WorkspaceGuarantee> &Wanted) const {
  std::vector<Cell> WantedCells = cellsOf(Wanted);
  std::stable_sort(
      WantedCells.begin(), WantedCells.end(),
      [](const Cell &L, const Cell &R) { return L.Size > R.Size; });
  std::vector<const Cell *> ToPack;
  ToPack.reserve(WantedCells.size());
  for (const Cell &Each : WantedCells)
    ToPack.push_back(&Each);
  return packAll(acceleratorsWhenEmpty(), ToPack);
}

std::size_t Guarantees::unpackable() const {
  return static_cast<std::size_t>(
      std::count_if(Order.begin(), Order.end(),
                    [&](CellIndex I) { return Cells[I].Unpackable; }));
}

/// Ranks a worker by its own free accelerators, then by those of its rack. Use
/// of nearly full workers in nearly full racks leaves larger blocks elsewhere.
std::uint64_t Guarantees::leftover(WorkerIndex Index,
                                   const FreeAccelerators &Free) const {
  std::uint64_t InRack = 0;
  for (WorkerIndex I : Workers.rackOf(Index))
    InRack += Free[I];
  return std::uint64_t(Free[Index]) * RackScale + InRack;
}

} // namespace baobabcove
