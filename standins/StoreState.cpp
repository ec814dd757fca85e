#include "StoreState.h"

#include <algorithm>

namespace baobabcove::standins {

namespace {

/// Number of events kept for watches; the older half goes when it is exceeded.
constexpr std::size_t MaxEvents = 200000;

} // namespace

platform::RangeResponse
StoreState::range(const platform::RangeRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  platform::RangeResponse Reply;
  Reply.mutable_header()->set_revision(Revision);
  auto It = Pairs.lower_bound(Request.key());
  for (; It != Pairs.end(); ++It) {
    const bool Inside = Request.range_end().empty()
                            ? It->first == Request.key()
                            : It->first < Request.range_end();
    if (!Inside)
      break;
    if (Request.limit() > 0 && Reply.kvs_size() >= Request.limit()) {
      Reply.set_more(true);
      break;
    }
    *Reply.add_kvs() = It->second;
  }
  Reply.set_count(Reply.kvs_size());
  return Reply;
}

void StoreState::emit(const std::string &Type, const platform::KeyValue &Pair) {
  platform::Event Event;
  Event.set_type(Type);
  *Event.mutable_kv() = Pair;
  Event.mutable_kv()->set_mod_revision(Revision);
  Events.push_back(Event);
  if (Events.size() > MaxEvents)
    Events.erase(Events.begin(), Events.begin() + MaxEvents / 2);
  Changed.notify_all();
}

void StoreState::put(const platform::PutRequest &Request) {
  platform::KeyValue &Pair = Pairs[Request.key()];
  if (Pair.version() == 0)
    Pair.set_create_revision(Revision);
  if (Pair.lease() != 0 && Leases.count(Pair.lease()) != 0)
    Leases[Pair.lease()].Keys.erase(Request.key());
  Pair.set_key(Request.key());
  Pair.set_value(Request.value());
  Pair.set_mod_revision(Revision);
  Pair.set_version(Pair.version() + 1);
  Pair.set_lease(Request.lease());
  if (Request.lease() != 0)
    Leases[Request.lease()].Keys.insert(Request.key());
  emit("PUT", Pair);
}

void StoreState::erase(const std::string &Key) {
  const auto Found = Pairs.find(Key);
  if (Found == Pairs.end())
    return;
  platform::KeyValue Deleted;
  Deleted.set_key(Key);
  Pairs.erase(Found);
  emit("DELETE", Deleted);
}

platform::TxnResponse
StoreState::transact(const platform::TxnRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  platform::TxnResponse Reply;
  bool Succeeds = true;
  for (const auto &Each : Request.compare()) {
    const auto Found = Pairs.find(Each.key());
    const std::int64_t CurrentRevision =
        Found == Pairs.end() ? 0 : Found->second.mod_revision();
    Succeeds = Succeeds && CurrentRevision == Each.mod_revision();
  }
  for (const auto &Op : Request.success())
    if (Op.has_request_put() && Op.request_put().lease() != 0 &&
        Leases.count(Op.request_put().lease()) == 0)
      Succeeds = false;
  Reply.set_succeeded(Succeeds);
  const auto &Ops = Succeeds ? Request.success() : Request.failure();
  if (!Ops.empty())
    ++Revision;
  for (const auto &Op : Ops) {
    if (Op.has_request_put())
      put(Op.request_put());
    else if (Op.has_request_delete_range())
      erase(Op.request_delete_range().key());
  }
  Reply.mutable_header()->set_revision(Revision);
  return Reply;
}

platform::LeaseGrantResponse StoreState::grant(std::int64_t TtlS) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::int64_t Id = NextLease++;
  Leases[Id].TtlS = TtlS;
  Leases[Id].ExpiresAt = monotonicNow() + std::chrono::seconds(TtlS);
  platform::LeaseGrantResponse Reply;
  Reply.set_id(Id);
  Reply.set_ttl(TtlS);
  return Reply;
}

std::int64_t StoreState::keepAlive(std::int64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return 0;
  Found->second.ExpiresAt =
      monotonicNow() + std::chrono::seconds(Found->second.TtlS);
  return Found->second.TtlS;
}

std::int64_t StoreState::revoke(std::int64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return Revision;
  const std::set<std::string> Keys = Found->second.Keys;
  Leases.erase(Found);
  ++Revision;
  for (const std::string &Key : Keys)
    erase(Key);
  return Revision;
}

void StoreState::expireLeases() {
  std::vector<std::int64_t> Expired;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, Each] : Leases)
      if (Each.ExpiresAt < monotonicNow())
        Expired.push_back(Id);
  }
  for (const std::int64_t Id : Expired)
    revoke(Id);
}

std::vector<platform::Event> StoreState::eventsAfter(const std::string &Key,
                                                     const std::string &End,
                                                     std::int64_t &After,
                                                     Milliseconds Timeout) {
  std::unique_lock<std::mutex> Lock(Mutex);
  std::vector<platform::Event> Found;
  const auto FindEvents = [&] {
    for (auto It = Events.rbegin();
         It != Events.rend() && It->kv().mod_revision() > After; ++It)
      if (It->kv().key() >= Key && It->kv().key() < End)
        Found.push_back(*It);
    return !Found.empty();
  };
  Changed.wait_for(Lock, Timeout, FindEvents);
  After = Revision;
  std::reverse(Found.begin(), Found.end());
  return Found;
}

} // namespace baobabcove::standins
