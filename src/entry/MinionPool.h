/// \file
/// Which minion gets the next request, and who waits for a slot.

#ifndef BAOBABCOVE_ENTRY_MINIONPOOL_H
#define BAOBABCOVE_ENTRY_MINIONPOOL_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "config/Settings.h"
#include "membership/Members.h"

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace baobabcove {

/// What a request needs of a minion.
struct SlotRequest {
  std::string Service;
  std::string Workspace;
  /// Minions that have been tried.
  std::set<std::string> Excluded;
  Instant Deadline;
};

/// How a delivery to a minion ended, as far as it tells of the minion.
enum class DeliveryMark { Good, Refused, Failed };

/// Chooses among the live minions of a service by distance, free slots and
/// recent latency, and never sends more than a minion has slots. When all
/// slots are taken, requests wait, those of the workspace with the fewest
/// requests under way first. When the queue is full as well, the workspace with
/// the most requests is refused. Thread-safe.
class MinionPool {
public:
  MinionPool(const Settings &Of, const Members &Known);

  /// Waits for a slot and takes it. Fails with NoMinion, Overloaded or
  /// DeadlineBeforeStart; nothing was sent then. A pool that has just begun
  /// waits for minions to announce themselves before it says NoMinion.
  Expected<MemberRecord> acquire(const SlotRequest &Wanted);

  /// Counts a request that goes to one given minion without waiting.
  void occupy(const std::string &Node, const std::string &Workspace);

  /// Gives the slot back. \p ReportedInFlight is what the agent said of its
  /// requests under way, or negative when it said nothing.
  void release(const std::string &Node, const std::string &Workspace,
               DeliveryMark Mark, Milliseconds Took, int ReportedInFlight);

  /// Looks again whether somebody who waits can be served. Call it when
  /// members have changed.
  void membersChanged();

  std::size_t waiting() const;
  std::uint32_t inFlight(const std::string &Workspace) const;

private:
  struct Minion {
    std::uint32_t Own = 0;
    std::uint32_t Foreign = 0;
    double LatencyMs = 0;
    std::uint32_t FailuresInRow = 0;
    Instant EjectedUntil;
    Milliseconds EjectedFor{0};
  };

  struct Waiter {
    const SlotRequest *Wanted = nullptr;
    std::uint64_t Number = 0;
    bool Granted = false;
    bool Refused = false;
    MemberRecord Member;
    std::condition_variable Ready;
  };

  enum class Pick { Found, AllBusy, None };
  Pick pick(const SlotRequest &Wanted, MemberRecord &Chosen);
  double score(const MemberRecord &Candidate, double MedianLatency) const;
  int distance(const MemberRecord &Candidate) const;
  bool ejected(const std::string &Node, Instant Now) const;
  std::uint32_t busy(const std::string &Node) const;
  void serveWaiters();
  std::size_t roomFor(const std::string &Service, Instant Now) const;
  std::size_t slotsOf(const std::string &Service) const;
  std::size_t load(const std::string &Workspace) const;
  bool makeRoomFor(const std::string &Workspace);
  void take(const std::string &Node, const std::string &Workspace);
  void noteFailure(Minion &Of, Instant Now);

  const Settings &Of;
  const Members &Known;
  const Instant WarmUntil;
  mutable std::mutex Mutex;
  std::map<std::string, Minion> Minions;
  std::map<std::string, std::uint32_t> ByWorkspace;
  std::list<Waiter *> Waiters;
  std::uint64_t NextNumber = 0;
  std::minstd_rand Dice;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_MINIONPOOL_H
