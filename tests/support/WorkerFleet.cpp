#include "WorkerFleet.h"

#include <algorithm>
#include <sstream>

#include <Poco/JSON/Parser.h>

namespace baobabcove::testing {

namespace {

constexpr const char *Port = ":8083";
constexpr Milliseconds Tick{10};
constexpr Milliseconds HeartbeatPeriod{1500};
constexpr Milliseconds HeartbeatTimeout{300};
constexpr std::size_t WorkersPerThread = 8;
constexpr std::size_t ThreadsPerWorker = 4;
/// Most time that a call may ask to wait for an end.
constexpr std::int64_t MaxHoldMs = 2000;
constexpr Milliseconds MaxLease{10000};
constexpr Milliseconds GangTimeout{4000};
constexpr Milliseconds FailsAfter{80};
/// The users' bounds: a job may have nothing running for this long, once no
/// fault has been near for CalmAfter.
constexpr Milliseconds MaxIdleWait{3000};
constexpr Milliseconds CalmAfter{4000};
constexpr int Conflict = 409;
const std::string InstancesPath = "/-/instances/";

std::string textOf(const Poco::JSON::Object &Body) {
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

HttpResponse respond(const Poco::JSON::Object::Ptr &Body, int Status = 200) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = textOf(*Body);
  return Response;
}

/// Returns "JOB.OCCURRENCE.STEP" of a task.
std::string stepOf(const std::string &Task) {
  return Task.substr(0, Task.rfind('.'));
}

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

std::string FleetJob::body() const {
  std::ostringstream Payload;
  Payload << WorkMs << ' ' << (IsGang ? Tasks : 1) << ' ' << MemoryMb << ' '
          << Accelerators;
  Poco::JSON::Object Step;
  Step.set("count", Tasks);
  Step.set("cpu", 1000);
  Step.set("mem_mb", MemoryMb);
  Step.set("gpu", Accelerators);
  Step.set("estimate_ms", EstimateMs);
  if (IsGang)
    Step.set("gang", true);
  if (InOneRack)
    Step.set("same_rack", true);
  Poco::JSON::Array::Ptr Steps = new Poco::JSON::Array;
  Steps->add(Step);
  Poco::JSON::Object Body;
  Body.set("spec", Payload.str());
  Body.set("steps", Steps);
  return textOf(Body);
}

WorkerFleet::WorkerFleet(const std::vector<std::string> &Addresses) {
  for (std::size_t W = 0; W < Addresses.size(); ++W) {
    Worker &At = *Workers.emplace_back(std::make_unique<Worker>());
    At.Ip = Addresses[W];
    At.Rack = "r" + std::to_string(W / WorkersPerRack);
    At.Agent = std::make_unique<HttpClient>(At.Ip + ":8082");
    beBorn(At);
    HttpLimits Limits;
    Limits.Threads = ThreadsPerWorker;
    auto Served =
        serveHttp(At.Ip + Port, Limits, [this, &At](const HttpRequest &Call) {
          return answer(At, Call);
        });
    At.Server = std::move(*Served);
  }
  for (std::size_t From = 0; From < Workers.size(); From += WorkersPerThread)
    Threads.emplace_back([this, From] {
      while (!Stopping)
        sendHeartbeats(From, std::min(From + WorkersPerThread, Workers.size()));
    });
  Threads.emplace_back([this] {
    for (Instant Last = monotonicNow(); !Stopping;) {
      std::this_thread::sleep_for(Tick);
      const Instant Now = monotonicNow();
      const std::lock_guard<std::mutex> Lock(Mutex);
      advance(Now - Last);
      checkWaits();
      Last = Now;
    }
  });
}

WorkerFleet::~WorkerFleet() {
  Stopping = true;
  Changed.notify_all();
  for (std::thread &Each : Threads)
    Each.join();
}

void WorkerFleet::beBorn(Worker &At) {
  static std::uint64_t Births = 0;
  At.Id = "i-" + std::to_string(++Births);
  At.BornAt = monotonicNow();
  At.BornMs = wallClockMs();
  At.Sequence = At.Fence = At.LastEnd = 0;
  At.Ends.clear();
  At.Barred.clear();
  At.IsUp = true;
}

std::int64_t WorkerFleet::clockMs(const Worker &At) const {
  return (monotonicNow() - At.BornAt).count();
}

void WorkerFleet::setMode(std::size_t Which, Mode Next) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Workers[Which]->Now = Next;
}

void WorkerFleet::crash(std::size_t Which, Milliseconds Down) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Worker &At = *Workers[Which];
  At.IsUp = false;
  At.UpAgain = monotonicNow() + Down;
  At.Running.clear();
  Changed.notify_all();
}

