#ifndef BAOBABCOVE_SCHEDULER_WORKERHEALTH_H
#define BAOBABCOVE_SCHEDULER_WORKERHEALTH_H

#include "baobabcove/Clock.h"
#include "scheduler/Cluster.h"

#include <map>
#include <set>
#include <vector>

namespace baobabcove {

/// Tells faulty workers from faulty jobs by counting the different jobs that
/// failed on a worker since its last success.
class WorkerHealth {
public:
  /// Records that a gang failed because of \p Worker. Returns true when this
  /// starts a quarantine of the worker.
  bool recordFailure(WorkerIndex Worker, const JobId &Job, Instant Now);

  /// Records that a gang succeeded on \p Worker. Returns true when this ends a
  /// quarantine.
  bool recordSuccess(WorkerIndex Worker);

  /// Discards the failures of \p Job, which is considered faulty itself.
  /// Returns the workers whose quarantine ends as a result.
  std::vector<WorkerIndex> clearFailuresOf(const JobId &Job);

  /// Ends the quarantines that have expired by \p Now and returns their
  /// workers. They stay on probation: one more failure starts a quarantine of
  /// twice the length.
  std::vector<WorkerIndex> releaseExpired(Instant Now);

  /// Discards the record of a lost worker.
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
