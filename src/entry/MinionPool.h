#ifndef BAOBABCOVE_ENTRY_MINIONPOOL_H
#define BAOBABCOVE_ENTRY_MINIONPOOL_H

#include "baobabcove/Clock.h"
#include "baobabcove/ResultCode.h"
#include "config/Settings.h"
#include "membership/MemberTable.h"

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace baobabcove {

/// The requirements of a request on a minion.
struct SlotRequest {
  std::string Service;
  std::string Workspace;
  /// Minions that have already been tried.
  std::set<std::string> Excluded;
  Instant Deadline;
};

/// Result of a delivery as a signal of the minion's health.
enum class DeliveryResult { Succeeded, Refused, Failed };

/// Load balancer over the live minions of each service. Chooses a minion by
/// distance, free slots and recent latency, and never sends a minion more
/// requests than it has slots. When all slots are in use, requests wait; the
/// workspace with the fewest requests in flight is served first. When the queue
/// is also full, a request of the workspace with the most requests is refused.
/// Thread-safe.
class MinionPool {
public:
  MinionPool(const Settings &Options, const MemberTable &Membership);

  /// Waits for a slot and takes it. Fails with NoMinion, Overloaded or
  /// DeadlineBeforeStart, in which case nothing was sent. During warm-up it
  /// waits for heartbeats of minions before it fails with NoMinion.
  Expected<MemberRecord> acquire(const SlotRequest &Request);

  /// Takes a slot of the given minion without waiting, even if none is free.
  void occupySlot(const std::string &Node, const std::string &Workspace);

  /// Releases a slot. \p ReportedInFlight is the number of requests in flight
  /// that the agent reported, or negative if it reported none.
  void release(const std::string &Node, const std::string &Workspace,
               DeliveryResult Result, Milliseconds Latency,
               int ReportedInFlight);

  /// Updates the load of the minions from their heartbeats and serves waiting
  /// requests. Call it when the members have changed.
  void membersChanged();

  std::size_t waiting() const;
  std::uint32_t inFlight(const std::string &Workspace) const;

private:
  struct Minion {
    /// Requests in flight from this entry.
    std::uint32_t InFlightHere = 0;
    /// Requests in flight from other entries, as last reported by the agent.
    std::uint32_t InFlightElsewhere = 0;
    /// Exponentially weighted moving average.
    double LatencyMs = 0;
    std::uint32_t FailuresInRow = 0;
    Instant EjectedUntil;
    Milliseconds EjectedFor{0};
  };

  struct Waiter {
    const SlotRequest *Request = nullptr;
    std::uint64_t Number = 0;
    bool Granted = false;
    bool Refused = false;
    MemberRecord Member;
    std::condition_variable Ready;
  };

  enum class Pick { Found, AllBusy, None };
  Pick pick(const SlotRequest &Request, MemberRecord &Chosen);
  double score(const MemberRecord &Candidate, double MedianLatency) const;
  int distance(const MemberRecord &Candidate) const;
  bool ejected(const std::string &Node, Instant Now) const;
  std::uint32_t slotsInUse(const std::string &Node) const;
  void grantWaiters();
  std::size_t queueLimit(const std::string &Service, Instant Now) const;
  std::size_t slotsOf(const std::string &Service) const;
  std::size_t requestCount(const std::string &Workspace) const;
  bool evictWaiterFor(const std::string &Workspace);
  void reserveSlot(const std::string &Node, const std::string &Workspace);
  void noteFailure(Minion &Failed, Instant Now);

  const Settings &Options;
  const MemberTable &Membership;
  const Instant WarmUpEnd;
  mutable std::mutex Mutex;
  std::map<std::string, Minion> Minions;
  std::map<std::string, std::uint32_t> ByWorkspace;
  std::list<Waiter *> Waiters;
  std::uint64_t NextNumber = 0;
  std::minstd_rand Rng;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_MINIONPOOL_H
