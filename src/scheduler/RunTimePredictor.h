#ifndef BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H
#define BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H

#include "baobabcove/Scheduler.h"

#include <map>
#include <utility>

namespace baobabcove {

/// Predicts run times for each workspace and job class. Combines the run times
/// of earlier jobs of the class with the declared run time, each weighted by
/// the inverse variance of its past errors. The number of classes is bounded;
/// the least recently updated one is dropped.
class RunTimePredictor {
public:
  /// Records that a job of the class succeeded after the run time \p Run.
  void addSample(const JobInfo &Job, Milliseconds Run);

  /// Predicts the total run time of a job that has already run for
  /// \p Attained.
  Milliseconds predict(const JobInfo &Job, Milliseconds Attained) const;

private:
  /// Moving mean and variance of logarithms; newer samples weigh more.
  struct Moments {
    double Mean = 0;
    double Variance = 0;
    std::uint64_t Count = 0;

    void add(double Value);
  };

  struct ClassHistory {
    /// Logarithms of run times.
    Moments Run;
    /// Logarithms of the ratio of run time to declared run time.
    Moments DeclarationError;
    /// Value of UseCounter at the last sample.
    std::uint64_t LastUsed = 0;
  };
  using Key = std::pair<WorkspaceId, std::string>;

  std::map<Key, ClassHistory> Histories;
  std::uint64_t UseCounter = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_RUNTIMEPREDICTOR_H
