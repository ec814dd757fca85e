#ifndef BAOBABCOVE_TASKS_COORDINATION_JOBTRACKER_H
#define BAOBABCOVE_TASKS_COORDINATION_JOBTRACKER_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/QueueConfig.h"
#include "tasks/TaskJob.h"
#include "tasks/coordination/TaskRunTimes.h"
#include "tasks/planning/ColdWorkers.h"
#include "tasks/planning/EvacuationMoves.h"
#include "tasks/planning/Evacuations.h"
#include "tasks/planning/TaskPlanner.h"
#include "tasks/planning/WorkerQuarantine.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabcove {

/// The current time on the boot clock and on the wall clock.
struct ClockReading {
  BootInstant Boot{};
  std::int64_t UnixMs = 0;
};

/// The leases of a node's worker that are certain to have expired, and the
/// orders whose starts its agent will not send any more.
struct ExpiredLeases {
  NodeId Node;
  /// The worker incarnation that the agent reports; empty if it knows of none.
  WorkerIncarnation Worker;
  /// The agent takes no orders of an epoch below this one.
  Epoch Term;
  /// The starts of all orders up to this revision are void.
  std::uint64_t Revision = 0;
};

/// A run of a task, as agents name it.
using RunName = std::pair<std::string, std::uint64_t>;

/// The expected completion of one occurrence of a job.
struct JobForecast {
  /// Whether it can still complete within its objective, within the multiple of
  /// the objective that counts as late, or within neither.
  enum Timeliness { OnTime, Late, TooLate };
  Timeliness Completion = OnTime;
  /// How long it can wait before it falls into the next class.
  Milliseconds Slack{0};
  /// Core-seconds of all its work, and of the tasks that have not started yet.
  double Work = 0;
  double RemainingWork = 0;
  /// Expected duration of a task, by populated step.
  std::vector<Milliseconds> TaskDurations;
};

/// Holds all jobs of the cell with the state of their tasks, and applies
/// reports, cancellations and plans to them. Performs no I/O. Not thread-safe.
class JobTracker {
public:
  explicit JobTracker(const RunTimeSettings &RunTimes = {},
                      ColdLimits Cold = {})
      : RunTimes(RunTimes), Cold(Cold) {}

  /// Removes all jobs and the state of their runs.
  void clear();
  /// Sets the epoch of the coordinator whose orders this tracker makes.
  void beginTerm(Epoch Term) { CurrentTerm = Term; }

  void addJob(std::shared_ptr<const wire::TaskJobSpec> Spec);
  void cancel(const JobId &Id, const ClockReading &Now);
  void restore(const JobId &Id, const wire::TaskJobProgress &Stored,
               std::int64_t Revision);
  /// Fails a job whose stored progress, of \p Revision, cannot be read: its
  /// tasks may have run or be running. Runs that are found are stopped.
  void failUnreadable(const JobId &Id, std::int64_t Revision);

  /// Applies a report from the agent of a worker.
  void applyReport(const wire::TaskReport &Report, const ClockReading &Now);
  /// Requeues the runs that \p Expired proves to have ended and to be unable to
  /// start.
  void expireLeases(const ExpiredLeases &Expired, const ClockReading &Now);
  /// Requeues all runs on workers of \p Node, whose agent has orders for none
  /// of them and gets none.
  void expireLeases(const NodeId &Node, const ClockReading &Now);
  /// Returns the runs that have ended since the last call with their leases or
  /// their worker, and that the worker never listed. Their starts may still be
  /// on their way and must be barred before a worker of the node gets a lease
  /// again.
  std::vector<RunName> takeGivenUp();

  /// Marks jobs with new checkpoints as dirty, at most once per checkpoint
  /// period.
  void flushCheckpoints(const ClockReading &Now);
  /// Marks jobs that have begun as dirty, together with others if possible, so
  /// that few of them cost a write of their own.
  void flushBegunJobs(const ClockReading &Now);

