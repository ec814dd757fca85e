#ifndef BAOBABCOVE_POLICY_BENCH_MEASURES_H
#define BAOBABCOVE_POLICY_BENCH_MEASURES_H

#include "baobabcove/Scheduler.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace baobabcove::bench {

/// Accelerators of a simulated worker.
inline constexpr std::uint32_t WorkerSize = 8;

/// Returns the accelerators of a whole gang.
inline std::uint32_t sizeOf(const JobInfo &Info) {
  return Info.Tasks * Info.AcceleratorsPerTask;
}

inline double seconds(Milliseconds Duration) {
  return static_cast<double>(Duration.count()) / 1000;
}

/// Results of one simulation. Times are in seconds unless the name says
/// otherwise.
struct Measures {
  double MeanCompletion = 0;
  double P99Completion = 0;
  double SlowdownP50 = 0;
  double SlowdownP99 = 0;
  double Fragmentation = 0;
  double LargeGangWaitP99 = 0;
  double Utilisation = 0;
  /// Mean number of quarantined workers.
  double Quarantined = 0;
  double ReclaimP99 = 0;
  double UrgentP99 = 0;
  double LostAcceleratorHours = 0;
  double OverLowerBound = 0;
  double DecisionP50Us = 0;
  double DecisionP99Us = 0;
  std::uint64_t Reclaims = 0;
  std::uint64_t GuaranteeViolations = 0;
  std::uint64_t PartialGangs = 0;
  std::uint64_t StarvedJobs = 0;
  std::uint64_t Succeeded = 0;
  std::uint64_t Failed = 0;
  /// Mean completion time and mean run time of each class.
  std::map<std::string, std::pair<double, double>> Classes;
  /// Number of stopped gangs by reason.
  std::map<std::string, std::uint64_t> Stops;
};

} // namespace baobabcove::bench

#endif // BAOBABCOVE_POLICY_BENCH_MEASURES_H
