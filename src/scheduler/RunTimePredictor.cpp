#include "scheduler/RunTimePredictor.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr std::size_t MaxClasses = 4096;
/// Assumed run time when nothing is declared or known.
constexpr double DefaultRunMs = 600000;
constexpr std::int64_t MinRunMs = 1000;
/// Prior variances of logarithms: of run times within a class, and of the
/// ratio of run time to declared run time.
constexpr DurationPriors Priors{1, 0.5, 0};

} // namespace

RunTimePredictor::RunTimePredictor() : Histories(MaxClasses) {}

void RunTimePredictor::addSample(const JobInfo &Job, Milliseconds Run) {
  DurationHistory &History = Histories.update(Key{Job.Workspace, Job.Class});
  const double Log = logOfDuration(Run);
  History.Run.add(Log);
  if (Job.DeclaredRun.count() > 0)
    History.DeclarationError.add(
        Log - std::log(static_cast<double>(Job.DeclaredRun.count())));
}

Milliseconds RunTimePredictor::predict(const JobInfo &Job,
                                       Milliseconds Attained) const {
  const bool Declared = Job.DeclaredRun.count() > 0;
  const double DeclaredMs =
      Declared ? static_cast<double>(Job.DeclaredRun.count()) : DefaultRunMs;
  double Log = std::log(DeclaredMs);
  if (const DurationHistory *Known =
          Histories.find(Key{Job.Workspace, Job.Class})) {
    const auto Estimate = Known->estimate(
        Declared ? std::make_optional(Log) : std::nullopt, Priors);
    Log = Estimate->LogMean;
  }
  auto PredictedMs = static_cast<std::int64_t>(std::exp(Log));
  // A job that exceeds its prediction is expected to run half as long again.
  if (PredictedMs < Attained.count() * 3 / 2)
    PredictedMs = Attained.count() * 3 / 2;
  return Milliseconds(std::max(PredictedMs, MinRunMs));
}

} // namespace baobabcove
