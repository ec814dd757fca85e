/// \file
/// The decision library: events and a clock in, commands out. It does no input
/// or output, starts no thread and never reads a clock of its own, so that the
/// same events always lead to the same commands.

#ifndef BAOBABCOVE_SCHEDULER_H
#define BAOBABCOVE_SCHEDULER_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "baobabcove/ResultCode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace baobabcove {

/// How close to each other the tasks of a gang must run.
enum class Adjacency { Any, SameWorker, SameRack, SameDataCentre };

/// A number of equal pieces of a guarantee. A piece that fits into one worker
/// is rounded up to a power of two, a larger one to whole workers.
struct GuaranteeShape {
  std::uint32_t Count = 1;
  std::uint32_t Accelerators = 0;
  Adjacency Near = Adjacency::SameWorker;
};

/// What a workspace can always claim.
struct WorkspaceGuarantee {
  WorkspaceId Workspace;
  std::vector<GuaranteeShape> Shapes;
};

/// A worker as it announced itself.
struct WorkerInfo {
  NodeId Id;
  PlaceName Place;
  DataCentreName DataCentre;
  RackName Rack;
  std::uint32_t Accelerators = 0;
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  /// A draining worker finishes its tasks and gets no new ones.
  bool Draining = false;
};

/// A job as it was submitted.
struct JobInfo {
  JobId Id;
  WorkspaceId Workspace;
  /// Jobs of one class are expected to run alike.
  std::string Class;
  std::uint32_t Tasks = 1;
  std::uint32_t AcceleratorsPerTask = 1;
  Adjacency Near = Adjacency::Any;
  std::uint32_t CoresPerTask = 0;
  std::uint64_t MemoryMbPerTask = 0;
  /// What the caller believes; zero when unsaid.
  Milliseconds DeclaredRun{0};
  bool Urgent = false;
  /// Whether the job may be run again after it may have started.
  bool Idempotent = true;
  Instant Submitted;
};

/// A number of a gang's tasks on one worker.
struct Placement {
  NodeId Worker;
  std::uint32_t Tasks = 0;
};

/// Command: reserve the gang on every member, then start it whole.
struct StartGang {
  JobId Job;
  Attempt Number;
  std::vector<Placement> Members;
  /// Whether the gang runs above its workspace's guarantee.
  bool Borrowed = false;
  /// Run time that the last checkpoint kept.
  Milliseconds Resume{0};
};

/// Why a gang is stopped.
enum class StopReason {
  Cancelled,
  Reclaimed,
  Compacted,
  Outranked,
  Drained,
  Broken
};

/// The printed form of \p Reason.
const char *stopReasonName(StopReason Reason);

/// Command: stop the gang on every member.
struct StopGang {
  JobId Job;
  Attempt Number;
  StopReason Reason = StopReason::Cancelled;
  /// Ask for a checkpoint first, and stop without one after the deadline.
  bool Checkpoint = false;
  Milliseconds Deadline{0};
};

/// Command: the job has ended without (another) run.
struct EndJob {
  JobId Job;
  ResultCode Code = ResultCode::Ok;
  std::string Detail;
};

using Command = std::variant<StartGang, StopGang, EndJob>;

/// How a gang ended.
enum class GangResult {
  Succeeded,
  /// A task reported failure on the blamed worker.
  Failed,
  /// A member was lost or could not keep its lease.
  Lost,
  /// Stopped by command; the progress says what a checkpoint kept.
  Stopped,
};

/// The end of a gang, as one fact about all its members.
struct GangEnd {
  GangResult Result = GangResult::Succeeded;
  /// The worker that failed or was lost; empty when none is to blame.
  NodeId Blamed;
  /// Run time that can be resumed, counted from the start of the job.
  Milliseconds Progress{0};
  /// Whether any task may have run a step.
  bool MayHaveRun = true;
  /// Whether a stopped gang wrote a checkpoint on every member first.
  bool Checkpointed = false;
};

