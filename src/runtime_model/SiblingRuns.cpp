#include "runtime_model/SiblingRuns.h"

#include <algorithm>
#include <cmath>

namespace baobabcove {

namespace {

/// Bounds of the memory and time for one step; more do not make the comparison
/// better.
constexpr std::size_t MaxWorkersPerStep = 12;
constexpr std::size_t MaxRunsPerWorker = 8;
/// Variance of the logarithms of the work of a step's tasks.
constexpr double WorkVariance = 0.06;
/// Variance of the logarithm of a speed that is not known.
constexpr double UnknownSpeedVariance = 0.16;

} // namespace

void SiblingRuns::add(const std::string &Step, const NodeId &Node,
                      const std::string &Run, Milliseconds Ran) {
  std::map<NodeId, Logs> &Workers = Steps.update(Step);
  if (Workers.size() >= MaxWorkersPerStep && Workers.count(Node) == 0)
    return;
  Logs &Runs = Workers[Node];
  if (Runs.size() < MaxRunsPerWorker || Runs.count(Run) > 0)
    Runs[Run] = logOfDuration(Ran);
}

std::vector<SiblingRuns::Sibling>
SiblingRuns::siblingsOf(const std::string &Step,
                        const WorkerSpeeds &Speeds) const {
  std::vector<Sibling> All;
  const std::map<NodeId, Logs> *Workers = Steps.find(Step);
  if (!Workers)
    return All;
  for (const auto &[Node, Runs] : *Workers) {
    std::vector<double> Sorted;
    Sorted.reserve(Runs.size());
    for (const auto &[Run, Log] : Runs)
      Sorted.push_back(Log);
    std::sort(Sorted.begin(), Sorted.end());
    All.push_back(
        {Node,
         (Sorted[(Sorted.size() - 1) / 2] + Sorted[Sorted.size() / 2]) / 2,
         WorkVariance / static_cast<double>(Sorted.size()),
         Speeds.speedOf(Node)});
  }
  return All;
}

std::optional<DurationEstimate>
SiblingRuns::workBesides(const std::vector<Sibling> &All, const NodeId &Node) {
  double Weight = 0;
  double Sum = 0;
  for (const Sibling &Other : All) {
    if (Other.Node == Node)
      continue;
    const double ItsWeight =
        1 / (Other.LogVariance +
             UnknownSpeedVariance * (1 - Other.Speed.Confidence));
    Weight += ItsWeight;
    Sum += ItsWeight * (Other.LogMedian + std::log(Other.Speed.Factor));
  }
  if (Weight == 0)
    return std::nullopt;
  return DurationEstimate{Sum / Weight, 1 / Weight};
}

std::optional<DurationEstimate>
SiblingRuns::workOf(const std::string &Step, const NodeId &Node,
                    const WorkerSpeeds &Speeds) const {
  return workBesides(siblingsOf(Step, Speeds), Node);
}

std::vector<NodeId> SiblingRuns::updateSpeeds(const std::string &Step,
                                              const DurationEstimate &Expected,
                                              WorkerSpeeds &Speeds) const {
  std::vector<NodeId> Known;
  std::vector<Sibling> All = siblingsOf(Step, Speeds);
  for (Sibling &Own : All) {
    const DurationEstimate Work = workBesides(All, Own.Node).value_or(Expected);
    if (Speeds.add(Own.Node, Step, Work.LogMean - Own.LogMedian,
                   Work.LogVariance + Own.LogVariance))
      Known.push_back(Own.Node);
    // Each speed is learned relative to the others; with the earlier values two
    // workers would both move to where the other one was.
    Own.Speed = Speeds.speedOf(Own.Node);
  }
  return Known;
}

} // namespace baobabcove
