#ifndef BAOBABCOVE_RUNTIME_MODEL_LOGMOMENTS_H
#define BAOBABCOVE_RUNTIME_MODEL_LOGMOMENTS_H

#include <cstdint>

namespace baobabcove {

/// Moving mean and variance of logarithms; newer samples weigh more.
struct LogMoments {
  double Mean = 0;
  double Variance = 0;
  std::uint64_t Count = 0;

  void add(double Value);

  /// Adds \p Value, limited to \p MaxDeviations standard deviations from the
  /// mean, so that single outliers hardly move it. \p PriorVariance is the
  /// variance that is assumed while there are few samples.
  void addLimited(double Value, double PriorVariance, double MaxDeviations);

  /// Returns these moments mixed with \p Coarser, which count as
  /// \p CoarserSamples samples if they have any.
  LogMoments mixedWith(const LogMoments &Coarser, double CoarserSamples) const;
};

/// Returns the variance of \p Moments, mixed with \p Prior while there are few
/// samples.
double smoothedVariance(double Prior, const LogMoments &Moments);

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_LOGMOMENTS_H
