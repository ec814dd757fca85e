#include "store/StoreHealth.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// A single failure may be one lost reply rather than an outage.
constexpr int FailuresUntilUnavailable = 2;
/// The watches fail at least this often while the store is unavailable. After a
/// longer time without a failure the store is tried again.
constexpr Milliseconds FailureReportPeriod{2500};
/// Outages of the users' store last 4 to 9 seconds; a longer wait would keep
/// callers away after the store is available again.
constexpr double MaxRetryAfterSeconds = 4;

} // namespace

void StoreHealth::recordSuccess(BootInstant) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ConsecutiveFailures = 0;
}

void StoreHealth::recordFailure(BootInstant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (ConsecutiveFailures == 0)
    FirstFailureAt = Now;
  ++ConsecutiveFailures;
  LastFailureAt = Now;
}

bool StoreHealth::isUnavailable(BootInstant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ConsecutiveFailures >= FailuresUntilUnavailable &&
         Now - LastFailureAt < FailureReportPeriod;
}

Milliseconds StoreHealth::outageDuration(BootInstant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ConsecutiveFailures == 0 ? Milliseconds(0)
                                  : Milliseconds(Now - FirstFailureAt);
}

std::chrono::seconds retryAfter(Milliseconds Outage, double Jitter) {
  const double Seconds =
      std::clamp(double(Outage.count()) / 1000, 1.0, MaxRetryAfterSeconds);
  return std::chrono::seconds(
      static_cast<std::int64_t>(std::floor(Seconds + Jitter)));
}

} // namespace baobabcove
