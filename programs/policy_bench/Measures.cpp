#include "CellSimulator.h"

#include <algorithm>
#include <cmath>

namespace baobabcove::bench {

namespace {

/// A job that can run counts as starved when it starts later than this.
constexpr Milliseconds StartTarget{24LL * 3600 * 1000};
/// Accelerators from which a gang counts as large.
constexpr std::uint32_t LargeGang = 16;

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Share * Last))];
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (const double Each : Values)
    Sum += Each;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

} // namespace

/// Returns the greater of two lower bounds on the mean completion time: each
/// job alone on an empty cell, and shortest remaining work first on one machine
/// with all accelerators.
double CellSimulator::lowerBoundMean() const {
  std::vector<double> RunTimes;
  std::vector<std::pair<double, double>> Work;
  const double TotalAccelerators =
      static_cast<double>(Input.Workers.size()) * WorkerSize;
  for (const auto &[Id, Job] : Jobs) {
    if (!Job.Succeeded)
      continue;
    RunTimes.push_back(seconds(Job.Plan->Run));
    Work.emplace_back(seconds(Job.Origin.time_since_epoch()),
                      RunTimes.back() * sizeOf(Job.Plan->Info) /
                          TotalAccelerators);
  }
  std::sort(Work.begin(), Work.end());
  std::priority_queue<std::pair<double, double>,
                      std::vector<std::pair<double, double>>, std::greater<>>
      ByRemaining;
  double Time = 0;
  double Sum = 0;
  std::size_t Next = 0;
  while (Next < Work.size() || !ByRemaining.empty()) {
    if (ByRemaining.empty())
      Time = std::max(Time, Work[Next].first);
    for (; Next < Work.size() && Work[Next].first <= Time; ++Next)
      ByRemaining.push({Work[Next].second, Work[Next].first});
    auto [Remaining, Submitted] = ByRemaining.top();
    ByRemaining.pop();
    const double Until =
        Next < Work.size() ? Work[Next].first : Time + Remaining;
    if (Time + Remaining <= Until) {
      Time += Remaining;
      Sum += Time - Submitted;
    } else {
      ByRemaining.push({Remaining - (Until - Time), Submitted});
      Time = Until;
    }
  }
  const double SharedMean =
      Work.empty() ? 0 : Sum / static_cast<double>(Work.size());
  return std::max(mean(RunTimes), SharedMean);
}

Measures CellSimulator::measure() const {
  Measures Result;
  std::vector<double> Completions;
  std::vector<double> Slowdowns;
  std::vector<double> LargeWaits;
  std::map<std::string, double> Counts;
  double EndSeconds = 0;
  for (const auto &[Id, Job] : Jobs) {
    const Instant Submitted = Job.Origin;
    const bool Large = sizeOf(Job.Plan->Info) >= LargeGang;
    const bool Runnable = !Job.Plan->AlwaysFails && !Job.Cancelled;
    if (Runnable && Large && Job.Started)
      LargeWaits.push_back(seconds(Job.FirstStart - Submitted));
    if (Runnable && (!Job.Started || Job.FirstStart - Submitted > StartTarget))
      ++Result.StarvedJobs;
    EndSeconds = std::max(EndSeconds, seconds(Job.EndedAt.time_since_epoch()));
    if (!Job.Succeeded) {
      Result.Failed += Job.Cancelled ? 0 : 1;
      continue;
    }
    ++Result.Succeeded;
    Completions.push_back(seconds(Job.EndedAt - Submitted));
    auto &Class = Result.Classes[Job.Plan->Info.Class];
    Class.first += Completions.back();
    Class.second += seconds(Job.Plan->Run);
    ++Counts[Job.Plan->Info.Class];
    Slowdowns.push_back(Completions.back() /
                        std::max(60.0, seconds(Job.Plan->Run)));
  }
  for (auto &[Name, Sums] : Result.Classes)
    Sums = {Sums.first / Counts[Name], Sums.second / Counts[Name]};
  Result.Stops = Stops;
  Result.MeanCompletion = mean(Completions);
  Result.P99Completion = quantile(Completions, 0.99);
  Result.SlowdownP50 = quantile(Slowdowns, 0.5);
  Result.SlowdownP99 = quantile(Slowdowns, 0.99);
  Result.Fragmentation = FreeTime > 0 ? FragmentedFreeTime / FreeTime : 0;
  Result.LargeGangWaitP99 = quantile(LargeWaits, 0.99);
  Result.Utilisation =
      BusyTime / (EndSeconds * WorkerSize * double(Input.Workers.size()));
  Result.Quarantined = QuarantineTime / EndSeconds;
  Result.ReclaimP99 = quantile(GuaranteedWaits, 0.99);
  Result.UrgentP99 = quantile(UrgentWaits, 0.99);
  Result.LostAcceleratorHours = LostTime / 3600;
  Result.OverLowerBound = Result.MeanCompletion / lowerBoundMean();
  Result.DecisionP50Us = quantile(DecisionUs, 0.5);
  Result.DecisionP99Us = quantile(DecisionUs, 0.99);
  Result.Reclaims = JobScheduler.stats().Reclaims;
  Result.GuaranteeViolations = Violations;
  Result.PartialGangs = PartialGangs;
  return Result;
}

} // namespace baobabcove::bench
