/// \file
/// The scheduling library. It takes events and the current time, and returns
/// commands. It does no I/O, starts no threads and reads no clock, so that the
/// same sequence of events always yields the same commands.

#ifndef BAOBABCOVE_SCHEDULER_H
#define BAOBABCOVE_SCHEDULER_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabcove {

/// Topology constraint on the placement of a gang's tasks.
enum class Adjacency { Any, SameWorker, SameRack, SameDataCentre };

/// A number of equal cells of a guarantee. The accelerators of a cell are
/// rounded up to a power of two when it fits into one worker, and to whole
/// workers otherwise.
struct GuaranteeShape {
  std::uint32_t Count = 1;
  std::uint32_t Accelerators = 0;
  Adjacency Near = Adjacency::SameWorker;
};

/// The capacity that a workspace can claim at any time.
struct WorkspaceGuarantee {
  WorkspaceId Workspace;
  std::vector<GuaranteeShape> Shapes;
};

/// Properties of a worker, as its agent reports them.
struct WorkerInfo {
  NodeId Id;
  PlaceName Place;
  DataCentreName DataCentre;
  RackName Rack;
  std::uint32_t Accelerators = 0;
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  /// Whether the worker finishes its tasks and accepts no new ones.
  bool Draining = false;
};

/// A job as submitted.
struct JobInfo {
  JobId Id;
  WorkspaceId Workspace;
  /// Jobs of one class are expected to have similar run times.
  std::string Class;
  std::uint32_t Tasks = 1;
  std::uint32_t AcceleratorsPerTask = 1;
  Adjacency Near = Adjacency::Any;
  std::uint32_t CoresPerTask = 0;
  std::uint64_t MemoryMbPerTask = 0;
  /// Run time that the caller declared; zero when not declared.
  Milliseconds DeclaredRun{0};
  bool Urgent = false;
  /// Whether the job may be restarted after an attempt that may have run.
  bool Idempotent = true;
  Instant Submitted;
};

/// A number of a gang's tasks on one worker.
struct Placement {
  NodeId Worker;
  std::uint32_t Tasks = 0;
};

/// Command to reserve resources for a gang on every member, and then to start
/// all its tasks.
struct StartGang {
  JobId Job;
  Attempt Number;
  std::vector<Placement> Members;
  /// Whether the gang runs above its workspace's guarantee.
  bool Borrowed = false;
  /// Run time saved by the last checkpoint, from which the job resumes.
  Milliseconds Resume{0};
};

/// Why a gang is stopped.
enum class StopReason {
  /// The caller cancelled the job.
  Cancelled,
  /// Another workspace claims its guarantee.
  Reclaimed,
  /// It is moved so that a larger gang fits onto the free accelerators.
  Compacted,
  /// It is preempted by a job that ranks higher.
  Outranked,
  /// One of its workers is draining.
  Drained,
  /// Not issued by the scheduler.
  Broken
};

/// Returns the printed form of \p Reason.
const char *stopReasonName(StopReason Reason);

/// Command to stop a gang on every member.
struct StopGang {
  JobId Job;
  Attempt Number;
  StopReason Reason = StopReason::Cancelled;
  /// Whether to request a checkpoint first. The gang is stopped without one
  /// after \c Deadline.
  bool Checkpoint = false;
  /// Time allowed for the checkpoint.
  Milliseconds Deadline{0};
};

/// Command to end a job without starting it, or without restarting it.
struct EndJob {
  JobId Job;
  ResultCode Code = ResultCode::Ok;
  std::string Detail;
};

using Command = std::variant<StartGang, StopGang, EndJob>;

/// How a gang ended.
enum class GangResult {
  Succeeded,
  /// A task failed on the worker \c GangEnd::Blamed.
  Failed,
  /// A worker was lost, or its lease expired.
  Lost,
  /// Stopped by command. \c GangEnd::Progress is what a checkpoint has saved.
  Stopped,
};

/// The combined result of all members of a gang.
struct GangEnd {
  GangResult Result = GangResult::Succeeded;
  /// The worker that failed or was lost; empty when there is none.
  NodeId FaultyWorker;
  /// Run time from which the job can resume, since its first start.
  Milliseconds Progress{0};
  /// Whether any task may have run.
  bool MayHaveRun = true;
  /// Whether every member of a stopped gang wrote a checkpoint.
  bool Checkpointed = false;
};

/// Returns why a job ends with its gang because it is not idempotent, or
/// nothing when \p End allows another attempt.
std::optional<Error> notRepeatable(bool Idempotent, const GangEnd &End);

