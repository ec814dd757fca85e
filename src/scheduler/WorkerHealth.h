/// \file
/// Tells workers that fail everything apart from jobs that fail everywhere.

#ifndef BAOBABCOVE_SCHEDULER_WORKERHEALTH_H
#define BAOBABCOVE_SCHEDULER_WORKERHEALTH_H

#include "baobabcove/Clock.h"
#include "scheduler/Cluster.h"

#include <map>
#include <set>
#include <vector>

namespace baobabcove {

/// Counts failures of different jobs on a worker since its last success.
class WorkerHealth {
public:
  /// A gang failed and blamed \p Worker. Returns true when the worker is to be
  /// quarantined from now on.
  bool failed(WorkerIndex Worker, const JobId &Job, Instant Now);

  /// A gang succeeded on \p Worker. Returns true when that ends a quarantine.
  bool succeeded(WorkerIndex Worker);

  /// \p Job failed everywhere, so its failures say nothing of workers.
  /// Returns the workers whose quarantine ends by that.
  std::vector<WorkerIndex> jobWasAtFault(const JobId &Job);

  /// The workers whose quarantine ends by \p Now. They stay on probation: one
  /// more failure brings a quarantine of twice the length.
  std::vector<WorkerIndex> released(Instant Now);

  /// Forgets a worker that was replaced.
  void forget(WorkerIndex Worker);

  std::size_t quarantined() const;

private:
  struct Record {
    std::set<JobId> FailedJobs;
    Milliseconds Length{0};
    Instant Until;
    bool Quarantined = false;
    bool Probation = false;
  };

  std::map<WorkerIndex, Record> Records;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_WORKERHEALTH_H
