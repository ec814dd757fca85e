#ifndef BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H
#define BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace baobabcove {

/// Excludes failing workers from placement for a while. A job that fails on
/// several workers is itself faulty; a worker on which different jobs fail in a
/// row is quarantined.
class WorkerQuarantine {
public:
  /// A run of a unit: of a single task or of a gang.
  struct UnitRun {
    JobId Job;
    /// The first task of the unit.
    std::size_t Unit = 0;
    std::uint64_t Run = 0;
  };

  /// Notes that a member of \p Failed ended failed on \p Node. A run counts
  /// once there, however many of its members fail.
  void noteFailure(const NodeId &Node, const UnitRun &Failed, BootInstant Now);
  void noteSuccess(const NodeId &Node);
  /// Quarantines a worker that refuses tasks or whose runs are stalled.
  void quarantine(const NodeId &Node, BootInstant Now, Milliseconds Duration);

  /// Returns the nodes on which \p Job has failed since the last success there.
  std::vector<NodeId> nodesFailedBy(const JobId &Job) const;

  bool isQuarantined(const NodeId &Node, BootInstant Now) const;

private:
  struct Record {
    /// Jobs that failed since the last success, with the latest failed run of
    /// each of their units.
    std::map<JobId, std::map<std::size_t, std::uint64_t>> FailedJobs;
    int Repeats = 0;
    BootInstant Until{};
  };
  std::map<NodeId, Record> Records;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_WORKERQUARANTINE_H
