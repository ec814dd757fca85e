// The platform's metadata store as its page describes it: items, watches,
// transactions and leases. Kept in memory; loses nothing while it runs.

#include "Common.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

namespace review {

namespace {

constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1 << 20;
/// History that the store keeps, platform.history_s of the settings.
constexpr std::int64_t HistoryMs = 20000;
constexpr std::int64_t MaxWaitMs = 30000;
constexpr std::int64_t LeaseCheckMs = 20;
constexpr std::int64_t FirstRevision = 100;

std::string encode(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Out.str();
}

std::string decode(const std::string &Text) {
  std::istringstream In(Text);
  Poco::Base64Decoder Decoder(In);
  return {std::istreambuf_iterator<char>(Decoder), {}};
}

struct Item {
  std::string Value;
  std::int64_t Revision = 0;
  std::int64_t Created = 0;
  std::int64_t Lease = 0;
};

struct Event {
  std::string Key;
  std::int64_t Revision = 0;
  std::int64_t AtMs = 0;
  /// Null for a deletion.
  std::shared_ptr<const Item> Written;
};

struct Lease {
  std::int64_t TtlMs = 0;
  std::int64_t Until = 0;
};

class Store {
public:
  explicit Store(const std::string &RecordPath) : Events(RecordPath) {}

  void put(const std::string &Key, const std::string &Bytes) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    write(Key, encode(Bytes), 0);
    Changed.notify_all();
  }

  /// Names the addresses under which machines behind a proxy reach others:
  /// "ADDRESS=PROXY,ADDRESS=PROXY".
  void setProxies(const std::string &Pairs) {
    std::istringstream In(Pairs);
    for (std::string Pair; std::getline(In, Pair, ',');)
      Proxies.emplace_back(Pair.substr(0, Pair.find('=')),
                           Pair.substr(Pair.find('=') + 1));
  }

  /// Answers a machine behind the proxies, which replace addresses in what it
  /// reads, as an address translation in the network would.
  std::optional<Response> answerBehindProxy(const Request &Call) {
    if (Call.Path != "/-/kv-key")
      return answer(Call);
    const Response Answer = read(Call);
    if (Answer.Status != 200)
      return Answer;
    Object Row = parse(Answer.Body);
    std::string Value = decode(Row->getValue<std::string>("value"));
    for (const auto &[From, To] : Proxies)
      if (const std::size_t At = Value.find(From); At != std::string::npos)
        Value.replace(At, From.size(), To);
    Row->set("value", encode(Value));
    return Response{200, textOf(Row)};
  }

  std::optional<Response> answer(const Request &Call) {
    if (Call.Path == "/-/kv-key")
      return read(Call);
    if (Call.Path == "/-/kv-range")
      return range(Call);
    if (Call.Path == "/-/kv-watch")
      return watch(Call);
    if (Call.Path == "/-/kv-txn")
      return commit(parse(Call.Body));
    if (Call.Path == "/-/kv-lease")
      return grant(parse(Call.Body));
    if (Call.Path.rfind("/-/kv-keep/", 0) == 0)
      return keep(lastNumber(Call.Path));
    if (Call.Path.rfind("/-/kv-lease-end/", 0) == 0)
      return endByCall(lastNumber(Call.Path));
    // Not a call of the platform: the operator's write of a key.
    if (Call.Method == "PUT" && Call.Path == "/operator") {
      put(Call.Query.at("key"), Call.Body);
      Events.note("operator wrote " + Call.Query.at("key") + " " + Call.Body);
      return Response();
    }
    return Response{404, "{}"};
  }

  void expireLeases() {
    for (;;) {
      sleepMs(LeaseCheckMs);
      const std::lock_guard<std::mutex> Lock(Mutex);
      std::vector<std::int64_t> Over;
      for (const auto &[Id, Each] : Leases)
        if (nowMs() >= Each.Until)
          Over.push_back(Id);
      for (const std::int64_t Id : Over)
        endLease(Id);
    }
  }

private:
  static std::int64_t lastNumber(const std::string &Path) {
    return std::strtoll(Path.substr(Path.rfind('/') + 1).c_str(), nullptr, 10);
  }

