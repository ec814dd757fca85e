#include "tasks/intake/ConfigFollower.h"

#include "base/Log.h"
#include "base/LogFields.h"

namespace baobabcove {

namespace {

/// API keys are accepted only while the age of the configuration is below the
/// revocation bound (5 s on the production sites). Watches of one second
/// confirm it several times within that bound.
constexpr Milliseconds WatchWait{1000};

} // namespace

ConfigFollower::ConfigFollower(TransactionalStore &Kv, std::string Prefix,
                               std::string Key, ConfigReader Read)
    : Key(std::move(Key)), Read(std::move(Read)),
      Follower(Kv, std::move(Prefix), WatchWait,
               {[this](const StoreChanges &All) { apply(All); },
                [this](const StoreChanges &News) { apply(News); }}) {}

std::shared_ptr<const QueueConfig> ConfigFollower::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Newest;
}

Milliseconds ConfigFollower::age() const {
  return BootClock::now() - Follower.confirmedAt();
}

bool ConfigFollower::isCurrent(BootInstant Now) const {
  return current() && Follower.isCurrent(Now);
}

void ConfigFollower::apply(const StoreChanges &Changes) {
  for (const StoreItem &Item : Changes.Items) {
    if (Item.Key != Key || Item.Revision == 0)
      continue;
    auto Config = Read(Item.Value);
    if (!Config) {
      LOG4CPLUS_ERROR(logOf("config"), LogFields("configuration refused")
                                           .add("revision", Item.Revision)
                                           .add("why", Config.error().Detail));
      continue;
    }
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Newest && Config->Version <= Newest->Version)
      continue;
    LOG4CPLUS_INFO(logOf("config"),
                   LogFields("configuration in force")
                       .add("version", Config->Version)
                       .add("before", Newest ? Newest->Version : 0)
                       .add("queues", Config->Queues.size())
                       .add("keys", Config->Keys.size()));
    Newest = std::make_shared<QueueConfig>(std::move(*Config));
    const std::shared_ptr<const QueueConfig> InForce = Newest;
    Lock.unlock();
    if (Changed)
      Changed(*InForce);
  }
}

} // namespace baobabcove
