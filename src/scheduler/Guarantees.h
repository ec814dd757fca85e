/// \file
/// Guaranteed pieces (cells) of the workspaces and where they are bound.
///
/// After the cell hierarchy of Zhao et al., "HiveD: Sharing a GPU Cluster for
/// Deep Learning with Guarantees" (OSDI 2020): a cell is bound to a place on
/// workers only while its workspace uses it, and stays bound whole, so that an
/// ending gang always gives back a piece of the size that the guarantee names.

#ifndef BAOBABCOVE_SCHEDULER_GUARANTEES_H
#define BAOBABCOVE_SCHEDULER_GUARANTEES_H

#include "scheduler/Cluster.h"

#include <functional>
#include <map>

namespace baobabcove {

/// Position of a cell in its table.
using CellIndex = std::uint32_t;

/// Whether a list of cells names \p Index.
inline bool contains(const std::vector<CellIndex> &List, CellIndex Index) {
  return std::find(List.begin(), List.end(), Index) != List.end();
}

/// Part of a cell that a gang uses.
struct CellUse {
  CellIndex Cell = 0;
  std::vector<Member> Members;
};

/// Where a gang would run within its guarantee.
struct GuaranteedPlacement {
  std::vector<CellUse> Uses;
  /// For each use, the workers that the cell is bound to.
  std::vector<Group> Bindings;
  std::vector<Member> Members;
};

/// Loss, in accelerator milliseconds, of freeing \p Tasks tasks of a gang on a
/// worker; negative when it cannot be freed.
using EvictionCost = std::function<double(WorkerIndex, std::uint32_t Tasks)>;

/// The cells of all workspaces.
class Guarantees {
public:
  explicit Guarantees(const Cluster &Workers) : Workers(Workers) {}

  /// Replaces the guarantees. Cells in use are kept until their gangs end.
  void set(const std::vector<WorkspaceGuarantee> &Wanted);

  /// Whether the free cells of \p Workspace could hold \p Need.
  bool covers(const WorkspaceId &Workspace, const Demand &Need) const;

  /// Chooses cells and workers for a gang at the least eviction cost such that
  /// every other free cell can still be packed. Returns false when there is no
  /// such choice now.
  bool choose(const WorkspaceId &Workspace, const Demand &Need,
              const EvictionCost &Cost, GuaranteedPlacement &Chosen) const;

  /// Finds cells for a gang that already runs on \p Members. Returns false
  /// when the guarantee does not cover it there.
  bool adopt(const WorkspaceId &Workspace, const Demand &Need,
             const std::vector<Member> &Members,
             GuaranteedPlacement &Chosen) const;

  /// Binds the chosen cells.
  void bind(const GuaranteedPlacement &Chosen, const Demand &Need);

  /// Ends a gang's use; a cell without users is unbound.
  void release(const std::vector<CellUse> &Uses, const Demand &Need);

  /// Whether a used cell lies on a worker that can take no more gangs.
  bool broken(const std::vector<CellUse> &Uses) const;

  /// Finds which cells the present workers can hold at once. Call it after
  /// workers have come or gone.
  void workersChanged();

  /// Whether all shapes could be packed on the empty present workers.
  bool packableWhenEmpty(const std::vector<WorkspaceGuarantee> &Wanted) const;

  /// Free cells that the present workers cannot hold.
  std::size_t unpackable() const;

private:
  struct Cell {
    WorkspaceId Workspace;
    std::uint32_t Size = 0;
    Adjacency Near = Adjacency::SameWorker;
    /// Accelerators in use, for each worker in BoundTo.
    std::vector<std::uint32_t> Used;
    Group BoundTo;
    std::uint32_t Users = 0;
    bool Suspended = false;
    /// No longer part of the configuration; freed when its users end.
    bool Retired = false;
  };

  /// Accelerators of each worker that no cell is bound to.
  using Room = std::vector<std::uint32_t>;

  /// A place for an unbound cell.
  struct Location {
    Group Workers;
    double Cost = 0;
    /// What the location leaves over; less keeps larger pieces whole.
    std::uint64_t Leftover = 0;
  };

  std::vector<Cell>
  cellsOf(const std::vector<WorkspaceGuarantee> &Wanted) const;
  void orderCells();
  std::uint32_t workerSize() const;
  std::uint32_t partSize(const Cell &Which) const;
  std::uint32_t parts(const Cell &Which) const;
  Room emptyRoom() const;
  Room unboundRoom() const;
  static std::vector<std::uint32_t> levels(const Room &Free);
  bool packWide(Room &Free, const Cell &Which) const;
  bool packAll(Room Free, const std::vector<const Cell *> &Pieces) const;
  std::vector<const Cell *>
  unboundCells(const std::vector<CellIndex> &Skipped) const;
  std::uint32_t tasksOnPart(const Cell &Which, std::size_t Part,
                            const Demand &Need) const;
  std::uint32_t tasksInCell(const Cell &Which, const Demand &Need) const;
  int partFor(const Cell &Which, const Demand &Need) const;
  bool suits(const Cell &Which, const WorkspaceId &Workspace,
             const Demand &Need) const;
  bool withinShare(const Demand &Need) const;
  std::vector<CellIndex> pickCells(const WorkspaceId &Workspace,
                                   const Demand &Need) const;
  std::vector<Member> spread(const Cell &Which, const Group &Bound,
                             const Demand &Need, std::uint32_t Tasks) const;
  std::uint64_t leftover(WorkerIndex Index, const Room &Free) const;
  std::vector<Location> narrowLocations(const Cell &Which, const Room &Free,
                                        std::uint32_t Tasks,
                                        const EvictionCost &Cost) const;
  std::vector<Location> wideLocations(const Cell &Which, const Room &Free,
                                      const Demand &Need, std::uint32_t Tasks,
                                      const EvictionCost &Cost) const;
  bool locate(const Cell &Which, Room &Free, const Demand &Need,
              std::uint32_t Tasks, const EvictionCost &Cost,
              const std::vector<CellIndex> &Placed, Group &Bound) const;

  const Cluster &Workers;
  std::vector<Cell> Cells;
  /// Positions of the live cells, largest first.
  std::vector<CellIndex> Order;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_GUARANTEES_H
