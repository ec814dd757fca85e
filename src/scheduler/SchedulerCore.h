/// \file
/// The state behind the public Scheduler.

#ifndef BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H
#define BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H

#include "baobabcove/Scheduler.h"
#include "scheduler/EvictionPlanner.h"
#include "scheduler/PlacementPolicy.h"
#include "scheduler/RunTimes.h"
#include "scheduler/WorkerHealth.h"

#include <map>
#include <unordered_map>

namespace baobabcove {

/// What a policy does beyond placing.
struct PolicyTraits {
  /// Starts work within its guarantee by reclaiming from borrowers.
  bool Reclaims = false;
  /// Orders the queue by expected work instead of arrival.
  bool Ranks = false;
  /// Stops gangs to make room for others that gain more.
  bool Evicts = false;
  /// Keeps work away from workers that fail everything.
  bool Quarantines = false;
};

class Scheduler::Core {
public:
  explicit Core(const SchedulerOptions &Options);

  void workerSeen(const WorkerInfo &Info);
  void workerLost(const NodeId &Id, Instant Now);
  void jobQueued(const JobInfo &Info, Instant Now);
  void jobRunning(const JobInfo &Info, Attempt Number,
                  const std::vector<Placement> &Members, bool Borrowed,
                  Instant Started);
  void attemptUsed(const JobId &Id, Attempt Last, Milliseconds Kept);
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
  SchedulerFigures figures() const;

  SchedulerOptions Options;
  Cluster Workers;
  Guarantees Guaranteed{Workers};

private:
  /// Demands that did not fit in the present pass. Capacity only shrinks
  /// within a pass, so a demand at least as large need not be tried.
  using Misfits = std::vector<Demand>;

  Job *lookUp(const JobId &Id, Attempt Number);
  void endJob(Job &Ended, ResultCode Code, const std::string &Detail);
  void erase(const JobId &Id);
  void release(Job &Gang);
  void requeue(Job &Again, Instant NotBefore);
  void unplan(Job &Planned);
  void reside(Job &Gang);
  void workersChanged();
  void gangFailed(Job &Gang, const GangEnd &End, Instant Now);
  void endQuarantine(const std::vector<Member> &Members);
  void blame(const Job &Gang, const NodeId &Blamed, Instant Now);
  void gangStopped(Job &Gang, const GangEnd &End, Instant Now);

  void releaseQuarantined(Instant Now);
  void startReady();
  void claimPlanned(Instant Now);
  void emptyDraining(Instant Now);
  void endImpossible(Instant Now);
  void rankWaiting(Instant Now);
  double rankOf(const Job &Waits, Instant Now) const;
  double areaOf(const Job &Which, Instant Now) const;
  Milliseconds attained(const Job &Which, Instant Now) const;
  bool aged(const Job &Waits, Instant Now) const;
  void startWaiting(Instant Now);
  bool tryOne(Job &Waits, Instant Now, Misfits &Tried);
  bool tryGuaranteed(Job &Waits, Instant Now);
  bool tryFree(Job &Waits, Misfits &Tried);
  bool tryEvicting(Job &Waits, Instant Now);
  bool tryCompacting(Job &Waits, Instant Now);
  bool mayUse(const Job &Waits, WorkerIndex Index) const;
  double reclaimCost(const Job &Victim, Instant Now) const;
  double awaitCost(const Job &Victim, Instant Now) const;
  double outrankCost(const Job &Victim, const Job &For, Instant Now) const;
  void stopVictims(const std::vector<Job *> &Victims, StopReason Reason,
                   Milliseconds Deadline, Instant Now);
  void hurryLeaving(WorkerIndex Index, Milliseconds Deadline, Instant Now);
  void stopGang(Job &Gang, StopReason Reason, bool Checkpoint,
                Milliseconds Deadline);
  void commit(Job &Waits, std::vector<Member> Members, bool Borrowed,
              std::vector<CellUse> Uses);
  void emitStart(Job &Ready);

  std::unique_ptr<PlacementPolicy> Placement;
  PolicyTraits Traits;
  RunTimes Learned;
  WorkerHealth Health;
  std::unordered_map<JobId, std::unique_ptr<Job>> Jobs;
  /// Queued jobs, best rank first as of the last ranking.
  std::vector<Job *> Waiting;
  std::vector<Job *> Planned;
  EvictionPlanner::Residents OnWorker;
  std::vector<Command> Commands;
  Instant LastRanked;
  std::uint64_t Reclaims = 0;
  std::uint64_t Compactions = 0;
  std::size_t EvictionsTried = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_SCHEDULERCORE_H
