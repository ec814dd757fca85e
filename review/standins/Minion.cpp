#include "Minion.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <Poco/JSON/Array.h>

namespace baobabcove::review {

namespace {

// The longest lease of the site, and the time that a stop takes, which is less
// than the bound of the site.
constexpr std::int64_t MaxHoldMs = 6000;
constexpr std::int64_t StopMs = 100;
constexpr int HeartbeatTimeoutMs = 1000;

/// Returns the number after "\p Name=" in \p Spec, or \p Default.
std::int64_t numberIn(const std::string &Spec, const std::string &Name,
                      std::int64_t Default) {
  const auto At = Spec.find(Name + "=");
  return At == std::string::npos
             ? Default
             : std::stoll(Spec.substr(At + Name.size() + 1));
}

} // namespace

Minion::Minion(MinionSettings From)
    : Settings(std::move(From)),
      Events(Settings.RecordPath, "minion " + Settings.Id) {
  Events.write("up born=" + std::to_string(BornMs));
}

std::int64_t Minion::clockMs() const {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
             .count() +
         1;
}

Response Minion::answerCall(const Request &Message) {
  const auto Expected = Message.Headers.find("expected-instance");
  if (Expected != Message.Headers.end() && Expected->second != Settings.Id)
    return {421, "{}", false};
  const JsonObject Body = parse(Message.Body);
  if (!Body)
    return {400, "{}", false};
  std::unique_lock<std::mutex> Lock(Mutex);
  endRuns(clockMs());
  const auto Token = Body->optValue<std::int64_t>("fencing_token", 0);
  if (Token < Fence)
    return refuse("fence");
  Fence = Token;
  if (Message.Path == "/-/run-start")
    return start(Body);
  if (Message.Path == "/-/run-stop")
    return stop(Body);
  if (Message.Path == "/-/hold")
    return hold(Body, Lock);
  return {404, "{}", false};
}

Response Minion::start(const JsonObject &Body) {
  const auto Task = Body->getValue<std::string>("task");
  const auto Number = Body->getValue<std::int64_t>("run");
  const auto Spec = Body->optValue<std::string>("spec", "");
  const auto Known = Running.find(Task);
  if (Known != Running.end() && Known->second.Number == Number)
    return answer(200, clockReply());
  extendLease(Body);
  if (Number <= Barred[Task] || Known != Running.end())
    return refuse("old");
  if (Body->getValue<std::int64_t>("deadline_ms") <= clockMs())
    return refuse("late");
  const std::int64_t Index = std::stoll(Task.substr(Task.rfind('.') + 1));
  Run &New = Running[Task];
  New.Number = Number;
  New.StartedMs = clockMs();
  New.WorkMs = numberIn(Spec, "work_ms", 0);
  if (numberIn(Spec, "long", -1) == Index)
    New.WorkMs = numberIn(Spec, "long_ms", 0);
  New.Fails = numberIn(Spec, "fails", -1) == Index;
  Events.write("start " + Task + " run=" + std::to_string(Number));
  return answer(200, clockReply());
}

Response Minion::stop(const JsonObject &Body) {
  const auto Task = Body->getValue<std::string>("task");
  const auto Number = Body->getValue<std::int64_t>("run");
  const auto Known = Running.find(Task);
  if (Known == Running.end() || Known->second.Number != Number)
    Barred[Task] = std::max(Barred[Task], Number);
  else if (Known->second.StopsAtMs == 0)
    Known->second.StopsAtMs = clockMs() + StopMs;
  return answer(200, clockReply());
}

Response Minion::hold(const JsonObject &Body,
                      std::unique_lock<std::mutex> &Lock) {
  extendLease(Body);
  const auto Through = Body->optValue<std::int64_t>("acked_through", 0);
  while (!Ends.empty() && Ends.front().Number <= Through)
    Ends.pop_front();
  const std::chrono::milliseconds Wait(
      Body->optValue<std::int64_t>("wait_ms", 0));
  Ended.wait_for(Lock, Wait, [&] { return !Ends.empty(); });
  return answer(200, listRuns());
}

void Minion::extendLease(const JsonObject &Body) {
  const auto Until = Body->optValue<std::int64_t>("deadline_ms", 0);
  LeaseMs = std::max(LeaseMs, std::min(Until, clockMs() + MaxHoldMs));
}

JsonObject Minion::clockReply() const {
  JsonObject Body = new Poco::JSON::Object;
  Body->set("clock_ms", clockMs());
  return Body;
}

Response Minion::refuse(const std::string &Reason) const {
  JsonObject Body = clockReply();
  Body->set("reason", Reason);
  return answer(409, Body);
}

JsonObject Minion::listRuns() const {
  constexpr std::int64_t Percent = 100;
  JsonObject Body = clockReply();
  Body->set("born", BornMs);
  Poco::JSON::Array::Ptr RunRows = new Poco::JSON::Array;
  for (const auto &[Task, Each] : Running) {
    Poco::JSON::Array::Ptr Row = new Poco::JSON::Array;
    Row->add(Task);
    Row->add(Each.Number);
    Row->add(std::string());
    Row->add(Each.WorkMs == 0 ? Percent
                              : std::min(Percent, (clockMs() - Each.StartedMs) *
                                                      Percent / Each.WorkMs));
    Row->add(0);
    RunRows->add(Row);
  }
  Poco::JSON::Array::Ptr EndRows = new Poco::JSON::Array;
  for (const End &Each : Ends) {
    Poco::JSON::Array::Ptr Row = new Poco::JSON::Array;
    Row->add(Each.Number);
    Row->add(Each.Task);
    Row->add(Each.Run);
    Row->add(Each.How);
    Row->add(std::string());
    EndRows->add(Row);
  }
  Body->set("running", RunRows);
  Body->set("ended", EndRows);
  return Body;
}

void Minion::update() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  endRuns(clockMs());
}

