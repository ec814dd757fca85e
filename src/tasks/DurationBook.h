/// \file
/// Durations of tasks as learned from those that ended well.

#ifndef BAOBABCOVE_TASKS_DURATIONBOOK_H
#define BAOBABCOVE_TASKS_DURATIONBOOK_H

#include "baobabcove/Clock.h"

#include <map>
#include <string>

namespace baobabcove {

/// Callers' estimates can be off by half or more; a queue's tasks resemble
/// each other, so their mean is the better guess once there are some.
class DurationBook {
public:
  /// Takes in how long a task of \p Queue ran that ended well.
  void add(const std::string &Queue, Milliseconds Ran);

  /// The expected duration of a task of \p Queue.
  Milliseconds expected(const std::string &Queue, Milliseconds Estimate) const;

private:
  struct Sums {
    double Count = 0;
    double RanMs = 0;
  };
  std::map<std::string, Sums> ByQueue;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_DURATIONBOOK_H
