#include "base/LogBudget.h"

#include <algorithm>

namespace baobabcove {

bool LogBudget::spend(Instant Now) {
  if (Since != Instant{})
    Left = std::min(Burst, Left + LinesPerSecond *
                                      double((Now - Since).count()) / 1000);
  Since = Now;
  if (Left < 1)
    return false;
  --Left;
  return true;
}

} // namespace baobabcove
