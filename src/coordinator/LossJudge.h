/// \file
/// Tells a worker that is surely gone from one that may only be out of reach.

#ifndef BAOBABCOVE_COORDINATOR_LOSSJUDGE_H
#define BAOBABCOVE_COORDINATOR_LOSSJUDGE_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "membership/Members.h"

#include <map>
#include <set>
#include <string>

namespace baobabcove {

/// Times that the judgement rests on.
struct LossTimes {
  /// A worker that no entry answers stops its tasks within this.
  Milliseconds Silence{6000};
  /// A worker out of the coordinator's reach stops its tasks within this.
  Milliseconds Autonomy{900000};
  /// An entry is heard afresh within this.
  Milliseconds EntryFresh{2500};
};

/// A worker is gone for sure when no entry hears it: then none answers it, and
/// it has stopped by itself. An entry that this process cannot hear might
/// still answer it, so that the judgement waits until the entry is back, is
/// replaced, or has been silent for longer than any worker runs on without
/// contact to the coordinator.
class LossJudge {
public:
  explicit LossJudge(LossTimes Times) : Times(Times) {}

  /// The judgement begins anew at \p Now with these entries, which may not
  /// have been heard yet.
  void begin(const std::set<std::string> &Entries, Instant Now);

  /// An entry announced itself.
  void hearEntry(const wire::Heartbeat &Beat, Instant Now);

  /// Whether the worker has surely stopped everything.
  bool isGone(const std::string &Worker, Instant LastHeard, Instant Now) const;

  /// Entries silent for so long that they count no more.
  std::vector<std::string> expired(Instant Now) const;
  void forget(const std::string &Entry) { Entries.erase(Entry); }

private:
  struct EntryView {
    Instant HeardAt;
    /// When each worker was last heard by the entry, on this process's clock.
    std::map<std::string, Instant> Workers;
  };

  const LossTimes Times;
  Instant Began;
  std::map<std::string, EntryView> Entries;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_LOSSJUDGE_H
