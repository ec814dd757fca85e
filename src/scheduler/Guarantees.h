#ifndef BAOBABCOVE_SCHEDULER_GUARANTEES_H
#define BAOBABCOVE_SCHEDULER_GUARANTEES_H

#include "scheduler/Cluster.h"

#include <functional>
#include <map>

namespace baobabcove {

/// Index of a cell in Guarantees.
using CellIndex = std::uint32_t;

/// Returns whether a list of cells contains \p Index.
inline bool contains(const std::vector<CellIndex> &List, CellIndex Index) {
  return std::find(List.begin(), List.end(), Index) != List.end();
}

/// A gang's tasks in one cell.
struct CellUse {
  CellIndex Cell = 0;
  std::vector<Member> Members;
};

/// Placement of a gang within its workspace's guarantee.
struct GuaranteedPlacement {
  std::vector<CellUse> Uses;
  /// Workers that the cell is bound to, for each element of Uses.
  std::vector<Group> Bindings;
  std::vector<Member> Members;
};

/// Cost, in accelerator milliseconds, of making room for \p Tasks tasks on a
/// worker; negative when that is not possible.
using EvictionCost = std::function<double(WorkerIndex, std::uint32_t Tasks)>;

/// Assigns the guaranteed cells of the workspaces to workers.
///
/// Follows the cell hierarchy of Zhao et al., "HiveD: Sharing a GPU Cluster for
/// Deep Learning with Guarantees" (OSDI 2020): a cell is bound to workers only
/// while its workspace uses it, and is always bound as a whole, so that a gang
/// that ends always frees a cell of the size that the guarantee names.
class Guarantees {
public:
  explicit Guarantees(const Cluster &Workers) : Workers(Workers) {}

  /// Replaces the guarantees. Cells in use remain until their gangs end.
  void set(const std::vector<WorkspaceGuarantee> &Wanted);

  /// Returns whether the free cells of \p Workspace could hold \p Need.
  bool covers(const WorkspaceId &Workspace, const Demand &Need) const;

  /// Chooses cells and workers for a gang at the lowest eviction cost such that
  /// all other free cells can still be packed. Returns false when no such
  /// choice exists now.
  bool choose(const WorkspaceId &Workspace, const Demand &Need,
              const EvictionCost &Cost, GuaranteedPlacement &Chosen) const;

  /// Chooses cells for a gang that already runs on \p Members. Returns false
  /// when the guarantee does not cover it on these workers.
  bool adopt(const WorkspaceId &Workspace, const Demand &Need,
             const std::vector<Member> &Members,
             GuaranteedPlacement &Chosen) const;

  /// Binds the chosen cells to their workers and adds the gang to their users.
  void bind(const GuaranteedPlacement &Chosen, const Demand &Need);

  /// Removes a gang from its cells; a cell without users is unbound.
  void release(const std::vector<CellUse> &Uses, const Demand &Need);

  /// Returns whether one of the cells is bound to a worker that takes no new
  /// gangs.
  bool hasUnusableWorker(const std::vector<CellUse> &Uses) const;

  /// Determines which cells the present workers can hold at the same time. Must
  /// be called after workers were added or lost.
  void workersChanged();

  /// Returns whether all shapes could be packed on the present workers if these
  /// were empty.
  bool packableWhenEmpty(const std::vector<WorkspaceGuarantee> &Wanted) const;

  /// Returns the number of free cells that the present workers cannot hold.
  std::size_t unpackable() const;

private:
  /// One piece of a workspace's guarantee.
  struct Cell {
    WorkspaceId Workspace;
    std::uint32_t Size = 0;
    Adjacency Near = Adjacency::SameWorker;
    /// Accelerators in use, for each worker in BoundTo.
    std::vector<std::uint32_t> Used;
    Group BoundTo;
    /// Gangs with tasks in the cell.
    std::uint32_t Users = 0;
    /// The present workers cannot hold this free cell.
    bool Unpackable = false;
    /// No longer configured; removed when its last user ends.
    bool Retired = false;
  };

  /// For each worker, the accelerators that no cell is bound to.
  using FreeAccelerators = std::vector<std::uint32_t>;

  /// Workers to which an unbound cell could be bound.
  struct Location {
    Group Workers;
    double Cost = 0;
    /// Rank by what remains free near the location; a lower value leaves larger
    /// blocks elsewhere.
    std::uint64_t Leftover = 0;
  };

  std::vector<Cell>
  cellsOf(const std::vector<WorkspaceGuarantee> &Wanted) const;
  void orderCells();
  std::uint32_t workerSize() const;
  std::uint32_t partSize(const Cell &C) const;
  std::uint32_t parts(const Cell &C) const;
  FreeAccelerators acceleratorsWhenEmpty() const;
  FreeAccelerators unboundAccelerators() const;
  static std::vector<std::uint32_t> workersByFree(const FreeAccelerators &Free);
  bool packWide(FreeAccelerators &Free, const Cell &C) const;
  bool packAll(FreeAccelerators Free,
               const std::vector<const Cell *> &ToPack) const;
  std::vector<const Cell *>
  unboundCells(const std::vector<CellIndex> &Skipped) const;
  std::uint32_t tasksOnPart(const Cell &C, std::size_t Part,
                            const Demand &Need) const;
  std::uint32_t tasksInCell(const Cell &C, const Demand &Need) const;
  int fullestPartFor(const Cell &C, const Demand &Need) const;
  bool canServe(const Cell &C, const WorkspaceId &Workspace,
                const Demand &Need) const;
  bool withinWorkerRatio(const Demand &Need) const;
  std::vector<CellIndex> pickCells(const WorkspaceId &Workspace,
                                   const Demand &Need) const;
  std::vector<Member> assignTasks(const Cell &C, const Group &Bound,
                                  const Demand &Need,
                                  std::uint32_t Tasks) const;
  std::uint64_t leftover(WorkerIndex Index, const FreeAccelerators &Free) const;
  std::vector<Location> narrowLocations(const Cell &C,
                                        const FreeAccelerators &Free,
                                        std::uint32_t Tasks,
                                        const EvictionCost &Cost) const;
  std::vector<Location> wideLocations(const Cell &C,
                                      const FreeAccelerators &Free,
                                      const Demand &Need, std::uint32_t Tasks,
                                      const EvictionCost &Cost) const;
  bool findLocation(const Cell &C, FreeAccelerators &Free, const Demand &Need,
                    std::uint32_t Tasks, const EvictionCost &Cost,
                    const std::vector<CellIndex> &Placed, Group &Bound) const;

  const Cluster &Workers;
  std::vector<Cell> Cells;
  /// Indices of the cells that exist, largest first.
  std::vector<CellIndex> Order;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_GUARANTEES_H
