//===-- Store.cpp - Stand-in of the platform's store ----------------------===//
//
// store ADDRESS [ADDRESS...]: serves the store's API, as the users' protocol
// page describes it, from memory. Each address is a door of its own, so that a
// script can turn away the clients of one of them:
//
//   PUT /-/standin/put?key=KEY          writes a key as an operator does
//   PUT /-/standin/door?number=N&how=H  H: serve, refuse (503)
//
//===----------------------------------------------------------------------===//

#include "Programs.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::JSON::Object;

constexpr std::chrono::seconds HistoryKept{20};
constexpr std::size_t MaxPageItems = 500;
constexpr std::size_t MaxPageBytes = 1 << 20;
constexpr std::size_t MaxValueBytes = 1 << 20;
constexpr std::size_t MaxEntries = 32;
constexpr int ServerThreads = 64;

struct Answer {
  int Status = 200;
  std::string Body = "{}";
};

struct Item {
  std::string Value;
  std::int64_t Revision = 0;
  std::int64_t Created = 0;
  std::int64_t Lease = 0;
};

struct Event {
  std::int64_t Revision = 0;
  std::string Key;
  /// Empty for a deletion.
  std::shared_ptr<const Item> Written;
  Clock::time_point At;
};

std::string encode(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

/// The keys of the store have no characters that JSON escapes.
std::string rowOf(const std::string &Key, const Item &From) {
  return "{\"key\":\"" + Key + "\",\"value\":\"" + From.Value +
         "\",\"revision\":" + std::to_string(From.Revision) +
         ",\"created\":" + std::to_string(From.Created) +
         ",\"lease\":" + std::to_string(From.Lease) + "}";
}

std::string rowOf(const Event &Of) {
  return Of.Written ? rowOf(Of.Key, *Of.Written)
                    : "{\"key\":\"" + Of.Key +
                          "\",\"revision\":" + std::to_string(Of.Revision) +
                          ",\"deleted\":true}";
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

class Store {
public:
  Answer put(const std::string &Key, const std::string &Bytes) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    write(Key, encode(Bytes), 0);
    Changed.notify_all();
    return {};
  }

  Answer read(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expireLeases();
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      return {404, "{}"};
    std::string Row = rowOf(Key, *Found->second);
    Row.back() = ',';
    return {200, Row + "\"current_rev\":" + std::to_string(Revision) + "}"};
  }

  Answer range(const std::string &Prefix, const std::string &After) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expireLeases();
    std::string Rows;
    std::size_t Count = 0;
    auto Each =
        After.empty() ? Items.lower_bound(Prefix) : Items.upper_bound(After);
    for (; Each != Items.end() && startsWith(Each->first, Prefix); ++Each) {
      if (Count == MaxPageItems || Rows.size() > MaxPageBytes)
        break;
      Rows += (Count++ ? "," : "") + rowOf(Each->first, *Each->second);
    }
    const bool More = Each != Items.end() && startsWith(Each->first, Prefix);
    return {200, "{\"items\":[" + Rows +
                     "],\"more_pages\":" + (More ? "true" : "false") +
                     ",\"current_rev\":" + std::to_string(Revision) + "}"};
  }

  Answer watch(const std::string &Prefix, std::int64_t After,
               std::chrono::milliseconds Wait) {
    const auto End = Clock::now() + Wait;
    std::unique_lock<std::mutex> Lock(Mutex);
    for (;;) {
      expireLeases();
      discardHistory();
      if (After < Dropped)
        return {410, "{}"};
      std::string Rows;
      for (const Event &Each : History)
        if (Each.Revision > After && startsWith(Each.Key, Prefix))
          Rows += (Rows.empty() ? "" : ",") + rowOf(Each);
      if (!Rows.empty() || Clock::now() >= End)
        return {200, "{\"events\":[" + Rows +
                         "],\"current_rev\":" + std::to_string(Revision) + "}"};
      Changed.wait_until(Lock, std::min(End, Clock::now() + ExpiryPeriod));
    }
  }

  Answer commit(const Object &Change) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expireLeases();
    const auto Conditions = Change.getArray("expected_revision");
    const auto Writes = Change.getArray("set_keys");
    const auto Removals = Change.getArray("remove");
    if (sizeOf(Conditions) + sizeOf(Writes) + sizeOf(Removals) > MaxEntries)
      return {400, "{}"};
    bool Holds = true;
    std::string Current;
    for (unsigned I = 0; I < sizeOf(Conditions); ++I) {
      const auto Row = Conditions->getObject(I);
      const auto Found = Items.find(Row->getValue<std::string>("key"));
      Holds &= (Found == Items.end() ? 0 : Found->second->Revision) ==
               Row->getValue<std::int64_t>("revision");
      if (Found != Items.end())
        Current +=
            (Current.empty() ? "" : ",") + rowOf(Found->first, *Found->second);
    }
    if (!Holds)
      return {412, "{\"items\":[" + Current + "]}"};
    for (unsigned I = 0; I < sizeOf(Writes); ++I) {
      const auto Row = Writes->getObject(I);
      if (const auto Lease = Row->optValue<std::int64_t>("lease", 0);
          Lease && !Leases.count(Lease))
        return {404, "{}"};
      if (Row->getValue<std::string>("value").size() / 4 * 3 > MaxValueBytes)
        return {400, "{}"};
    }
    ++Revision;
    for (unsigned I = 0; I < sizeOf(Writes); ++I) {
      const auto Row = Writes->getObject(I);
      write(Row->getValue<std::string>("key"),
            Row->getValue<std::string>("value"),
            Row->optValue<std::int64_t>("lease", 0));
    }
    for (unsigned I = 0; I < sizeOf(Removals); ++I)
      remove(Removals->getElement<std::string>(I));
    Changed.notify_all();
    return {200, "{\"revision\":" + std::to_string(Revision) + "}"};
  }

  Answer grant(std::int64_t TtlMs) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::int64_t Id = ++LastLease;
    Leases[Id] = {TtlMs, Clock::now() + std::chrono::milliseconds(TtlMs)};
    return {200, "{\"lease\":" + std::to_string(Id) +
                     ",\"ttl_ms\":" + std::to_string(TtlMs) + "}"};
  }

  Answer keep(std::int64_t Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expireLeases();
    const auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return {404, "{}"};
    Found->second.Until =
        Clock::now() + std::chrono::milliseconds(Found->second.TtlMs);
    return {};
  }

  Answer endLease(std::int64_t Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Leases.count(Id))
      return {404, "{}"};
    drop(Id);
    return {};
  }

