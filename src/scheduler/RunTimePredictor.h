#ifndef BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H
#define BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H

#include "baobabcove/Scheduler.h"
#include "runtime_model/BoundedTable.h"
#include "runtime_model/DurationHistory.h"

#include <string>
#include <utility>

namespace baobabcove {

/// Predicts run times for each workspace and job class. Combines the run times
/// of earlier jobs of the class with the declared run time, each weighted by
/// the inverse variance of its past errors. The number of classes is bounded;
/// the least recently updated one is dropped.
class RunTimePredictor {
public:
  RunTimePredictor();

  /// Records that a job of the class succeeded after the run time \p Run.
  void addSample(const JobInfo &Job, Milliseconds Run);

  /// Predicts the total run time of a job that has already run for
  /// \p Attained.
  Milliseconds predict(const JobInfo &Job, Milliseconds Attained) const;

private:
  using Key = std::pair<WorkspaceId, std::string>;

  BoundedTable<Key, DurationHistory> Histories;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H
