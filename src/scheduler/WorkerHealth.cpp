#include "scheduler/WorkerHealth.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr std::size_t JobsToBlame = 2;
constexpr Milliseconds FirstQuarantine{10 * 60 * 1000};
constexpr Milliseconds LongestQuarantine{8 * 3600 * 1000};

} // namespace

bool WorkerHealth::failed(WorkerIndex Worker, const JobId &Job, Instant Now) {
  Record &Of = Records[Worker];
  Of.FailedJobs.insert(Job);
  if (Of.Quarantined || (!Of.Probation && Of.FailedJobs.size() < JobsToBlame))
    return false;
  Of.Length = Of.Length.count() == 0
                  ? FirstQuarantine
                  : std::min(2 * Of.Length, LongestQuarantine);
  Of.Until = Now + Of.Length;
  Of.Quarantined = true;
  return true;
}

bool WorkerHealth::succeeded(WorkerIndex Worker) {
  const auto Found = Records.find(Worker);
  if (Found == Records.end())
    return false;
  const bool Ends = Found->second.Quarantined;
  Records.erase(Found);
  return Ends;
}

std::vector<WorkerIndex> WorkerHealth::jobWasAtFault(const JobId &Job) {
  std::vector<WorkerIndex> Freed;
  for (auto &[Worker, Of] : Records) {
    if (Of.FailedJobs.erase(Job) == 0 || !Of.Quarantined)
      continue;
    if (Of.FailedJobs.size() >= (Of.Probation ? 1 : JobsToBlame))
      continue;
    Of.Quarantined = false;
    Of.Length = Of.Probation ? Of.Length / 2 : Milliseconds(0);
    Freed.push_back(Worker);
  }
  return Freed;
}

std::vector<WorkerIndex> WorkerHealth::released(Instant Now) {
  std::vector<WorkerIndex> Freed;
  for (auto &[Worker, Of] : Records) {
    if (!Of.Quarantined || Now < Of.Until)
      continue;
    Of.Quarantined = false;
    Of.Probation = true;
    Of.FailedJobs.clear();
    Freed.push_back(Worker);
  }
  return Freed;
}

void WorkerHealth::forget(WorkerIndex Worker) { Records.erase(Worker); }

std::size_t WorkerHealth::quarantined() const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [](const auto &Pair) { return Pair.second.Quarantined; }));
}

} // namespace baobabcove
