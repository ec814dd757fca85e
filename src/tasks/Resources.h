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
  /// Whether more is in use than there is, of anything.
  bool isNegative() const;
  /// Whether \p Need fits into this amount. A part of it that is zero always
  /// fits, but nothing fits into a negative amount.
  bool covers(const Resources &Need) const;
};

/// Whether \p Left is less than \p Right in any part.
bool isLessInAnyPart(const Resources &Left, const Resources &Right);

/// Returns the resources that a task of \p Step requires. Tasks that only use
/// the cores that others leave idle count without cores.
Resources resourcesOf(const wire::StepSpec &Step);

/// Returns the capacity that the worker of \p Report offers now.
Resources capacityOf(const wire::TaskReport &Report);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_RESOURCES_H
