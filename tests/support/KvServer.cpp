#include "KvServer.h"

#include "baobabcove/Clock.h"

#include <sstream>
#include <thread>

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace baobabcove::testing {

namespace {

constexpr Milliseconds WatchPoll{20};
constexpr int ConditionFailed = 412;

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

KvServer::KvServer() {
  auto Served =
      serveHttp("127.0.0.1:0", HttpLimits(),
                [this](const HttpRequest &Request) { return answer(Request); });
  Server = std::move(*Served);
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
                     bool Deleted) {
  Item &Written = Items[Key];
  if (Written.Created == 0 || Written.IsDeleted)
    Written.Created = Revision;
  Written.Value = Encoded;
  Written.Revision = Revision;
  Written.IsDeleted = Deleted;
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
  ++Revision;
  const auto Writes = Change->getArray("set_keys");
  for (std::size_t I = 0; I < Writes->size(); ++I) {
    const Object Row = Writes->getObject(unsigned(I));
    write(Row->getValue<std::string>("key"),
          Row->getValue<std::string>("value"), false);
  }
  const auto Removals = Change->getArray("remove");
  for (std::size_t I = 0; I < Removals->size(); ++I)
    write(Removals->getElement<std::string>(unsigned(I)), "", true);
  Body.set("revision", Revision);
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
  if (Request.Path == "/-/kv-lease") {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Body.set("lease", NextLease++);
  }
  return jsonResponse(Body);
}

} // namespace baobabcove::testing
