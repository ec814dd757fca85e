#include "base/LogRateLimiter.h"

#include <algorithm>

namespace baobabcove {

bool LogRateLimiter::tryAcquire(Instant Now) {
  if (LastRefill != Instant{})
    Tokens =
        std::min(Burst, Tokens + LinesPerSecond *
                                     double((Now - LastRefill).count()) / 1000);
  LastRefill = Now;
  if (Tokens < 1)
    return false;
  --Tokens;
  return true;
}

} // namespace baobabcove