void WorkerFleet::restartUnderItsId(std::size_t Which) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Worker &At = *Workers[Which];
  const std::string Id = At.Id;
  At.Running.clear();
  beBorn(At);
  At.Id = Id;
  Changed.notify_all();
}

int WorkerFleet::sendChangedHeartbeat(std::size_t Which,
                                      const HeartbeatChange &Change) {
  HttpCall Call;
  Call.Method = "PUT";
  Call.Timeout = HeartbeatTimeout;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::string Id = Workers[Which]->Id;
    Object Body = heartbeat(*Workers[Which]);
    Change(Id, *Body);
    Call.Path = InstancesPath + Id;
    Call.Body = textOf(*Body);
  }
  const auto Answer = Workers[Which]->Agent->call(Call);
  return Answer ? Answer->Status : 0;
}

void WorkerFleet::announceEnd(std::size_t Which, const std::string &Id) {
  HttpCall Call;
  Call.Method = "DELETE";
  Call.Path = InstancesPath + Id;
  Call.Timeout = HeartbeatTimeout;
  (void)Workers[Which]->Agent->call(Call);
}

std::string WorkerFleet::idOf(std::size_t Which) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Workers[Which]->Id;
}

std::size_t WorkerFleet::workerOf(const std::string &Task) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Holder =
      std::find_if(Workers.begin(), Workers.end(),
                   [&](const auto &At) { return At->Running.count(Task) > 0; });
  return std::size_t(Holder - Workers.begin());
}

std::size_t WorkerFleet::startsOf(const std::string &Task) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Starts.find(Task);
  return Known == Starts.end() ? 0 : Known->second;
}

void WorkerFleet::noteAccepted(const std::string &Id, const FleetJob &Job) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Jobs[Id].Job = Job;
}

void WorkerFleet::noteFault() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  LastFault = monotonicNow();
}

bool WorkerFleet::isDone(const std::string &Id) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Known = Jobs.find(Id);
  return Known != Jobs.end() &&
         Known->second.Done.size() == Known->second.Job.Tasks;
}

std::string WorkerFleet::violations() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::string Text;
  for (const std::string &Each : Found)
    Text += Each + "\n";
  return Text;
}

Milliseconds WorkerFleet::longestIdleWait() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return LongestWait;
}

void WorkerFleet::report(const std::string &Violation) {
  constexpr std::size_t MaxReports = 20;
  if (Found.size() < MaxReports)
    Found.push_back(std::to_string(wallClockMs()) + " " + Violation);
}

WorkerFleet::Object WorkerFleet::reply(const Worker &At) const {
  Object Body = new Poco::JSON::Object;
  Body->set("clock_ms", clockMs(At));
  Body->set("born", At.BornMs);
  return Body;
}

