/// \file
/// Whether the store answers, by all calls that a process makes.

#ifndef BAOBABCOVE_STORE_STOREHEALTH_H
#define BAOBABCOVE_STORE_STOREHEALTH_H

#include "baobabcove/Clock.h"

#include <mutex>

namespace baobabcove {

/// Thread-safe.
class StoreHealth {
public:
  void noteAnswer(BootInstant Now);
  void noteFailure(BootInstant Now);

  /// True after several failures in a row, until a call is answered or for so
  /// long that it is worth another try.
  bool isAway(BootInstant Now) const;

  /// Time since the first failure of the present row; zero without one.
  Milliseconds awayFor(BootInstant Now) const;

private:
  mutable std::mutex Mutex;
  int Failures = 0;
  BootInstant FirstFailure{};
  BootInstant LastFailure{};
};

/// When a caller should come back whose call found the store away for \p Away:
/// an outage is expected to last as long again as it has lasted. \p Spread, of
/// zero to one, keeps callers from coming back together.
std::chrono::seconds retryAfter(Milliseconds Away, double Spread);

} // namespace baobabcove

#endif // BAOBABCOVE_STORE_STOREHEALTH_H
