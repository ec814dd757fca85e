#ifndef BAOBABCOVE_CLOCK_H
#define BAOBABCOVE_CLOCK_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace baobabcove {

using Milliseconds = std::chrono::milliseconds;

/// A point on the monotonic clock, in milliseconds. The clock advances while
/// the process is stopped, so that a lease is found expired after a long pause.
using Instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::milliseconds>;

/// Returns the current time of the monotonic clock.
inline Instant monotonicNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::steady_clock::now());
}

/// A point on BootClock.
using BootInstant = std::chrono::time_point<struct BootClock, Milliseconds>;

/// CLOCK_BOOTTIME. Unlike the monotonic clock, it advances while the machine is
/// suspended, so that leases and the age of cached data include that time.
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

/// Returns the milliseconds since the Unix epoch, for display and records. The
/// wall clock may jump.
inline std::int64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Now).count();
}

} // namespace baobabcove

#endif // BAOBABCOVE_CLOCK_H
