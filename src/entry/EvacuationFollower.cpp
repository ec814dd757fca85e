#include "entry/EvacuationFollower.h"

#include "base/Log.h"
#include "base/LogFields.h"

#include <set>
#include <vector>

namespace baobabcove {

namespace {

constexpr Milliseconds WatchRetryDelay{300};

} // namespace

std::string evacuationKey(const std::string &Cell, const DataCentreName &Name) {
  return "evacuations/" + Cell + "/" + Name.str();
}

EvacuationFollower::EvacuationFollower(Store &ClusterStore,
                                       const std::string &Cell)
    : ClusterStore(ClusterStore),
      Prefix(evacuationKey(Cell, DataCentreName())) {}

EvacuationFollower::~EvacuationFollower() { stop(); }

void EvacuationFollower::start() {
  Thread = std::thread([this] { run(); });
}

void EvacuationFollower::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

std::map<DataCentreName, std::int64_t> EvacuationFollower::active() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Active;
}

wire::Heartbeat
EvacuationFollower::withEvacuations(const wire::Heartbeat &Message) const {
  wire::Heartbeat Result = Message;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Message.kind() == wire::WORKER &&
      Active.count(DataCentreName(Message.location().data_centre())))
    Result.set_draining(true);
  return Result;
}

void EvacuationFollower::run() {
  while (!Stopping) {
    if (const auto All = ClusterStore.list(Prefix)) {
      replaceAll(*All);
      Read = true;
      (void)ClusterStore.watch(
          Prefix, All->Revision,
          [this](const StoreEntry &Change) { apply(Change); }, Stopping);
    }
    if (!Stopping)
      std::this_thread::sleep_for(WatchRetryDelay);
  }
}

void EvacuationFollower::replaceAll(const StoreSnapshot &All) {
  std::set<DataCentreName> Listed;
  for (const StoreEntry &Entry : All.Entries)
    Listed.insert(DataCentreName(Entry.Key.substr(Prefix.size())));
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<DataCentreName> Gone;
  for (const auto &[Name, Revision] : Active)
    if (!Listed.count(Name))
      Gone.push_back(Name);
  for (const DataCentreName &Name : Gone)
    restore(Name);
  for (const StoreEntry &Entry : All.Entries)
    evacuate(DataCentreName(Entry.Key.substr(Prefix.size())), Entry.Revision);
}

void EvacuationFollower::apply(const StoreEntry &Change) {
  if (Change.Key.rfind(Prefix, 0) != 0)
    return;
  const DataCentreName Name(Change.Key.substr(Prefix.size()));
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Change.Revision == 0)
    restore(Name);
  else
    evacuate(Name, Change.Revision);
}

void EvacuationFollower::evacuate(const DataCentreName &Name,
                                  std::int64_t Revision) {
  if (Active.emplace(Name, Revision).second)
    LOG4CPLUS_WARN(logOf("config"), LogFields("data centre evacuated")
                                        .add("data_centre", Name)
                                        .add("revision", Revision));
}

void EvacuationFollower::restore(const DataCentreName &Name) {
  if (Active.erase(Name))
    LOG4CPLUS_WARN(logOf("config"),
                   LogFields("data centre restored").add("data_centre", Name));
}

} // namespace baobabcove
