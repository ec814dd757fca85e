#ifndef BAOBABCOVE_TASKS_AGENT_RUNORDERTRACKER_H
#define BAOBABCOVE_TASKS_AGENT_RUNORDERTRACKER_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace baobabcove {

using RunId = std::pair<std::string, std::uint64_t>;

/// Tracks the state of each ordered run at an agent: which order to send next,
/// and whether it is certain that the run will never start. Not thread-safe.
class RunOrderTracker {
public:
  /// Removes all runs, for a new worker incarnation.
  void clear() { Runs.clear(); }

  /// Replaces the tracked runs with those in \p Orders and returns the orders
  /// to send now; true denotes a stop. An order is returned once, unless it is
  /// postponed.
  std::vector<std::pair<RunId, bool>> update(const wire::TaskOrders &Orders,
                                             BootInstant Now);

  /// Makes the next update return the order of \p Run again, for which there
  /// was no room.
  void postpone(const RunId &Run);
  /// Records that a start of \p Run is being sent to the worker.
  void markSent(const RunId &Run);
  /// Withdraws all starts that have no result yet. One that may have been sent
  /// is barred by a stop; the others never start. Returns their number.
  std::size_t voidStarts();

  /// Records that a run started, by the answer to its start or by a listing.
  void markStarted(const RunId &Run);
  /// Records that the worker refused a start, which can no longer begin the
  /// run.
  void markRefused(const RunId &Run, wire::RefusalReason Reason);
  /// Records that the outcome of a start is unknown and the worker does not
  /// list the run. The run has to be barred by a stop, after which the worker
  /// refuses to start it.
  void markUnknown(const RunId &Run);
  /// Records that the worker acknowledged a stop.
  void markStopped(const RunId &Run, BootInstant At);
  /// Records that a stop was not answered or was refused; it is sent again
  /// later.
  void markStopFailed(const RunId &Run, BootInstant At);
  /// Records that the run can never start because its worker is gone.
  void markBarred(const RunId &Run);

  /// Applies a listing that was requested at \p RequestedAt. A run whose stop
  /// was acknowledged before then and that is not listed can never start.
  /// If the listing \p MayLackEnds, this is not concluded before a while has
  /// passed in which they can be listed. Returns whether any run got into that
  /// state.
  bool applyListing(const std::set<RunId> &Known, BootInstant RequestedAt,
                    bool MayLackEnds = false);

  /// Whether a queued start of \p Run is still wanted: it has no result yet and
  /// no stop was ordered.
  bool isStartPending(const RunId &Run) const;

  /// Returns the runs whose starts this agent or another may have sent and that
  /// are not known to have started or to be barred.
  std::set<RunId> unresolved() const;

  /// Returns the runs that have not started and never will.
  std::vector<wire::RunRefusal> refusals() const;

private:
  enum class OrderState { Starting, Started, Stopping, Stopped, NeverStarted };
  struct Entry {
    OrderState State = OrderState::Starting;
    /// Whether the order has to be sent.
    bool NeedsSend = true;
    /// Whether this agent or another has sent a start to the worker, or may
    /// have.
    bool MayBeAtWorker = false;
    /// When a stop was last acknowledged or failed.
    BootInstant LastStopAt{};
    wire::RefusalReason Reason = wire::REFUSAL_REASON_UNSPECIFIED;
  };
  std::map<RunId, Entry> Runs;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_RUNORDERTRACKER_H
