/// \file
/// Takes and keeps the role of a cell's coordinator.

#ifndef BAOBABCOVE_COORDINATOR_ROLEKEEPER_H
#define BAOBABCOVE_COORDINATOR_ROLEKEEPER_H

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

/// Holds the role by a key in the store that is bound to a lease. The store's
/// revision of that key is the epoch: it rises with every change of hands.
///
/// While the store is down the holder goes on: nobody else can take the role,
/// and if it has been taken unseen, agents refuse the older epoch.
class RoleKeeper {
public:
  /// Hears that the role was taken (with its epoch) or lost (epoch zero).
  using Listener = std::function<void(Epoch)>;

  RoleKeeper(const Settings &Of, std::uint64_t Incarnation, Store &Platform,
             Listener Changed);
  ~RoleKeeper();

  /// Begins to seek the role. \p RpcAddress is told to others.
  void start(const std::string &RpcAddress);

  /// Gives the role up, for a planned stop.
  void resign();

  /// The epoch held, or zero.
  Epoch held() const { return Epoch(Held); }
  /// When the store last confirmed the role.
  Instant confirmedAt() const { return Confirmed; }
  /// The highest epoch seen in the store.
  Epoch highest() const { return Epoch(Highest); }

private:
  void run();
  void seek();
  void keep();
  void lose();
  void gain(std::uint64_t Revision);

  const Settings &Of;
  const std::uint64_t Incarnation;
  Store &Platform;
  const Listener Changed;
  const std::string Key;
  std::string RpcAddress;
  std::int64_t Lease = 0;
  std::atomic<std::uint64_t> Held{0};
  std::atomic<std::uint64_t> Highest{0};
  std::atomic<Instant> Confirmed{Instant()};
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_COORDINATOR_ROLEKEEPER_H
