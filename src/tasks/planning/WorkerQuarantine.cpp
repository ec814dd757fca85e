#include "tasks/planning/WorkerQuarantine.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Number of different jobs that fail in a row before the worker is
/// quarantined; a single one may itself be faulty.
constexpr std::size_t FailedJobsThreshold = 2;
/// Duration of the first quarantine. It doubles up to MaxDoublings times while
/// the worker keeps failing. Faults of the production workers last 4 to 7 s.
constexpr Milliseconds FirstQuarantine{2500};
constexpr int MaxDoublings = 2;

} // namespace

void WorkerQuarantine::noteFailure(const NodeId &Node, const UnitRun &Failed,
                                   BootInstant Now) {
  Record &Known = Records[Node];
  std::uint64_t &LatestRun = Known.FailedJobs[Failed.Job][Failed.Unit];
  if (LatestRun == Failed.Run)
    return;
  LatestRun = Failed.Run;
  if (Known.FailedJobs.size() < FailedJobsThreshold)
    return;
  Known.Until =
      Now + FirstQuarantine * (1 << std::min(Known.Repeats, MaxDoublings));
  ++Known.Repeats;
}

void WorkerQuarantine::noteSuccess(const NodeId &Node) { Records.erase(Node); }

void WorkerQuarantine::quarantine(const NodeId &Node, BootInstant Now,
                                  Milliseconds Duration) {
  Record &Known = Records[Node];
  Known.Until = std::max(Known.Until, Now + Duration);
}

std::vector<NodeId> WorkerQuarantine::nodesFailedBy(const JobId &Job) const {
  std::vector<NodeId> Nodes;
  for (const auto &[Node, Known] : Records)
    if (Known.FailedJobs.count(Job))
      Nodes.push_back(Node);
  return Nodes;
}

bool WorkerQuarantine::isQuarantined(const NodeId &Node,
                                     BootInstant Now) const {
  const auto Known = Records.find(Node);
  return Known != Records.end() && Now < Known->second.Until;
}

} // namespace baobabcove
