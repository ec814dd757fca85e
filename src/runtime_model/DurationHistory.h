#ifndef BAOBABCOVE_RUNTIME_MODEL_DURATIONHISTORY_H
#define BAOBABCOVE_RUNTIME_MODEL_DURATIONHISTORY_H

#include "runtime_model/DurationEstimate.h"
#include "runtime_model/LogMoments.h"

#include <optional>

namespace baobabcove {

/// What is assumed about logarithms of durations while there are few samples.
struct DurationPriors {
  /// Variance of the durations of one class.
  double RunVariance = 0;
  /// Variance of the ratio of duration to declared duration.
  double DeclarationVariance = 0;
  /// Number of samples of the ratio 1 that are assumed.
  double DeclarationSamples = 0;
};

/// The durations of earlier runs of one class, and how well the declared
/// durations predicted them.
struct DurationHistory {
  /// Logarithms of durations.
  LogMoments Run;
  /// Logarithms of the ratio of duration to declared duration.
  LogMoments DeclarationError;

  /// Combines the history with a declared duration, each weighted by the
  /// inverse variance of its past errors. \p LogDeclared is the logarithm of
  /// the declared duration, if there is one. Returns nothing if nothing is
  /// known or declared.
  std::optional<DurationEstimate> estimate(std::optional<double> LogDeclared,
                                           const DurationPriors &Priors) const;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_DURATIONHISTORY_H
