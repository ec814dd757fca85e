#include "tasks/agent/LateStarts.h"

#include <algorithm>

namespace baobabcove {

namespace {

const std::string AnyWorker;

} // namespace

void LateStarts::addUnanswered(const std::string &WorkerId, const RunId &Run,
                               BootInstant Now) {
  Starts[{WorkerId, Run}] = Now;
}

void LateStarts::addNamed(const RunId &Run, BootInstant Now) {
  Starts[{AnyWorker, Run}] = Now;
}

std::set<RunId> LateStarts::reaching(const std::string &WorkerId,
                                     BootInstant Now) {
  prune(Now);
  std::set<RunId> Reaching;
  for (const auto &[Start, At] : Starts)
    if (Start.first == AnyWorker || Start.first == WorkerId)
      Reaching.insert(Start.second);
  return Reaching;
}

bool LateStarts::isUnanswered(const RunId &Run, BootInstant Now) {
  prune(Now);
  return std::any_of(Starts.begin(), Starts.end(), [&](const auto &Each) {
    return Each.first.first != AnyWorker && Each.first.second == Run;
  });
}

void LateStarts::prune(BootInstant Now) {
  for (auto Start = Starts.begin(); Start != Starts.end();)
    Start =
        Now - Start->second > Timeout ? Starts.erase(Start) : std::next(Start);
}

} // namespace baobabcove
