#include "runtime_model/LogMoments.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// Window of the moving moments; an older sample loses weight.
constexpr std::uint64_t MaxSamples = 32;
constexpr double MinVariance = 0.01;
/// Number of samples that a prior variance counts as.
constexpr double PriorSamples = 3;
/// Samples are limited once there are this many to compare with.
constexpr std::uint64_t MinSamplesToLimit = 3;

} // namespace

void LogMoments::add(double Value) {
  Count = std::min(Count + 1, MaxSamples);
  const double Share = 1.0 / static_cast<double>(Count);
  const double Offset = Value - Mean;
  Mean += Share * Offset;
  Variance = (1 - Share) * (Variance + Share * Offset * Offset);
}

void LogMoments::addLimited(double Value, double PriorVariance,
                            double MaxDeviations) {
  if (Count >= MinSamplesToLimit) {
    const double Limit =
        MaxDeviations * std::sqrt(smoothedVariance(PriorVariance, *this));
    Value = std::clamp(Value, Mean - Limit, Mean + Limit);
  }
  add(Value);
}

LogMoments LogMoments::mixedWith(const LogMoments &Coarser,
                                 double CoarserSamples) const {
  if (Coarser.Count == 0)
    return *this;
  if (Count == 0)
    return Coarser;
  const double Share = static_cast<double>(Count) /
                       (static_cast<double>(Count) + CoarserSamples);
  const double Offset = Mean - Coarser.Mean;
  return {Coarser.Mean + Share * Offset,
          Share * Variance + (1 - Share) * Coarser.Variance +
              Share * (1 - Share) * Offset * Offset,
          std::max(Count, Coarser.Count)};
}

double smoothedVariance(double Prior, const LogMoments &Moments) {
  const double Weight = static_cast<double>(Moments.Count);
  const double Blend = (Prior * PriorSamples + Moments.Variance * Weight) /
                       (PriorSamples + Weight);
  return std::max(Blend, MinVariance);
}

} // namespace baobabcove
