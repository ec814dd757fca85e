/// \file
/// Run times learned from how long earlier jobs of a class really ran.

#ifndef BAOBABCOVE_SCHEDULER_RUNTIMES_H
#define BAOBABCOVE_SCHEDULER_RUNTIMES_H

#include "baobabcove/Scheduler.h"

#include <map>
#include <utility>

namespace baobabcove {

/// Predicts run times for each workspace and job class. What the class usually
/// takes and what the caller declared are weighed by how well each has told
/// the truth so far. Bounded: the class that was used longest ago is forgotten
/// when there are too many.
class RunTimes {
public:
  /// A job of the class ran to its end in \p Run.
  void learn(const JobInfo &Job, Milliseconds Run);

  /// The whole run time to expect of a job that has run for \p Attained.
  Milliseconds predict(const JobInfo &Job, Milliseconds Attained) const;

private:
  /// Mean and variance of logarithms, the newer counting for more.
  struct Moments {
    double Mean = 0;
    double Variance = 0;
    std::uint64_t Count = 0;

    void add(double Value);
  };

  struct Sample {
    /// Logarithms of run times.
    Moments Run;
    /// Logarithms of run time over declared time.
    Moments Truth;
    std::uint64_t Touched = 0;
  };
  using Key = std::pair<WorkspaceId, std::string>;

  std::map<Key, Sample> Samples;
  std::uint64_t Clock = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_RUNTIMES_H
