/// \file
/// Time as the parts of baobabcove see it.

#ifndef BAOBABCOVE_CLOCK_H
#define BAOBABCOVE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace baobabcove {

using Milliseconds = std::chrono::milliseconds;

/// A point on the process's own monotonic clock, in milliseconds. It counts on
/// while the process is stopped, so that a lease seen after a pause is judged
/// by the time that really passed.
using Instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::milliseconds>;

/// The monotonic time now.
inline Instant monotonicNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::steady_clock::now());
}

/// Milliseconds since the Unix epoch, for records that people read.
inline std::int64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Now).count();
}

} // namespace baobabcove

#endif // BAOBABCOVE_CLOCK_H