  /// Stops stalled runs so that they restart on other workers, if little work
  /// is lost, and quarantines their workers.
  void moveStalledRuns(const ClockReading &Now);

  /// Returns the nodes that have placed runs.
  std::set<NodeId> nodesWithRuns();

  /// Sets which data centres take starts in the following plans.
  void setStartRules(StartRules Next) { Starts = std::move(Next); }

  /// Places waiting tasks and selects runs to preempt. \p Reports holds the
  /// newest reports of the reachable agents.
  void plan(const std::vector<wire::TaskReport> &Reports,
            const QueueConfig &Config, const ClockReading &Now);

  /// Completes jobs whose tasks are all done, and ends jobs whose last run is
  /// gone. Releases the tasks of ended jobs that have been stored.
  void finishJobs(const ClockReading &Now);

  /// Returns the orders for the worker of \p Report, without the epoch and the
  /// duration of the grant. They are limited to the size of a message and, if
  /// they contain runs that no earlier orders did, published as \p Revision.
  wire::TaskOrders ordersFor(const wire::TaskReport &Report,
                             std::uint64_t Revision = 1);

  /// The longest waits of steps, as explained about once a second.
  const std::vector<StepWait> &waits() const { return Waits; }
  /// Number of steps that have ready tasks and of which no worker has begun one
  /// since they became ready or the last one was begun.
  std::size_t waitingSteps() const { return WaitingSteps.size(); }

  /// Number of runs in evacuated data centres at the last plan, and of the runs
  /// that were moved from there and the starts that were withdrawn so far.
  std::size_t runsInEvacuated() const { return RunsInEvacuated; }
  std::uint64_t movedRuns() const { return MovedRuns; }
  std::uint64_t withdrawnStarts() const { return WithdrawnStarts; }

  /// Jobs whose progress has changed since it was last written to the store.
  std::set<JobId> &dirty() { return Dirty; }
  /// The caller may change or remove jobs.
  std::map<JobId, TaskJob> &jobs() {
    IsPlacedIndexStale = true;
    return Jobs;
  }
  const std::map<JobId, TaskJob> &jobs() const { return Jobs; }

  /// The services of all jobs that were added.
  const std::set<ServiceName> &services() const { return Services; }

  TaskRunTimes &runTimes() { return RunTimes; }

private:
  /// Refers to one task of a job.
  struct TaskRef {
    TaskJob *Job;
    std::size_t Task;
  };

  using TaskRefs = std::vector<TaskRef>;

  /// Returns the tasks that were placed on workers of \p Node at the last
  /// change of the index; the caller checks whether they still are. Reports and
  /// orders concern one node each, so that their cost must not grow with the
  /// cell.
  const TaskRefs &placedOn(const NodeId &Node);
  void updatePlacedIndex();

  /// Withdraws starts that were ordered before the worker's capacity shrank, as
  /// far as they do not fit any more and may not have been carried out yet.
  void withdrawStarts(const wire::TaskReport &Report);
  /// Adds the usage of runs that the worker lists but that are not placed there
  /// any more; they are being stopped.
  void addUnplacedRuns(const wire::TaskReport &Report,
                       PlanWorker &Worker) const;

