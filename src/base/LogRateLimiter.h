#ifndef BAOBABCOVE_BASE_LOGRATELIMITER_H
#define BAOBABCOVE_BASE_LOGRATELIMITER_H

#include "baobabcove/Clock.h"

namespace baobabcove {

/// Token bucket that limits the log lines of a process. Not thread-safe.
class LogRateLimiter {
public:
  /// Takes one token. Returns false when no line may be written at \p Now.
  bool tryAcquire(Instant Now);

  /// Sustained rate. A process needs fewer than 100 lines per second on a day
  /// of the users' heaviest load.
  static constexpr double LinesPerSecond = 200;
  /// Size of the bucket, in lines. A new coordinator logs a line for each run
  /// when it takes over.
  static constexpr double Burst = 1000;

private:
  double Tokens = Burst;
  Instant LastRefill{};
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_LOGRATELIMITER_H
