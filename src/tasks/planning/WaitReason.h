/// \file
/// Why tasks that are ready do not begin.

#ifndef BAOBABCOVE_TASKS_PLANNING_WAITREASON_H
#define BAOBABCOVE_TASKS_PLANNING_WAITREASON_H

#include "baobabcove/Clock.h"

#include <array>
#include <cstddef>
#include <string>

namespace baobabcove {

/// What keeps a unit from being placed, or a placed one from beginning. Each
/// reason from Reserve on but the last one means that the unit would fit
/// without it and those before it.
enum class WaitReason {
  /// It is placed, and its worker has not begun it.
  NotBegun,
  /// Members of its gang are still being stopped, or it waits after a refusal.
  NotReady,
  /// No reachable worker of its service has its label and can ever hold it.
  NoWorker,
  /// Workers are left fully free for urgent jobs.
  Reserve,
  /// It fits, but not near its data or within one rack.
  Locality,
  /// Cold workers take no more starts now.
  ColdLimit,
  /// It, or a unit on the workers, is isolated because of crashes.
  Isolation,
  /// Workers are draining, quarantined, closed or avoided.
  ExcludedWorkers,
  NoCapacity,
};

/// The names of all reasons, in their order.
constexpr std::array<const char *, 9> WaitReasonNames = {
    "not_begun",  "not_ready", "no_worker",        "reserve",    "locality",
    "cold_limit", "isolation", "excluded_workers", "no_capacity"};

inline const char *nameOf(WaitReason Reason) {
  return WaitReasonNames[static_cast<std::size_t>(Reason)];
}

/// A step of which no worker has begun a task for a while although some are
/// ready.
struct StepWait {
  /// "JOB.OCCURRENCE.STEP".
  std::string Step;
  WaitReason Reason = WaitReason::NoCapacity;
  Milliseconds Waited{0};
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_WAITREASON_H
