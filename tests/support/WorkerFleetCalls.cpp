/// \file
/// The part of WorkerFleet that serves the workers' HTTP API.

#include "WorkerFleet.h"

#include "Unanswered.h"

#include <algorithm>
#include <sstream>

#include <Poco/JSON/Parser.h>

namespace baobabcove::testing {

namespace {

/// Longer than the callers' timeouts, but for listings that wait.
constexpr Milliseconds Silence{1500};
/// Most time that a call may ask to wait for an end.
constexpr std::int64_t MaxHoldMs = 2000;
constexpr Milliseconds MaxLease{10000};
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

HttpResponse respond(const Poco::JSON::Object::Ptr &Body, int Status = 200) {
  std::ostringstream Out;
  Body->stringify(Out);
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Out.str();
  return Response;
}

} // namespace

WorkerFleet::Object WorkerFleet::reply(const Worker &At) const {
  Object Body = new Poco::JSON::Object;
  Body->set("clock_ms", clockMs(At));
  Body->set("born", At.BornMs);
  return Body;
}

HttpResponse WorkerFleet::answer(Worker &At, const HttpRequest &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (Request.Connection <= At.EndedConnections)
    throw Unanswered();
  At.LastConnection = std::max(At.LastConnection, Request.Connection);
  if (At.IsUp && postpone(At, Request)) {
    Changed.wait_for(Lock, Silence, [&] { return Stopping || !At.IsUp; });
    throw Unanswered();
  }
  if (!At.IsUp)
    throw Unanswered();
  HttpResponse Response = carryOut(At, Request, &Lock);
  // A listing that was waiting for an end when its path was delayed.
  if (Request.Path == ListingPath && At.DelayedPath == ListingPath)
    throw Unanswered();
  if (Request.Path == ListingPath && At.LostListings > 0) {
    --At.LostListings;
    Judge.note("answer lost of " + At.Ip);
    throw Unanswered();
  }
  return Response;
}

bool WorkerFleet::postpone(Worker &At, const HttpRequest &Request) {
  constexpr int OneIn = 3;
  constexpr int MaxLateMs = 5000;
  const bool IsDelayed = Request.Path == At.DelayedPath;
  if (!IsDelayed && (!At.IsLate || !LateDice.oneIn(OneIn)))
    return false;
  const Milliseconds Delay =
      IsDelayed ? At.DelayedBy : Milliseconds(LateDice.upTo(MaxLateMs));
  At.Late.push_back({monotonicNow() + Delay, At.BornMs, Request});
  return true;
}

void WorkerFleet::carryOutLateCalls(Worker &At) {
  const auto Later = std::stable_partition(
      At.Late.begin(), At.Late.end(),
      [Now = monotonicNow()](const auto &Each) { return Each.Due > Now; });
  const std::vector<LateCall> Due(Later, At.Late.end());
  At.Late.erase(Later, At.Late.end());
  for (const LateCall &Each : Due) {
    // A listing of an earlier incarnation of the same id would discard ends of
    // this one that nobody has seen. No system could tell.
    const bool ReachesNextLife =
        LateCallsReachNextLife && Each.Request.Path != ListingPath;
    if (!At.IsUp || (Each.BornMs != At.BornMs && !ReachesNextLife))
      continue;
    const std::size_t Before = StartCount;
    const HttpResponse Response = carryOut(At, Each.Request, nullptr);
    LateStarts += StartCount - Before;
    Judge.note("late " + Each.Request.Path + " on " + At.Ip + " status " +
               std::to_string(Response.Status) + " " + Each.Request.Body);
  }
}

HttpResponse WorkerFleet::carryOut(Worker &At, const HttpRequest &Request,
                                   std::unique_lock<std::mutex> *Lock) {
  constexpr int WrongInstance = 421;
  const Object Order =
      Poco::JSON::Parser().parse(Request.Body).extract<Object>();
  if (Request.header("expected-instance") != At.Id)
    return respond(reply(At), WrongInstance);
  const auto Token = Order->optValue<std::uint64_t>("fencing_token", 0);
  if (Token < At.Fence) {
    Object Body = reply(At);
    Body->set("reason", "fence");
    return respond(Body, Conflict);
  }
  At.Fence = Token;
  if (const auto Deadline = Order->optValue<std::int64_t>("deadline_ms", 0)) {
    const Instant Until =
        std::min(At.BornAt + Milliseconds(Deadline), monotonicNow() + MaxLease);
    // Ends before a lapse keep its mark, also if the lease is extended before
    // the lapse is noticed.
    if (At.LeaseUntil < monotonicNow())
      lapse(At);
    At.LeaseUntil = std::max(At.LeaseUntil, Until);
  }
  if (Request.Path == StartPath)
    return start(At, Order, !Lock);
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

HttpResponse WorkerFleet::start(Worker &At, const Object &Order, bool IsLate) {
  const auto Task = Order->getValue<std::string>("task");
  const auto Number = Order->getValue<std::uint64_t>("run");
  Run Next;
  Next.Number = Number;
  Next.Since = monotonicNow();
  Next.IsLate = IsLate;
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
  // The lease may be longer than the order's own deadline.
  const auto Deadline = Order->optValue<std::int64_t>("deadline_ms", 0);
  if (clockMs(At) > Deadline || At.LeaseUntil < monotonicNow())
    return Refuse("late");
  if (!hasRoom(At, Next.MemoryMb, Next.Accelerators))
    return Refuse("room");
  if (At.Now == Mode::Refuses)
    return respond(new Poco::JSON::Object, Unavailable);
  At.Running[Task] = Next;
  ++Starts[Task];
  ++StartedRuns[Task.substr(0, Task.find('.'))][Number];
  ++StartCount;
  const SeenRun Begun{Task, Number, At.Ip, Next.GangSize > 1, IsLate};
  States.noteBegun(jobOf(Task));
  Judge.noteStart(Begun);
  Attempts.noteStart(Begun);
  checkRuns();
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
                               std::unique_lock<std::mutex> *Lock) {
  const auto Through = Order->optValue<std::uint64_t>("acked_through", 0);
  while (!At.Ends.empty() && At.Ends.front().Number <= Through) {
    const End &Each = At.Ends.front();
    const SeenRun Run{Each.Task, Each.Run, At.Ip, Each.IsGang, false};
    if (Each.How == "done" && !Each.HasLapsed) {
      Jobs[jobOf(Each.Task)].Noted.insert(Each.Task);
      Judge.noteAcknowledged(Run, Each.At);
    } else if (Each.How == "failed" && !Each.HasLapsed)
      Attempts.noteAcknowledged(Run, Each.At);
    States.noteAcknowledged(jobOf(Each.Task), monotonicNow());
    At.Ends.pop_front();
  }
  const Milliseconds Wait(
      std::min(Order->optValue<std::int64_t>("wait_ms", 0), MaxHoldMs));
  const std::int64_t BornMs = At.BornMs;
  if (Lock)
    Changed.wait_for(*Lock, Wait, [&] {
      return Stopping || !At.IsUp || At.BornMs != BornMs || !At.Ends.empty();
    });
  if (!At.IsUp || At.BornMs != BornMs)
    throw Unanswered();
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

} // namespace baobabcove::testing
