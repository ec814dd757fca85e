#ifndef BAOBABCOVE_TASKS_PLANNING_TASKPLANNER_H
#define BAOBABCOVE_TASKS_PLANNING_TASKPLANNER_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "tasks/Resources.h"
#include "tasks/TaskJob.h"
#include "tasks/planning/WaitReason.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// The planner's view of a worker.
struct PlanWorker {
  WorkerIncarnation Incarnation;
  /// Incarnation of the worker's agent.
  std::uint64_t AgentIncarnation = 0;
  ServiceName Service;
  RackName Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  /// Capacity minus the usage of all runs, including those that are stopping.
  Resources Free;
  /// Resources that stopping runs will release.
  Resources Releasing;
  /// Whether new tasks may be placed: the worker is reachable and neither
  /// draining nor quarantined.
  bool AcceptsTasks = true;
  /// Whether it takes no new tasks because of a quarantine, which ends soon.
  bool IsQuarantined = false;
  /// Whether the worker is cold and is used after the others.
  bool IsCold = false;
  /// How many more runs it may get now.
  std::uint32_t StartsLeft = std::numeric_limits<std::uint32_t>::max();
  /// Number of all runs, including those that are stopping.
  std::uint32_t Runs = 0;
  /// Whether any of the runs has not survived its probation.
  bool HasRunOnProbation = false;
  /// Speed relative to the nominal one; one if it is not known.
  double Speed = 1;
  /// Whether a run of an isolated unit is on the worker, which gets no other
  /// unit then.
  bool HasSuspect = false;
};

/// A run that may be preempted.
struct PreemptibleRun {
  /// Index into PlanInput::Workers.
  std::size_t Worker = 0;
  JobId Job;
  std::size_t Task = 0;
  Resources Usage;
  /// Identifies the gang, whose members end together; empty for a single run.
  std::string Gang;
  /// Core-seconds of work that a preemption loses, for the whole gang.
  double Loss = 0;
  /// Key of the step of a long-running task; empty for any other.
  std::string LongRunningStep;
  /// Number of tasks that end with it.
  std::size_t Members = 1;
  /// Whether the previous run of the task was preempted. Such a run is only
  /// preempted if nothing else helps.
  bool WasPreempted = false;
};

/// A run whose end is expected.
struct EndingRun {
  /// Index into PlanInput::Workers.
  std::size_t Worker = 0;
  Resources Usage;
  /// Time until the end.
  Milliseconds In{0};
  /// Index into PlanInput::Preemptible, if it is there.
  std::optional<std::size_t> Preemptible;
};

/// Tasks that are placed together: a whole gang or a single task.
struct PlanUnit {
  JobId Job;
  std::vector<std::size_t> Tasks;
  const wire::StepSpec *Step = nullptr;
  ServiceName Service;
  /// Identifies the step of one occurrence, for the spread limit.
  std::string StepKey;
  /// Covered by the guarantee of its workspace, so that resources are reserved
  /// for it.
  bool Guaranteed = false;
  /// Units with lower ranks are placed first.
  double Rank = 0;
  /// Of the highest priority, so that its completion time counts most.
  bool Urgent = false;
  /// Whether it may run away from its data or across racks, which takes longer.
  bool MayRunRemote = false;
  /// By how much a run there is expected to take longer.
  Milliseconds RemoteCost = Milliseconds::max();
  /// Whether it has waited for long with no task of its job at work.
  bool IsIdleForLong = false;
  /// Whether runs may be preempted for it now.
  bool MayPreempt = false;
  /// How long it may still wait for runs that are expected to end, instead of
  /// preempting others.
  Milliseconds MayWait{0};
  /// Number of workers that it must leave fully free for urgent jobs, because
  /// it can wait.
  std::size_t KeepFullyFree = 0;
  /// Under suspicion of crashing its workers: starts only on workers without
  /// other runs, so that no other unit can cause the next crash.
  bool Isolated = false;
  /// Whether an isolated unit has waited for too long: it may start beside runs
  /// that have survived their probation, and away from its data.
  bool MayShareWorker = false;
  /// Nodes that the unit avoids if there are others, because workers crashed
  /// under it there or its job failed there, and they may be faulty.
  std::vector<NodeId> AvoidedNodes;
  /// Whether the plan tells why the unit is not placed.
  bool ExplainsWait = false;
};

/// A snapshot of the cell.
struct PlanInput {
  std::vector<PlanWorker> Workers;
  /// Whether all reachable workers have had the time to report. Until then a
  /// rack may have more workers than are known.
  bool IsCellKnown = true;
  std::vector<PreemptibleRun> Preemptible;
  std::vector<EndingRun> Ending;
  std::vector<PlanUnit> Units;
  /// Number of tasks of a step on a worker, by step key and worker index.
  std::map<std::pair<std::string, std::size_t>, std::uint32_t> OnWorker;
  /// Number of tasks that may still be stopped, by key of a long-running step;
  /// negative if more of them are down than may be.
  std::map<std::string, std::int64_t> MayMiss;
  /// Workers that earlier rounds reserved, by the unit's first task.
  std::map<std::pair<JobId, std::size_t>, std::vector<WorkerIncarnation>>
      Reservations;
};

struct PlannedStart {
  JobId Job;
  std::size_t Task = 0;
  /// Index into PlanInput::Workers.
  std::size_t Worker = 0;
};

struct PlannedStop {
  JobId Job;
  std::size_t Task = 0;
  /// The step that the run is stopped for.
  std::string For;
  /// Core-seconds of work that are lost.
  double Loss = 0;
};

struct TaskPlan {
  std::vector<PlannedStart> Starts;
  std::vector<PlannedStop> Stops;
  /// Workers reserved for units that cannot start yet, for the next round.
  std::map<std::pair<JobId, std::size_t>, std::vector<WorkerIncarnation>>
      Reservations;
  /// Why units that asked for it are not placed, by step key.
  std::map<std::string, WaitReason> Waits;
};

/// Plans the placement of tasks and the preemption of runs. Has no side
/// effects. A unit is placed as a whole or not at all, and never beyond the
/// free resources of a worker.
TaskPlan planTasks(PlanInput Input);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_TASKPLANNER_H
