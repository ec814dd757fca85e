#ifndef BAOBABCOVE_TASKS_PLANNING_DURATIONESTIMATOR_H
#define BAOBABCOVE_TASKS_PLANNING_DURATIONESTIMATOR_H

#include "baobabcove/Clock.h"

#include <map>
#include <string>

namespace baobabcove {

/// Estimates task durations from the tasks of the same queue that completed.
/// Callers' estimates can be off by half or more; the tasks of a queue are
/// alike, so their mean is the better estimate once there are some.
class DurationEstimator {
public:
  /// Adds the duration of a completed task of \p Queue.
  void add(const std::string &Queue, Milliseconds Ran);

  /// Returns the mean duration of \p Queue, weighted with the caller's
  /// \p Estimate.
  Milliseconds expected(const std::string &Queue, Milliseconds Estimate) const;

private:
  struct Sums {
    double Count = 0;
    double RanMs = 0;
  };
  std::map<std::string, Sums> ByQueue;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_DURATIONESTIMATOR_H
