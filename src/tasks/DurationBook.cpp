#include "tasks/DurationBook.h"

namespace baobabcove {

namespace {

/// The estimate counts as much as this many tasks that have ended.
constexpr double EstimateWeight = 2;

} // namespace

void DurationBook::add(const std::string &Queue, Milliseconds Ran) {
  Sums &Known = ByQueue[Queue];
  ++Known.Count;
  Known.RanMs += double(Ran.count());
}

Milliseconds DurationBook::expected(const std::string &Queue,
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
