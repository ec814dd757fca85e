#include "Store.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>

namespace baobabcove::review {

namespace {

const std::string KeepPath = "/-/kv-keep/";
const std::string EndPath = "/-/kv-lease-end/";
constexpr std::size_t PageItems = 500;
/// The site's bound on a value.
constexpr std::size_t MaxValueBytes = 1048576;

std::string encode(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder.write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Encoder.close();
  return Out.str();
}

/// Returns the number of bytes that padded base64 text stands for.
std::size_t decodedBytes(const std::string &Text) {
  constexpr std::size_t Group = 4;
  constexpr std::size_t BytesPerGroup = 3;
  const std::size_t Padding = Text.size() - Text.find_last_not_of('=') - 1;
  return Text.size() / Group * BytesPerGroup - Padding;
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

std::string query(const Request &Message, const std::string &Name) {
  const auto Found = Message.Query.find(Name);
  return Found == Message.Query.end() ? "" : Found->second;
}

JsonObject makeObject() { return new Poco::JSON::Object; }

std::vector<JsonObject> rows(const JsonObject &From, const std::string &Name) {
  std::vector<JsonObject> Rows;
  const auto Array = From->getArray(Name);
  for (unsigned I = 0; Array && I < Array->size(); ++I)
    Rows.push_back(Array->getObject(I));
  return Rows;
}

} // namespace

Response Store::answerCall(const Request &Message) {
  if (Message.Path == "/-/kv-key")
    return readKey(Message);
  if (Message.Path == "/-/kv-range")
    return readRange(Message);
  if (Message.Path == "/-/kv-watch")
    return watch(Message);
  if (Message.Path == "/-/kv-txn")
    return commit(Message);
  if (Message.Path == "/-/kv-lease")
    return grant(Message);
  if (startsWith(Message.Path, KeepPath))
    return keep(std::stoll(Message.Path.substr(KeepPath.size())));
  if (startsWith(Message.Path, EndPath)) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    endLease(std::stoll(Message.Path.substr(EndPath.size())));
    return {};
  }
  return {400, "{}", false};
}

Response Store::answerControl(const Request &Message) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Message.Path == "/item") {
    ++Revision;
    put(query(Message, "key"), encode(Message.Body), 0);
  } else if (Message.Path == "/late") {
    LatePrefix = query(Message, "prefix");
    LateBy = std::chrono::milliseconds(std::stoll(query(Message, "ms")));
  }
  return {};
}

void Store::update() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Now = Clock::now();
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Each] : Leases)
    if (Each.End <= Now)
      Expired.push_back(Id);
  for (const std::int64_t Id : Expired)
    endLease(Id);
  while (!LateTransactions.empty() && LateTransactions.front().Due <= Now) {
    (void)apply(LateTransactions.front().Change);
    LateTransactions.pop_front();
  }
}

Response Store::readKey(const Request &Message) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Items.find(query(Message, "key"));
  if (Found == Items.end())
    return {404, "{}", false};
  JsonObject Body = toJson(Found->first, Found->second);
  Body->set("current_rev", Revision);
  return answer(200, Body);
}

Response Store::readRange(const Request &Message) {
  const std::string Prefix = query(Message, "prefix");
  const std::lock_guard<std::mutex> Lock(Mutex);
  Poco::JSON::Array::Ptr Page = new Poco::JSON::Array;
  bool HasMore = false;
  for (auto It = Items.upper_bound(
           std::max(query(Message, "after"), Prefix.empty() ? "" : Prefix));
       It != Items.end() && startsWith(It->first, Prefix); ++It) {
    HasMore = Page->size() == PageItems;
    if (HasMore)
      break;
    Page->add(toJson(It->first, It->second));
  }
  JsonObject Body = makeObject();
  Body->set("items", Page);
  Body->set("more_pages", HasMore);
  Body->set("current_rev", Revision);
  return answer(200, Body);
}

Response Store::watch(const Request &Message) {
  const std::string Prefix = query(Message, "prefix");
  const std::int64_t After = std::stoll(query(Message, "after"));
  const std::chrono::milliseconds Wait(std::stoll(query(Message, "wait_ms")));
  std::unique_lock<std::mutex> Lock(Mutex);
  Poco::JSON::Array::Ptr Events = new Poco::JSON::Array;
  Changed.wait_for(Lock, Wait, [&] {
    for (const Event &Each : History) {
      if (Each.After.Revision <= After || !startsWith(Each.Key, Prefix))
        continue;
      JsonObject Row = toJson(Each.Key, Each.After);
      if (Each.IsDeleted) {
        Row->remove("value");
        Row->set("deleted", true);
      }
      Events->add(Row);
    }
    return Events->size() > 0;
  });
  JsonObject Body = makeObject();
  Body->set("events", Events);
  Body->set("current_rev", Revision);
  return answer(200, Body);
}

