#include "scheduler/RunTimePredictor.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr std::size_t MaxClasses = 4096;
/// Assumed run time when nothing is declared or known.
constexpr double DefaultRunMs = 600000;
constexpr std::int64_t MinRunMs = 1000;
/// Window of the moving moments; an older sample loses weight.
constexpr std::uint64_t MaxSamples = 32;
/// Prior variances of logarithms: of run times within a class, and of the
/// ratio of run time to declared run time.
constexpr double PriorRunVariance = 1;
constexpr double PriorDeclarationVariance = 0.5;
constexpr double MinVariance = 0.01;
/// Number of samples that the prior variance counts as.
constexpr double PriorSamples = 3;

/// Returns the weighted mean of the prior and the observed variance.
double smoothedVariance(double Prior, double Observed, std::uint64_t Count) {
  const double Weight = static_cast<double>(Count);
  const double Blend =
      (Prior * PriorSamples + Observed * Weight) / (PriorSamples + Weight);
  return std::max(Blend, MinVariance);
}

} // namespace

void RunTimePredictor::Moments::add(double Value) {
  Count = std::min(Count + 1, MaxSamples);
  const double Share = 1.0 / static_cast<double>(Count);
  const double Offset = Value - Mean;
  Mean += Share * Offset;
  Variance = (1 - Share) * (Variance + Share * Offset * Offset);
}

void RunTimePredictor::addSample(const JobInfo &Job, Milliseconds Run) {
  const Key Name{Job.Workspace, Job.Class};
  if (Histories.size() >= MaxClasses && Histories.count(Name) == 0) {
    const auto Oldest = std::min_element(
        Histories.begin(), Histories.end(), [](const auto &L, const auto &R) {
          return L.second.LastUsed < R.second.LastUsed;
        });
    Histories.erase(Oldest);
  }
  ClassHistory &History = Histories[Name];
  History.LastUsed = ++UseCounter;
  const double Log = std::log(std::max(1.0, static_cast<double>(Run.count())));
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
  const auto Known = Histories.find({Job.Workspace, Job.Class});
  if (Known != Histories.end()) {
    const ClassHistory &History = Known->second;
    const double ClassWeight =
        1 / smoothedVariance(PriorRunVariance, History.Run.Variance,
                             History.Run.Count);
    const double DeclaredWeight =
        Declared ? 1 / smoothedVariance(PriorDeclarationVariance,
                                        History.DeclarationError.Variance,
                                        History.DeclarationError.Count)
                 : 0;
    Log = (History.Run.Mean * ClassWeight +
           (Log + History.DeclarationError.Mean) * DeclaredWeight) /
          (ClassWeight + DeclaredWeight);
  }
  auto PredictedMs = static_cast<std::int64_t>(std::exp(Log));
  // A job that exceeds its prediction is expected to run half as long again.
  if (PredictedMs < Attained.count() * 3 / 2)
    PredictedMs = Attained.count() * 3 / 2;
  return Milliseconds(std::max(PredictedMs, MinRunMs));
}

} // namespace baobabcove
