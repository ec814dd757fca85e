#include "tasks/planning/SpeedPreference.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// An urgent task of 2 s is late on a worker of speed 0.7 and on time on one of
/// 1.7. Between these, the weight is worth two accelerators left over.
constexpr double UrgentTaskWeight = 0.5;
/// An urgent gang is as late as its slowest member; it takes faster workers
/// even if they are fully free.
constexpr double UrgentGangWeight = 2;
/// Other work only gives way to urgent work: less than one accelerator.
constexpr double WideBatchWeight = 0.2;
/// A gang holds its fast workers while the slow ones finish.
constexpr double SpreadWeightOfGang = 0.4;
/// Steps with this many tasks are wide batches.
constexpr std::uint32_t MinWideBatch = 4;

} // namespace

SpeedPreference::SpeedPreference(const PlanUnit &Unit)
    : IsGang(Unit.Tasks.size() > 1), IsUrgent(Unit.Urgent) {
  if (Unit.Urgent)
    WorkerWeight = IsGang ? -UrgentGangWeight : -UrgentTaskWeight;
  else if (Unit.Step->count() >= MinWideBatch)
    WorkerWeight = WideBatchWeight;
  SlowestWeight = WorkerWeight;
  SpreadWeight = IsGang ? SpreadWeightOfGang : 0;
}

double
SpeedPreference::ofPlacement(const std::vector<double> &LogSpeeds) const {
  const auto [Min, Max] =
      std::minmax_element(LogSpeeds.begin(), LogSpeeds.end());
  return LogSpeeds.empty()
             ? 0
             : SlowestWeight * *Min + SpreadWeight * (*Max - *Min);
}

std::vector<SpeedRange>
SpeedPreference::alternatives(const std::vector<double> &LogSpeeds) const {
  std::vector<SpeedRange> Ranges;
  if (!IsGang || LogSpeeds.size() < 2)
    return Ranges;
  // For an urgent gang, all workers that are at least as fast; for another one,
  // workers of one speed.
  for (double LogSpeed : LogSpeeds)
    if (!IsUrgent || LogSpeed != LogSpeeds.front())
      Ranges.push_back({LogSpeed, IsUrgent ? LogSpeeds.back() : LogSpeed});
  return Ranges;
}

} // namespace baobabcove
