#ifndef BAOBABCOVE_TASKS_PLANNING_CAPACITYRESERVATION_H
#define BAOBABCOVE_TASKS_PLANNING_CAPACITYRESERVATION_H

#include "baobabcove/Clock.h"
#include "tasks/Resources.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace baobabcove {

/// Resources that a run is expected to release.
struct ExpectedRelease {
  /// Index of the worker.
  std::size_t Worker = 0;
  /// Time until the run ends.
  Milliseconds In{0};
  Resources Usage;
};

/// A worker that may take tasks of a gang, with its free resources.
struct ReservableWorker {
  /// Index of the worker.
  std::size_t Worker = 0;
  Resources Free;
  /// Maximum number of tasks of the gang on it.
  std::size_t MaxTasks = 0;
};

/// Workers on which a gang is expected to fit after a wait.
struct CapacityReservation {
  std::vector<std::size_t> Workers;
  Milliseconds StartsIn{0};
};

/// Returns the workers on which \p Tasks tasks that need \p Need each fit
/// earliest, given what the runs there are expected to release, and when.
/// Returns nothing if they never fit on \p Candidates.
std::optional<CapacityReservation>
reserveCapacity(std::size_t Tasks, const Resources &Need,
                const std::vector<ReservableWorker> &Candidates,
                const std::vector<ExpectedRelease> &Releases);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_PLANNING_CAPACITYRESERVATION_H
