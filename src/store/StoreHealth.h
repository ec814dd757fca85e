#ifndef BAOBABCOVE_STORE_STOREHEALTH_H
#define BAOBABCOVE_STORE_STOREHEALTH_H

#include "baobabcove/Clock.h"

#include <mutex>

namespace baobabcove {

/// Tracks whether the store is available, by the results of all calls that a
/// process makes to it. Thread-safe.
class StoreHealth {
public:
  void recordSuccess(BootInstant Now);
  void recordFailure(BootInstant Now);

  /// Returns true after several consecutive failures, until a call is answered
  /// or the last failure is so old that the store is to be tried again.
  bool isUnavailable(BootInstant Now) const;

  /// Returns the time since the first of the current consecutive failures, or
  /// zero if the last call was answered.
  Milliseconds outageDuration(BootInstant Now) const;

private:
  mutable std::mutex Mutex;
  int ConsecutiveFailures = 0;
  BootInstant FirstFailureAt{};
  BootInstant LastFailureAt{};
};

/// Returns how long a caller should wait before it retries when the store has
/// been unavailable for \p Outage: an outage is expected to last as long again
/// as it has lasted so far. \p Jitter, from zero to one, spreads the retries of
/// different callers.
std::chrono::seconds retryAfter(Milliseconds Outage, double Jitter);

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_STOREHEALTH_H
