#ifndef BAOBABCOVE_TASKS_AGENT_WORKERLEASE_H
#define BAOBABCOVE_TASKS_AGENT_WORKERLEASE_H

#include "baobabcove/Clock.h"
#include "tasks/agent/RunOrderTracker.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace baobabcove {

/// Decides until when an agent may extend the lease of its worker. After all
/// leases have expired, the lease is extended again only when no start that was
/// sent before can begin a run any more. Not thread-safe.
class WorkerLease {
public:
  /// Records a grant of the coordinator up to \p Until. Returns false if it is
  /// over already; orders that came with it must not be taken.
  bool grant(BootInstant Until, BootInstant Now);

  /// Whether the coordinator's grant has run out, so that the starts received
  /// so far are void.
  bool hasGrantRunOut(BootInstant Now) const;

  /// Whether all leases have expired that this agent, or an earlier one on this
  /// node, gave to a worker.
  bool hasExpired(BootInstant Now) const;

  /// Returns the time until all leases have expired.
  Milliseconds remaining(BootInstant Now) const;

  /// Stops extensions if the leases have expired. Called before each call to
  /// the worker.
  void checkExpiry(BootInstant Now);

  /// Returns the end of the lease to give now, or zero if none may be given.
  BootInstant extend(BootInstant Now);

  /// Applies a listing of the worker with the runs and ends \p Known, requested
  /// at \p RequestedAt. After an expiry, the first one shows which of the
  /// starts \p Sent have to be barred.
  void applyListing(BootInstant RequestedAt, const std::set<RunId> &Known,
                    const std::set<RunId> &Sent);

  /// Stops extensions until \p Run has been barred on the current worker
  /// incarnation.
  void requireBar(const RunId &Run);
  /// Returns the runs to send a stop for now.
  std::vector<RunId> barsToSend();
  /// Records that the worker acknowledged a stop of \p Run, or did not.
  void noteBarred(const RunId &Run);
  void noteBarFailed(const RunId &Run);

  /// Stops extensions until the coordinator has applied the report \p Sequence,
  /// by which it may give up runs whose starts it then names as bars.
  void awaitApplied(std::uint64_t Sequence) { AwaitedReport = Sequence; }
  /// Records that the coordinator has applied the report \p Sequence.
  void noteApplied(std::uint64_t Sequence);

  /// Whether extensions are stopped.
  bool isBarring() const {
    return AwaitsListing || AwaitedReport > 0 || !ToBar.empty();
  }

  /// Forgets the bars of the last worker incarnation.
  void resetWorker();

private:
  /// End of the period for which the coordinator allows the runs to continue.
  BootInstant GrantedUntil{};
  /// Latest possible end of any lease; zero before the first grant.
  BootInstant LeaseUntil{};
  /// Whether the expiry of LeaseUntil has been resolved.
  bool IsResolved = false;
  bool AwaitsListing = false;
  BootInstant AwaitsListingSince{};
  /// Number of the report that has to be applied first; zero for none.
  std::uint64_t AwaitedReport = 0;
  /// Runs that must be barred, with whether a stop is on its way.
  std::map<RunId, bool> ToBar;
  std::set<RunId> Barred;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_WORKERLEASE_H
