#include "store/StoreHealth.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// A single answer may be lost by itself.
constexpr int FailuresInRow = 2;
/// The watches fail at least this often while the store is away; without news
/// for longer the store is tried again.
constexpr Milliseconds NewsPeriod{2500};
/// Outages of the users' store last 4 to 9 seconds; a longer wait would leave
/// callers out after its return.
constexpr double LongestWaitSeconds = 4;

} // namespace

void StoreHealth::noteAnswer(BootInstant) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Failures = 0;
}

void StoreHealth::noteFailure(BootInstant Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Failures == 0)
    FirstFailure = Now;
  ++Failures;
  LastFailure = Now;
}

bool StoreHealth::isAway(BootInstant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Failures >= FailuresInRow && Now - LastFailure < NewsPeriod;
}

Milliseconds StoreHealth::awayFor(BootInstant Now) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Failures == 0 ? Milliseconds(0) : Milliseconds(Now - FirstFailure);
}

std::chrono::seconds retryAfter(Milliseconds Away, double Spread) {
  const double Expected =
      std::clamp(double(Away.count()) / 1000, 1.0, LongestWaitSeconds);
  return std::chrono::seconds(
      static_cast<std::int64_t>(std::floor(Expected + Spread)));
}

} // namespace baobabcove
