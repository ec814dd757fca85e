#include "KvServer.h"

#include "Unanswered.h"

#include "baobabcove/Clock.h"

#include <algorithm>
#include <sstream>
#include <thread>

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace baobabcove::testing {

namespace {

constexpr Milliseconds WatchPoll{20};
constexpr std::size_t DoorThreads = 8;
/// Longer than the callers' timeouts of short calls.
constexpr Milliseconds Silence{1500};
/// Most time after which a late write is carried out.
constexpr int MaxLateMs = 4000;
constexpr int ConditionFailed = 412;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

std::string encode(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

HttpResponse jsonResponse(const Poco::JSON::Object &Body, int Status = 200) {
  std::ostringstream Out;
  Body.stringify(Out);
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Out.str();
  return Response;
}

std::int64_t numberOf(const std::string &Text) {
  return std::strtoll(Text.c_str(), nullptr, 10);
}

} // namespace

KvServer::KvServer() : LateThread([this] { carryOutLateWrites(); }) {
  (void)openDoor();
}

KvServer::~KvServer() {
  Stopping = true;
  LateThread.join();
}

std::string KvServer::openDoor() {
  Door &Opened = *Doors.emplace_back(std::make_unique<Door>());
  HttpLimits Limits;
  Limits.Threads = DoorThreads;
  auto Served = serveHttp("127.0.0.1:0", Limits,
                          [this, &Opened](const HttpRequest &Request) {
                            return answerAt(Opened, Request);
                          });
  Opened.Server = std::move(*Served);
  return Opened.Server->address();
}

void KvServer::setFault(std::size_t Door, Fault Next) {
  Doors[Door]->Seen = Next;
  Doors[Door]->DisturbedAt = monotonicNow();
}

void KvServer::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Revision;
  write(Key, encode(Value), false);
}

std::size_t KvServer::count(const std::string &Prefix) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::size_t Count = 0;
  for (const auto &[Key, Each] : Items)
    Count += !Each.IsDeleted && Key.rfind(Prefix, 0) == 0 ? 1 : 0;
  return Count;
}

void KvServer::write(const std::string &Key, const std::string &Encoded,
                     bool Deleted, std::int64_t Lease) {
  Item &Written = Items[Key];
  if (Written.Created == 0 || Written.IsDeleted)
    Written.Created = Revision;
  Written.Value = Encoded;
  Written.Revision = Revision;
  Written.IsDeleted = Deleted;
  Written.Lease = Lease;
}

KvServer::Object KvServer::row(const std::string &Key, const Item &From) const {
  Object Row = new Poco::JSON::Object;
  Row->set("key", Key);
  if (From.IsDeleted) {
    Row->set("deleted", true);
    return Row;
  }
  Row->set("value", From.Value);
  Row->set("revision", From.Revision);
  Row->set("created", From.Created);
  return Row;
}

HttpResponse KvServer::list(const std::string &Prefix, std::int64_t After,
                            const char *Name, bool WithDeleted) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (const auto &[Key, Each] : Items)
    if (Key.rfind(Prefix, 0) == 0 && Each.Revision > After &&
        (WithDeleted || !Each.IsDeleted))
      Rows->add(row(Key, Each));
  Poco::JSON::Object Body;
  Body.set(Name, Rows);
  Body.set("current_rev", Revision);
  return jsonResponse(Body);
}

HttpResponse KvServer::commit(const Object &Change) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Poco::JSON::Object Body;
  const auto Conditions = Change->getArray("expected_revision");
  for (std::size_t I = 0; I < Conditions->size(); ++I) {
    const Object Row = Conditions->getObject(unsigned(I));
    const auto Found = Items.find(Row->getValue<std::string>("key"));
    const bool Exists = Found != Items.end() && !Found->second.IsDeleted;
    if ((Exists ? Found->second.Revision : 0) ==
        Row->getValue<std::int64_t>("revision"))
      continue;
    Poco::JSON::Array::Ptr Current = new Poco::JSON::Array;
    if (Exists)
      Current->add(row(Found->first, Found->second));
    Body.set("items", Current);
    return jsonResponse(Body, ConditionFailed);
  }
  const auto Writes = Change->getArray("set_keys");
  for (std::size_t I = 0; I < Writes->size(); ++I)
    if (const auto Lease =
            Writes->getObject(unsigned(I))->optValue<std::int64_t>("lease", 0);
        Lease && !Leases.count(Lease))
      return jsonResponse(Body, NotFound);
  ++Revision;
  for (std::size_t I = 0; I < Writes->size(); ++I) {
    const Object Row = Writes->getObject(unsigned(I));
    write(Row->getValue<std::string>("key"),
          Row->getValue<std::string>("value"), false,
          Row->optValue<std::int64_t>("lease", 0));
  }
  const auto Removals = Change->getArray("remove");
  for (std::size_t I = 0; I < Removals->size(); ++I)
    write(Removals->getElement<std::string>(unsigned(I)), "", true);
  Body.set("revision", Revision);
  return jsonResponse(Body);
}