  /// Whether \p Expired proves that the run of \p Task cannot run any more.
  bool isEndedBy(const ExpiredLeases &Expired, const TaskState &Task) const;
  /// Returns the task of that name, or nothing if there is none.
  std::optional<TaskRef> findTask(const std::string &Name);
  /// Returns the state of a task if the run is its current one and was placed
  /// on \p Incarnation, and null otherwise.
  TaskState *findRun(const std::string &Name, std::uint64_t Run,
                     const WorkerIncarnation &Incarnation, TaskRef &At);
  /// Records that a worker has begun a run of a task. \p Evidence is logged.
  void noteBegun(TaskRef At, std::uint64_t Run, const std::string &Evidence,
                 const ClockReading &Now);
  /// Records that the current run of a task has begun, which ends the wait of
  /// its step.
  void noteCurrentRunBegun(TaskRef At, const std::string &Evidence,
                           const ClockReading &Now);
  /// Records the runs that a worker had begun before it was lost.
  void noteLostRuns(const wire::TaskReport &Report, const ClockReading &Now);
  void applyRunning(const wire::TaskReport &Report,
                    const WorkerIncarnation &Incarnation,
                    const ClockReading &Now);
  void applyEnds(const wire::TaskReport &Report,
                 const WorkerIncarnation &Incarnation, const ClockReading &Now);
  void applyRefusals(const wire::TaskReport &Report,
                     const WorkerIncarnation &Incarnation,
                     const ClockReading &Now);
  void adoptIncarnation(const wire::TaskReport &Report,
                        const ClockReading &Now);
  /// Attributes the crash of an incarnation with \p Runs on it, and gives up
  /// units that crash their workers beyond doubt.
  void recordCrash(const WorkerIncarnation &Incarnation, const TaskRefs &Runs,
                   const wire::TaskReport &Report, const ClockReading &Now);
  /// Gives up the job of \p Unit, whose crashes prove it deadly.
  static void giveUp(TaskRef Unit, const ClockReading &Now);
  /// Returns the history of the unit of \p At.
  CrashHistory &crashesOf(TaskRef At) const;
  /// Ends the suspicion against a unit that has run for a while.
  void noteSurvival(TaskRef At);
  /// Selects the units under suspicion that are isolated in this round. They
  /// take up a share of the reachable workers at most, unless more of them must
  /// be isolated.
  void selectIsolatedUnits();
  bool isIsolated(TaskRef At) const;
  /// Keeps a unit away from nodes where it may have failed because of them.
  void avoidFaultyNodes(PlanUnit &Unit, TaskJob &Job,
                        const ClockReading &Now) const;
  /// Adds the constraints of a unit under suspicion, of which \p At is a task
  /// and which has waited for \p Waited.
  void restrictSuspect(PlanUnit &Unit, TaskRef At, Milliseconds Waited) const;
  void applyEnd(const wire::RunEnd &End, TaskRef At, const ClockReading &Now);
  /// Applies the end of a run that is not the current one of its task. Returns
  /// whether the end may be acknowledged.
  bool applyStaleEnd(const wire::RunEnd &End,
                     const WorkerIncarnation &Incarnation,
                     const ClockReading &Now);
  /// Completes a task although the reported run is not its newest. Once the end
  /// is acknowledged the task must not be started again, so a newer run is
  /// stopped first. Returns whether the end may be acknowledged.
  bool applyStaleDone(const wire::RunEnd &End, TaskRef At,
                      const WorkerIncarnation &Incarnation);
  /// Whether a member of the unit of \p At is placed.
  bool isUnitPlaced(TaskRef At) const;
  /// Whether all members of the unit of \p At are listed by their workers and
  /// none is being stopped.
  bool isUnitAtWork(TaskRef At) const;
  void completeTasks(TaskRef At);
  void requeue(TaskRef At, const ClockReading &Now, Milliseconds Delay);
  /// Counts the end of \p Run as failed, unless another end of it was counted
  /// before. \p Worker is logged.
  void recordFailure(TaskRef At, std::uint64_t Run,
                     const WorkerIncarnation &Worker);
  /// Fails the job of \p At if its unit is not done and has no attempts left.
  void failIfExhausted(TaskRef At);
  /// Counts the end as failed of a run that is not the current one any more.
  void applyStaleFailure(const wire::RunEnd &End, TaskRef At,
                         const WorkerIncarnation &Incarnation);
  /// Marks a job as failed and stops its runs.
  static void fail(TaskJob &Job);
  void updateCheckpoint(TaskRef At, const std::string &Checkpoint,
                        const ClockReading &Now);
  /// Returns all tasks of the gang of \p At, or only \p At if it is not part of
  /// a gang.
  std::vector<std::size_t> gangMembers(TaskRef At) const;
  void stopMembers(TaskRef At);

