/// \file
/// Time as the parts of baobabcove see it.

#ifndef BAOBABCOVE_CLOCK_H
#define BAOBABCOVE_CLOCK_H

#include <chrono>
#include <cstdint>
#include <ctime>

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

/// A point on the clock that counts on while the machine is suspended, which
/// the monotonic clock does not. Leases and proofs of freshness are judged by
/// it.
using BootInstant = std::chrono::time_point<struct BootClock, Milliseconds>;

struct BootClock {
  using duration = Milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = BootInstant;
  static time_point now() {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::duration_cast<Milliseconds>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
};

/// Milliseconds since the Unix epoch, for records that people read.
inline std::int64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Now).count();
}

} // namespace baobabcove

#endif // BAOBABCOVE_CLOCK_H
