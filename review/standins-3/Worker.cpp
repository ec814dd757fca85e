#include "Worker.h"

#include <algorithm>
#include <sstream>

namespace baobabcove::review {

namespace {

constexpr std::int64_t Accelerators = 8;
constexpr std::int64_t MilliCores = 64000;
constexpr std::int64_t MemoryMb = 262144;
constexpr std::size_t Threads = 16;
constexpr Milliseconds Tick{10};
constexpr Milliseconds HeartbeatPeriod{1500};
constexpr Milliseconds HeartbeatTimeout{1000};
constexpr Milliseconds MaxLease{6000};
constexpr std::int64_t MaxWaitMs = 2000;
constexpr Milliseconds FailsAfter{100};
constexpr std::size_t MaxListedEnds = 500;
constexpr int Conflict = 409;
constexpr int WrongInstance = 421;
constexpr int Unavailable = 503;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

void RunLedger::noteStart(const std::string &Task) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Starts[jobOf(Task)];
}

void RunLedger::noteEnd(const std::string &Task, const std::string &How) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Ends[{jobOf(Task), How}];
}

bool RunLedger::hasBegun(const std::string &Job) const {
  return starts(Job) > 0;
}

std::size_t RunLedger::starts(const std::string &Job) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Starts.find(Job);
  return Known == Starts.end() ? 0 : Known->second;
}

std::size_t RunLedger::ends(const std::string &Job,
                            const std::string &How) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Ends.find({Job, How});
  return Known == Ends.end() ? 0 : Known->second;
}

std::string Work::spec() const {
  return std::to_string(Duration.count()) + " " + std::to_string(Accelerators) +
         (Lasts ? " lasts" : " ends");
}

Work Work::parse(const std::string &Spec) {
  std::istringstream In(Spec);
  std::int64_t Ms = 0;
  Work Parsed;
  std::string Kind;
  In >> Ms >> Parsed.Accelerators >> Kind;
  Parsed.Duration = Milliseconds(Ms);
  Parsed.Lasts = Kind == "lasts";
  return Parsed;
}

Worker::Worker(Record &Events, RunLedger &Ledger, const std::string &Ip,
               const std::string &Rack)
    : Events(Events), Ledger(Ledger), Ip(Ip), Rack(Rack), Agent(Ip + ":8082") {
  Runs = std::thread([this] {
    while (!Stopping) {
      std::this_thread::sleep_for(Tick);
      advance();
    }
  });
  Beats = std::thread([this] {
    while (!Stopping) {
      std::this_thread::sleep_for(Tick);
      beat();
    }
  });
}

Worker::~Worker() {
  Stopping = true;
  Changed.notify_all();
  Runs.join();
  Beats.join();
  Server.reset();
}

bool Worker::start() {
  static std::atomic<std::uint64_t> Births{0};
  HttpLimits Limits;
  Limits.Threads = Threads;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Id = "i-" + std::to_string(++Births);
    BornMs = std::max(wallClockMs(), BornMs + 1);
    BornAt = monotonicNow();
    Sequence = Fence = LastEnd = 0;
    LeaseUntil = Instant{};
    NextBeat = Instant{};
    Barred.clear();
    Ended.clear();
    IsUp = true;
  }
  auto Served =
      serveHttp(Ip + ":8083", Limits,
                [this](const HttpRequest &Request) { return answer(Request); });
  if (!Served) {
    IsUp = false;
    return false;
  }
  Server = std::move(*Served);
  Events.note("worker " + Ip + ": up as " + Id);
  return true;
}

void Worker::crash() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    IsUp = false;
    std::string Lost;
    for (const auto &[Task, Each] : Running) {
      Lost += " " + Task + " run " + std::to_string(Each.Number);
      Ledger.noteEnd(Task, "lost");
    }
    Events.note("worker " + Ip + ": crash of " + Id + ", lost:" + Lost);
    Running.clear();
  }
  Changed.notify_all();
  Server.reset();
}

Object Worker::reply() const {
  Object Body = new Poco::JSON::Object;
  Body->set("clock_ms", clockMs());
  Body->set("born", BornMs);
  return Body;
}

std::int64_t Worker::clockMs() const {
  return Milliseconds(monotonicNow() - BornAt).count();
}

HttpResponse Worker::refuse(const char *Reason) const {
  Object Body = reply();
  Body->set("reason", Reason);
  return respond(Body, Conflict);
}

HttpResponse Worker::answer(const HttpRequest &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (!IsUp)
    throw Unanswered();
  Object Order = parse(Request.Body);
  if (Request.header("expected-instance") != Id)
    return respond(reply(), WrongInstance);
  if (Request.Path == "/-/run-start" && IsUnhealthy) {
    Events.note("worker " + Ip + ": answers 503 to the start of " +
                Order->optValue<std::string>("task", ""));
    return respond(reply(), Unavailable);
  }
  const auto Token = Order->optValue<std::uint64_t>("fencing_token", 0);
  if (Token < Fence)
    return refuse("fence");
  Fence = Token;
  if (const auto Deadline = Order->optValue<std::int64_t>("deadline_ms", 0))
    LeaseUntil = std::max(LeaseUntil, std::min(BornAt + Milliseconds(Deadline),
                                               monotonicNow() + MaxLease));
  if (Request.Path == "/-/run-start")
    return startRun(Order);
  if (Request.Path == "/-/run-stop")
    return stopRun(Order);
  return hold(Order, Lock);
}

