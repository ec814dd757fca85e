#ifndef BAOBABCOVE_COORDINATOR_COORDINATORELECTION_H
#define BAOBABCOVE_COORDINATOR_COORDINATORELECTION_H

#include "baobabcove/Clock.h"
#include "baobabcove/Ids.h"
#include "config/Settings.h"
#include "store/Store.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace baobabcove {

/// Elects the coordinator of a cell by a key in the store that is bound to a
/// lease. The store's revision of that key is the epoch, so that the epoch
/// rises each time another process acquires the role.
///
/// While the store is unavailable the holder keeps the role: no other process
/// can acquire it, and if one has done so unnoticed, agents refuse the older
/// epoch.
class CoordinatorElection {
public:
  /// Called when this process acquires the role, with its epoch, and when it
  /// loses the role, with epoch zero.
  using Listener = std::function<void(Epoch)>;

  CoordinatorElection(const Settings &Opts, std::uint64_t Incarnation,
                      Store &ClusterStore, Listener OnRoleChange);
  ~CoordinatorElection();

  /// Starts competing for the role. \p RpcAddress is stored with the key for
  /// other processes.
  void start(const std::string &RpcAddress);

  /// Stops competing and releases the role if held. For a planned shutdown.
  void resign();

  /// Returns the epoch of the held role, or zero when it is not held.
  Epoch heldEpoch() const { return Epoch(HeldEpoch); }
  /// Returns when the store last confirmed the role.
  Instant confirmedAt() const { return ConfirmedAt; }
  /// Returns the highest epoch seen in the store.
  Epoch highestSeenEpoch() const { return Epoch(HighestEpoch); }

private:
  void run();
  void tryAcquire();
  void renew();
  void onLost();
  void onAcquired(std::uint64_t Revision);

  const Settings &Opts;
  const std::uint64_t Incarnation;
  Store &ClusterStore;
  const Listener OnRoleChange;
  const std::string Key;
  std::string RpcAddress;
  std::int64_t LeaseId = 0;
  std::atomic<std::uint64_t> HeldEpoch{0};
  std::atomic<std::uint64_t> HighestEpoch{0};
  std::atomic<Instant> ConfirmedAt{Instant()};
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_COORDINATORELECTION_H
