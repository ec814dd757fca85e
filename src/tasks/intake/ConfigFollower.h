#ifndef BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H
#define BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H

#include "baobabcove/Clock.h"
#include "tasks/QueueConfig.h"
#include "tasks/intake/StoreFollower.h"

#include <functional>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Parses the text of a configuration.
using ConfigReader = std::function<Expected<QueueConfig>(const std::string &)>;

/// Keeps the newest configuration from the store and tracks when it was last
/// confirmed. Never returns to an older version. Thread-safe.
class ConfigFollower {
public:
  /// Watches \p Prefix and reads the configuration from \p Key, which must
  /// start with \p Prefix.
  ConfigFollower(TransactionalStore &Kv, std::string Prefix, std::string Key,
                 ConfigReader Read);

  /// Calls \p Listener with each configuration that comes into force, one
  /// after the other. Must be called before start().
  void onChange(std::function<void(const QueueConfig &)> Listener) {
    Changed = std::move(Listener);
  }

  void start() { Follower.start(); }
  void stop() { Follower.stop(); }

  /// Returns null before the first configuration.
  std::shared_ptr<const QueueConfig> current() const;

  /// Returns the time since it was last confirmed that no newer version exists.
  Milliseconds age() const;

  /// Whether a configuration is in force and the store confirms it. An entry
  /// that returns false here should get no new clients.
  bool isCurrent(BootInstant Now) const;

private:
  void apply(const StoreChanges &Changes);

  const std::string Key;
  const ConfigReader Read;
  std::function<void(const QueueConfig &)> Changed;
  mutable std::mutex Mutex;
  std::shared_ptr<const QueueConfig> Newest;
  StoreFollower Follower;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_INTAKE_CONFIGFOLLOWER_H
