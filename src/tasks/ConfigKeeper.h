/// \file
/// The newest configuration, and how sure this process is that it is.

#ifndef BAOBABCOVE_TASKS_CONFIGKEEPER_H
#define BAOBABCOVE_TASKS_CONFIGKEEPER_H

#include "baobabcove/Clock.h"
#include "tasks/QueueConfig.h"
#include "tasks/StoreFollower.h"

#include <functional>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Reads a configuration as the operators wrote it.
using ConfigReader = std::function<Expected<QueueConfig>(const std::string &)>;

/// Follows the operators' configuration. A version never goes back. Thread-
/// safe.
class ConfigKeeper {
public:
  /// The configuration stands under \p Key, which starts with \p Prefix.
  ConfigKeeper(TransactionalStore &Kv, std::string Prefix, std::string Key,
               ConfigReader Read);

  void start() { Follower.start(); }
  void stop() { Follower.stop(); }

  /// Null before the first configuration.
  std::shared_ptr<const QueueConfig> current() const;

  /// How long ago it was certain that no newer version existed.
  Milliseconds age() const;

private:
  void take(const StoreChanges &Changes);

  const std::string Key;
  const ConfigReader Read;
  mutable std::mutex Mutex;
  std::shared_ptr<const QueueConfig> Newest;
  StoreFollower Follower;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_CONFIGKEEPER_H
