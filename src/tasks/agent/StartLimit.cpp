#include "tasks/agent/StartLimit.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Lowest rate of this machine's clock relative to the coordinator's.
constexpr double SlowestClockRate = 0.98;
/// Time for a start to reach the worker. The worker refuses one that arrives
/// after the period, and the task would have to be placed again.
constexpr Milliseconds DeliveryTime{150};

} // namespace

void StartLimit::apply(const wire::TaskOrders &Answer, BootInstant SentAt) {
  if (!Answer.starts_limited()) {
    Until = BootInstant::max();
    return;
  }
  if (Answer.starts_for_ms() == 0) {
    Until = BootInstant{};
    return;
  }
  const BootInstant Allowed =
      SentAt + Milliseconds(static_cast<std::int64_t>(
                   double(Answer.starts_for_ms()) * SlowestClockRate));
  // Answers can arrive out of order; the longest period still holds.
  Until = Until == BootInstant::max() ? Allowed : std::max(Until, Allowed);
}

bool StartLimit::allows(BootInstant Now) const {
  return Until == BootInstant::max() || Now + DeliveryTime < Until;
}

std::vector<RunId> StartLimit::release(BootInstant Now) {
  if (!allows(Now))
    return {};
  std::vector<RunId> Released(Held.begin(), Held.end());
  Held.clear();
  return Released;
}

} // namespace baobabcove
