/// \file
/// The newest configuration that this process has seen.

#ifndef BAOBABCOVE_CONFIG_CONFIGURATIONKEEPER_H
#define BAOBABCOVE_CONFIG_CONFIGURATIONKEEPER_H

#include "config/Configuration.h"

#include <functional>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Holds the bundle in force and refuses older ones, so that no process goes
/// back to an earlier version. Thread-safe.
class ConfigurationKeeper {
public:
  using Listener = std::function<void(const Configuration &)>;

  ConfigurationKeeper();

  /// Takes \p Bundle into force if it is newer than the one held. Returns
  /// whether it was taken.
  bool offer(const wire::ConfigurationBundle &Bundle);

  ConfigurationVersion version() const;
  std::shared_ptr<const Configuration> current() const;
  wire::ConfigurationBundle bundle() const;

  /// Calls \p Listener for each version taken from now on.
  void listen(Listener Listener);

private:
  mutable std::mutex Mutex;
  wire::ConfigurationBundle Bundle;
  std::shared_ptr<const Configuration> Parsed;
  std::vector<Listener> Listeners;
};

} // namespace baobabcove

#endif // BAOBABCOVE_CONFIG_CONFIGURATIONKEEPER_H
