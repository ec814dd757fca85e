#include "tasks/intake/ConfigFollower.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <set>
#include <vector>

namespace baobabcove {

namespace {

/// API keys are accepted only while the age of the configuration is below the
/// revocation bound (5 s on the production sites). Watches of one second
/// confirm it several times within that bound.
constexpr Milliseconds WatchWait{1000};

} // namespace

ConfigFollower::ConfigFollower(TransactionalStore &Kv, std::string Prefix,
                               std::string Key, ConfigReader Read,
                               std::string EvacuationPrefix)
    : Key(std::move(Key)), Read(std::move(Read)),
      EvacuationPrefix(std::move(EvacuationPrefix)),
      Follower(Kv, std::move(Prefix), WatchWait,
               {[this](const StoreChanges &All) {
                  replaceAll(All);
                  notifyListener();
                },
                [this](const StoreChanges &News) {
                  apply(News);
                  notifyListener();
                }}) {}

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

OperatorSnapshot ConfigFollower::snapshot() const {
  // Read first: the changes stored before this time have been applied.
  const BootInstant ConfirmedAt = Follower.confirmedAt();
  const std::lock_guard<std::mutex> Lock(Mutex);
  OperatorSnapshot Snapshot(Newest, Evacuated);
  Snapshot.Evacuated.ConfirmedAt = ConfirmedAt;
  return Snapshot;
}

void ConfigFollower::notifyListener() {
  const std::shared_ptr<const QueueConfig> InForce = current();
  if (!Changed || !InForce || InForce == Notified)
    return;
  Notified = InForce;
  Changed(*InForce);
}

DataCentreName
ConfigFollower::evacuatedBy(const std::string &EvacuationKey) const {
  if (EvacuationPrefix.empty() || EvacuationKey.rfind(EvacuationPrefix, 0) != 0)
    return DataCentreName();
  return DataCentreName(EvacuationKey.substr(EvacuationPrefix.size()));
}

void ConfigFollower::replaceAll(const StoreChanges &All) {
  std::set<DataCentreName> Listed;
  for (const StoreItem &Item : All.Items)
    Listed.insert(evacuatedBy(Item.Key));
  const std::lock_guard<std::mutex> Lock(Mutex);
  // The removal of a key that is not listed may have been compacted.
  std::vector<DataCentreName> Gone;
  for (const auto &[Centre, Order] : Evacuated.Active)
    if (!Listed.count(Centre))
      Gone.push_back(Centre);
  for (const DataCentreName &Centre : Gone)
    restore(Centre, All.Revision);
  // Evacuations first: they hold before anything is placed by a configuration.
  for (const StoreItem &Item : All.Items)
    if (const DataCentreName Centre = evacuatedBy(Item.Key);
        !Centre.str().empty())
      evacuate(Centre, Item.Revision);
  for (const StoreItem &Item : All.Items)
    applyConfig(Item);
}

void ConfigFollower::apply(const StoreChanges &Changes) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const StoreItem &Item : Changes.Items) {
    const DataCentreName Centre = evacuatedBy(Item.Key);
    if (Centre.str().empty())
      applyConfig(Item);
    else if (Item.Revision == 0)
      restore(Centre, Changes.Revision);
    else
      evacuate(Centre, Item.Revision);
  }
}

void ConfigFollower::evacuate(const DataCentreName &Centre,
                              std::int64_t Revision) {
  const BootInstant Now = BootClock::now();
  const auto [Order, Added] =
      Evacuated.Active.try_emplace(Centre, Evacuation{Revision, Now});
  Order->second.Revision = Revision;
  Evacuated.RestoredAt.erase(Centre);
  if (!Added)
    return;
  const BootInstant ConfirmedAt = Follower.confirmedAt();
  const Milliseconds Age =
      ConfirmedAt == BootInstant{} ? Milliseconds(0) : Now - ConfirmedAt;
  // The order is at most as old as the previous confirmation.
  LOG4CPLUS_WARN(logOf("config"), LogFields("data centre evacuated")
                                      .add("data_centre", Centre)
                                      .add("revision", Revision)
                                      .add("age_ms", Age.count()));
}

void ConfigFollower::restore(const DataCentreName &Centre,
                             std::int64_t Revision) {
  const auto Order = Evacuated.Active.find(Centre);
  if (Order == Evacuated.Active.end())
    return;
  const BootInstant Now = BootClock::now();
  LOG4CPLUS_WARN(logOf("config"),
                 LogFields("data centre restored")
                     .add("data_centre", Centre)
                     .add("revision", Revision)
                     .add("age_ms", (Now - Order->second.KnownSince).count()));
  Evacuated.Active.erase(Order);
  Evacuated.RestoredAt[Centre] = Now;
}

void ConfigFollower::applyConfig(const StoreItem &Item) {
  if (Item.Key != Key || Item.Revision == 0)
    return;
  auto Config = Read(Item.Value);
  if (!Config) {
    LOG4CPLUS_ERROR(logOf("config"), LogFields("configuration refused")
                                         .add("revision", Item.Revision)
                                         .add("why", Config.error().Detail));
    return;
  }
  if (Newest && Config->Version <= Newest->Version)
    return;
  LOG4CPLUS_INFO(logOf("config"),
                 LogFields("configuration in force")
                     .add("version", Config->Version)
                     .add("before", Newest ? Newest->Version : 0)
                     .add("queues", Config->Queues.size())
                     .add("keys", Config->Keys.size()));
  Newest = std::make_shared<QueueConfig>(std::move(*Config));
}

} // namespace baobabcove