  static std::string parameter(const Request &Call, const std::string &Name) {
    const auto Found = Call.Query.find(Name);
    return Found == Call.Query.end() ? "" : Found->second;
  }

  /// The text of a row, made without a JSON library, as large ones are many.
  /// Neither the keys nor the encoded values contain what JSON escapes.
  static std::string rowText(const std::string &Key, const Item &From) {
    return "{\"key\":\"" + Key + "\",\"value\":\"" + From.Value +
           "\",\"revision\":" + std::to_string(From.Revision) +
           ",\"created\":" + std::to_string(From.Created) +
           ",\"lease\":" + std::to_string(From.Lease) + "}";
  }

  static std::string rowText(const Event &From) {
    return From.Written
               ? rowText(From.Key, *From.Written)
               : "{\"key\":\"" + From.Key +
                     "\",\"revision\":" + std::to_string(From.Revision) +
                     ",\"deleted\":true}";
  }

  static void addRow(std::string &Rows, const std::string &Row) {
    Rows += Rows.empty() ? "" : ",";
    Rows += Row;
  }

  void discardHistory() {
    while (!History.empty() && nowMs() - History.front().AtMs > HistoryMs) {
      Discarded = History.front().Revision;
      History.pop_front();
    }
  }

  static Object row(const std::string &Key, const Item &From) {
    Object Row = new Poco::JSON::Object;
    Row->set("key", Key);
    Row->set("value", From.Value);
    Row->set("revision", From.Revision);
    Row->set("created", From.Created);
    Row->set("lease", From.Lease);
    return Row;
  }

  void write(const std::string &Key, const std::string &Encoded,
             std::int64_t Lease) {
    Item &Kept = Items[Key];
    if (Kept.Created == 0)
      Kept.Created = Revision;
    Kept.Value = Encoded;
    Kept.Revision = Revision;
    Kept.Lease = Lease;
    History.push_back(
        {Key, Revision, nowMs(), std::make_shared<const Item>(Kept)});
    if (Key == "baobabcove/coordinator")
      Events.note("store " + Key + " = " + decode(Encoded) + " revision " +
                  std::to_string(Revision));
  }

  void remove(const std::string &Key) {
    if (!Items.erase(Key))
      return;
    History.push_back({Key, Revision, nowMs(), nullptr});
    if (Key == "baobabcove/coordinator")
      Events.note("store " + Key + " removed");
  }

  void endLease(std::int64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Bound;
    for (const auto &[Key, Each] : Items)
      if (Each.Lease == Id)
        Bound.push_back(Key);
    if (!Bound.empty())
      ++Revision;
    for (const std::string &Key : Bound)
      remove(Key);
    Changed.notify_all();
  }

  Response read(const Request &Call) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(parameter(Call, "key"));
    if (Found == Items.end())
      return {404, "{}"};
    Object Row = row(Found->first, Found->second);
    Row->set("current_rev", Revision);
    return {200, textOf(Row)};
  }

