#include "FakeCell.h"

#include <algorithm>
#include <cmath>

namespace baobabcove::bench {

namespace {

/// Target: a job that can run starts within this.
constexpr Milliseconds StartTarget{24LL * 3600 * 1000};
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

/// The greater of two bounds on the mean completion: every job alone, and the
/// shortest remaining work first on one machine with all accelerators.
double FakeCell::lowerBoundMean() const {
  std::vector<double> Alone;
  std::vector<std::pair<double, double>> Work;
  const double Speed = static_cast<double>(Given.Workers.size()) * WorkerSize;
  for (const auto &[Id, Job] : Jobs) {
    if (!Job.Succeeded)
      continue;
    Alone.push_back(seconds(Job.Plan->Run));
    Work.emplace_back(seconds(Job.Origin.time_since_epoch()),
                      Alone.back() * sizeOf(Job.Plan->Info) / Speed);
  }
  std::sort(Work.begin(), Work.end());
  std::priority_queue<std::pair<double, double>,
                      std::vector<std::pair<double, double>>, std::greater<>>
      Shortest;
  double Clock = 0;
  double Sum = 0;
  std::size_t Next = 0;
  while (Next < Work.size() || !Shortest.empty()) {
    if (Shortest.empty())
      Clock = std::max(Clock, Work[Next].first);
    for (; Next < Work.size() && Work[Next].first <= Clock; ++Next)
      Shortest.push({Work[Next].second, Work[Next].first});
    auto [Left, Submitted] = Shortest.top();
    Shortest.pop();
    const double Until = Next < Work.size() ? Work[Next].first : Clock + Left;
    if (Clock + Left <= Until) {
      Clock += Left;
      Sum += Clock - Submitted;
    } else {
      Shortest.push({Left - (Until - Clock), Submitted});
      Clock = Until;
    }
  }
  const double Area = Work.empty() ? 0 : Sum / static_cast<double>(Work.size());
  return std::max(mean(Alone), Area);
}

Measures FakeCell::measure() const {
  Measures Result;
  std::vector<double> Completions;
  std::vector<double> Slowdowns;
  std::vector<double> LargeWaits;
  std::map<std::string, double> Counts;
  double Last = 0;
  for (const auto &[Id, Job] : Jobs) {
    const Instant Submitted = Job.Origin;
    const bool Large = sizeOf(Job.Plan->Info) >= LargeGang;
    const bool Runnable = !Job.Plan->Never && !Job.Cancelled;
    if (Runnable && Large && Job.Started)
      LargeWaits.push_back(seconds(Job.FirstStart - Submitted));
    if (Runnable && (!Job.Started || Job.FirstStart - Submitted > StartTarget))
      ++Result.StarvedJobs;
    Last = std::max(Last, seconds(Job.EndedAt.time_since_epoch()));
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
  for (auto &[Name, Of] : Result.Classes)
    Of = {Of.first / Counts[Name], Of.second / Counts[Name]};
  Result.Stops = Stops;
  Result.MeanCompletion = mean(Completions);
  Result.P99Completion = quantile(Completions, 0.99);
  Result.SlowdownP50 = quantile(Slowdowns, 0.5);
  Result.SlowdownP99 = quantile(Slowdowns, 0.99);
  Result.Fragmentation = AllFree > 0 ? StuckFree / AllFree : 0;
  Result.LargeGangWaitP99 = quantile(LargeWaits, 0.99);
  Result.Utilisation =
      BusyTime / (Last * WorkerSize * double(Given.Workers.size()));
  Result.Quarantined = QuarantineTime / Last;
  Result.ReclaimP99 = quantile(GuaranteedWaits, 0.99);
  Result.UrgentP99 = quantile(UrgentWaits, 0.99);
  Result.LostAcceleratorHours = LostTime / 3600;
  Result.OverLowerBound = Result.MeanCompletion / lowerBoundMean();
  Result.DecisionP50Us = quantile(DecisionUs, 0.5);
  Result.DecisionP99Us = quantile(DecisionUs, 0.99);
  Result.Reclaims = Policy.figures().Reclaims;
  Result.GuaranteeViolations = Violations;
  Result.PartialGangs = Partial;
  return Result;
}

} // namespace baobabcove::bench
