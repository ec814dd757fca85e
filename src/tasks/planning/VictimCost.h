/// \file
/// What it costs to preempt runs, which decides which ones are chosen.

#ifndef BAOBABCOVE_TASKS_PLANNING_VICTIMCOST_H
#define BAOBABCOVE_TASKS_PLANNING_VICTIMCOST_H

#include "tasks/planning/TaskPlanner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// The cost of a set of preemptions.
struct VictimCost {
  /// Number of long-running steps that come to exceed their may_miss.
  std::size_t Violations = 0;
  double Loss = 0;

  VictimCost &operator+=(const VictimCost &Other) {
    Violations += Other.Violations;
    Loss += Other.Loss;
    return *this;
  }
  /// A violation outweighs any loss of work.
  friend bool operator<(const VictimCost &L, const VictimCost &R) {
    return L.Violations != R.Violations ? L.Violations < R.Violations
                                        : L.Loss < R.Loss;
  }
};

/// Values preemptions one after the other: how many more tasks of a
/// long-running step may be stopped depends on those that were chosen before.
class VictimCosts {
public:
  /// \p Input must outlive this object.
  explicit VictimCosts(const PlanInput &Input);

  /// Returns the cost of preempting \p Run, with its gang, next.
  VictimCost costOf(std::size_t Run) const;
  /// Counts the tasks that end with \p Run as stopped.
  void take(std::size_t Run);

  /// Returns the cost of preempting the cheapest runs on \p Worker that are not
  /// in \p Removed until \p Need fits into \p Available, and the first of
  /// them; no run if all of them do not suffice.
  std::pair<VictimCost, std::optional<std::size_t>>
  untilFits(std::size_t Worker, Resources Available, const Resources &Need,
            const std::vector<bool> &Removed) const;

private:
  explicit VictimCosts(const std::vector<PreemptibleRun> &Runs) : Runs(Runs) {}
  /// Returns the costs of the runs in \p Chosen only, whose copy is cheap.
  VictimCosts restrictedTo(const std::vector<std::size_t> &Chosen) const;

  const std::vector<PreemptibleRun> &Runs;
  std::map<std::string, std::int64_t> MayMiss;
  /// Number of runs that are left to preempt, by key of a long-running step.
  std::map<std::string, std::int64_t> RunsLeft;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_VICTIMCOST_H
