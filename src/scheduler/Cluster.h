#ifndef BAOBABCOVE_SCHEDULER_CLUSTER_H
#define BAOBABCOVE_SCHEDULER_CLUSTER_H

#include "baobabcove/Scheduler.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace baobabcove {

/// Index of a worker in the Cluster.
using WorkerIndex = std::uint32_t;

/// Resources that each task of a gang needs, and the number of tasks.
struct Demand {
  std::uint32_t Tasks = 1;
  std::uint32_t Accelerators = 1;
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  Adjacency Near = Adjacency::Any;

  std::uint64_t totalAccelerators() const {
    return std::uint64_t(Tasks) * Accelerators;
  }
};

/// Returns the resource demand of a submitted job.
Demand demandOf(const JobInfo &Info);

/// Free resources of a worker. A negative value is reserved for a gang that
/// starts after the present ones have stopped.
struct Capacity {
  std::int64_t Accelerators = 0;
  std::int64_t Cores = 0;
  std::int64_t MemoryMb = 0;

  void add(const Demand &Need, std::int64_t Tasks) {
    Accelerators += Tasks * Need.Accelerators;
    Cores += Tasks * Need.Cores;
    MemoryMb += Tasks * static_cast<std::int64_t>(Need.MemoryMb);
  }
  /// Returns false when more than the free amount of a resource is reserved.
  bool isNonNegative() const {
    return Accelerators >= 0 && Cores >= 0 && MemoryMb >= 0;
  }
  /// Returns how many tasks of \p Need fit, at most Need.Tasks.
  std::uint32_t tasksThatFit(const Demand &Need) const;
};

/// Number of a gang's tasks on one worker.
struct Member {
  WorkerIndex Worker = 0;
  std::uint32_t Tasks = 0;
};

/// A worker and its free resources.
struct Worker {
  WorkerInfo Info;
  Capacity Free;
  /// Resources of gangs that are being stopped.
  Capacity BeingFreed;
  bool Present = false;
  bool Quarantined = false;
  /// Gangs assigned to this worker: reserved, starting, running or stopping.
  std::uint32_t Gangs = 0;

  /// Returns whether new gangs may be placed on this worker.
  bool usable() const { return Present && !Quarantined && !Info.Draining; }

  /// Returns the free resources after all stopping gangs have ended.
  Capacity freeAfterStops() const {
    return {Free.Accelerators + BeingFreed.Accelerators,
            Free.Cores + BeingFreed.Cores, Free.MemoryMb + BeingFreed.MemoryMb};
  }
};

/// Workers that satisfy one level of adjacency together, such as a rack.
using Group = std::vector<WorkerIndex>;

/// Tracks the workers of a cell, their free resources and their topology.
class Cluster {
public:
  /// Adds a worker or updates its facts; returns its index.
  WorkerIndex addOrUpdate(const WorkerInfo &Info);
  void markLost(WorkerIndex Index);
  void setQuarantined(WorkerIndex Index, bool Quarantined);

  /// Looks up the index of a worker; returns false when it is unknown.
  bool find(const NodeId &Id, WorkerIndex &Index) const;

  /// Subtracts a gang's demand from its workers' free resources.
  void allocate(const std::vector<Member> &Members, const Demand &Need);
  /// Returns a gang's resources to its workers.
  void deallocate(const std::vector<Member> &Members, const Demand &Need);
  /// Adds a gang's resources to those being freed, or removes them.
  void setBeingFreed(const std::vector<Member> &Members, const Demand &Need,
                     bool BeingFreed);

  const std::vector<Worker> &workers() const { return Workers; }
  const Worker &worker(WorkerIndex Index) const { return Workers[Index]; }

  /// Returns the groups of present workers; a gang of adjacency \p Near must
  /// stay within one of them.
  const std::vector<Group> &groups(Adjacency Near) const;
  /// Returns the same groups including lost workers, which may return.
  const std::vector<Group> &knownGroups(Adjacency Near) const;

  /// Returns the present workers in the rack of a worker.
  const Group &rackOf(WorkerIndex Index) const {
    return PresentGroups.Racks[RackOf[Index]];
  }
  /// Returns the free accelerators on usable workers in the rack of a worker.
  std::int64_t freeInRack(WorkerIndex Index) const;

  /// Returns how many tasks of \p Need fit on the worker when it is empty.
  static std::uint32_t tasksWhenEmpty(const Worker &W, const Demand &Need);

  /// Returns the accelerators of the largest present worker, or zero.
  std::uint32_t largestWorker() const { return Largest; }

  std::uint64_t totalAccelerators() const;
  std::uint64_t freeAccelerators() const;

private:
  /// The groups at every level of adjacency.
  struct AdjacencyGroups {
    std::vector<Group> SingleWorkers;
    std::vector<Group> Racks;
    std::vector<Group> DataCentres;
    std::vector<Group> AllWorkers;

    const std::vector<Group> &at(Adjacency Near) const;
  };

  void rebuildGroups();
  AdjacencyGroups buildGroups(bool IncludeAbsent) const;
  WorkerIndex indexFor(const NodeId &Id);

  std::vector<Worker> Workers;
  std::unordered_map<NodeId, WorkerIndex> ById;
  /// Index of each worker's rack in PresentGroups.Racks.
  std::vector<std::size_t> RackOf;
  AdjacencyGroups PresentGroups;
  AdjacencyGroups KnownGroups;
  std::uint32_t Largest = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_CLUSTER_H