  Response range(const Request &Call) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::string Prefix = parameter(Call, "prefix");
    const std::string After = parameter(Call, "after");
    std::string Rows;
    std::size_t Count = 0;
    bool HasMore = false;
    for (auto At = Items.lower_bound(Prefix); At != Items.end(); ++At) {
      if (At->first.rfind(Prefix, 0) != 0)
        break;
      if (!After.empty() && At->first <= After)
        continue;
      HasMore = Count == PageItems || Rows.size() > PageBytes;
      if (HasMore)
        break;
      addRow(Rows, rowText(At->first, At->second));
      ++Count;
    }
    return {200, "{\"items\":[" + Rows +
                     "],\"more_pages\":" + (HasMore ? "true" : "false") +
                     ",\"current_rev\":" + std::to_string(Revision) + "}"};
  }

  Response watch(const Request &Call) {
    const std::string Prefix = parameter(Call, "prefix");
    const std::int64_t After = std::stoll("0" + parameter(Call, "after"));
    const std::int64_t Wait = std::min(
        MaxWaitMs, std::int64_t(std::stoll("0" + parameter(Call, "wait_ms"))));
    const std::int64_t Until = nowMs() + Wait;
    std::unique_lock<std::mutex> Lock(Mutex);
    std::string Rows;
    for (;;) {
      discardHistory();
      if (After < Discarded)
        return {410, "{}"};
      for (const Event &Each : History)
        if (Each.Revision > After && Each.Key.rfind(Prefix, 0) == 0)
          addRow(Rows, rowText(Each));
      if (!Rows.empty() || nowMs() >= Until)
        break;
      Changed.wait_for(Lock, std::chrono::milliseconds(Until - nowMs()));
    }
    return {200, "{\"events\":[" + Rows +
                     "],\"current_rev\":" + std::to_string(Revision) + "}"};
  }

  Response commit(const Object &Change) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Array Conditions = Change->getArray("expected_revision");
    const Array Writes = Change->getArray("set_keys");
    const Array Removals = Change->getArray("remove");
    bool Holds = true;
    Array Current = new Poco::JSON::Array;
    for (std::size_t I = 0; Conditions && I < Conditions->size(); ++I) {
      const Object Row = Conditions->getObject(static_cast<unsigned>(I));
      const auto Key = Row->getValue<std::string>("key");
      const auto Found = Items.find(Key);
      const std::int64_t Known =
          Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Known == Row->getValue<std::int64_t>("revision");
      if (Found != Items.end())
        Current->add(row(Key, Found->second));
    }
    Object Body = new Poco::JSON::Object;
    if (!Holds) {
      Body->set("items", Current);
      Body->set("current_rev", Revision);
      return {412, textOf(Body)};
    }
    for (std::size_t I = 0; Writes && I < Writes->size(); ++I) {
      const auto Id = Writes->getObject(static_cast<unsigned>(I))
                          ->optValue<std::int64_t>("lease", 0);
      if (Id && !Leases.count(Id))
        return {404, "{}"};
    }
    ++Revision;
    for (std::size_t I = 0; Writes && I < Writes->size(); ++I) {
      const Object Row = Writes->getObject(static_cast<unsigned>(I));
      write(Row->getValue<std::string>("key"),
            Row->getValue<std::string>("value"),
            Row->optValue<std::int64_t>("lease", 0));
    }
    for (std::size_t I = 0; Removals && I < Removals->size(); ++I)
      remove(Removals->getElement<std::string>(static_cast<unsigned>(I)));
    Changed.notify_all();
    Body->set("revision", Revision);
    return {200, textOf(Body)};
  }

  Response grant(const Object &Asked) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto TtlMs = Asked->getValue<std::int64_t>("ttl_ms");
    const std::int64_t Id = ++LastLease;
    Leases[Id] = {TtlMs, nowMs() + TtlMs};
    Object Body = new Poco::JSON::Object;
    Body->set("lease", Id);
    Body->set("ttl_ms", TtlMs);
    return {200, textOf(Body)};
  }

  Response keep(std::int64_t Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return {404, "{}"};
    Found->second.Until = nowMs() + Found->second.TtlMs;
    Object Body = new Poco::JSON::Object;
    Body->set("ttl_ms", Found->second.TtlMs);
    return {200, textOf(Body)};
  }

  Response endByCall(std::int64_t Id) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Leases.count(Id))
      return {404, "{}"};
    endLease(Id);
    return {};
  }

  const Record Events;
  std::vector<std::pair<std::string, std::string>> Proxies;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::deque<Event> History;
  /// Revision of the last event that was discarded.
  std::int64_t Discarded = 0;
  std::map<std::int64_t, Lease> Leases;
  std::int64_t Revision = FirstRevision;
  std::int64_t LastLease = 0;
};

} // namespace

int runStore(const Options &Given) {
  Store Kept(Given.text("record", "/dev/null"));
  std::ifstream Config(Given.text("config", ""));
  Kept.put("op/config", {std::istreambuf_iterator<char>(Config), {}});
  const auto Server =
      serve(Given.text("address", ""),
            [&Kept](const Request &Call) { return Kept.answer(Call); });
  std::unique_ptr<Poco::Net::HTTPServer> Door;
  if (const std::string Address = Given.text("door", ""); !Address.empty()) {
    Kept.setProxies(Given.text("proxies", ""));
    Door = serve(Address, [&Kept](const Request &Call) {
      return Kept.answerBehindProxy(Call);
    });
  }
  Kept.expireLeases();
  return 0;
}

} // namespace review
