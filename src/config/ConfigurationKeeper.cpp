#include "config/ConfigurationKeeper.h"

#include "base/Log.h"

namespace baobabcove {

ConfigurationKeeper::ConfigurationKeeper()
    : Parsed(std::make_shared<Configuration>()) {}

bool ConfigurationKeeper::offer(const wire::ConfigurationBundle &Offered) {
  if (Offered.version() <= version().value())
    return false;
  auto Report = readConfiguration(Offered);
  auto Fresh = std::make_shared<const Configuration>(std::move(Report.Result));
  std::vector<Listener> Called;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Offered.version() <= Bundle.version())
      return false;
    Bundle = Offered;
    Parsed = Fresh;
    Called = Listeners;
  }
  LOG4CPLUS_INFO(logOf("config"),
                 "Version " << Offered.version() << " is in force.");
  for (const auto &Each : Called)
    Each(*Fresh);
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

void ConfigurationKeeper::listen(Listener Added) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Listeners.push_back(std::move(Added));
}

} // namespace baobabcove