private:
  struct Lease {
    std::int64_t TtlMs = 0;
    Clock::time_point Until;
  };

  static constexpr std::chrono::milliseconds ExpiryPeriod{50};

  static std::size_t sizeOf(const Poco::JSON::Array::Ptr &Rows) {
    return Rows ? Rows->size() : 0;
  }

  void note(const std::string &Key, std::shared_ptr<const Item> Written) {
    History.push_back({Revision, Key, std::move(Written), Clock::now()});
  }

  void discardHistory() {
    while (!History.empty() &&
           Clock::now() - History.front().At > HistoryKept) {
      Dropped = History.front().Revision;
      History.pop_front();
    }
  }

  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease) {
    const auto Known = Items.find(Key);
    const std::int64_t Created =
        Known == Items.end() ? Revision : Known->second->Created;
    const auto Written =
        std::make_shared<const Item>(Item{Value, Revision, Created, Lease});
    Items[Key] = Written;
    note(Key, Written);
  }

  void remove(const std::string &Key) {
    if (Items.erase(Key))
      note(Key, nullptr);
  }

  void expireLeases() {
    std::vector<std::int64_t> Expired;
    for (const auto &[Id, Each] : Leases)
      if (Each.Until < Clock::now())
        Expired.push_back(Id);
    for (std::int64_t Id : Expired)
      drop(Id);
  }

  void drop(std::int64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Each] : Items)
      if (Each->Lease == Id)
        Keys.push_back(Key);
    if (!Keys.empty())
      ++Revision;
    for (const std::string &Key : Keys)
      remove(Key);
    Changed.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::shared_ptr<const Item>> Items;
  std::deque<Event> History;
  std::int64_t Revision = 1;
  std::int64_t Dropped = 0;
  std::map<std::int64_t, Lease> Leases;
  std::int64_t LastLease = 0;
};

/// The store with the state of its doors.
struct Platform {
  Store Keys;
  std::vector<std::unique_ptr<std::atomic<bool>>> Refuses;
};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  Handler(Platform &At, std::size_t Door) : At(At), Door(Door) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    const Answer Given = answer(Request, Body);
    Response.setStatus(std::to_string(Given.Status));
    Response.setContentType("application/json");
    Response.setKeepAlive(true);
    Response.sendBuffer(Given.Body.data(), Given.Body.size());
  }

private:
  Answer answer(const Poco::Net::HTTPServerRequest &Request,
                const std::string &Body) {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    std::map<std::string, std::string> Query;
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Query[Name] = Value;
    if (Path == "/-/standin/put")
      return At.Keys.put(Query["key"], Body);
    if (Path == "/-/standin/door") {
      *At.Refuses.at(std::stoul(Query["number"])) = Query["how"] == "refuse";
      return {};
    }
    if (*At.Refuses[Door])
      return {503, "{}"};
    if (Path == "/-/kv-key")
      return At.Keys.read(Query["key"]);
    if (Path == "/-/kv-range")
      return At.Keys.range(Query["prefix"], Query["after"]);
    if (Path == "/-/kv-watch")
      return At.Keys.watch(
          Query["prefix"], std::stoll(Query["after"]),
          std::chrono::milliseconds(std::stoll(Query["wait_ms"])));
    const std::string Last = Path.substr(Path.rfind('/') + 1);
    if (startsWith(Path, "/-/kv-keep/"))
      return At.Keys.keep(std::stoll(Last));
    if (startsWith(Path, "/-/kv-lease-end/"))
      return At.Keys.endLease(std::stoll(Last));
    Poco::JSON::Parser Parser;
    const auto Parsed = Parser.parse(Body).extract<Object::Ptr>();
    if (Path == "/-/kv-txn")
      return At.Keys.commit(*Parsed);
    if (Path == "/-/kv-lease")
      return At.Keys.grant(Parsed->getValue<std::int64_t>("ttl_ms"));
    return {404, "{}"};
  }

  Platform &At;
  const std::size_t Door;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Factory(Platform &At, std::size_t Door) : At(At), Door(Door) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(At, Door);
  }

private:
  Platform &At;
  const std::size_t Door;
};

} // namespace

int runStore(const std::vector<std::string> &Addresses) {
  Platform Shared;
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> Servers;
  for (std::size_t Door = 0; Door < Addresses.size(); ++Door)
    Shared.Refuses.push_back(std::make_unique<std::atomic<bool>>(false));
  for (std::size_t Door = 0; Door < Addresses.size(); ++Door) {
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(ServerThreads);
    Params->setKeepAlive(true);
    Servers.push_back(std::make_unique<Poco::Net::HTTPServer>(
        new Factory(Shared, Door), threadPool(),
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(Addresses[Door])),
        Params));
    Servers.back()->start();
  }
  std::cout << "ready" << std::endl;
  waitForEnd();
}

} // namespace review
