#include "tasks/QueueConfig.h"

namespace baobabcove {

const QueueRule *findQueue(const QueueConfig &Config, const std::string &Host,
                           const std::string &Path) {
  const QueueRule *Longest = nullptr;
  for (const QueueRule &Queue : Config.Queues)
    if (Queue.Host == Host && Path.rfind(Queue.Prefix, 0) == 0 &&
        (!Longest || Queue.Prefix.size() > Longest->Prefix.size()))
      Longest = &Queue;
  return Longest;
}

std::set<ServiceName> serviceNames(const QueueConfig &Config) {
  std::set<ServiceName> Names;
  for (const auto &[Name, Rule] : Config.Services)
    Names.insert(Name);
  for (const QueueRule &Queue : Config.Queues)
    Names.insert(Queue.Service);
  return Names;
}

} // namespace baobabcove
