#include "Store.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <Poco/Base64Encoder.h>

namespace baobabcove::review {

namespace {

constexpr std::size_t Threads = 256;
constexpr std::size_t PageItems = 500;
constexpr Milliseconds ExpiryPeriod{20};
/// The time that an answer of the users' store takes.
constexpr Milliseconds AnswerTime{4};
constexpr int NotFound = 404;
constexpr int ConditionFailed = 412;

std::string encode(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

std::int64_t numberOf(const std::string &Text) {
  return std::strtoll(Text.c_str(), nullptr, 10);
}

HttpResponse empty(int Status = 200) {
  return respond(new Poco::JSON::Object, Status);
}

Array arrayOf(const Object &From, const std::string &Name) {
  return From->isArray(Name) ? From->getArray(Name)
                             : Array(new Poco::JSON::Array);
}

} // namespace

Store::Store(Record &Events) : Events(Events) {}

Store::~Store() {
  Stopping = true;
  Changed.notify_all();
  if (Expiry.joinable())
    Expiry.join();
  Server.reset();
}

bool Store::listen(const std::string &At) {
  HttpLimits Limits;
  Limits.Threads = Threads;
  Limits.BodyBytes = 4 << 20;
  auto Served = serveHttp(At, Limits, [this](const HttpRequest &Request) {
    return answer(Request);
  });
  if (!Served)
    return false;
  Server = std::move(*Served);
  Address = Server->address();
  Expiry = std::thread([this] {
    while (!Stopping) {
      std::this_thread::sleep_for(ExpiryPeriod);
      const std::lock_guard<std::mutex> Lock(Mutex);
      expireLeases();
    }
  });
  return true;
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Revision;
  write(Key, encode(Value), 0);
  Events.note("operator: wrote " + Key + " at revision " +
              std::to_string(Revision) + " (acknowledged): " + Value);
  Changed.notify_all();
}

Object Store::row(const std::string &Key, const Item &From) {
  Object Row = new Poco::JSON::Object;
  Row->set("key", Key);
  Row->set("value", From.Value);
  Row->set("revision", From.Revision);
  Row->set("created", From.Created);
  Row->set("lease", From.Lease);
  return Row;
}

void Store::write(const std::string &Key, const std::string &Encoded,
                  std::int64_t LeaseId) {
  Item &Written = Items[Key];
  if (Written.Created == 0)
    Written.Created = Revision;
  Written.Value = Encoded;
  Written.Revision = Revision;
  Written.Lease = LeaseId;
  History.push_back({Revision, Key, false, Written});
}

void Store::remove(const std::string &Key) {
  if (Items.erase(Key) > 0)
    History.push_back({Revision, Key, true, {}});
}

void Store::endLease(std::int64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Bound;
  for (const auto &[Key, Each] : Items)
    if (Each.Lease == Id)
      Bound.push_back(Key);
  if (Bound.empty())
    return;
  ++Revision;
  for (const std::string &Key : Bound) {
    Events.note("store: lease ended of " + Key);
    remove(Key);
  }
  Changed.notify_all();
}

void Store::expireLeases() {
  const Instant Now = monotonicNow();
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Each] : Leases)
    if (Each.Until < Now)
      Expired.push_back(Id);
  for (const std::int64_t Id : Expired)
    endLease(Id);
}

std::int64_t Store::revisionOf(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() ? 0 : Found->second.Revision;
}

HttpResponse Store::answer(const HttpRequest &Request) {
  std::this_thread::sleep_for(AnswerTime);
  const std::string &Path = Request.Path;
  const std::int64_t Id = numberOf(Path.substr(Path.rfind('/') + 1));
  if (Path == "/-/kv-key")
    return readKey(Request.query("key"));
  if (Path == "/-/kv-range")
    return list(Request.query("prefix"), Request.query("after"));
  if (Path == "/-/kv-watch")
    return watch(Request.query("prefix"), numberOf(Request.query("after")),
                 Milliseconds(numberOf(Request.query("wait_ms"))));
  if (Path == "/-/kv-txn")
    return commit(parse(Request.Body));
  if (Path == "/-/kv-lease")
    return grant(parse(Request.Body));
  if (Path.rfind("/-/kv-keep/", 0) == 0)
    return keep(Id);
  if (Path.rfind("/-/kv-lease-end/", 0) == 0)
    return end(Id);
  return empty(NotFound);
}