HttpResponse Worker::startRun(const Object &Order) {
  const auto Task = Order->getValue<std::string>("task");
  const auto Number = Order->getValue<std::uint64_t>("run");
  const Work Next = Work::parse(Order->optValue<std::string>("spec", ""));
  if (const auto Here = Running.find(Task); Here != Running.end())
    return Here->second.Number == Number ? respond(reply()) : refuse("old");
  if (const auto Bar = Barred.find(Task);
      Bar != Barred.end() && Number <= Bar->second)
    return refuse("old");
  if (clockMs() > Order->optValue<std::int64_t>("deadline_ms", 0))
    return refuse("late");
  std::int64_t Used = Next.Accelerators;
  for (const auto &[Name, Each] : Running)
    Used += Each.Task.Accelerators;
  if (Used > Accelerators)
    return refuse("room");
  Running[Task] = {Number, Next, monotonicNow(), IsFailing};
  Ledger.noteStart(Task);
  Events.note("worker " + Ip + ": started " + Task + " run " +
              std::to_string(Number));
  return respond(reply());
}

HttpResponse Worker::stopRun(const Object &Order) {
  const auto Task = Order->getValue<std::string>("task");
  const auto Number = Order->getValue<std::uint64_t>("run");
  const auto Here = Running.find(Task);
  if (Here != Running.end() && Here->second.Number <= Number)
    end(Task, "stopped");
  std::uint64_t &Bar = Barred[Task];
  Bar = std::max(Bar, Number);
  return respond(reply());
}

HttpResponse Worker::hold(const Object &Order,
                          std::unique_lock<std::mutex> &Lock) {
  const auto Through = Order->optValue<std::uint64_t>("acked_through", 0);
  while (!Ended.empty() && Ended.front().Number <= Through)
    Ended.pop_front();
  const Milliseconds Wait(
      std::min(Order->optValue<std::int64_t>("wait_ms", 0), MaxWaitMs));
  const std::string Before = Id;
  Changed.wait_for(Lock, Wait, [&] {
    return Stopping || !IsUp || Id != Before || !Ended.empty();
  });
  if (!IsUp || Id != Before)
    throw Unanswered();
  Array RunRows = new Poco::JSON::Array;
  for (const auto &[Task, Each] : Running) {
    const Milliseconds Age = monotonicNow() - Each.Since;
    Array Row = new Poco::JSON::Array;
    Row->add(Task);
    Row->add(Each.Number);
    Row->add("");
    Row->add(Each.Task.Lasts
                 ? 100
                 : std::min<std::int64_t>(
                       100, 100 * Age.count() /
                                std::max<std::int64_t>(
                                    1, Each.Task.Duration.count())));
    RunRows->add(Row);
  }
  Array EndRows = new Poco::JSON::Array;
  for (const End &Each : Ended) {
    if (EndRows->size() == MaxListedEnds)
      break;
    Array Row = new Poco::JSON::Array;
    Row->add(Each.Number);
    Row->add(Each.Task);
    Row->add(Each.Run);
    Row->add(Each.How);
    Row->add("");
    EndRows->add(Row);
  }
  Object Body = reply();
  Body->set("running", RunRows);
  Body->set("ended", EndRows);
  return respond(Body);
}

void Worker::end(const std::string &Task, const std::string &How) {
  const auto Here = Running.find(Task);
  Ended.push_back({++LastEnd, Task, Here->second.Number, How});
  Barred[Task] = std::max(Barred[Task], Here->second.Number);
  Ledger.noteEnd(Task, How);
  Events.note("worker " + Ip + ": ended " + Task + " run " +
              std::to_string(Here->second.Number) + " " + How);
  Running.erase(Here);
  Changed.notify_all();
}

void Worker::advance() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Instant Now = monotonicNow();
  const bool HasLapsed = LeaseUntil != Instant{} && Now > LeaseUntil;
  std::vector<std::pair<std::string, std::string>> Due;
  for (const auto &[Task, Each] : Running)
    if (HasLapsed)
      Due.emplace_back(Task, "lapsed");
    else if (Each.Fails && Now - Each.Since >= FailsAfter)
      Due.emplace_back(Task, "failed");
    else if (!Each.Task.Lasts && Now - Each.Since >= Each.Task.Duration)
      Due.emplace_back(Task, "done");
  for (const auto &[Task, How] : Due)
    end(Task, How);
}

void Worker::beat() {
  HttpCall Call;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Instant Now = monotonicNow();
    if (!IsUp || Now < NextBeat)
      return;
    NextBeat = Now + HeartbeatPeriod;
    Object Capacity = new Poco::JSON::Object;
    Capacity->set("cpu", MilliCores);
    Capacity->set("mem_mb", MemoryMb);
    Capacity->set("gpu", Accelerators);
    Array Labels = new Poco::JSON::Array;
    Labels->add("a");
    Labels->add(Rack);
    Object Body = reply();
    Body->set("service", "planner");
    Body->set("address", Ip + ":8083");
    Body->set("zone", "z");
    Body->set("version", "v1");
    Body->set("slots", Accelerators);
    Body->set("state", "ready");
    Body->set("cold_remaining_ms", 0);
    Body->set("capacity", Capacity);
    Body->set("labels", Labels);
    Body->set("sequence", ++Sequence);
    Call.Method = "PUT";
    Call.Path = "/-/instances/" + Id;
    Call.Body = textOf(Body);
    Call.Timeout = HeartbeatTimeout;
  }
  if (const auto Answer = Agent.call(Call); Answer && Answer->Status == 200)
    return;
  // Without an acknowledgement the next heartbeat follows sooner.
  const std::lock_guard<std::mutex> Lock(Mutex);
  NextBeat = monotonicNow() + Milliseconds(200);
}

} // namespace baobabcove::review
