/// \file
/// Decides which tasks start where and which runs make room for them. Pure:
/// a picture of the cell in, starts and stops out.

#ifndef BAOBABCOVE_TASKS_TASKPLANNER_H
#define BAOBABCOVE_TASKS_TASKPLANNER_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "tasks/TaskJob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabcove {

/// An amount of what a worker offers and a task takes.
struct Room {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  Room &operator+=(const Room &Other);
  Room &operator-=(const Room &Other);
  /// Whether \p Need fits into this room.
  bool holds(const Room &Need) const;
};

/// The room that a task of \p Step takes; none for one that only fills.
Room roomOf(const wire::StepSpec &Step);

/// A worker as the planner sees it.
struct PlanWorker {
  WorkerLife Life;
  /// The life of the agent beside it.
  std::uint64_t AgentLife = 0;
  ServiceName Service;
  RackName Rack;
  std::vector<std::string> Labels;
  Room Capacity;
  /// What runs and stopping runs leave.
  Room Free;
  /// What stopping runs will give back.
  Room Leaving;
  /// Takes new tasks: in touch, not draining, not suspected.
  bool Open = true;
};

/// A run that might be stopped to make room.
struct PlanRun {
  /// Position in the list of workers.
  std::size_t Worker = 0;
  JobId Job;
  std::size_t Task = 0;
  Room Takes;
  /// Identifies its gang, whose other members end with it; empty for a run
  /// alone.
  std::string Gang;
  /// Core-seconds of work that a stop would throw away, the whole gang's for
  /// a member of one.
  double Loss = 0;
};

/// Tasks that start together: a whole gang, or one task.
struct PlanUnit {
  JobId Job;
  std::vector<std::size_t> Tasks;
  const wire::StepSpec *Step = nullptr;
  ServiceName Service;
  /// Identifies the step of one occurrence, for the spread limit.
  std::string StepKey;
  /// Belongs to its workspace's guarantee, so that others make room.
  bool Guaranteed = false;
  /// Units with lower ranks go first.
  double Rank = 0;
  /// May run away from its data or across racks, taking longer.
  bool MayRunFar = false;
  /// Whether runs may be stopped for it by now.
  bool MayStopOthers = false;
  /// Whole workers that it leaves free for urgent jobs, because it can wait.
  std::size_t LeavesWhole = 0;
};

/// The picture that is decided on.
struct PlanInput {
  std::vector<PlanWorker> Workers;
  std::vector<PlanRun> Stoppable;
  std::vector<PlanUnit> Units;
  /// Tasks of a step on a worker: first the step's key, then the worker.
  std::map<std::pair<std::string, std::size_t>, std::uint32_t> OnWorker;
  /// Workers that earlier rounds made room on, by the unit's first task.
  std::map<std::pair<JobId, std::size_t>, std::vector<WorkerLife>> Kept;
};

struct PlannedStart {
  JobId Job;
  std::size_t Task = 0;
  /// Position in the list of workers.
  std::size_t Worker = 0;
};

struct PlannedStop {
  JobId Job;
  std::size_t Task = 0;
};

struct TaskPlan {
  std::vector<PlannedStart> Starts;
  std::vector<PlannedStop> Stops;
  /// Workers on which room is made for units that cannot start yet, for the
  /// next round.
  std::map<std::pair<JobId, std::size_t>, std::vector<WorkerLife>> Kept;
};

/// Decides on \p Input. Every unit is started as a whole or not at all, and
/// nothing is started beyond a worker's room.
TaskPlan planTasks(PlanInput Input);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_TASKPLANNER_H
