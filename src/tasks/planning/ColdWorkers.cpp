#include "tasks/planning/ColdWorkers.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabcove {

namespace {

/// The platform counts the starts on a worker in one second.
constexpr Milliseconds RateWindow{1000};
/// Orders of this many windows may reach the worker within one: an agent is
/// given runs until its poll is overdue by 1.1 s.
constexpr int WindowsPerDelivery = 2;

} // namespace

void ColdWorkers::describe(const wire::TaskReport &Report,
                           const QueueConfig &Config, BootInstant Now,
                           PlanWorker &Worker) const {
  const auto Known = Config.Services.find(ServiceName(Report.service()));
  const ServiceRule Service =
      Known == Config.Services.end() ? ServiceRule() : Known->second;
  Worker.IsCold = Report.cold_for_ms() > 0 && Service.HasColdPeriod;
  if (Worker.IsCold)
    Worker.StartsLeft = startsLeft(Worker.Incarnation, Service, Now);
}

std::uint32_t ColdWorkers::startsLeft(const WorkerIncarnation &Worker,
                                      const ServiceRule &Service,
                                      BootInstant Now) const {
  if (Service.ColdStartsPerSecond <= 0)
    return std::numeric_limits<std::uint32_t>::max();
  const double Most =
      Service.ColdStartsPerSecond * Limits.Overage + Limits.Slack;
  const auto Allowed = static_cast<std::int64_t>(
      std::max(1.0, Most / double(WindowsPerDelivery)));
  const auto Known = Placed.find(Worker);
  const std::int64_t Recent =
      Known == Placed.end()
          ? 0
          : std::count_if(
                Known->second.begin(), Known->second.end(),
                [&](BootInstant At) { return Now - At < RateWindow; });
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, Allowed - Recent));
}

void ColdWorkers::noteStart(const WorkerIncarnation &Worker, BootInstant Now) {
  for (auto Known = Placed.begin(); Known != Placed.end();)
    Known = Now - Known->second.back() >= RateWindow ? Placed.erase(Known)
                                                     : std::next(Known);
  std::deque<BootInstant> &Times = Placed[Worker];
  while (!Times.empty() && Now - Times.front() >= RateWindow)
    Times.pop_front();
  Times.push_back(Now);
}

} // namespace baobabcove
