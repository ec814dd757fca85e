#include "baobabcove/Scheduler.h"

#include "scheduler/SchedulerCore.h"

namespace baobabcove {

const char *stopReasonName(StopReason Reason) {
  switch (Reason) {
  case StopReason::Cancelled:
    return "cancelled";
  case StopReason::Reclaimed:
    return "reclaimed";
  case StopReason::Compacted:
    return "compacted";
  case StopReason::Outranked:
    return "outranked";
  case StopReason::Drained:
    return "drained";
  case StopReason::Broken:
    break;
  }
  return "broken";
}

std::optional<Error> notRepeatable(bool Idempotent, const GangEnd &End) {
  if (Idempotent || !End.MayHaveRun || End.Result == GangResult::Succeeded)
    return std::nullopt;
  if (End.Result == GangResult::Failed)
    return Error{ResultCode::JobFailed,
                 "A task failed on " + End.FaultyWorker.str() +
                     "; a job that is not idempotent is not retried."};
  if (End.Checkpointed)
    return std::nullopt;
  return Error{
      ResultCode::JobOutcomeUnknown,
      "The job was stopped without a checkpoint after it had started."};
}

Scheduler::Scheduler(const SchedulerOptions &Options)
    : Impl(std::make_unique<Core>(Options)) {}

Scheduler::~Scheduler() = default;

void Scheduler::workerSeen(const WorkerInfo &Info, Instant) {
  Impl->workerSeen(Info);
}

void Scheduler::workerLost(const NodeId &Worker, Instant Now) {
  Impl->workerLost(Worker, Now);
}

void Scheduler::setGuarantees(
    const std::vector<WorkspaceGuarantee> &Guarantees) {
  Impl->Guaranteed.set(Guarantees);
}

void Scheduler::setCompletionWeight(double Weight) {
  Impl->Options.CompletionWeight = Weight;
}

void Scheduler::jobQueued(const JobInfo &Info, Instant Now) {
  Impl->jobQueued(Info, Now);
}

void Scheduler::jobRunning(const JobInfo &Info, Attempt Number,
                           const std::vector<Placement> &Members, bool Borrowed,
                           Instant Started) {
  Impl->jobRunning(Info, Number, Members, Borrowed, Started);
}

void Scheduler::attemptUsed(const JobId &Job, Attempt Last,
                            Milliseconds CheckpointedRun) {
  Impl->attemptUsed(Job, Last, CheckpointedRun);
}

void Scheduler::jobCancelled(const JobId &Job, Instant) {
  Impl->jobCancelled(Job);
}

void Scheduler::gangStarted(const JobId &Job, Attempt Number, Instant Now) {
  Impl->gangStarted(Job, Number, Now);
}

void Scheduler::gangRefused(const JobId &Job, Attempt Number,
                            const NodeId &Refusing, Instant Now) {
  Impl->gangRefused(Job, Number, Refusing, Now);
}

void Scheduler::gangEnded(const JobId &Job, Attempt Number, const GangEnd &End,
                          Instant Now) {
  Impl->gangEnded(Job, Number, End, Now);
}

void Scheduler::usageReported(const JobId &Job, std::uint64_t MemoryMbPerTask) {
  Impl->usageReported(Job, MemoryMbPerTask);
}

std::vector<Command> Scheduler::decide(Instant Now) {
  return Impl->decide(Now);
}

bool Scheduler::canEverRun(const JobInfo &Info) const {
  return Impl->canEverRun(Info);
}

bool Scheduler::canGuarantee(
    const std::vector<WorkspaceGuarantee> &Guarantees) const {
  return Impl->Guaranteed.packableWhenEmpty(Guarantees);
}

bool Scheduler::waitsWithinGuarantee(const JobId &Job) const {
  const auto *Found = Impl->find(Job);
  return Found && Found->Phase == JobPhase::Queued &&
         Impl->Guaranteed.covers(Found->Info.Workspace, Found->Need);
}

bool Scheduler::fitsNow(const JobInfo &Info) const {
  return Impl->fitsNow(Info);
}

SchedulerStats Scheduler::stats() const { return Impl->figures(); }

} // namespace baobabcove