void KvServer::endLease(std::int64_t Id) {
  Leases.erase(Id);
  for (auto &[Key, Each] : Items)
    if (Each.Lease == Id && !Each.IsDeleted) {
      ++Revision;
      write(Key, "", true);
    }
}

void KvServer::expireLeases() {
  const Instant Now = monotonicNow();
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Each] : Leases)
    if (Each.Until < Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    endLease(Id);
}

HttpResponse KvServer::answerAt(const Door &At, const HttpRequest &Request) {
  const Fault Seen = At.Seen;
  if (Seen == Fault::Refuses)
    return jsonResponse(Poco::JSON::Object(), Unavailable);
  if (Seen == Fault::None || (Seen == Fault::WritesLate && !postpone(Request)))
    return answer(Request);
  if (Seen == Fault::AnswersLost)
    (void)answer(Request);
  std::this_thread::sleep_for(Silence);
  // A status would be read late by a client that was stopped all the while, and
  // 503 says that nothing was done.
  throw Unanswered();
}

bool KvServer::postpone(const HttpRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Request.Path != "/-/kv-txn" || LateDice.oneIn(2))
    return false;
  Late.push_back(
      {monotonicNow() + Milliseconds(LateDice.upTo(MaxLateMs)), Request});
  return true;
}

void KvServer::carryOutLateWrites() {
  while (!Stopping) {
    std::this_thread::sleep_for(WatchPoll);
    std::vector<LateWrite> Due;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      const auto Later = std::stable_partition(
          Late.begin(), Late.end(),
          [Now = monotonicNow()](const auto &Each) { return Each.Due > Now; });
      Due.assign(Later, Late.end());
      Late.erase(Later, Late.end());
    }
    for (const LateWrite &Each : Due)
      if (answer(Each.Request).Status == HttpResponse().Status)
        ++LateWrites;
  }
}

HttpResponse KvServer::answerLease(const HttpRequest &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  expireLeases();
  Poco::JSON::Object Body;
  const std::int64_t Id =
      numberOf(Request.Path.substr(Request.Path.rfind('/') + 1));
  if (Request.Path == "/-/kv-lease") {
    const auto Asked = Poco::JSON::Parser().parse(Request.Body);
    const auto TtlMs =
        Asked.extract<Object>()->optValue<std::int64_t>("ttl_ms", 1000);
    Leases[NextLease] = {TtlMs, monotonicNow() + Milliseconds(TtlMs)};
    Body.set("ttl_ms", TtlMs);
    Body.set("lease", NextLease++);
    return jsonResponse(Body);
  }
  const auto Known = Leases.find(Id);
  if (Known == Leases.end())
    return jsonResponse(Body, NotFound);
  if (Request.Path.rfind("/-/kv-keep/", 0) == 0)
    Known->second.Until = monotonicNow() + Milliseconds(Known->second.TtlMs);
  else
    endLease(Id);
  return jsonResponse(Body);
}

HttpResponse KvServer::answer(const HttpRequest &Request) {
  Poco::JSON::Object Body;
  if (Request.Path == "/-/kv-txn")
    return commit(Poco::JSON::Parser().parse(Request.Body).extract<Object>());
  if (Request.Path == "/-/kv-range")
    return list(Request.query("prefix"), 0, "items", false);
  if (Request.Path == "/-/kv-watch") {
    const std::int64_t After = numberOf(Request.query("after"));
    const Instant End =
        monotonicNow() + Milliseconds(numberOf(Request.query("wait_ms")));
    for (bool Changed = false; !Changed && monotonicNow() < End;) {
      std::this_thread::sleep_for(WatchPoll);
      const std::lock_guard<std::mutex> Lock(Mutex);
      expireLeases();
      Changed = Revision > After;
    }
    return list(Request.query("prefix"), After, "events", true);
  }
  if (Request.Path == "/-/kv-key") {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(Request.query("key"));
    if (Found == Items.end() || Found->second.IsDeleted)
      return jsonResponse(Body, 404);
    return jsonResponse(*row(Found->first, Found->second));
  }
  if (Request.Path.rfind("/-/kv-lease", 0) == 0 ||
      Request.Path.rfind("/-/kv-keep/", 0) == 0)
    return answerLease(Request);
  return jsonResponse(Body);
}

} // namespace baobabcove::testing
