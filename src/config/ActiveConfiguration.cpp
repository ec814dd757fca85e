#include "config/ActiveConfiguration.h"

#include "base/Log.h"

namespace baobabcove {

ActiveConfiguration::ActiveConfiguration()
    : Parsed(std::make_shared<Configuration>()) {}

bool ActiveConfiguration::installIfNewer(
    const wire::ConfigurationBundle &NewBundle) {
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

ConfigurationVersion ActiveConfiguration::version() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ConfigurationVersion(Bundle.version());
}

std::shared_ptr<const Configuration> ActiveConfiguration::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Parsed;
}

wire::ConfigurationBundle ActiveConfiguration::bundle() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Bundle;
}

void ActiveConfiguration::addListener(Listener NewListener) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Listeners.push_back(std::move(NewListener));
}

} // namespace baobabcove
