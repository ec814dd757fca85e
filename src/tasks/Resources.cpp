#include "tasks/Resources.h"

namespace baobabcove {

Resources &Resources::operator+=(const Resources &Other) {
  MilliCores += Other.MilliCores;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  MilliCores -= Other.MilliCores;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool Resources::isNegative() const {
  return MilliCores < 0 || MemoryMb < 0 || Accelerators < 0;
}

bool isLessInAnyPart(const Resources &Left, const Resources &Right) {
  Resources Difference = Left;
  Difference -= Right;
  return Difference.isNegative();
}

bool Resources::covers(const Resources &Need) const {
  if (isNegative())
    return false;
  const auto Holds = [](std::int64_t Free, std::int64_t Wanted) {
    return Wanted <= 0 || Free >= Wanted;
  };
  return Holds(MilliCores, Need.MilliCores) && Holds(MemoryMb, Need.MemoryMb) &&
         Holds(Accelerators, Need.Accelerators);
}

Resources capacityOf(const wire::TaskReport &Report) {
  return {Report.milli_cores(), Report.memory_mb(), Report.accelerators()};
}

Resources resourcesOf(const wire::StepSpec &Step) {
  return {Step.fills() ? 0 : Step.milli_cores(), Step.memory_mb(),
          Step.accelerators()};
}

} // namespace baobabcove
