#ifndef BAOBABCOVE_TASKS_TASKJOB_H
#define BAOBABCOVE_TASKS_TASKJOB_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "runtime_model/RunPace.h"
#include "tasks.pb.h"
#include "tasks/FailedRuns.h"
#include "tasks/WorkerIncarnation.h"
#include "tasks/crashes/CrashAttribution.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// Largest number of tasks of a job, over all its occurrences. The progress of
/// such a job fits into one transaction of the store.
constexpr std::uint64_t MaxTasksPerJob = 10000;

/// Largest number of tasks of all jobs that have not ended. Any entry may have
/// to coordinate them: a task takes 0.3 KB there while it waits and 0.9 KB
/// while it runs, and the smallest machine has 160 MB. At its largest size the
/// cell runs 41,000 tasks.
constexpr std::uint64_t MaxUnfinishedTasks = 100000;
/// Largest number of such tasks of one workspace, so that the jobs of another
/// are still accepted.
constexpr std::uint64_t MaxUnfinishedTasksPerWorkspace = MaxUnfinishedTasks / 2;

/// Returns the number of tasks of all occurrences of a job.
std::uint64_t taskCount(const wire::TaskJobSpec &Spec);

/// Returns what a job counts towards MaxUnfinishedTasks: its tasks, and one for
/// each step without tasks, whose declaration takes memory, too.
std::uint64_t unfinishedSize(const wire::TaskJobSpec &Spec);

/// Removes repetitions from the steps that \p Step follows.
void removeRepeatedDependencies(wire::StepSpec &Step);

/// Identifies one task of one occurrence of a job.
struct TaskName {
  JobId Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX".
std::string toText(const TaskName &Name);

/// Returns "JOB.OCCURRENCE.STEP", which identifies a step of an occurrence.
std::string stepKey(const TaskName &Name);

/// Parses a task name. Returns nothing if \p Text is not one.
std::optional<TaskName> parseTaskName(const std::string &Text);

/// The state of one task. Fields under "Not stored" are restored from the
/// reports of the agents.
struct TaskState {
  wire::TaskPhase Phase = wire::TASK_WAITING;
  std::uint64_t Run = 0;
  WorkerIncarnation Worker;
  /// Whether the incarnation that held the run has ended; the run is being
  /// barred on Worker, which never had it.
  bool Lost = false;
  /// Failed runs of the unit; of a gang, at its first member.
  FailedRuns Failures;
  std::string Checkpoint;
  /// Whether the scheduler has stopped a long-running task that has not been
  /// at work again since; it counts towards the step's may_miss.
  bool Preempted = false;
  /// Crashes of workers under the unit; of a gang, at its first member.
  CrashHistory Crashes;

  // Not stored.
  /// Whether the worker has listed the run.
  bool Listed = false;
  /// Whether a worker has begun any run of the task. After a takeover, assumed
  /// of each task of a begun job that was placed.
  bool HasBegun = false;
  bool StopRequested = false;
  /// Whether an earlier run has completed the task; the current one is being
  /// stopped.
  bool DoneByEarlierRun = false;
  /// Incarnation of the agent that the start was first sent to; zero for a run
  /// that an earlier coordinator ordered.
  std::uint64_t OrderedByAgent = 0;
  /// Revision of the orders of this term that first contained the run; zero
  /// before they are published.
  std::uint64_t OrderRevision = 0;
  /// When the run was placed; zero for a run that an earlier coordinator
  /// ordered. A worker may begin it much later, or never.
  BootInstant PlacedAt{};
  /// When the worker first and last listed the run.
  BootInstant FirstListedAt{};
  BootInstant LastListedAt{};
  std::uint32_t Percent = 0;
  BootInstant PercentChangedAt{};
  RunPace Pace;
  /// Percent at which the pace last contributed to the speed of the worker;
  /// zero if it has not.
  std::uint32_t PaceUsedAt = 0;
  /// When the current run was seen to have written its newest checkpoint; zero
  /// if it was not.
  BootInstant CheckpointAt{};
  /// Number of the run that was last preempted; zero if none was.
  std::uint64_t PreemptedRun = 0;
  /// Number of runs that were moved because they were stalled.
  std::uint32_t StallMoves = 0;
  /// When the last run was gone; zero before the first.
  BootInstant WaitingSince{};

  /// Returns how long the run was seen alive; zero if it was never listed.
  Milliseconds seenAlive() const;
};

enum class JobStatus { Pending, Running, Completed, Failed, Cancelled };

/// Flags from which the status of a job follows.
struct JobFlags {
  bool Cancelled = false;
  bool Failed = false;
  bool Completed = false;
  /// Whether a worker has begun any task. Stays true however the run ends.
  bool Begun = false;