HttpResponse WorkerFleet::answer(Worker &At, const HttpRequest &Request) {
  constexpr int WrongInstance = 421;
  const Object Order =
      Poco::JSON::Parser().parse(Request.Body).extract<Object>();
  std::unique_lock<std::mutex> Lock(Mutex);
  if (!At.IsUp || Request.header("expected-instance") != At.Id)
    return respond(reply(At), WrongInstance);
  const auto Token = Order->optValue<std::uint64_t>("fencing_token", 0);
  if (Token < At.Fence) {
    Object Body = reply(At);
    Body->set("reason", "fence");
    return respond(Body, Conflict);
  }
  At.Fence = Token;
  if (const auto Deadline = Order->optValue<std::int64_t>("deadline_ms", 0))
    At.LeaseUntil =
        std::max(At.LeaseUntil, std::min(At.BornAt + Milliseconds(Deadline),
                                         monotonicNow() + MaxLease));
  if (Request.Path == "/-/run-start")
    return start(At, Order);
  if (Request.Path == "/-/run-stop")
    return stop(At, Order);
  return hold(At, Order, Lock);
}

bool WorkerFleet::hasRoom(const Worker &At, std::int64_t NeedMb,
                          std::int64_t NeedAccelerators) const {
  for (const auto &[Task, Each] : At.Running) {
    NeedMb += Each.MemoryMb;
    NeedAccelerators += Each.Accelerators;
  }
  return NeedMb <= MemoryMb && NeedAccelerators <= Accelerators;
}

HttpResponse WorkerFleet::start(Worker &At, const Object &Order) {
  const auto Task = Order->getValue<std::string>("task");
  const auto Number = Order->getValue<std::uint64_t>("run");
  Run Next;
  Next.Number = Number;
  Next.Since = monotonicNow();
  std::istringstream Payload(Order->optValue<std::string>("spec", ""));
  Payload >> Next.WorkMs >> Next.GangSize >> Next.MemoryMb >> Next.Accelerators;
  const auto Refuse = [&](const char *Why) {
    Object Body = reply(At);
    Body->set("reason", Why);
    return respond(Body, Conflict);
  };
  if (const auto Here = At.Running.find(Task); Here != At.Running.end())
    return Here->second.Number == Number ? respond(reply(At)) : Refuse("old");
  if (const auto Bar = At.Barred.find(Task);
      Bar != At.Barred.end() && Number <= Bar->second)
    return Refuse("old");
  if (At.LeaseUntil < monotonicNow())
    return Refuse("late");
  if (!hasRoom(At, Next.MemoryMb, Next.Accelerators))
    return Refuse("room");
  for (const auto &Other : Workers)
    if (Other->IsUp && Other->Running.count(Task))
      report("TWICE: " + Task + " starts as run " + std::to_string(Number) +
             " on " + At.Ip + " and runs on " + Other->Ip);
  if (AcknowledgedDone.count(Task))
    report("TWICE: " + Task + " starts again after its end was acknowledged");
  At.Running[Task] = Next;
  ++Starts[Task];
  return respond(reply(At));
}

HttpResponse WorkerFleet::stop(Worker &At, const Object &Order) {
  const auto Task = Order->getValue<std::string>("task");
  const auto Number = Order->getValue<std::uint64_t>("run");
  const auto Here = At.Running.find(Task);
  if (Here != At.Running.end() && Here->second.Number <= Number)
    end(At, Task, "stopped");
  std::uint64_t &Bar = At.Barred[Task];
  Bar = std::max(Bar, Number);
  return respond(reply(At));
}

HttpResponse WorkerFleet::hold(Worker &At, const Object &Order,
                               std::unique_lock<std::mutex> &Lock) {
  const auto Through = Order->optValue<std::uint64_t>("acked_through", 0);
  while (!At.Ends.empty() && At.Ends.front().Number <= Through) {
    if (At.Ends.front().How == "done")
      AcknowledgedDone.insert(At.Ends.front().Task);
    At.Ends.pop_front();
  }
  const std::string Id = At.Id;
  const Milliseconds Wait(
      std::min(Order->optValue<std::int64_t>("wait_ms", 0), MaxHoldMs));
  Changed.wait_for(Lock, Wait, [&] {
    return Stopping || !At.IsUp || At.Id != Id || !At.Ends.empty();
  });
  Poco::JSON::Array::Ptr Running = new Poco::JSON::Array;
  for (const auto &[Task, Each] : At.Running) {
    Poco::JSON::Array::Ptr Row = new Poco::JSON::Array;
    Row->add(Task);
    Row->add(Each.Number);
    Row->add("");
    Row->add(Each.WorkMs > 0 ? 100 * Each.DoneMs / Each.WorkMs : 0);
    Running->add(Row);
  }
  Poco::JSON::Array::Ptr Ends = new Poco::JSON::Array;
  for (const End &Each : At.Ends) {
    Poco::JSON::Array::Ptr Row = new Poco::JSON::Array;
    Row->add(Each.Number);
    Row->add(Each.Task);
    Row->add(Each.Run);
    Row->add(Each.How);
    Row->add("");
    Ends->add(Row);
  }
  Object Body = reply(At);
  Body->set("running", Running);
  Body->set("ended", Ends);
  return respond(Body);
}

