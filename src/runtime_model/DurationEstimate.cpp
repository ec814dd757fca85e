#include "runtime_model/DurationEstimate.h"

#include <algorithm>
#include <cmath>

#include <boost/math/distributions/normal.hpp>

namespace baobabcove {

namespace {

/// Below this probability of lasting so long, the distribution says nothing
/// useful about the time left.
constexpr double MinSurvival = 0.02;
/// Such a run is expected to take this share of its elapsed time in addition.
constexpr double OverrunShare = 0.5;

Milliseconds fromLog(double Log) {
  // A year, so that no estimate exceeds the range of the clocks.
  constexpr double MaxMs = 365.0 * 24 * 3600 * 1000;
  return Milliseconds(
      static_cast<std::int64_t>(std::lround(std::min(std::exp(Log), MaxMs))));
}

} // namespace

double logOfDuration(Milliseconds Duration) {
  return std::log(std::max(1.0, static_cast<double>(Duration.count())));
}

DurationEstimate scaled(const DurationEstimate &Estimate, double Factor) {
  return {Estimate.LogMean + std::log(Factor), Estimate.LogVariance};
}

Milliseconds DurationEstimate::median() const { return fromLog(LogMean); }

Milliseconds DurationEstimate::quantile(double Probability) const {
  const boost::math::normal Standard;
  return fromLog(LogMean + std::sqrt(LogVariance) *
                               boost::math::quantile(Standard, Probability));
}

Milliseconds DurationEstimate::remaining(Milliseconds Elapsed,
                                         double Probability) const {
  if (Elapsed.count() <= 0)
    return quantile(Probability);
  const boost::math::normal Logs(LogMean, std::sqrt(LogVariance));
  const double Survival =
      boost::math::cdf(boost::math::complement(Logs, logOfDuration(Elapsed)));
  const Milliseconds Overrun(static_cast<std::int64_t>(
      OverrunShare * static_cast<double>(Elapsed.count())));
  if (Survival < MinSurvival)
    return Overrun;
  const double Log = boost::math::quantile(
      boost::math::complement(Logs, Survival * (1 - Probability)));
  return std::max(fromLog(Log) - Elapsed, Milliseconds(0));
}

} // namespace baobabcove
