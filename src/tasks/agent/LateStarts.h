#ifndef BAOBABCOVE_TASKS_AGENT_LATESTARTS_H
#define BAOBABCOVE_TASKS_AGENT_LATESTARTS_H

#include "baobabcove/Clock.h"
#include "tasks/agent/RunOrderTracker.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace baobabcove {

/// The starts that a later worker incarnation of the node may carry out
/// although they were meant for an earlier one. Not thread-safe.
class LateStarts {
public:
  /// Records a start that the worker \p WorkerId has not acknowledged before
  /// its end. It can reach a later incarnation under the same id only.
  void addUnanswered(const std::string &WorkerId, const RunId &Run,
                     BootInstant Now);

  /// Records a run that the coordinator has given up while its start, perhaps
  /// by an earlier agent, may be on its way to any worker of the node.
  void addNamed(const RunId &Run, BootInstant Now);

  /// Returns the runs whose starts may reach the worker \p WorkerId.
  std::set<RunId> reaching(const std::string &WorkerId, BootInstant Now);

  /// Whether an unanswered start of \p Run may still be carried out.
  bool isUnanswered(const RunId &Run, BootInstant Now);

  /// The coordinator names a bar for as long. A start is carried out within 12
  /// s or never.
  static constexpr Milliseconds Timeout{20000};

private:
  void prune(BootInstant Now);

  /// When each was recorded, by worker id; empty for any worker.
  std::map<std::pair<std::string, RunId>, BootInstant> Starts;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_LATESTARTS_H