  PlanInput makePlanInput(const std::vector<wire::TaskReport> &Reports,
                          const QueueConfig &Config, const ClockReading &Now);
  void addUnits(TaskJob &Job, bool Guaranteed, const ClockReading &Now,
                PlanInput &Input);
  /// Adds the gang whose first task is \p First if all members may start.
  void addGang(TaskJob &Job, std::size_t First, PlanUnit Unit,
               const ClockReading &Now, PlanInput &Input);
  /// Adds a unit for each task of a step that may start, up to a bound for each
  /// kind of task; the others follow in later rounds. \p Common holds what the
  /// units have in common.
  void addSingleTasks(TaskJob &Job, std::size_t First, const PlanUnit &Common,
                      const ClockReading &Now, PlanInput &Input);
  bool mayStart(const TaskJob &Job, std::size_t At,
                const ClockReading &Now) const;
  PlanUnit makeUnit(const TaskJob &Job, std::uint32_t Occurrence,
                    std::uint32_t Step, bool Guaranteed,
                    const ClockReading &Now);
  std::set<JobId> guaranteedJobs(const QueueConfig &Config) const;
  JobForecast forecastOf(const TaskJob &Job, std::uint32_t Occurrence,
                         const ClockReading &Now) const;
  /// Returns a lower rank for jobs with more value for the resources and time
  /// that they need.
  double rankOf(const TaskJob &Job, const JobForecast &Forecast) const;
  /// Ends the preemption of a long-running task that is at work again.
  void noteAtWork(TaskRef At);
  /// Marks the long-running tasks that end with \p At as stopped by the
  /// scheduler.
  void notePreempted(TaskRef At);
  /// Adds how many tasks of the job's long-running steps may still be stopped.
  static void addMayMiss(const TaskJob &Job, PlanInput &Input);
  /// Lets a unit of a long-running step that was down precede all but the
  /// guaranteed ones and ignore the reserve of fully free workers.
  static void preferRestart(PlanUnit &Unit, const TaskJob &Job);
  /// Notes that the step whose first task is \p First has ready tasks that no
  /// worker has begun, for which the units of \p Input from \p FirstUnit on
  /// were added, if any.
  void noteWaitingStep(const TaskJob &Job, std::size_t First,
                       const ClockReading &Now, std::size_t FirstUnit,
                       PlanInput &Input);
  /// Selects the steps whose waits are explained in this round, if any.
  void beginWaits(const ClockReading &Now);
  /// Returns why a step waits of which the plan does not tell: NotBegun if each
  /// of its tasks that does not run is placed, and NotReady otherwise.
  WaitReason reasonOutsidePlan(const std::string &Step);
  /// Forgets the steps that do not wait any more, and logs why others do.
  void explainWaits(const TaskPlan &Plan);
  void applyPlan(const TaskPlan &Plan, const PlanInput &Input,
                 const ClockReading &Now);

  /// Closes the workers of \p Input, which are those of \p Reports, that take
  /// no starts.
  void applyStartRules(const std::vector<wire::TaskReport> &Reports,
                       const ClockReading &Now, PlanInput &Input);
  /// Whether the data of a rack is in evacuated data centres only.
  bool isRackEvacuated(const RackName &Rack) const;
  /// Withdraws starts in evacuated data centres that may not have been carried
  /// out yet.
  void withdrawFromEvacuated(const std::vector<wire::TaskReport> &Reports);
  /// Whether the unit of a task may be stopped and continued elsewhere.
  bool isMovable(const TaskJob &Job, std::size_t At) const;
  /// Returns how many tasks of the same step are not running.
  static std::size_t downTasks(const TaskJob &Job, std::size_t At);
  std::vector<PlanUnit>
  moveCandidates(const std::vector<wire::TaskReport> &Reports,
                 const QueueConfig &Config, const ClockReading &Now);
  void moveEvacuatedRuns(const std::vector<wire::TaskReport> &Reports,
                         const PlanInput &Input, const TaskPlan &Plan,
                         const QueueConfig &Config, const ClockReading &Now);
  /// Keeps the targets of moved units free until these are placed again, and
  /// places them first.
  void prepareMoves(const ClockReading &Now, PlanInput &Input);

