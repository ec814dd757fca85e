#include "runtime_model/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

constexpr double MinSpeed = 0.25;
constexpr double MaxSpeed = 4;
/// Weight of the prior: workers differ by a standard deviation of 0.4 of the
/// logarithm (factors 0.7 to 1.7).
constexpr double PriorWeight = 1 / (0.4 * 0.4);
constexpr std::size_t MaxSteps = 15;
constexpr std::size_t MinStepsToBeKnown = 3;
constexpr double MinConfidenceToBeKnown = 0.6;
/// Variance among workers with one label that is assumed in addition to the
/// observed one, and the number of other workers that a label needs.
constexpr double LabelVariance = 0.02;
constexpr double MinWorkersPerLabel = 2;

/// Returns the share of a speed that runs of this weight determine.
double confidenceIn(double Weight) { return Weight / (Weight + PriorWeight); }

} // namespace

void WorkerSpeeds::WeightedSum::add(double Log, double ItsWeight, double Sign) {
  Weight += Sign * ItsWeight;
  Sum += Sign * ItsWeight * Log;
  SquareSum += Sign * ItsWeight * Log * Log;
  Workers += Sign;
}

WorkerSpeeds::Worker &WorkerSpeeds::workerOf(const NodeId &Node) {
  const auto Found = Workers.find(Node);
  if (Found == Workers.end() && Workers.size() >= MaxWorkers) {
    const auto Oldest = std::min_element(
        Workers.begin(), Workers.end(), [](const auto &L, const auto &R) {
          return L.second.UpdatedAt < R.second.UpdatedAt;
        });
    contribute(Oldest->second, -1);
    Workers.erase(Oldest);
  }
  Worker &Of = Found == Workers.end() ? Workers[Node] : Found->second;
  Of.UpdatedAt = ++Updates;
  return Of;
}

void WorkerSpeeds::contribute(const Worker &Of, double Sign) {
  if (Of.Steps.empty())
    return;
  All.add(Of.Log, Of.Weight, Sign);
  for (const std::string &Label : Of.Traits.Labels) {
    WeightedSum &Sum = ByLabel[Label];
    Sum.add(Of.Log, Of.Weight, Sign);
    if (Sum.Workers < 1)
      ByLabel.erase(Label);
  }
}

void WorkerSpeeds::noteWorker(const NodeId &Node, const WorkerTraits &Traits) {
  Worker &Of = workerOf(Node);
  if (Of.Traits.Incarnation == Traits.Incarnation) {
    // The capacity that a worker offers may shrink for a while.
    for (std::size_t Part = 0; Part < Traits.Capacity.size(); ++Part)
      Of.Traits.Capacity[Part] =
          std::max(Of.Traits.Capacity[Part], Traits.Capacity[Part]);
    return;
  }
  contribute(Of, -1);
  if (!Of.Traits.Incarnation.empty() &&
      (Of.Traits.Capacity != Traits.Capacity ||
       Of.Traits.Labels != Traits.Labels)) {
    const std::uint64_t UpdatedAt = Of.UpdatedAt;
    Of = Worker();
    Of.UpdatedAt = UpdatedAt;
  }
  Of.Traits = Traits;
  contribute(Of, 1);
}

bool WorkerSpeeds::add(const NodeId &Node, const std::string &Step,
                       double LogRatio, double Variance) {
  Worker &Of = workerOf(Node);
  contribute(Of, -1);
  Of.Steps.erase(std::remove_if(Of.Steps.begin(), Of.Steps.end(),
                                [&](const Observation &Seen) {
                                  return Seen.Step == Step;
                                }),
                 Of.Steps.end());
  if (Of.Steps.size() >= MaxSteps)
    Of.Steps.pop_front();
  Of.Steps.push_back({Step, LogRatio, 1 / Variance});
  std::vector<std::pair<double, double>> Sorted;
  Sorted.reserve(Of.Steps.size());
  Of.Weight = 0;
  for (const Observation &Seen : Of.Steps) {
    Sorted.emplace_back(Seen.LogRatio, Seen.Weight);
    Of.Weight += Seen.Weight;
  }
  std::sort(Sorted.begin(), Sorted.end());
  // The mean of the lower and the upper weighted median.
  double Lower = Sorted.front().first;
  double Upper = Sorted.back().first;
  double Below = 0;
  for (const auto &[Log, Weight] : Sorted) {
    if (Below < Of.Weight / 2)
      Lower = Log;
    if (Below + Weight > Of.Weight / 2) {
      Upper = Log;
      break;
    }
    Below += Weight;
  }
  Of.Log = (Lower + Upper) / 2;
  contribute(Of, 1);
  const bool BecomesKnown = !Of.WasKnown && speedOf(Of).IsKnown;
  Of.WasKnown = Of.WasKnown || BecomesKnown;
  return BecomesKnown;
}

double WorkerSpeeds::meanLog() const {
  return All.Sum /
         (All.Weight + PriorWeight * static_cast<double>(Workers.size()));
}

double WorkerSpeeds::priorLog(const Worker &Of) const {
  double Weight = PriorWeight;
  double Sum = PriorWeight * meanLog();
  for (const std::string &Label : Of.Traits.Labels) {
    const auto Found = ByLabel.find(Label);
    if (Found == ByLabel.end())
      continue;
    WeightedSum Others = Found->second;
    if (!Of.Steps.empty())
      Others.add(Of.Log, Of.Weight, -1);
    if (Others.Workers < MinWorkersPerLabel || Others.Weight < PriorWeight)
      continue;
    const double Mean = Others.Sum / Others.Weight;
    const double Variance =
        std::max(Others.SquareSum / Others.Weight - Mean * Mean, 0.0) +
        LabelVariance;
    Weight += 1 / Variance;
    Sum += Mean / Variance;
  }
  return Sum / Weight;
}

bool WorkerSpeeds::isKnown(const Worker &Of) {
  return Of.Steps.size() >= MinStepsToBeKnown &&
         confidenceIn(Of.Weight) >= MinConfidenceToBeKnown;
}

WorkerSpeed WorkerSpeeds::speedOf(const Worker &Of) const {
  const double Confidence = confidenceIn(Of.Weight);
  const double Log =
      Confidence * Of.Log + (1 - Confidence) * priorLog(Of) - meanLog();
  return {std::clamp(std::exp(Log), MinSpeed, MaxSpeed), Confidence,
          isKnown(Of)};
}

WorkerSpeed WorkerSpeeds::speedOf(const NodeId &Node) const {
  const auto Found = Workers.find(Node);
  return Found == Workers.end() ? WorkerSpeed() : speedOf(Found->second);
}

std::optional<double> WorkerSpeeds::knownFactor(const NodeId &Node) const {
  const auto Found = Workers.find(Node);
  if (Found == Workers.end() || !isKnown(Found->second))
    return std::nullopt;
  return speedOf(Found->second).Factor;
}

std::map<NodeId, WorkerSpeed> WorkerSpeeds::known() const {
  std::map<NodeId, WorkerSpeed> Known;
  for (const auto &[Node, Of] : Workers)
    if (const WorkerSpeed Speed = speedOf(Of); Speed.IsKnown)
      Known.emplace(Node, Speed);
  return Known;
}

} // namespace baobabcove
