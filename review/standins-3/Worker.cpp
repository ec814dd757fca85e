//===-- Worker.cpp - Stand-in of a worker ---------------------------------===//
//
// worker ADDRESS AGENT SERVICE ID RACK JOURNAL: serves the worker's API, as the
// users' protocol page describes it, for tasks that are no gangs. The payload
// of a task names its work in milliseconds and its accelerators. Starts and
// ends are appended to the journal as "unix-ms event task run worker-id".
// SIGUSR1 cuts the worker off, and SIGUSR2 ends that: meanwhile it answers no
// call, carries none out, sends nothing, and its runs go on.
//
//===----------------------------------------------------------------------===//

#include "Programs.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
using Poco::JSON::Array;
using Poco::JSON::Object;
using std::chrono::milliseconds;

constexpr std::int64_t MilliCores = 32000;
constexpr std::int64_t MemoryMb = 131072;
constexpr std::int64_t Accelerators = 8;
constexpr std::int64_t MaxLeaseMs = 10000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxEnds = 500;
constexpr milliseconds HeartbeatPeriod{1500};
constexpr milliseconds Tick{10};

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::atomic<bool> IsCutOff{false};

void onSignal(int Number) { IsCutOff = Number == SIGUSR1; }

struct Answer {
  int Status = 200;
  std::string Body;
};

struct Run {
  std::int64_t Number = 0;
  std::int64_t WorkMs = 0;
  std::int64_t Accelerators = 0;
  Clock::time_point Since;
};

struct End {
  std::int64_t Number = 0;
  std::string Task;
  std::int64_t Run = 0;
  std::string How;
};

std::string textOf(const Object &Body) {
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

class Worker {
public:
  Worker(std::string Address, std::string Service, std::string Id,
         std::string Rack, const std::string &Journal)
      : Address(std::move(Address)), Service(std::move(Service)),
        Id(std::move(Id)), Rack(std::move(Rack)),
        Journal(Journal, std::ios::app) {}

  Answer answer(const std::string &Path, const std::string &Instance,
                const std::string &Body) {
    Poco::JSON::Parser Parser;
    const auto Order = Parser.parse(Body).extract<Object::Ptr>();
    std::unique_lock<std::mutex> Lock(Mutex);
    advance();
    if (Instance != Id)
      return reply(421, "");
    const auto Token = Order->optValue<std::int64_t>("fencing_token", 0);
    if (Token < Fence)
      return reply(409, "fence");
    Fence = Token;
    const auto Deadline = Order->optValue<std::int64_t>("deadline_ms", 0);
    LeaseUntilMs =
        std::max(LeaseUntilMs,
                 std::min(Deadline, Deadline ? clockMs() + MaxLeaseMs : 0));
    if (Path == "/-/run-start")
      return start(*Order, Deadline);
    if (Path == "/-/run-stop")
      return stop(*Order);
    return hold(*Order, Lock);
  }

  std::string heartbeat() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Object::Ptr Capacity = new Object;
    Capacity->set("cpu", MilliCores);
    Capacity->set("mem_mb", MemoryMb);
    Capacity->set("gpu", Accelerators);
    Array::Ptr Labels = new Array;
    Labels->add("a");
    Labels->add(Rack);
    Object Body;
    Body.set("service", Service);
    Body.set("address", Address);
    Body.set("zone", "zone-a");
    Body.set("version", "v1");
    Body.set("slots", Accelerators);
    Body.set("state", "ready");
    Body.set("cold_remaining_ms", 0);
    Body.set("capacity", Capacity);
    Body.set("labels", Labels);
    Body.set("clock_ms", clockMs());
    Body.set("born", Born);
    Body.set("sequence", ++Sequence);
    return textOf(Body);
  }

  void tick() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    advance();
  }

