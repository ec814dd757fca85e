/// \file
/// Which workers fail what is started on them.

#ifndef BAOBABCOVE_TASKS_WORKERSUSPICION_H
#define BAOBABCOVE_TASKS_WORKERSUSPICION_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"

#include <map>
#include <set>

namespace baobabcove {

/// A job that fails on several workers is at fault itself; a worker on which
/// different jobs fail in a row is left alone for a while.
class WorkerSuspicion {
public:
  void noteFailure(const NodeId &Node, const JobId &Job, BootInstant Now);
  void noteSuccess(const NodeId &Node);
  /// The worker refuses or does not move: it is left alone for \p For.
  void suspect(const NodeId &Node, BootInstant Now, Milliseconds For);

  bool isSuspected(const NodeId &Node, BootInstant Now) const;

private:
  struct Record {
    /// Jobs that failed since the last success.
    std::set<JobId> Failed;
    int Rounds = 0;
    BootInstant Until{};
  };
  std::map<NodeId, Record> Records;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_WORKERSUSPICION_H
