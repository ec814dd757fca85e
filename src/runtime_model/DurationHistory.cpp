#include "runtime_model/DurationHistory.h"

#include <algorithm>

namespace baobabcove {

std::optional<DurationEstimate>
DurationHistory::estimate(std::optional<double> LogDeclared,
                          const DurationPriors &Priors) const {
  const double RunVariance = smoothedVariance(Priors.RunVariance, Run);
  const double DeclarationVariance =
      smoothedVariance(Priors.DeclarationVariance, DeclarationError);
  double Corrected = 0;
  if (LogDeclared) {
    const auto Errors = static_cast<double>(DeclarationError.Count);
    const double Trust =
        Errors > 0 ? Errors / (Errors + Priors.DeclarationSamples) : 0;
    Corrected = *LogDeclared + Trust * DeclarationError.Mean;
  }
  if (Run.Count == 0)
    return LogDeclared ? std::make_optional(
                             DurationEstimate{Corrected, DeclarationVariance})
                       : std::nullopt;
  if (!LogDeclared)
    return DurationEstimate{Run.Mean, RunVariance};
  const double RunWeight = 1 / RunVariance;
  const double DeclaredWeight = 1 / DeclarationVariance;
  return DurationEstimate{(Run.Mean * RunWeight + Corrected * DeclaredWeight) /
                              (RunWeight + DeclaredWeight),
                          std::min(RunVariance, DeclarationVariance)};
}

} // namespace baobabcove
