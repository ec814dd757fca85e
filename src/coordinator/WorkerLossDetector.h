#ifndef BAOBABCOVE_COORDINATOR_WORKERLOSSDETECTOR_H
#define BAOBABCOVE_COORDINATOR_WORKERLOSSDETECTOR_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "membership/MemberTable.h"

#include <map>
#include <set>
#include <string>

namespace baobabcove {

/// Timeouts that the detector relies on.
struct LossTimeouts {
  /// A worker that gets no reply from any entry stops its tasks within this
  /// time.
  Milliseconds WorkerTimeout{6000};
  /// A worker that cannot reach the coordinator stops its tasks within this
  /// time.
  Milliseconds AutonomyLimit{900000};
  /// An entry whose last heartbeat is older than this counts as unreachable.
  Milliseconds EntryTimeout{2500};
};

/// Distinguishes a worker that has certainly stopped its tasks from one that
/// may only be unreachable.
///
/// A worker has stopped when no entry receives its heartbeats: no entry replies
/// to it then, so that it has stopped its tasks on its own. An entry that this
/// process cannot reach might still reply to the worker. No worker is therefore
/// reported lost until that entry is reachable again, is replaced, or has been
/// unreachable for longer than a worker keeps running without contact to the
/// coordinator.
class WorkerLossDetector {
public:
  explicit WorkerLossDetector(LossTimeouts Timeouts) : Timeouts(Timeouts) {}

  /// Resets the detector at \p Now. \p Entries are the registered entries; each
  /// counts as unreachable until its first heartbeat.
  void reset(const std::set<std::string> &Entries, Instant Now);

  /// Records the heartbeat of an entry. An entry that is leaving is removed.
  void entryHeartbeat(const wire::Heartbeat &Heartbeat, Instant Now);

  /// Returns whether \p Worker has certainly stopped all its tasks.
  /// \p WorkerHeartbeatAt is when this process last received its heartbeat.
  bool isLost(const std::string &Worker, Instant WorkerHeartbeatAt,
              Instant Now) const;

  /// Returns the entries that have been unreachable for so long that no worker
  /// can still be running on their replies.
  std::vector<std::string> expiredEntries(Instant Now) const;
  void removeEntry(const std::string &Entry) { Entries.erase(Entry); }

private:
  struct EntryState {
    Instant LastHeartbeatAt;
    /// When the entry last received a heartbeat of each worker, on the
    /// monotonic clock of this process.
    std::map<std::string, Instant> Workers;
  };

  const LossTimeouts Timeouts;
  Instant ResetAt;
  std::map<std::string, EntryState> Entries;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_WORKERLOSSDETECTOR_H
