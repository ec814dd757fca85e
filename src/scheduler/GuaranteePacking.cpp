#include "scheduler/Guarantees.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::uint32_t DefaultWorkerSize = 8;
/// More than the accelerators of any rack.
constexpr std::uint64_t RackScale = 1 << 20;

} // namespace

std::uint32_t Guarantees::workerSize() const {
  const std::uint32_t Size = Workers.largestWorker();
  return Size == 0 ? DefaultWorkerSize : Size;
}

std::uint32_t Guarantees::partSize(const Cell &Which) const {
  return std::min(Which.Size, workerSize());
}

std::uint32_t Guarantees::parts(const Cell &Which) const {
  const std::uint32_t Part = partSize(Which);
  return (Which.Size + Part - 1) / Part;
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

/// What a worker and then its rack would have left over; a nearly full worker
/// in a nearly full rack keeps the larger pieces whole.
std::uint64_t Guarantees::leftover(WorkerIndex Index, const Room &Free) const {
  std::uint64_t InRack = 0;
  for (WorkerIndex I : Workers.rackOf(Index))
    InRack += Free[I];
  return std::uint64_t(Free[Index]) * RackScale + InRack;
}

} // namespace baobabcove
