#include "scheduler/RunTimes.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t MaxSamples = 16;
constexpr std::size_t MaxClasses = 4096;
constexpr std::int64_t UnknownRunMs = 600000;
constexpr std::int64_t LeastRunMs = 1000;

} // namespace

void RunTimes::learn(const WorkspaceId &Workspace, const std::string &Class,
                     Milliseconds Run) {
  if (Samples.size() >= MaxClasses && Samples.count({Workspace, Class}) == 0) {
    const auto Oldest = std::min_element(
        Samples.begin(), Samples.end(), [](const auto &L, const auto &R) {
          return L.second.Touched < R.second.Touched;
        });
    Samples.erase(Oldest);
  }
  Sample &Of = Samples[{Workspace, Class}];
  Of.Touched = ++Clock;
  if (Of.Recent.size() < MaxSamples) {
    Of.Recent.push_back(Run.count());
    return;
  }
  Of.Recent[Of.Next] = Run.count();
  Of.Next = (Of.Next + 1) % MaxSamples;
}

Milliseconds RunTimes::predict(const JobInfo &Job,
                               Milliseconds Attained) const {
  std::int64_t Guess =
      Job.DeclaredRun.count() > 0 ? Job.DeclaredRun.count() : UnknownRunMs;
  const auto Known = Samples.find({Job.Workspace, Job.Class});
  if (Known != Samples.end()) {
    // The mean of those that ran longer than this one has so far.
    std::int64_t Sum = 0;
    std::int64_t Count = 0;
    for (const std::int64_t Run : Known->second.Recent) {
      if (Run <= Attained.count())
        continue;
      Sum += Run;
      ++Count;
    }
    Guess = Count > 0 ? Sum / Count : 0;
  }
  // A job that outlives every expectation is expected to run as long again.
  if (Guess <= Attained.count())
    Guess = 2 * Attained.count();
  return Milliseconds(std::max(Guess, LeastRunMs));
}

} // namespace baobabcove
