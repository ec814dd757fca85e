#ifndef BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H
#define BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace baobabcove {

/// Excludes failing workers from placement for a while. A job that fails on
/// several workers is itself faulty; a worker on which different jobs fail in a
/// row is quarantined.
class WorkerQuarantine {
public:
  void noteFailure(const NodeId &Node, const JobId &Job, BootInstant Now);
  void noteSuccess(const NodeId &Node);
  /// Quarantines a worker that refuses tasks or whose runs are stalled.
  void quarantine(const NodeId &Node, BootInstant Now, Milliseconds Duration);

  /// Returns the nodes on which \p Job has failed since the last success there.
  std::vector<NodeId> nodesFailedBy(const JobId &Job) const;

  bool isQuarantined(const NodeId &Node, BootInstant Now) const;

private:
  struct Record {
    /// Jobs that failed since the last success.
    std::set<JobId> FailedJobs;
    int Repeats = 0;
    BootInstant Until{};
  };
  std::map<NodeId, Record> Records;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H
