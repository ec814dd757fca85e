#ifndef BAOBABCOVE_RUNTIME_MODEL_SIBLINGRUNS_H
#define BAOBABCOVE_RUNTIME_MODEL_SIBLINGRUNS_H

#include "baobabcove/Ids.h"
#include "runtime_model/BoundedTable.h"
#include "runtime_model/DurationEstimate.h"
#include "runtime_model/WorkerSpeeds.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// The durations of the tasks of recent steps by worker. The tasks of a step
/// have similar work, so that a difference between workers tells slow workers
/// from long tasks.
class SiblingRuns {
public:
  SiblingRuns() : Steps(256) {}

  /// Adds a run that took \p Ran near its data, or takes so long at its pace.
  /// Replaces what was added of the same run earlier.
  void add(const std::string &Step, const NodeId &Node, const std::string &Run,
           Milliseconds Ran);

  /// Returns the work of a task of \p Step by its runs on workers other than
  /// \p Node, or nothing if there are none.
  std::optional<DurationEstimate> workOf(const std::string &Step,
                                         const NodeId &Node,
                                         const WorkerSpeeds &Speeds) const;

  /// Adds what the runs of \p Step tell to the speeds of its workers. A worker
  /// without others to compare with is compared with \p Expected. Returns the
  /// workers whose speed becomes known.
  std::vector<NodeId> updateSpeeds(const std::string &Step,
                                   const DurationEstimate &Expected,
                                   WorkerSpeeds &Speeds) const;

private:
  /// Logarithms of durations by run.
  using Logs = std::map<std::string, double>;

  /// The runs of a step on one worker.
  struct Sibling {
    NodeId Node;
    double LogMedian = 0;
    double LogVariance = 0;
    WorkerSpeed Speed;
  };

  std::vector<Sibling> siblingsOf(const std::string &Step,
                                  const WorkerSpeeds &Speeds) const;
  static std::optional<DurationEstimate>
  workBesides(const std::vector<Sibling> &All, const NodeId &Node);

  BoundedTable<std::string, std::map<NodeId, Logs>> Steps;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_SIBLINGRUNS_H
