#ifndef BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H
#define BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H

#include "baobabcove/Clock.h"
#include "tasks/OperatorSnapshot.h"
#include "tasks/intake/StoreFollower.h"

#include <functional>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Parses the text of a configuration.
using ConfigReader = std::function<Expected<QueueConfig>(const std::string &)>;

/// Keeps the newest configuration and the evacuations from the store and tracks
/// when they were last confirmed. Never returns to an older version of the
/// configuration. Thread-safe.
class ConfigFollower {
public:
  /// Watches \p Prefix and reads the configuration from \p Key, which must
  /// start with \p Prefix. A key that consists of \p EvacuationPrefix and the
  /// name of a data centre exists while that is evacuated; an empty prefix
  /// stands for none.
  ConfigFollower(TransactionalStore &Kv, std::string Prefix, std::string Key,
                 ConfigReader Read, std::string EvacuationPrefix = "");

  /// Calls \p Listener with each configuration that comes into force, one
  /// after the other. Must be called before start().
  void onChange(std::function<void(const QueueConfig &)> Listener) {
    Changed = std::move(Listener);
  }

  void start() { Follower.start(); }
  void stop() { Follower.stop(); }

  /// Returns null before the first configuration.
  std::shared_ptr<const QueueConfig> current() const;

  /// Returns the configuration and the evacuations of one reading.
  OperatorSnapshot snapshot() const;

  /// Returns the time since it was last confirmed that no newer version exists.
  Milliseconds age() const;

  /// Whether a configuration is in force and the store confirms it. An entry
  /// that returns false here should get no new clients.
  bool isCurrent(BootInstant Now) const;

private:
  /// Applies a listing of all keys.
  /// Calls the listener if another configuration has come into force. Used by
  /// the follower's thread only.
  void notifyListener();
  void replaceAll(const StoreChanges &All);
  void apply(const StoreChanges &Changes);
  // The mutex must be locked.
  void applyConfig(const StoreItem &Item);
  void evacuate(const DataCentreName &Centre, std::int64_t Revision);
  void restore(const DataCentreName &Centre, std::int64_t Revision);
  /// Returns the data centre that the key evacuates; empty for another key.
  DataCentreName evacuatedBy(const std::string &EvacuationKey) const;

  const std::string Key;
  const ConfigReader Read;
  const std::string EvacuationPrefix;
  std::function<void(const QueueConfig &)> Changed;
  /// The configuration that the listener was called with last.
  std::shared_ptr<const QueueConfig> Notified;
  mutable std::mutex Mutex;
  std::shared_ptr<const QueueConfig> Newest;
  Evacuations Evacuated;
  StoreFollower Follower;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H