Response Store::commit(const Request &Message) {
  const JsonObject Change = parse(Message.Body);
  if (!Change)
    return {400, "{}", false};
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (takeLate(Change))
    return {200, "{}", true};
  return apply(Change);
}

bool Store::takeLate(const JsonObject &Change) {
  if (LatePrefix.empty())
    return false;
  for (const JsonObject &Row : rows(Change, "set_keys"))
    if (startsWith(Row->getValue<std::string>("key"), LatePrefix)) {
      LateTransactions.push_back({Change, Clock::now() + LateBy});
      LatePrefix.clear();
      return true;
    }
  return false;
}

Response Store::apply(const JsonObject &Change) {
  Poco::JSON::Array::Ptr Current = new Poco::JSON::Array;
  bool Holds = true;
  for (const JsonObject &Row : rows(Change, "expected_revision")) {
    const auto Key = Row->getValue<std::string>("key");
    const auto Found = Items.find(Key);
    const std::int64_t Known =
        Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Known == Row->getValue<std::int64_t>("revision");
    if (Known)
      Current->add(toJson(Key, Found->second));
  }
  JsonObject Body = makeObject();
  if (!Holds) {
    Body->set("items", Current);
    return answer(412, Body);
  }
  for (const JsonObject &Row : rows(Change, "set_keys"))
    if (const auto Id = Row->optValue<std::int64_t>("lease", 0);
        Id && !Leases.count(Id))
      return {404, "{}", false};
  for (const JsonObject &Row : rows(Change, "set_keys"))
    if (decodedBytes(Row->getValue<std::string>("value")) > MaxValueBytes)
      return {400, "{}", false};
  ++Revision;
  for (const JsonObject &Row : rows(Change, "set_keys"))
    put(Row->getValue<std::string>("key"), Row->getValue<std::string>("value"),
        Row->optValue<std::int64_t>("lease", 0));
  const auto Removals = Change->getArray("remove");
  for (unsigned I = 0; Removals && I < Removals->size(); ++I)
    remove(Removals->getElement<std::string>(I));
  Body->set("revision", Revision);
  return answer(200, Body);
}

Response Store::grant(const Request &Message) {
  const JsonObject Body = parse(Message.Body);
  if (!Body)
    return {400, "{}", false};
  const auto TtlMs = Body->getValue<std::int64_t>("ttl_ms");
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::int64_t Id = NextLease++;
  Leases[Id] = {TtlMs, Clock::now() + std::chrono::milliseconds(TtlMs)};
  JsonObject Reply = makeObject();
  Reply->set("lease", Id);
  Reply->set("ttl_ms", TtlMs);
  return answer(200, Reply);
}

Response Store::keep(std::int64_t Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return {404, "{}", false};
  Found->second.End =
      Clock::now() + std::chrono::milliseconds(Found->second.TtlMs);
  return {};
}

void Store::put(const std::string &Key, const std::string &Value,
                std::int64_t LeaseId) {
  Item &Stored = Items[Key];
  if (Stored.Revision == 0)
    Stored.Created = Revision;
  Stored.Value = Value;
  Stored.Revision = Revision;
  Stored.Lease = LeaseId;
  History.push_back({Key, Stored, false});
  Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  Item Gone;
  Gone.Revision = Revision;
  History.push_back({Key, Gone, true});
  Changed.notify_all();
}

void Store::endLease(std::int64_t Id) {
  if (Leases.erase(Id) == 0)
    return;
  std::vector<std::string> Bound;
  for (const auto &[Key, Each] : Items)
    if (Each.Lease == Id)
      Bound.push_back(Key);
  if (!Bound.empty())
    ++Revision;
  for (const std::string &Key : Bound)
    remove(Key);
}

JsonObject Store::toJson(const std::string &Key, const Item &From) {
  JsonObject Row = makeObject();
  Row->set("key", Key);
  Row->set("value", From.Value);
  Row->set("revision", From.Revision);
  Row->set("created", From.Created);
  Row->set("lease", From.Lease);
  return Row;
}

} // namespace baobabcove::review
