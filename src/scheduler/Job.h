#ifndef BAOBABCOVE_SCHEDULER_JOB_H
#define BAOBABCOVE_SCHEDULER_JOB_H

#include "scheduler/Guarantees.h"

#include <set>

namespace baobabcove {

/// Where a job stands between submission and its end.
enum class JobPhase {
  Queued,
  /// Workers are assigned, but gangs that are being stopped still occupy them.
  Reserved,
  Starting,
  Running,
  Stopping,
};

/// The scheduler's record of a job that has not ended.
struct Job {
  JobInfo Info;
  Demand Need;
  JobPhase Phase = JobPhase::Queued;
  Attempt Number;
  std::vector<Member> Members;
  bool Borrowed = false;
  /// Guaranteed cells in use; empty for a borrowed gang.
  std::vector<CellUse> Uses;
  Instant Started;
  /// Run time saved by the last checkpoint.
  Milliseconds CheckpointedRun{0};
  std::set<NodeId> FailedOn;
  std::uint32_t Failures = 0;
  /// Earliest time of the next start.
  Instant NotBefore;
  bool CancelRequested = false;
  /// Started because it exceeded the age limit; only a reclaim for a guarantee
  /// may evict it.
  bool Protected = false;
  /// Set while no set of known workers could hold the gang.
  bool Impossible = false;
  Instant ImpossibleSince;
  /// Position in the queue; lower ranks start first.
  double Rank = 0;
  /// While stopping: the latest time at which it is stopped.
  Instant StopDeadline;
};

/// Removes every occurrence of a job from a list.
inline void removeFrom(std::vector<Job *> &List, const Job *J) {
  List.erase(std::remove(List.begin(), List.end(), J), List.end());
}

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_JOB_H
