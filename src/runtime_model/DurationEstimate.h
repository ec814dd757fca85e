#ifndef BAOBABCOVE_RUNTIME_MODEL_DURATIONESTIMATE_H
#define BAOBABCOVE_RUNTIME_MODEL_DURATIONESTIMATE_H

#include "baobabcove/Clock.h"

namespace baobabcove {

/// A distribution of durations whose logarithms, of milliseconds, are normally
/// distributed.
struct DurationEstimate {
  double LogMean = 0;
  double LogVariance = 0;

  Milliseconds median() const;
  /// Returns the duration that a share \p Probability of the runs stays below.
  Milliseconds quantile(double Probability) const;
  /// Returns the quantile of the time left for a run that has not ended after
  /// \p Elapsed. It grows with the time by which a run exceeds the estimate.
  Milliseconds remaining(Milliseconds Elapsed, double Probability) const;
};

/// Returns the distribution of a duration that is \p Factor times as long.
DurationEstimate scaled(const DurationEstimate &Estimate, double Factor);

/// Returns the logarithm of \p Duration, which counts as one millisecond at
/// least.
double logOfDuration(Milliseconds Duration);

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_DURATIONESTIMATE_H
