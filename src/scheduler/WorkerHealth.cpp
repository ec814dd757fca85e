#include "scheduler/WorkerHealth.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Different failed jobs after which a worker is quarantined.
constexpr std::size_t DistinctJobsBeforeQuarantine = 2;
constexpr Milliseconds FirstQuarantine{10 * 60 * 1000};
constexpr Milliseconds LongestQuarantine{8 * 3600 * 1000};

} // namespace

bool WorkerHealth::recordFailure(WorkerIndex Worker, const JobId &Job,
                                 Instant Now) {
  Record &R = Records[Worker];
  R.FailedJobs.insert(Job);
  if (R.Quarantined ||
      (!R.Probation && R.FailedJobs.size() < DistinctJobsBeforeQuarantine))
    return false;
  R.Length = R.Length.count() == 0 ? FirstQuarantine
                                   : std::min(2 * R.Length, LongestQuarantine);
  R.Until = Now + R.Length;
  R.Quarantined = true;
  return true;
}

bool WorkerHealth::recordSuccess(WorkerIndex Worker) {
  const auto Found = Records.find(Worker);
  if (Found == Records.end())
    return false;
  const bool Ends = Found->second.Quarantined;
  Records.erase(Found);
  return Ends;
}

std::vector<WorkerIndex> WorkerHealth::clearFailuresOf(const JobId &Job) {
  std::vector<WorkerIndex> Released;
  for (auto &[Worker, R] : Records) {
    if (R.FailedJobs.erase(Job) == 0 || !R.Quarantined)
      continue;
    if (R.FailedJobs.size() >= (R.Probation ? 1 : DistinctJobsBeforeQuarantine))
      continue;
    R.Quarantined = false;
    R.Length = R.Probation ? R.Length / 2 : Milliseconds(0);
    Released.push_back(Worker);
  }
  return Released;
}

std::vector<WorkerIndex> WorkerHealth::releaseExpired(Instant Now) {
  std::vector<WorkerIndex> Released;
  for (auto &[Worker, R] : Records) {
    if (!R.Quarantined || Now < R.Until)
      continue;
    R.Quarantined = false;
    R.Probation = true;
    R.FailedJobs.clear();
    Released.push_back(Worker);
  }
  return Released;
}

void WorkerHealth::forget(WorkerIndex Worker) { Records.erase(Worker); }

std::size_t WorkerHealth::quarantined() const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [](const auto &Pair) { return Pair.second.Quarantined; }));
}

} // namespace baobabcove
