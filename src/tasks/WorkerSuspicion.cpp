#include "tasks/WorkerSuspicion.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// Different jobs that fail in a row before the worker is suspected: one may
/// be the job's own fault.
constexpr std::size_t FailedJobs = 2;
/// The first time that a suspected worker is left alone; it doubles while the
/// worker goes on failing, up to the second figure. Troubles of the users'
/// workers last 4 to 7 seconds.
constexpr Milliseconds FirstRest{2500};
constexpr int MaxDoublings = 2;

} // namespace

void WorkerSuspicion::noteFailure(const NodeId &Node, const JobId &Job,
                                  BootInstant Now) {
  Record &Known = Records[Node];
  Known.Failed.insert(Job);
  if (Known.Failed.size() < FailedJobs)
    return;
  Known.Until = Now + FirstRest * (1 << std::min(Known.Rounds, MaxDoublings));
  ++Known.Rounds;
}

void WorkerSuspicion::noteSuccess(const NodeId &Node) { Records.erase(Node); }

void WorkerSuspicion::suspect(const NodeId &Node, BootInstant Now,
                              Milliseconds For) {
  Record &Known = Records[Node];
  Known.Until = std::max(Known.Until, Now + For);
}

bool WorkerSuspicion::isSuspected(const NodeId &Node, BootInstant Now) const {
  const auto Known = Records.find(Node);
  return Known != Records.end() && Now < Known->second.Until;
}

} // namespace baobabcove
