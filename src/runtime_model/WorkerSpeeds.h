#ifndef BAOBABCOVE_RUNTIME_MODEL_WORKERSPEEDS_H
#define BAOBABCOVE_RUNTIME_MODEL_WORKERSPEEDS_H

#include "baobabcove/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabcove {

/// What tells one kind of worker from another.
struct WorkerTraits {
  std::string Incarnation;
  /// Cores, memory and accelerators.
  std::array<std::int64_t, 3> Capacity{};
  std::vector<std::string> Labels;
};

/// The speed of a worker relative to the nominal speed.
struct WorkerSpeed {
  double Factor = 1;
  /// Share of the factor that the worker's own runs determine, from 0 to 1.
  double Confidence = 0;
  bool IsKnown = false;
};

/// Learns the speed of each worker from its runs: the median over steps of the
/// ratio of expected to actual duration. Speeds of workers with the same labels
/// are a prior. The mean over all workers is one, since there is no other
/// measure of the nominal speed. Not thread-safe.
class WorkerSpeeds {
public:
  explicit WorkerSpeeds(std::size_t MaxWorkers = 4096)
      : MaxWorkers(MaxWorkers) {}

  /// Forgets the speed of \p Node if a worker with another capacity or other
  /// labels has replaced the earlier one.
  void noteWorker(const NodeId &Node, const WorkerTraits &Traits);

  /// Adds the runs of a step on \p Node. \p LogRatio is the logarithm of the
  /// ratio of expected to actual duration, \p Variance the variance of that
  /// logarithm. A later ratio of the same step replaces the earlier one.
  /// Returns true if the speed becomes known.
  bool add(const NodeId &Node, const std::string &Step, double LogRatio,
           double Variance);

  WorkerSpeed speedOf(const NodeId &Node) const;

  /// Returns the speed of \p Node if it is known.
  std::optional<double> knownFactor(const NodeId &Node) const;

  /// Returns the workers whose speed is known.
  std::map<NodeId, WorkerSpeed> known() const;

private:
  struct Observation {
    std::string Step;
    double LogRatio = 0;
    double Weight = 0;
  };
  /// A weighted sum of logarithms of speeds.
  struct WeightedSum {
    double Weight = 0;
    double Sum = 0;
    double SquareSum = 0;
    double Workers = 0;
    void add(double Log, double ItsWeight, double Sign);
  };
  struct Worker {
    WorkerTraits Traits;
    std::deque<Observation> Steps;
    /// Weighted median of the logarithms of the ratios, and the sum of the
    /// weights.
    double Log = 0;
    double Weight = 0;
    std::uint64_t UpdatedAt = 0;
    bool WasKnown = false;
  };

  Worker &workerOf(const NodeId &Node);
  /// Adds (\p Sign 1) or removes (-1) what \p Of contributes to the sums.
  void contribute(const Worker &Of, double Sign);
  WorkerSpeed speedOf(const Worker &Of) const;
  static bool isKnown(const Worker &Of);
  double meanLog() const;
  double priorLog(const Worker &Of) const;

  std::size_t MaxWorkers;
  std::map<NodeId, Worker> Workers;
  WeightedSum All;
  std::map<std::string, WeightedSum> ByLabel;
  std::uint64_t Updates = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_RUNTIME_MODEL_WORKERSPEEDS_H