  Epoch CurrentTerm;
  std::vector<RunName> GivenUp;
  std::map<JobId, TaskJob> Jobs;
  std::set<ServiceName> Services;
  std::map<NodeId, TaskRefs> Placed;
  /// Whether tasks may have been placed, or jobs removed, since the index was
  /// built.
  bool IsPlacedIndexStale = true;
  std::set<JobId> Dirty;
  /// Jobs with checkpoints that have not been stored yet.
  std::set<JobId> UnflushedCheckpoints;
  /// Cancellations that overtook their jobs, which arrive from other threads.
  std::set<JobId> EarlyCancels;
  BootInstant CheckpointsFlushedAt{};
  /// Jobs that have begun, which is not stored yet, and since when the oldest
  /// of them waits for that.
  std::set<JobId> UnstoredBegun;
  BootInstant UnstoredBegunSince{};
  /// Earliest time at which a refused task may be placed again, by task name.
  std::map<std::string, BootInstant> RetryNotBefore;
  /// Number of the last end applied, by worker incarnation.
  std::map<WorkerIncarnation, std::uint64_t> AcknowledgedEnds;
  /// The latest incarnation that reported that it is draining, by node.
  std::map<NodeId, WorkerIncarnation> DrainingWorkers;
  /// Forecasts of the current plan, by job and occurrence.
  std::map<std::pair<JobId, std::uint32_t>, JobForecast> Forecasts;
  /// Workers reserved by the last plan, by the unit's first task.
  std::map<std::pair<JobId, std::size_t>, std::vector<WorkerIncarnation>>
      Reservations;
  /// Since when steps have had ready tasks without a worker beginning any, by
  /// step key.
  std::map<std::string, BootInstant> WaitingSteps;
  /// Those among them that still wait in this round.
  std::set<std::string> StillWaiting;
  std::vector<StepWait> Waits;
  BootInstant WaitsExplainedAt{};
  bool ExplainsWaits = false;
  /// When the first plan of this term was made.
  BootInstant FirstPlanAt{};
  /// Number of reachable workers at the last plan.
  std::size_t ReachableWorkers = 0;
  /// Units that the last plan isolated, by their first task.
  std::set<std::pair<JobId, std::size_t>> IsolatedUnits;
  TaskRunTimes RunTimes;
  /// Number and total size of the jobs of a queue; the size is in core-seconds.
  struct WorkSums {
    double Jobs = 0;
    double Sum = 0;
  };
  std::map<std::string, WorkSums> QueueWork;
  WorkerQuarantine Quarantine;

  ColdWorkers Cold;

  /// A unit that was stopped in an evacuated data centre.
  struct EvacuationMove {
    /// The workers for its tasks, in their order.
    std::vector<WorkerIncarnation> Targets;
    BootInstant Since{};
  };
  StartRules Starts;
  /// Data centres by rack, as far as their workers have reported.
  std::map<RackName, std::set<DataCentreName>> RackCentres;
  /// Units that have not been placed again, by their first task.
  std::map<std::pair<JobId, std::size_t>, EvacuationMove> Moves;
  BootInstant MovesPlannedAt{};
  bool WereStartsFresh = true;
  std::size_t RunsInEvacuated = 0;
  std::uint64_t MovedRuns = 0;
  std::uint64_t WithdrawnStarts = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_JOBTRACKER_H
