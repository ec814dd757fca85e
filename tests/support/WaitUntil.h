#ifndef BAOBABCOVE_TESTS_SUPPORT_WAITUNTIL_H
#define BAOBABCOVE_TESTS_SUPPORT_WAITUNTIL_H

#include "baobabcove/Clock.h"

#include <thread>

namespace baobabcove {

/// Polls \p Holds until it returns true. Returns false after 20 s, which is far
/// longer than the threads of a test need.
template <class Condition> bool waitUntil(Condition Holds) {
  const Instant End = monotonicNow() + Milliseconds(20000);
  while (!Holds()) {
    if (monotonicNow() > End)
      return false;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

} // namespace baobabcove

#endif // BAOBABCOVE_TESTS_SUPPORT_WAITUNTIL_H
