/// \file
/// The workers of a cell, what is free on them and how they lie together.

#ifndef BAOBABCOVE_SCHEDULER_CLUSTER_H
#define BAOBABCOVE_SCHEDULER_CLUSTER_H

#include "baobabcove/Scheduler.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace baobabcove {

/// Position of a worker in the cluster's table.
using WorkerIndex = std::uint32_t;

/// What one task of a gang needs, and how many tasks there are.
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

/// The demand of a submitted job.
Demand demandOf(const JobInfo &Info);

/// Free capacity. Negative values are promised to a gang that waits for the
/// present holders to stop.
struct Capacity {
  std::int64_t Accelerators = 0;
  std::int64_t Cores = 0;
  std::int64_t MemoryMb = 0;

  void add(const Demand &Need, std::int64_t Tasks) {
    Accelerators += Tasks * Need.Accelerators;
    Cores += Tasks * Need.Cores;
    MemoryMb += Tasks * static_cast<std::int64_t>(Need.MemoryMb);
  }
  bool covered() const {
    return Accelerators >= 0 && Cores >= 0 && MemoryMb >= 0;
  }
  /// Tasks of \p Need that fit.
  std::uint32_t tasks(const Demand &Need) const;
};

/// A gang's tasks on one worker.
struct Member {
  WorkerIndex Worker = 0;
  std::uint32_t Tasks = 0;
};

struct Worker {
  WorkerInfo Info;
  Capacity Free;
  /// Held by gangs that are being stopped; free soon.
  Capacity Leaving;
  bool Present = false;
  bool Quarantined = false;
  /// Gangs with tasks here, whether running, starting or stopping.
  std::uint32_t Gangs = 0;

  /// Whether new gangs may be placed here.
  bool usable() const { return Present && !Quarantined && !Info.Draining; }

  /// What is free once the stopping gangs have gone.
  Capacity soonFree() const {
    return {Free.Accelerators + Leaving.Accelerators,
            Free.Cores + Leaving.Cores, Free.MemoryMb + Leaving.MemoryMb};
  }
};

/// Workers that lie together at one level of adjacency.
using Group = std::vector<WorkerIndex>;

/// The table of workers.
class Cluster {
public:
  /// Adds or updates a worker; returns its position.
  WorkerIndex see(const WorkerInfo &Info);
  void lose(WorkerIndex Index);
  void setQuarantined(WorkerIndex Index, bool Quarantined);

  /// The position of a worker; false when it was never seen.
  bool find(const NodeId &Id, WorkerIndex &Index) const;

  void take(const std::vector<Member> &Members, const Demand &Need);
  void give(const std::vector<Member> &Members, const Demand &Need);
  /// Counts a gang among those that are being stopped, or no longer.
  void setLeaving(const std::vector<Member> &Members, const Demand &Need,
                  bool Leaving);

  const std::vector<Worker> &workers() const { return Workers; }
  const Worker &worker(WorkerIndex Index) const { return Workers[Index]; }

  /// The groups within which a gang of adjacency \p Near must stay.
  const std::vector<Group> &groups(Adjacency Near) const;
  /// The same, with the workers that are lost but may return.
  const std::vector<Group> &knownGroups(Adjacency Near) const;

  /// Tasks of \p Need that a worker holds when it is empty.
  /// The present workers of a worker's rack.
  const Group &rackOf(WorkerIndex Index) const {
    return Present.Racks[RackOf[Index]];
  }
  /// Free accelerators on the usable workers of a worker's rack.
  std::int64_t freeInRack(WorkerIndex Index) const;

  static std::uint32_t tasksWhenEmpty(const Worker &Which, const Demand &Need);

  /// Accelerators of the largest present worker; zero when there is none.
  std::uint32_t largestWorker() const { return Largest; }

  std::uint64_t totalAccelerators() const;
  std::uint64_t freeAccelerators() const;

private:
  /// Groups of every level of adjacency.
  struct Levels {
    std::vector<Group> Singles;
    std::vector<Group> Racks;
    std::vector<Group> DataCentres;
    std::vector<Group> Everything;

    const std::vector<Group> &at(Adjacency Near) const;
  };

  void rebuildGroups();
  Levels group(bool WithAbsent) const;
  WorkerIndex slotFor(const NodeId &Id);

  std::vector<Worker> Workers;
  std::unordered_map<NodeId, WorkerIndex> ById;
  /// Position of each worker's rack among the present racks.
  std::vector<std::size_t> RackOf;
  Levels Present;
  Levels Known;
  std::uint32_t Largest = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_CLUSTER_H
