#include "tasks/planning/DurationEstimator.h"

namespace baobabcove {

namespace {

/// The caller's estimate counts as much as this many completed tasks.
constexpr double EstimateWeight = 2;

} // namespace

void DurationEstimator::add(const std::string &Queue, Milliseconds Ran) {
  Sums &Known = ByQueue[Queue];
  ++Known.Count;
  Known.RanMs += double(Ran.count());
}

Milliseconds DurationEstimator::expected(const std::string &Queue,
                                         Milliseconds Estimate) const {
  const auto Known = ByQueue.find(Queue);
  if (Known == ByQueue.end())
    return Estimate;
  const double Sum =
      Known->second.RanMs + EstimateWeight * double(Estimate.count());
  return Milliseconds(
      static_cast<std::int64_t>(Sum / (Known->second.Count + EstimateWeight)));
}

} // namespace baobabcove