/// What a scheduler may be tuned by.
struct SchedulerOptions {
  /// "packing" (the default), "best-fit" or "first-fit".
  std::string Policy = "packing";
  /// Weight of completion time against fragmentation, from 0 to 1.
  double CompletionWeight = 0.5;
  /// Time a gang may take to write a checkpoint before it is stopped.
  Milliseconds CheckpointDeadline{20000};
  /// The same when nothing hurries, as for compaction.
  Milliseconds PatientCheckpointDeadline{600000};
  /// The same when urgent work waits for the accelerators.
  Milliseconds UrgentCheckpointDeadline{1200};
  /// A job that has waited this long goes before all that has not.
  Milliseconds AgeLimit{10 * 3600 * 1000};
  /// Run time lost by a stop and restart, as the compaction reckons it.
  Milliseconds RestartCost{30000};
};

/// Figures of a scheduler's present state.
struct SchedulerFigures {
  std::size_t Queued = 0;
  std::size_t Running = 0;
  std::uint64_t FreeAccelerators = 0;
  std::uint64_t TotalAccelerators = 0;
  std::size_t Quarantined = 0;
  /// Guaranteed pieces that the present workers cannot hold.
  std::size_t UnpackableCells = 0;
  std::uint64_t Reclaims = 0;
  std::uint64_t Compactions = 0;
};

/// Decides what runs where. Not thread-safe: one thread owns it.
class Scheduler {
public:
  explicit Scheduler(const SchedulerOptions &Options);
  ~Scheduler();

  /// A worker announced itself, for the first time or with changed facts.
  void workerSeen(const WorkerInfo &Info, Instant Now);
  /// A worker is gone. The gangs on it end by their own gangEnded events.
  void workerLost(const NodeId &Worker, Instant Now);
  /// The guarantees in force, replacing the earlier ones.
  void setGuarantees(const std::vector<WorkspaceGuarantee> &Guarantees);
  /// The weight of completion time against fragmentation, from 0 to 1.
  void setCompletionWeight(double Weight);

  /// A job was accepted.
  void jobQueued(const JobInfo &Info, Instant Now);
  /// A job was already running when this scheduler began. \p Kept is the run
  /// time that an earlier checkpoint kept.
  void jobRunning(const JobInfo &Info, Attempt Number,
                  const std::vector<Placement> &Members, bool Borrowed,
                  Instant Started);
  /// The next attempt of \p Job gets a number above \p Last.
  void attemptUsed(const JobId &Job, Attempt Last, Milliseconds Kept);
  /// The caller wants the job ended.
  void jobCancelled(const JobId &Job, Instant Now);

  /// Every member of the gang runs.
  void gangStarted(const JobId &Job, Attempt Number, Instant Now);
  /// The gang could not be started; nothing of it ran. \p Refusing is empty
  /// when no single member was the cause.
  void gangRefused(const JobId &Job, Attempt Number, const NodeId &Refusing,
                   Instant Now);
  /// The gang has ended on every member.
  void gangEnded(const JobId &Job, Attempt Number, const GangEnd &End,
                 Instant Now);
  /// A worker reported what a running gang uses; reports may lag.
  void usageReported(const JobId &Job, std::uint64_t MemoryMbPerTask);

  /// What is to be done now. Call it after events and once a second.
  std::vector<Command> decide(Instant Now);

  /// Whether the workers seen so far could ever hold the shape of \p Info.
  bool canEverRun(const JobInfo &Info) const;
  /// Whether the shapes can all be packed at once on the present workers.
  bool canGuarantee(const std::vector<WorkspaceGuarantee> &Guarantees) const;
  /// Whether \p Job waits and lies within its workspace's guarantee.
  bool waitsWithinGuarantee(const JobId &Job) const;
  /// Whether the gang of \p Info could be placed on what is free now.
  bool fitsNow(const JobInfo &Info) const;

  SchedulerFigures figures() const;

private:
  class Core;
  std::unique_ptr<Core> Impl;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_H