void WorkerFleet::end(Worker &At, const std::string &Task,
                      const std::string &How) {
  // Task may be the key of the run, which stays valid with the extracted node.
  const auto Ended = At.Running.extract(Task);
  const std::uint64_t Number = Ended.mapped().Number;
  const bool IsGang = Ended.mapped().GangSize > 1;
  At.Ends.push_back({++At.LastEnd, Task, Number, How});
  std::uint64_t &Bar = At.Barred[Task];
  Bar = std::max(Bar, Number);
  if (How == "done")
    Jobs[jobOf(Task)].Done.insert(Task);
  if (IsGang && How != "done" && How != "broken")
    endGang(stepOf(Task), Number, "broken");
  Changed.notify_all();
}

void WorkerFleet::endGang(const std::string &Step, std::uint64_t Number,
                          const std::string &How) {
  for (const auto &At : Workers) {
    std::vector<std::string> Members;
    for (const auto &[Task, Each] : At->Running)
      if (stepOf(Task) == Step && Each.Number == Number)
        Members.push_back(Task);
    for (const std::string &Member : Members)
      end(*At, Member, How);
  }
}

void WorkerFleet::endAll(Worker &At, const std::string &How) {
  while (!At.Running.empty())
    end(At, At.Running.begin()->first, How);
}

void WorkerFleet::advance(Milliseconds Passed) {
  const Instant Now = monotonicNow();
  for (const auto &At : Workers) {
    if (!At->IsUp && Now >= At->UpAgain)
      beBorn(*At);
    if (At->LeaseUntil < Now)
      endAll(*At, "lapsed");
    std::vector<std::pair<std::string, std::string>> Ended;
    for (auto &[Task, Each] : At->Running) {
      if (At->Now == Mode::Fails && Now - Each.Since > FailsAfter)
        Ended.emplace_back(Task, "failed");
      else if (Each.GangSize == 1 && At->Now != Mode::Stalls)
        Each.DoneMs += Passed.count();
      if (Each.GangSize == 1 && Each.DoneMs >= Each.WorkMs)
        Ended.emplace_back(Task, "done");
    }
    for (const auto &[Task, How] : Ended)
      if (At->Running.count(Task))
        end(*At, Task, How);
  }
  advanceGangs(Passed);
}

void WorkerFleet::advanceGangs(Milliseconds Passed) {
  const Instant Now = monotonicNow();
  struct Gang {
    std::vector<Run *> Members;
    bool IsStalled = false;
    Instant Oldest = Instant::max();
  };
  std::map<std::pair<std::string, std::uint64_t>, Gang> Gangs;
  for (const auto &At : Workers)
    for (auto &[Task, Each] : At->Running)
      if (Each.GangSize > 1) {
        Gang &Known = Gangs[{stepOf(Task), Each.Number}];
        Known.Members.push_back(&Each);
        Known.IsStalled |= At->Now == Mode::Stalls;
        Known.Oldest = std::min(Known.Oldest, Each.Since);
      }
  for (const auto &[Name, Known] : Gangs) {
    const bool IsWhole =
        Known.Members.size() == Known.Members.front()->GangSize;
    if (!IsWhole && Known.Members.front()->DoneMs == 0 &&
        Now - Known.Oldest > GangTimeout) {
      endGang(Name.first, Name.second, "alone");
      continue;
    }
    if (!IsWhole || Known.IsStalled)
      continue;
    for (Run *Member : Known.Members)
      Member->DoneMs += Passed.count();
    if (Known.Members.front()->DoneMs >= Known.Members.front()->WorkMs)
      endGang(Name.first, Name.second, "done");
  }
}

