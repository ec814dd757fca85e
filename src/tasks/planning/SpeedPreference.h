#ifndef BAOBABCOVE_TASKS_PLANNING_SPEEDPREFERENCE_H
#define BAOBABCOVE_TASKS_PLANNING_SPEEDPREFERENCE_H

#include "tasks/planning/TaskPlanner.h"

#include <vector>

namespace baobabcove {

/// Logarithms of the lowest and the highest speed of a group of workers.
struct SpeedRange {
  double LogMin = 0;
  double LogMax = 0;
  bool contains(double LogSpeed) const {
    return LogSpeed >= LogMin && LogSpeed <= LogMax;
  }
};

/// Scores the speeds of workers for one unit; lower scores are better. They are
/// added to the score of the resources left over, in which one of a worker's
/// eight accelerators counts 0.25. All scores are zero at the nominal speed.
class SpeedPreference {
public:
  /// Selects the weights that apply to \p Unit.
  explicit SpeedPreference(const PlanUnit &Unit);

  /// Scores one worker for one task.
  double ofWorker(double LogSpeed) const { return WorkerWeight * LogSpeed; }

  /// Scores the workers of a whole unit, per task: a gang runs at the speed of
  /// the slowest, and the others wait for it.
  double ofPlacement(const std::vector<double> &LogSpeeds) const;

  /// Returns the groups of workers to which a placement of the unit should be
  /// restricted as alternatives to using all of them. \p LogSpeeds are the
  /// distinct logarithms of all speeds in ascending order.
  std::vector<SpeedRange>
  alternatives(const std::vector<double> &LogSpeeds) const;

private:
  bool IsGang = false;
  bool IsUrgent = false;
  double WorkerWeight = 0;
  double SlowestWeight = 0;
  double SpreadWeight = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_SPEEDPREFERENCE_H
