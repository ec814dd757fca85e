#ifndef BAOBABCOVE_TASKS_AGENT_STARTLIMIT_H
#define BAOBABCOVE_TASKS_AGENT_STARTLIMIT_H

#include "baobabcove/Clock.h"
#include "tasks.pb.h"
#include "tasks/agent/RunOrderTracker.h"

#include <set>
#include <vector>

namespace baobabcove {

/// Until when an agent may send the starts that it has received. The
/// coordinator allows it for a while with each answer, as long as it can rule
/// out that the data centre has been evacuated. Not thread-safe.
class StartLimit {
public:
  /// Applies an answer to a report that was sent at \p SentAt.
  void apply(const wire::TaskOrders &Answer, BootInstant SentAt);

  /// Whether a start may be sent at \p Now. False shortly before the end of the
  /// period, when the worker would receive the start too late.
  bool allows(BootInstant Now) const;
  /// Returns the end of the period; the clock's maximum if there is none.
  BootInstant until() const { return Until; }

  /// Keeps a start until the next answer allows it.
  void hold(const RunId &Run) { Held.insert(Run); }
  /// Returns the starts that were kept, if they may be sent at \p Now.
  std::vector<RunId> release(BootInstant Now);
  std::size_t held() const { return Held.size(); }
  /// Forgets the starts that were kept, for a new worker incarnation.
  void forgetHeld() { Held.clear(); }

private:
  /// Answers of coordinators without a bound set no limit.
  BootInstant Until = BootInstant::max();
  std::set<RunId> Held;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_STARTLIMIT_H
