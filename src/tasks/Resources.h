#ifndef BAOBABCOVE_TASKS_RESOURCES_H
#define BAOBABCOVE_TASKS_RESOURCES_H

#include "tasks.pb.h"

#include <cstdint>

namespace baobabcove {

/// An amount of resources, as a worker offers and a task requires them.
struct Resources {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// Whether \p Need fits into this amount; a need of zero always fits.
  bool covers(const Resources &Need) const;
};

/// Returns the resources that a task of \p Step requires. Tasks that only use
/// the cores that others leave idle count without cores.
Resources resourcesOf(const wire::StepSpec &Step);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_RESOURCES_H
