#include "scheduler/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr std::size_t MaxClasses = 4096;
constexpr double UnknownRunMs = 600000;
constexpr std::int64_t LeastRunMs = 1000;
/// Samples that the moments reach back to.
constexpr std::uint64_t Memory = 32;
/// Variances that are believed before there are samples: of run times within
/// a class, and of the truth of declared times.
constexpr double FirstRunVariance = 1;
constexpr double FirstTruthVariance = 0.5;
constexpr double LeastVariance = 0.01;
/// Samples that the first belief counts for.
constexpr double FirstWeight = 3;

double believed(double First, double Seen, std::uint64_t Count) {
  const double Weight = static_cast<double>(Count);
  const double Blend =
      (First * FirstWeight + Seen * Weight) / (FirstWeight + Weight);
  return std::max(Blend, LeastVariance);
}

} // namespace

void RunTimes::Moments::add(double Value) {
  Count = std::min(Count + 1, Memory);
  const double Share = 1.0 / static_cast<double>(Count);
  const double Offset = Value - Mean;
  Mean += Share * Offset;
  Variance = (1 - Share) * (Variance + Share * Offset * Offset);
}

void RunTimes::learn(const JobInfo &Job, Milliseconds Run) {
  const Key Name{Job.Workspace, Job.Class};
  if (Samples.size() >= MaxClasses && Samples.count(Name) == 0) {
    const auto Oldest = std::min_element(
        Samples.begin(), Samples.end(), [](const auto &L, const auto &R) {
          return L.second.Touched < R.second.Touched;
        });
    Samples.erase(Oldest);
  }
  Sample &Of = Samples[Name];
  Of.Touched = ++Clock;
  const double Log = std::log(std::max(1.0, static_cast<double>(Run.count())));
  Of.Run.add(Log);
  if (Job.DeclaredRun.count() > 0)
    Of.Truth.add(Log - std::log(static_cast<double>(Job.DeclaredRun.count())));
}

Milliseconds RunTimes::predict(const JobInfo &Job,
                               Milliseconds Attained) const {
  const bool Declared = Job.DeclaredRun.count() > 0;
  const double DeclaredMs =
      Declared ? static_cast<double>(Job.DeclaredRun.count()) : UnknownRunMs;
  double Log = std::log(DeclaredMs);
  const auto Known = Samples.find({Job.Workspace, Job.Class});
  if (Known != Samples.end()) {
    const Sample &Of = Known->second;
    const double OfClass =
        1 / believed(FirstRunVariance, Of.Run.Variance, Of.Run.Count);
    const double OfCaller =
        Declared ? 1 / believed(FirstTruthVariance, Of.Truth.Variance,
                                Of.Truth.Count)
                 : 0;
    Log = (Of.Run.Mean * OfClass + (Log + Of.Truth.Mean) * OfCaller) /
          (OfClass + OfCaller);
  }
  auto Guess = static_cast<std::int64_t>(std::exp(Log));
  // A job that outlives the expectation is expected to run half as long again.
  if (Guess < Attained.count() * 3 / 2)
    Guess = Attained.count() * 3 / 2;
  return Milliseconds(std::max(Guess, LeastRunMs));
}

} // namespace baobabcove
