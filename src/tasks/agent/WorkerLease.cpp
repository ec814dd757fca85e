#include "tasks/agent/WorkerLease.h"

#include <algorithm>
#include <utility>

namespace baobabcove {

bool WorkerLease::grant(BootInstant Until, BootInstant Now) {
  GrantedUntil = std::max(GrantedUntil, Until);
  // Leases that earlier agents of this worker gave end within one grant.
  if (LeaseUntil == BootInstant{})
    LeaseUntil = GrantedUntil;
  return Until > Now;
}

bool WorkerLease::hasGrantRunOut(BootInstant Now) const {
  return Now >= GrantedUntil;
}

bool WorkerLease::hasExpired(BootInstant Now) const {
  return LeaseUntil != BootInstant{} && Now > LeaseUntil;
}

Milliseconds WorkerLease::remaining(BootInstant Now) const {
  return std::max(Milliseconds(LeaseUntil - Now), Milliseconds(0));
}

void WorkerLease::checkExpiry(BootInstant Now) {
  if (!hasExpired(Now) || IsResolved || AwaitsListing)
    return;
  AwaitsListing = true;
  AwaitsListingSince = Now;
}

BootInstant WorkerLease::extend(BootInstant Now) {
  checkExpiry(Now);
  if (isBarring() || hasGrantRunOut(Now))
    return BootInstant{};
  LeaseUntil = std::max(LeaseUntil, GrantedUntil);
  IsResolved = false;
  return GrantedUntil;
}

void WorkerLease::applyListing(BootInstant RequestedAt,
                               const std::set<RunId> &Known,
                               const std::set<RunId> &Sent) {
  if (!AwaitsListing || RequestedAt < AwaitsListingSince)
    return;
  AwaitsListing = false;
  IsResolved = true;
  for (const RunId &Run : Sent)
    if (!Known.count(Run))
      requireBar(Run);
}

void WorkerLease::requireBar(const RunId &Run) {
  if (!Barred.count(Run))
    ToBar.try_emplace(Run, false);
}

std::vector<RunId> WorkerLease::barsToSend() {
  std::vector<RunId> Runs;
  for (auto &[Run, IsSent] : ToBar)
    if (!std::exchange(IsSent, true))
      Runs.push_back(Run);
  return Runs;
}

void WorkerLease::noteBarred(const RunId &Run) {
  if (ToBar.erase(Run))
    Barred.insert(Run);
}

void WorkerLease::noteBarFailed(const RunId &Run) {
  const auto Known = ToBar.find(Run);
  if (Known != ToBar.end())
    Known->second = false;
}

void WorkerLease::noteApplied(std::uint64_t Sequence) {
  if (Sequence >= AwaitedReport)
    AwaitedReport = 0;
}

void WorkerLease::resetWorker() {
  ToBar.clear();
  Barred.clear();
}

} // namespace baobabcove
