#include "config/ConfigurationKeeper.h"

#include "base/Log.h"

namespace baobabcove {

ConfigurationKeeper::ConfigurationKeeper()
    : Parsed(std::make_shared<Configuration>()) {}

bool ConfigurationKeeper::offer(const wire::ConfigurationBundle &NewBundle) {
  if (NewBundle.version() <= version().value())
    return false;
  auto Report = readConfiguration(NewBundle);
  auto NewConfiguration =
      std::make_shared<const Configuration>(std::move(Report.Result));
  std::vector<Listener> ToNotify;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (NewBundle.version() <= Bundle.version())
      return false;
    Bundle = NewBundle;
    Parsed = NewConfiguration;
    ToNotify = Listeners;
  }
  LOG4CPLUS_INFO(logOf("config"), "Configuration version "
                                      << NewBundle.version()
                                      << " is in force.");
  for (const auto &Notify : ToNotify)
    Notify(*NewConfiguration);
  return true;
}

ConfigurationVersion ConfigurationKeeper::version() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ConfigurationVersion(Bundle.version());
}

std::shared_ptr<const Configuration> ConfigurationKeeper::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Parsed;
}

wire::ConfigurationBundle ConfigurationKeeper::bundle() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Bundle;
}

void ConfigurationKeeper::listen(Listener NewListener) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Listeners.push_back(std::move(NewListener));
}

} // namespace baobabcove