private:
  std::int64_t clockMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - BornAt)
        .count();
  }

  Object baseReply() const {
    Object Body;
    Body.set("clock_ms", clockMs());
    Body.set("born", Born);
    return Body;
  }

  Answer reply(int Status, const std::string &Reason) const {
    Object Body = baseReply();
    if (!Reason.empty())
      Body.set("reason", Reason);
    return {Status, textOf(Body)};
  }

  void write(const std::string &Event, const std::string &Task,
             std::int64_t Number) {
    Journal << unixMs() << ' ' << Event << ' ' << Task << ' ' << Number << ' '
            << Id << std::endl;
  }

  Answer start(const Object &Order, std::int64_t Deadline) {
    const auto Task = Order.getValue<std::string>("task");
    Run Next;
    Next.Number = Order.getValue<std::int64_t>("run");
    Next.Since = Clock::now();
    std::istringstream(Order.optValue<std::string>("spec", "")) >>
        Next.WorkMs >> Next.Accelerators;
    if (const auto Here = Running.find(Task); Here != Running.end())
      return Here->second.Number == Next.Number ? reply(200, "")
                                                : reply(409, "old");
    if (const auto Bar = Barred.find(Task);
        Bar != Barred.end() && Next.Number <= Bar->second)
      return reply(409, "old");
    if (clockMs() > Deadline)
      return reply(409, "late");
    std::int64_t Used = Next.Accelerators;
    for (const auto &[Other, Each] : Running)
      Used += Each.Accelerators;
    if (Used > Accelerators)
      return reply(409, "room");
    Running[Task] = Next;
    write("start", Task, Next.Number);
    return reply(200, "");
  }

  Answer stop(const Object &Order) {
    const auto Task = Order.getValue<std::string>("task");
    const auto Number = Order.getValue<std::int64_t>("run");
    if (const auto Here = Running.find(Task);
        Here != Running.end() && Here->second.Number <= Number)
      end(Task, "stopped");
    std::int64_t &Bar = Barred[Task];
    Bar = std::max(Bar, Number);
    return reply(200, "");
  }

  Answer hold(const Object &Order, std::unique_lock<std::mutex> &Lock) {
    const auto Through = Order.optValue<std::int64_t>("acked_through", 0);
    while (!Ends.empty() && Ends.front().Number <= Through)
      Ends.pop_front();
    const milliseconds Wait(
        std::min(Order.optValue<std::int64_t>("wait_ms", 0), MaxWaitMs));
    Changed.wait_for(Lock, Wait, [&] { return !Ends.empty(); });
    Array::Ptr Runs = new Array;
    for (const auto &[Task, Each] : Running) {
      Array::Ptr Row = new Array;
      Row->add(Task);
      Row->add(Each.Number);
      Row->add("");
      const auto RanMs =
          std::chrono::duration_cast<milliseconds>(Clock::now() - Each.Since)
              .count();
      Row->add(std::min<std::int64_t>(
          99, 100 * RanMs / std::max<std::int64_t>(Each.WorkMs, 1)));
      Row->add(0);
      Runs->add(Row);
    }
    Array::Ptr Ended = new Array;
    for (std::size_t I = 0; I < std::min(Ends.size(), MaxEnds); ++I) {
      Array::Ptr Row = new Array;
      Row->add(Ends[I].Number);
      Row->add(Ends[I].Task);
      Row->add(Ends[I].Run);
      Row->add(Ends[I].How);
      Row->add("");
      Ended->add(Row);
    }
    Object Body = baseReply();
    Body.set("running", Runs);
    Body.set("ended", Ended);
    return {200, textOf(Body)};
  }

  void end(const std::string &Task, const std::string &How) {
    const std::int64_t Number = Running.at(Task).Number;
    Ends.push_back({++LastEnd, Task, Number, How});
    std::int64_t &Bar = Barred[Task];
    Bar = std::max(Bar, Number);
    write(How, Task, Number);
    Running.erase(Task);
    Changed.notify_all();
  }

  /// Ends the runs whose work is done or whose lease has expired.
  void advance() {
    const bool HasLapsed = clockMs() > LeaseUntilMs;
    std::vector<std::string> Over;
    for (const auto &[Task, Each] : Running)
      if (HasLapsed || Clock::now() - Each.Since >= milliseconds(Each.WorkMs))
        Over.push_back(Task);
    for (const std::string &Task : Over)
      end(Task, HasLapsed ? "lapsed" : "done");
  }

  const std::string Address;
  const std::string Service;
  const std::string Id;
  const std::string Rack;
  const std::int64_t Born = unixMs();
  const Clock::time_point BornAt = Clock::now();
  std::mutex Mutex;
  std::condition_variable Changed;
  std::ofstream Journal;
  std::int64_t Sequence = 0;
  std::int64_t Fence = 0;
  std::int64_t LeaseUntilMs = 0;
  std::map<std::string, Run> Running;
  std::map<std::string, std::int64_t> Barred;
  std::deque<End> Ends;
  std::int64_t LastEnd = 0;
};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(Worker &At) : At(At) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (IsCutOff) {
      // The caller has given up long before the answer, which says that nothing
      // was done.
      while (IsCutOff)
        std::this_thread::sleep_for(Tick);
      Response.setStatus("503");
      Response.sendBuffer("{}", 2);
      return;
    }
    const Answer Given =
        At.answer(Request.getURI(), Request.get("Expected-Instance", ""), Body);
    Response.setStatus(std::to_string(Given.Status));
    Response.setContentType("application/json");
    Response.setKeepAlive(true);
    Response.sendBuffer(Given.Body.data(), Given.Body.size());
  }

private:
  Worker &At;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(Worker &At) : At(At) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(At);
  }

private:
  Worker &At;
};

void sendHeartbeat(const std::string &Agent, const std::string &Id,
                   const std::string &Body) {
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Agent)};
    Session.setTimeout(Poco::Timespan(1, 0));
    Poco::Net::HTTPRequest Request("PUT", "/-/instances/" + Id,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body << std::flush;
    Poco::Net::HTTPResponse Response;
    std::string Ignored;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     Ignored);
  } catch (const Poco::Exception &) {
    // The next heartbeat follows.
  }
}

} // namespace

int runWorker(const std::vector<std::string> &Arguments) {
  if (Arguments.size() != 6)
    return 2;
  (void)std::signal(SIGUSR1, &onSignal);
  (void)std::signal(SIGUSR2, &onSignal);
  Worker This(Arguments[0], Arguments[2], Arguments[3], Arguments[4],
              Arguments[5]);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setKeepAlive(true);
  Poco::Net::HTTPServer Server(
      new Factory(This), threadPool(),
      Poco::Net::ServerSocket(Poco::Net::SocketAddress(Arguments[0])), Params);
  Server.start();
  std::thread([&] {
    for (;; std::this_thread::sleep_for(Tick))
      This.tick();
  }).detach();
  std::cout << "ready" << std::endl;
  for (;; std::this_thread::sleep_for(HeartbeatPeriod))
    if (!IsCutOff)
      sendHeartbeat(Arguments[1], Arguments[3], This.heartbeat());
}

} // namespace review
