#ifndef BAOBABCOVE_ENTRY_EVACUATIONFOLLOWER_H
#define BAOBABCOVE_ENTRY_EVACUATIONFOLLOWER_H

#include "baobabcove/Ids.h"
#include "store/Store.h"
#include "wire.pb.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace baobabcove {

/// Returns the store key that exists while a data centre of \p Cell is
/// evacuated; the prefix of all such keys for an empty name.
std::string evacuationKey(const std::string &Cell, const DataCentreName &Name);

/// Keeps the evacuated data centres of a cell from the store, in a thread of
/// its own. Thread-safe.
class EvacuationFollower {
public:
  /// \p ClusterStore is used for the watch alone.
  EvacuationFollower(Store &ClusterStore, const std::string &Cell);
  ~EvacuationFollower();

  void start();
  void stop();

  /// Whether the evacuations have been read at least once.
  bool isRead() const { return Read; }
  /// Returns the evacuated data centres with the store revisions of their keys.
  std::map<DataCentreName, std::int64_t> active() const;

  /// Returns the heartbeat as it counts for scheduling: a worker in an
  /// evacuated data centre is draining.
  wire::Heartbeat withEvacuations(const wire::Heartbeat &Message) const;

private:
  void run();
  void replaceAll(const StoreSnapshot &All);
  void apply(const StoreEntry &Change);
  // The mutex must be locked.
  void evacuate(const DataCentreName &Name, std::int64_t Revision);
  void restore(const DataCentreName &Name);

  Store &ClusterStore;
  const std::string Prefix;
  mutable std::mutex Mutex;
  std::map<DataCentreName, std::int64_t> Active;
  std::atomic<bool> Read{false};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_EVACUATIONFOLLOWER_H