  /// Returns the status for clients. A job that completed or failed before its
  /// cancellation keeps that status.
  JobStatus status() const;
  bool isOver() const { return Completed || Failed || Cancelled; }
};

/// A job with the state of all its tasks.
class TaskJob : public JobFlags {
public:
  explicit TaskJob(std::shared_ptr<const wire::TaskJobSpec> Spec);

  const wire::TaskJobSpec &spec() const { return *Spec; }
  JobId id() const { return JobId(Spec->id()); }

  /// Restores stored progress. Records that match no task of the job are
  /// skipped.
  void restore(const wire::TaskJobProgress &Stored);
  /// Returns the progress to store; tasks that were never placed are omitted.
  wire::TaskJobProgress progress() const;

  /// Frees the state of the tasks of an ended job whose progress is stored. The
  /// job has no tasks from then on.
  void releaseTasks();

  /// Returns the number of occurrences; zero if the job has no tasks.
  std::uint32_t occurrences() const { return Occurrences; }
  /// Returns the numbers of the steps that have tasks. The others affect
  /// nothing.
  const std::vector<std::uint32_t> &populatedSteps() const {
    return PopulatedSteps;
  }
  /// Returns the index of a step in populatedSteps(), or nothing if the step
  /// has no tasks.
  std::optional<std::size_t> populatedIndex(std::uint32_t Step) const;
  std::size_t size() const { return Tasks.size(); }
  TaskState &task(std::size_t At) { return Tasks[At]; }
  const TaskState &task(std::size_t At) const { return Tasks[At]; }
  /// Returns the index of a task, or nothing if the job has no such task.
  std::optional<std::size_t> position(const TaskName &Name) const;
  TaskName name(std::size_t At) const;
  const wire::StepSpec &step(std::size_t At) const;
  /// Returns the index of the first task of a step in one occurrence.
  std::size_t first(std::uint32_t Occurrence, std::uint32_t Step) const;

  /// Returns the first task of the gang of a task, or the task itself if it is
  /// not part of a gang.
  std::size_t firstOfUnit(std::size_t At) const;

  /// Returns the Unix time in milliseconds from which an occurrence may start.
  std::int64_t dueMs(std::uint32_t Occurrence) const;

  /// Whether any of \p Count tasks from \p First on is not done and no worker
  /// lists its run: it waits, or is placed and has not begun.
  bool hasUnbegunTask(std::size_t First, std::size_t Count) const;
  /// Whether any run may still exist.
  bool hasPlacedTasks() const;
  /// Whether any task is listed by its worker, or was placed so recently that
  /// its worker is still expected to begin it.
  bool hasTasksAtWork(BootInstant Now) const;
  bool areAllDone() const;

  /// Unix time in milliseconds at which the last run of an ended job was gone;
  /// zero before.
  std::int64_t EndedMs = 0;
  /// Store revision of the progress; zero if none is stored.
  std::int64_t Revision = 0;

private:
  /// Restores what the stored progress implies for each unit: the stops that
  /// were requested, and the failed run of a record without run numbers.
  void restoreUnits();
  /// Returns the number of the step that a task belongs to.
  std::uint32_t stepNumber(std::size_t At) const;

  std::shared_ptr<const wire::TaskJobSpec> Spec;
  std::uint32_t Occurrences = 0;
  std::vector<std::size_t> StepOffsets;
  std::vector<std::uint32_t> PopulatedSteps;
  /// Index in PopulatedSteps by step; NotPopulated for steps without tasks.
  std::vector<std::uint32_t> PopulatedIndexes;
  std::size_t TasksPerOccurrence = 0;
  std::vector<TaskState> Tasks;
};

/// Which steps of a job are done. Reflects the state of the tasks at the time
/// of construction, which takes time in proportion to their number; the queries
/// take constant time for each step that they concern.
class StepProgress {
public:
  /// \p Job must outlive this object.
  explicit StepProgress(const TaskJob &Job);

  /// Whether all tasks of the step are done.
  bool isDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  /// Whether the tasks of the step may start at \p NowUnixMs.
  bool isReady(std::uint32_t Occurrence, std::uint32_t Step,
               std::int64_t NowUnixMs) const;

private:
  const TaskJob &Job;
  /// By occurrence and populated step.
  std::vector<bool> Done;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_TASKJOB_H
