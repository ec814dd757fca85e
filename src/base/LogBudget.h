/// \file
/// How many log lines a process may write.

#ifndef BAOBABCOVE_BASE_LOGBUDGET_H
#define BAOBABCOVE_BASE_LOGBUDGET_H

#include "baobabcove/Clock.h"

namespace baobabcove {

/// A steady rate with room for bursts. Not thread-safe.
class LogBudget {
public:
  /// Whether a line may be written at \p Now; takes it off the budget.
  bool spend(Instant Now);

  /// Lines a second in the long run: a day of the users' heaviest load needs
  /// below 100 a process.
  static constexpr double LinesPerSecond = 200;
  /// Lines at once: a takeover tells of each run.
  static constexpr double Burst = 1000;

private:
  double Left = Burst;
  Instant Since{};
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_LOGBUDGET_H