bool WorkerFleet::isHalfUsed() const {
  std::int64_t Memory = 0;
  std::int64_t Used = 0;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running) {
      Memory += Each.MemoryMb;
      Used += Each.Accelerators;
    }
  const auto Count = std::int64_t(Workers.size());
  return 2 * Memory >= Count * MemoryMb || 2 * Used >= Count * Accelerators;
}

bool WorkerFleet::isRoomTwiceOver(const FleetJob &Job) const {
  std::size_t Places = 0;
  for (const auto &At : Workers) {
    if (!At->IsUp || At->Now != Mode::Sound)
      continue;
    for (std::int64_t Tasks = 1;
         hasRoom(*At, Tasks * Job.MemoryMb, Tasks * Job.Accelerators) &&
         Tasks <= Accelerators;
         ++Tasks)
      ++Places;
  }
  return Places >= 2 * (Job.IsGang ? Job.Tasks : 1);
}

void WorkerFleet::checkWaits() {
  const Instant Now = monotonicNow();
  const bool IsCalm = Now - LastFault > CalmAfter && !isHalfUsed();
  std::set<std::string> Active;
  for (const auto &At : Workers)
    for (const auto &[Task, Each] : At->Running)
      Active.insert(jobOf(Task));
  for (auto &[Id, Known] : Jobs) {
    if (!IsCalm || Known.Done.size() >= Known.Job.Tasks || Active.count(Id) ||
        Known.Job.Tasks == 0 || !isRoomTwiceOver(Known.Job)) {
      Known.IdleSince = Now;
      continue;
    }
    if (Known.IdleSince == Instant{})
      Known.IdleSince = Now;
    LongestWait = std::max(LongestWait, Now - Known.IdleSince);
    if (Now - Known.IdleSince > MaxIdleWait && !Known.IsReported) {
      Known.IsReported = true;
      report("LOST: job " + Id + " of " + std::to_string(Known.Job.Tasks) +
             " tasks has nothing running although there is room twice over");
    }
  }
}

WorkerFleet::Object WorkerFleet::heartbeat(Worker &At) const {
  Poco::JSON::Object::Ptr Capacity = new Poco::JSON::Object;
  Capacity->set("cpu", MilliCores);
  Capacity->set("mem_mb", MemoryMb);
  Capacity->set("gpu", Accelerators);
  Poco::JSON::Array::Ptr Labels = new Poco::JSON::Array;
  Labels->add("a");
  Labels->add(At.Rack);
  Object Body = reply(At);
  Body->set("service", "planner");
  Body->set("address", At.Ip + Port);
  Body->set("zone", "z");
  Body->set("version", "v1");
  Body->set("slots", Accelerators);
  Body->set("state", "ready");
  Body->set("cold_remaining_ms", 0);
  Body->set("capacity", Capacity);
  Body->set("labels", Labels);
  Body->set("sequence", ++At.Sequence);
  return Body;
}

void WorkerFleet::sendHeartbeats(std::size_t From, std::size_t To) {
  const Instant Next = monotonicNow() + HeartbeatPeriod;
  for (std::size_t W = From; W < To; ++W) {
    HttpCall Call;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Worker &At = *Workers[W];
      if (!At.IsUp)
        continue;
      Call.Method = "PUT";
      Call.Path = InstancesPath + At.Id;
      Call.Body = textOf(*heartbeat(At));
    }
    Call.Timeout = HeartbeatTimeout;
    (void)Workers[W]->Agent->call(Call);
  }
  while (!Stopping && monotonicNow() < Next)
    std::this_thread::sleep_for(Tick);
}

} // namespace baobabcove::testing
