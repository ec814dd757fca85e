/// \file
/// A job as the scheduler keeps it.

#ifndef BAOBABCOVE_SCHEDULER_JOB_H
#define BAOBABCOVE_SCHEDULER_JOB_H

#include "scheduler/Guarantees.h"

#include <set>

namespace baobabcove {

enum class JobPhase {
  Queued,
  /// Has its workers, but gangs that are being stopped still hold them.
  Planned,
  Starting,
  Running,
  Stopping,
};

struct Job {
  JobInfo Info;
  Demand Need;
  JobPhase Phase = JobPhase::Queued;
  Attempt Number;
  std::vector<Member> Members;
  bool Borrowed = false;
  /// Parts of the guarantee in use; empty for a borrowed gang.
  std::vector<CellUse> Uses;
  Instant Started;
  /// Run time kept by the last checkpoint.
  Milliseconds Kept{0};
  std::set<NodeId> FailedOn;
  std::uint32_t Failures = 0;
  /// Not to be started before.
  Instant NotBefore;
  bool CancelRequested = false;
  /// Started because it had waited too long; only a guarantee may evict it.
  bool Protected = false;
  /// Set while no known set of workers could hold it.
  bool Impossible = false;
  Instant ImpossibleSince;
  double Rank = 0;
  /// While stopping: when it is stopped at the latest.
  Instant StopBy;
};

/// Takes a job out of a list.
inline void removeFrom(std::vector<Job *> &From, const Job *Which) {
  From.erase(std::remove(From.begin(), From.end(), Which), From.end());
}

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_JOB_H
