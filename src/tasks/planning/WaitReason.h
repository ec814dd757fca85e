/// \file
/// Why tasks that are ready are not placed.

#ifndef BAOBABCOVE_TASKS_PLANNING_WAITREASON_H
#define BAOBABCOVE_TASKS_PLANNING_WAITREASON_H

#include "baobabcove/Clock.h"

#include <array>
#include <cstddef>
#include <string>

namespace baobabcove {

/// What keeps a unit from being placed. Each reason but the first two and the
/// last one means that the unit would fit without it.
enum class WaitReason {
  /// Members of its gang are still being stopped, or it waits after a refusal.
  NotReady,
  /// No reachable worker of its service has its label and can ever hold it.
  NoWorker,
  /// Workers are draining, quarantined or closed.
  ExcludedWorkers,
  /// It fits, but not near its data or within one rack.
  Locality,
  /// Workers are left fully free for urgent jobs.
  Reserve,
  /// It, or a unit on the workers, is isolated because of crashes.
  Isolation,
  /// Cold workers take no more starts now.
  ColdLimit,
  NoCapacity,
};

/// The names of all reasons, in their order.
constexpr std::array<const char *, 8> WaitReasonNames = {
    "not_ready", "no_worker", "excluded_workers", "locality",
    "reserve",   "isolation", "cold_limit",       "no_capacity"};

inline const char *nameOf(WaitReason Reason) {
  return WaitReasonNames[static_cast<std::size_t>(Reason)];
}

/// A step of which no task was placed for a while although some are ready.
struct StepWait {
  /// "JOB.OCCURRENCE.STEP".
  std::string Step;
  WaitReason Reason = WaitReason::NoCapacity;
  Milliseconds Waited{0};
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_WAITREASON_H
