/// \file
/// A job of steps and tasks, and how far it has come.

#ifndef BAOBABCOVE_TASKS_TASKJOB_H
#define BAOBABCOVE_TASKS_TASKJOB_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "tasks.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// The life of a worker: its id and the moment it began.
using WorkerLife = StrongString<struct WorkerLifeTag>;

/// Names one task of one occurrence of a job.
struct TaskName {
  JobId Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
};

/// "JOB.OCCURRENCE.STEP.INDEX".
std::string toText(const TaskName &Name);

/// Reads the text of a task name; nothing when it is not one.
std::optional<TaskName> parseTaskName(const std::string &Text);

/// One task. What stands under "not stored" is learned anew from the agents.
struct TaskState {
  wire::TaskPhase Phase = wire::TASK_WAITING;
  std::uint64_t Run = 0;
  WorkerLife Worker;
  std::uint32_t Failures = 0;
  std::string Checkpoint;

  // Not stored.
  /// The worker has listed the run.
  bool Seen = false;
  bool StopWanted = false;
  /// The life of the agent that the start was first ordered from; zero for a
  /// run that an earlier coordinator ordered.
  std::uint64_t OrderedFrom = 0;
  BootInstant PlacedAt{};
  BootInstant SeenAt{};
  std::uint32_t Percent = 0;
  BootInstant PercentAt{};
};

enum class JobStatus { Pending, Running, Completed, Failed, Cancelled };

/// What has become of a job.
struct JobMarks {
  bool Cancelled = false;
  bool Failed = false;
  bool Completed = false;
  /// A task has been started.
  bool Begun = false;

  /// What callers are shown: a job that was done or failed before it was
  /// cancelled stays so.
  JobStatus status() const;
};

/// A job with the state of all its tasks.
class TaskJob : public JobMarks {
public:
  explicit TaskJob(std::shared_ptr<const wire::TaskJobSpec> Spec);

  const wire::TaskJobSpec &spec() const { return *Spec; }
  JobId id() const { return JobId(Spec->id()); }

  /// Takes over stored progress. Rows that name no task of the job are left
  /// out.
  void restore(const wire::TaskJobProgress &Stored);
  /// What has to be stored: tasks that were never started are left out.
  wire::TaskJobProgress progress() const;

  std::uint32_t occurrences() const { return Occurrences; }
  std::size_t size() const { return Tasks.size(); }
  TaskState &task(std::size_t At) { return Tasks[At]; }
  const TaskState &task(std::size_t At) const { return Tasks[At]; }
  /// Position of a task, or nothing when the job has no such task.
  std::optional<std::size_t> position(const TaskName &Name) const;
  TaskName name(std::size_t At) const;
  const wire::StepSpec &step(std::size_t At) const;
  /// Position of the first task of a step of an occurrence.
  std::size_t first(std::uint32_t Occurrence, std::uint32_t Step) const;

  bool isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  /// Whether tasks of the step may start at \p NowUnixMs.
  bool isStepReady(std::uint32_t Occurrence, std::uint32_t Step,
                   std::int64_t NowUnixMs) const;
  /// Unix time at which an occurrence may start.
  std::int64_t dueMs(std::uint32_t Occurrence) const;

  /// Whether a run may be going on anywhere.
  bool hasPlacedTasks() const;
  bool areAllDone() const;
  bool isOver() const { return Completed || Failed || Cancelled; }

  /// Unix time at which the last task of the ended job was gone; zero before.
  std::int64_t EndedMs = 0;
  /// The store's revision of the stored progress; zero when there is none.
  std::int64_t Revision = 0;

private:
  std::shared_ptr<const wire::TaskJobSpec> Spec;
  std::uint32_t Occurrences = 1;
  std::vector<std::size_t> StepOffsets;
  std::size_t TasksPerOccurrence = 0;
  std::vector<TaskState> Tasks;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_TASKJOB_H