/// Tuning parameters of a scheduler.
struct SchedulerOptions {
  /// "packing" (the default), "best-fit" or "first-fit".
  std::string Policy = "packing";
  /// Weight of completion time against fragmentation, from 0 to 1.
  double CompletionWeight = 0.5;
  /// Time allowed for a checkpoint when a guarantee is reclaimed.
  Milliseconds CheckpointDeadline{20000};
  /// Time allowed for a checkpoint when the stop is not urgent, as for
  /// draining, compaction and preemption by a higher rank.
  Milliseconds RelaxedCheckpointDeadline{600000};
  /// Time allowed for a checkpoint when an urgent job reclaims its guarantee.
  Milliseconds UrgentCheckpointDeadline{1200};
  /// Jobs that have waited at least this long rank before all others.
  Milliseconds AgeLimit{10 * 3600 * 1000};
  /// Estimated run time lost by stopping and restarting a gang.
  Milliseconds RestartCost{30000};
};

/// Statistics of a scheduler's current state.
struct SchedulerStats {
  std::size_t Queued = 0;
  std::size_t Running = 0;
  std::uint64_t FreeAccelerators = 0;
  std::uint64_t TotalAccelerators = 0;
  std::size_t Quarantined = 0;
  /// Guaranteed cells that cannot be packed onto the current workers.
  std::size_t UnpackableCells = 0;
  std::uint64_t Reclaims = 0;
  std::uint64_t Compactions = 0;
};

/// Decides which jobs run on which workers. Not thread-safe.
class Scheduler {
public:
  explicit Scheduler(const SchedulerOptions &Options);
  ~Scheduler();

  /// Event: a worker reported itself for the first time or with changed
  /// properties.
  void workerSeen(const WorkerInfo &Info, Instant Now);
  /// Event: a worker was lost. Its gangs end by gangEnded events of their own.
  void workerLost(const NodeId &Worker, Instant Now);
  /// Replaces the guarantees.
  void setGuarantees(const std::vector<WorkspaceGuarantee> &Guarantees);
  /// Sets the weight of completion time against fragmentation, from 0 to 1.
  void setCompletionWeight(double Weight);

  /// Event: a job was accepted.
  void jobQueued(const JobInfo &Info, Instant Now);
  /// Event: a job was already running when this scheduler was created.
  void jobRunning(const JobInfo &Info, Attempt Number,
                  const std::vector<Placement> &Members, bool Borrowed,
                  Instant Started);
  /// Event: earlier attempts of \p Job are known, up to the number \p Last. The
  /// next attempt gets a higher number. \p CheckpointedRun is the run time that
  /// a checkpoint has saved.
  void attemptUsed(const JobId &Job, Attempt Last,
                   Milliseconds CheckpointedRun);
  /// Event: the caller cancelled the job.
  void jobCancelled(const JobId &Job, Instant Now);

  /// Event: every member of the gang is running.
  void gangStarted(const JobId &Job, Attempt Number, Instant Now);
  /// Event: the gang could not be started, and none of its tasks ran.
  /// \p Refusing is empty when no single worker was the cause.
  void gangRefused(const JobId &Job, Attempt Number, const NodeId &Refusing,
                   Instant Now);
  /// Event: the gang has ended on every member.
  void gangEnded(const JobId &Job, Attempt Number, const GangEnd &End,
                 Instant Now);
  /// Event: the measured memory of each task of a running gang, in MiB. Reports
  /// may be delayed.
  void usageReported(const JobId &Job, std::uint64_t MemoryMbPerTask);

  /// Returns the commands to execute now. Must be called after events and once
  /// a second.
  std::vector<Command> decide(Instant Now);

  /// Returns whether the gang of \p Info fits onto the workers seen so far when
  /// they run nothing else.
  bool canEverRun(const JobInfo &Info) const;
  /// Returns whether the cells of all guarantees can be packed at once onto the
  /// current workers.
  bool canGuarantee(const std::vector<WorkspaceGuarantee> &Guarantees) const;
  /// Returns whether \p Job is queued and covered by its workspace's guarantee.
  bool waitsWithinGuarantee(const JobId &Job) const;
  /// Returns whether the gang of \p Info could be placed on the capacity that
  /// is free now.
  bool fitsNow(const JobInfo &Info) const;

  SchedulerStats stats() const;

private:
  class Core;
  std::unique_ptr<Core> Impl;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_H
