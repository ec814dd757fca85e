#ifndef BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H
#define BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H

#include "baobabcove/Scheduler.h"
#include "scheduler/EvictionPlanner.h"
#include "scheduler/PlacementPolicy.h"
#include "scheduler/RunTimePredictor.h"
#include "scheduler/WorkerHealth.h"

#include <map>
#include <unordered_map>

namespace baobabcove {

/// Decisions of a policy besides the placement.
struct PolicyTraits {
  /// Starts work within its guarantee by reclaiming from borrowers.
  bool Reclaims = false;
  /// Orders the queue by expected work instead of submission time.
  bool Ranks = false;
  /// Preempts gangs for pending ones that gain more.
  bool Evicts = false;
  /// Places no gangs on workers on which different jobs fail.
  bool Quarantines = false;
};

/// Implementation of Scheduler.
class Scheduler::Core {
public:
  explicit Core(const SchedulerOptions &Options);

  void workerSeen(const WorkerInfo &Info);
  void workerLost(const NodeId &Id, Instant Now);
  void jobQueued(const JobInfo &Info, Instant Now);
  void jobRunning(const JobInfo &Info, Attempt Number,
                  const std::vector<Placement> &Members, bool Borrowed,
                  Instant Started);
  void attemptUsed(const JobId &Id, Attempt Last, Milliseconds CheckpointedRun);
  void jobCancelled(const JobId &Id);
  void gangStarted(const JobId &Id, Attempt Number, Instant Now);
  void gangRefused(const JobId &Id, Attempt Number, const NodeId &Refusing,
                   Instant Now);
  void gangEnded(const JobId &Id, Attempt Number, const GangEnd &End,
                 Instant Now);
  void usageReported(const JobId &Id, std::uint64_t MemoryMbPerTask);
  std::vector<Command> decide(Instant Now);

  bool canEverRun(const JobInfo &Info) const;
  bool fitsNow(const JobInfo &Info) const;
  const Job *find(const JobId &Id) const;
  SchedulerStats figures() const;

  SchedulerOptions Options;
  Cluster Workers;
  Guarantees Guaranteed{Workers};

private:
  /// Demands that did not fit in the current pass. Free capacity only shrinks
  /// within a pass, so a demand that is at least as large is not tried.
  using UnplaceableDemands = std::vector<Demand>;

  Job *findAttempt(const JobId &Id, Attempt Number);
  void endJob(Job &J, ResultCode Code, const std::string &Detail);
  void erase(const JobId &Id);
  void release(Job &Gang);
  void requeue(Job &J, Instant NotBefore);
  void cancelReservation(Job &Gang);
  void addToWorkers(Job &Gang);
  void workersChanged();
  void gangFailed(Job &Gang, const GangEnd &End, Instant Now);
  void endQuarantine(const std::vector<Member> &Members);
  void countWorkerFailure(const Job &Gang, const NodeId &Blamed, Instant Now);
  void gangStopped(Job &Gang, const GangEnd &End, Instant Now);

  void releaseQuarantined(Instant Now);
  void startReadyReservations();
  void claimForReservations(Instant Now);
  void evictFromDraining(Instant Now);
  void endImpossible(Instant Now);
  void rankQueue(Instant Now);
  double rankOf(const Job &Pending, Instant Now) const;
  /// Returns the expected remaining work in accelerator milliseconds.
  double remainingWork(const Job &J, Instant Now) const;
  /// Returns the run time that a job has completed, including the part saved by
  /// its last checkpoint.
  Milliseconds attained(const Job &J, Instant Now) const;
  bool aged(const Job &Pending, Instant Now) const;
  void startQueued(Instant Now);
  bool tryStart(Job &Pending, Instant Now, UnplaceableDemands &Unplaceable);
  bool tryGuarantee(Job &Pending, Instant Now);
  bool tryFreeCapacity(Job &Pending, UnplaceableDemands &Unplaceable);
  bool tryEviction(Job &Pending, Instant Now);
  bool tryCompaction(Job &Pending, Instant Now);
  bool mayUse(const Job &Pending, WorkerIndex Index) const;
  double reclaimCost(const Job &Victim, Instant Now) const;
  double waitCost(const Job &Victim, Instant Now) const;
  double outrankCost(const Job &Victim, const Job &Pending, Instant Now) const;
  void stopVictims(const std::vector<Job *> &Victims, StopReason Reason,
                   Milliseconds Deadline, Instant Now);
  void advanceStopDeadlines(WorkerIndex Index, Milliseconds Deadline,
                            Instant Now);
  void stopGang(Job &Gang, StopReason Reason, bool Checkpoint,
                Milliseconds Deadline);
  /// Gives workers to a pending gang. Starts it, or reserves the workers when
  /// gangs that are being stopped still occupy them.
  void startOrReserve(Job &Pending, std::vector<Member> Members, bool Borrowed,
                      std::vector<CellUse> Uses);
  void emitStart(Job &J);

  std::unique_ptr<PlacementPolicy> Placement;
  PolicyTraits Traits;
  RunTimePredictor RunTimes;
  WorkerHealth Health;
  std::unordered_map<JobId, std::unique_ptr<Job>> Jobs;
  /// Queued jobs in the order of the last ranking, lowest rank first.
  std::vector<Job *> Queue;
  /// Jobs in phase Reserved, which wait for stopping gangs.
  std::vector<Job *> Reservations;
  EvictionPlanner::GangsByWorker GangsOnWorker;
  std::vector<Command> Commands;
  Instant LastRanked;
  std::uint64_t Reclaims = 0;
  std::uint64_t Compactions = 0;
  /// Evictions planned in the current pass.
  std::size_t EvictionAttempts = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H
