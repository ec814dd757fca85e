/// \file
/// Run times learned from how long earlier jobs of a class really ran.

#ifndef BAOBABCOVE_SCHEDULER_RUNTIMES_H
#define BAOBABCOVE_SCHEDULER_RUNTIMES_H

#include "baobabcove/Scheduler.h"

#include <map>
#include <utility>
#include <vector>

namespace baobabcove {

/// Predicts run times for each workspace and job class. Bounded: the class
/// that was used longest ago is forgotten when there are too many.
class RunTimes {
public:
  /// A job of the class ran to its end in \p Run.
  void learn(const WorkspaceId &Workspace, const std::string &Class,
             Milliseconds Run);

  /// The whole run time to expect of a job that has run for \p Attained. The
  /// declared time counts only while the class is unknown.
  Milliseconds predict(const JobInfo &Job, Milliseconds Attained) const;

private:
  struct Sample {
    std::vector<std::int64_t> Recent;
    std::size_t Next = 0;
    std::uint64_t Touched = 0;
  };
  using Key = std::pair<WorkspaceId, std::string>;

  std::map<Key, Sample> Samples;
  std::uint64_t Clock = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_SCHEDULER_RUNTIMES_H
