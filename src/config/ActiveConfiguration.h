#ifndef BAOBABCOVE_CONFIG_ACTIVECONFIGURATION_H
#define BAOBABCOVE_CONFIG_ACTIVECONFIGURATION_H

#include "config/Configuration.h"

#include <functional>
#include <memory>
#include <mutex>

namespace baobabcove {

/// Holds the configuration that is in force in this process. Ignores older
/// versions, so that a process never goes back to one. Thread-safe.
class ActiveConfiguration {
public:
  using Listener = std::function<void(const Configuration &)>;

  ActiveConfiguration();

  /// Puts \p Bundle into force if its version is higher than the current one,
  /// and notifies the listeners from the calling thread. Returns whether it was
  /// put into force.
  bool installIfNewer(const wire::ConfigurationBundle &Bundle);

  ConfigurationVersion version() const;
  std::shared_ptr<const Configuration> current() const;
  wire::ConfigurationBundle bundle() const;

  /// Registers \p Listener to be called with each later version.
  void addListener(Listener Listener);

private:
  mutable std::mutex Mutex;
  wire::ConfigurationBundle Bundle;
  std::shared_ptr<const Configuration> Parsed;
  std::vector<Listener> Listeners;
};

} // namespace baobabcove

#endif // BAOBABCOVE_CONFIG_ACTIVECONFIGURATION_H