std::string Minion::outcomeOf(const Run &Each, std::int64_t Now,
                              std::int64_t LeaseMs) {
  if (Each.WorkMs && Now >= Each.StartedMs + Each.WorkMs)
    return Each.Fails ? "failed" : "done";
  if (Each.StopsAtMs && Now >= Each.StopsAtMs)
    return "stopped";
  return Now >= LeaseMs ? "lapsed" : "";
}

void Minion::endRuns(std::int64_t Now) {
  for (auto It = Running.begin(); It != Running.end();) {
    const std::string How = outcomeOf(It->second, Now, LeaseMs);
    if (How.empty()) {
      ++It;
      continue;
    }
    const std::int64_t Number = It->second.Number;
    Events.write("end " + It->first + " run=" + std::to_string(Number) +
                 " how=" + How);
    Ends.push_back({++LastEnd, It->first, Number, How});
    Barred[It->first] = std::max(Barred[It->first], Number);
    It = Running.erase(It);
    Ended.notify_all();
  }
}

void Minion::sendHeartbeat() {
  constexpr int Accelerators = 8;
  constexpr int MilliCores = 128000;
  constexpr int MemoryMb = 512000;
  JsonObject Capacity = new Poco::JSON::Object;
  Capacity->set("cpu", MilliCores);
  Capacity->set("mem_mb", MemoryMb);
  Capacity->set("gpu", Accelerators);
  Poco::JSON::Array::Ptr Labels = new Poco::JSON::Array;
  Labels->add("a");
  Labels->add(Settings.Rack);
  JsonObject Body = clockReply();
  Body->set("service", Settings.Service);
  Body->set("address", Settings.Address);
  Body->set("zone", Settings.Zone);
  Body->set("version", "v1");
  Body->set("slots", Accelerators);
  Body->set("state", "ready");
  Body->set("cold_remaining_ms", 0);
  Body->set("capacity", Capacity);
  Body->set("labels", Labels);
  Body->set("born", BornMs);
  Body->set("sequence", ++Sequence);
  Request Message;
  Message.Method = "PUT";
  Message.Path = "/-/instances/" + Settings.Id;
  Message.Body = toText(Body);
  (void)call(Settings.Control, Message, HeartbeatTimeoutMs);
}

} // namespace baobabcove::review