HttpResponse Store::readKey(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Items.find(Key);
  return Found == Items.end() ? empty(NotFound)
                              : respond(row(Key, Found->second));
}

HttpResponse Store::list(const std::string &Prefix, const std::string &After) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Array Rows = new Poco::JSON::Array;
  bool More = false;
  for (const auto &[Key, Each] : Items) {
    if (Key.rfind(Prefix, 0) != 0 || Key <= After)
      continue;
    More = Rows->size() == PageItems;
    if (More)
      break;
    Rows->add(row(Key, Each));
  }
  Object Body = new Poco::JSON::Object;
  Body->set("items", Rows);
  Body->set("current_rev", Revision);
  Body->set("more_pages", More);
  return respond(Body);
}

HttpResponse Store::watch(const std::string &Prefix, std::int64_t After,
                          Milliseconds Wait) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Array Rows = new Poco::JSON::Array;
  const auto Collect = [&] {
    for (const Event &Each : History)
      if (Each.Revision > After && Each.Key.rfind(Prefix, 0) == 0) {
        Object Row = row(Each.Key, Each.Written);
        if (Each.Deleted) {
          Row = new Poco::JSON::Object;
          Row->set("key", Each.Key);
          Row->set("revision", Each.Revision);
          Row->set("deleted", true);
        }
        Rows->add(Row);
      }
    return Stopping || Rows->size() > 0;
  };
  Changed.wait_for(Lock, Wait, Collect);
  Object Body = new Poco::JSON::Object;
  Body->set("events", Rows);
  Body->set("current_rev", Revision);
  return respond(Body);
}

HttpResponse Store::commit(const Object &Change) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  expireLeases();
  Object Body = new Poco::JSON::Object;
  Array Current = new Poco::JSON::Array;
  bool Holds = true;
  const Array Conditions = arrayOf(Change, "expected_revision");
  for (unsigned I = 0; I < Conditions->size(); ++I) {
    const Object Row = Conditions->getObject(I);
    const auto Key = Row->getValue<std::string>("key");
    Holds = Holds && revisionOf(Key) == Row->getValue<std::int64_t>("revision");
    if (const auto Found = Items.find(Key); Found != Items.end())
      Current->add(row(Key, Found->second));
  }
  if (!Holds) {
    Body->set("items", Current);
    return respond(Body, ConditionFailed);
  }
  const Array Writes = arrayOf(Change, "set_keys");
  for (unsigned I = 0; I < Writes->size(); ++I)
    if (const auto Id =
            Writes->getObject(I)->optValue<std::int64_t>("lease", 0);
        Id && !Leases.count(Id))
      return empty(NotFound);
  ++Revision;
  for (unsigned I = 0; I < Writes->size(); ++I) {
    const Object Row = Writes->getObject(I);
    const auto Key = Row->getValue<std::string>("key");
    write(Key, Row->getValue<std::string>("value"),
          Row->optValue<std::int64_t>("lease", 0));
    if (Key == "baobabcove/coordinator")
      Events.note("store: role key written at revision " +
                  std::to_string(Revision));
  }
  const Array Removals = arrayOf(Change, "remove");
  for (unsigned I = 0; I < Removals->size(); ++I)
    remove(Removals->getElement<std::string>(I));
  Changed.notify_all();
  Body->set("revision", Revision);
  return respond(Body);
}

HttpResponse Store::grant(const Object &Asked) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Milliseconds Ttl(
      std::max<std::int64_t>(1000, Asked->optValue<std::int64_t>("ttl_ms", 0)));
  Leases[NextLease] = {Ttl, monotonicNow() + Ttl};
  Object Body = new Poco::JSON::Object;
  Body->set("lease", NextLease++);
  Body->set("ttl_ms", Ttl.count());
  return respond(Body);
}

HttpResponse Store::keep(std::int64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  expireLeases();
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return empty(NotFound);
  Found->second.Until = monotonicNow() + Found->second.Ttl;
  return empty();
}

HttpResponse Store::end(std::int64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Leases.count(Id))
    return empty(NotFound);
  endLease(Id);
  return empty();
}

} // namespace baobabcove::review
