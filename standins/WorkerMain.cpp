/// \file
/// Stand-in of a worker: runs tasks under leases on its machine's monotonic
/// clock, writes checkpoints, and can be told to fail everything. What tasks
/// do is said in their payload: "work_ms=N", "fail", "checkpoint_ms=N" and
/// "uses_mb=N", which is measured after a lag.

#include "Journal.h"
#include "base/HttpClient.h"
#include "base/Signals.h"
#include "http/HttpServer.h"
#include "platform.pb.h"

#include <atomic>
#include <iostream>
#include <map>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "ip:port to serve on");
ABSL_FLAG(std::string, journal, "", "file that lists what was run");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds StepPeriod{20};
/// Signs of life in the journal, so that a reader knows when it was killed.
constexpr Milliseconds SignPeriod{100};
constexpr std::uint64_t DefaultWorkMs = 1000;
/// Time after its start from which the use of a task is known.
constexpr Milliseconds UsageLag{500};

std::uint64_t payloadNumber(const std::string &Payload, const std::string &Key,
                            std::uint64_t Default) {
  const std::size_t At = Payload.find(Key + "=");
  return At == std::string::npos
             ? Default
             : std::stoull(Payload.substr(At + Key.size() + 1));
}

Instant leaseEnd(std::uint64_t Ms) {
  return Instant(Milliseconds(static_cast<std::int64_t>(Ms)));
}

/// The tasks that one order started.
struct Tasks {
  platform::TaskOrder Order;
  std::string State = "running";
  Instant Started;
  Instant Lease;
  std::uint64_t ProgressMs = 0;
};

class Worker {
public:
  Worker() : Ran(absl::GetFlag(FLAGS_journal)) { Ran.write("boot", "-", "-"); }

  HttpResponse answer(const HttpRequest &Request) {
    if (Request.Path == "/tasks")
      return report();
    if (Request.Path == "/tasks/start")
      return start(Request);
    if (Request.Path == "/order/fail")
      FailEverything = Request.query("on") != "false";
    if (Request.Path == "/order/fail")
      return status("{}");
    return act(Request);
  }

  /// Moves every task on; a task whose lease has lapsed is stopped.
  void step() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Instant Now = monotonicNow();
    if (Now - LastSign >= SignPeriod) {
      Ran.write("alive", "-", "-");
      LastSign = Now;
    }
    for (auto &[Id, Each] : All) {
      if (Each.State != "running")
        continue;
      Each.ProgressMs =
          Each.Order.resume_ms() +
          static_cast<std::uint64_t>((Now - Each.Started).count());
      if (Now > Each.Lease)
        end(Id, Each, "lapsed");
      else if (Each.ProgressMs >= workOf(Each))
        end(Id, Each, fails(Each) ? "failed" : "succeeded");
      else if (FailEverything)
        end(Id, Each, "failed");
    }
  }

private:
  static std::uint64_t workOf(const Tasks &Of) {
    return payloadNumber(Of.Order.payload(), "work_ms", DefaultWorkMs);
  }
  static bool fails(const Tasks &Of) {
    return Of.Order.payload().find("fail") != std::string::npos;
  }

  static HttpResponse status(const std::string &Body, int Code = 200) {
    HttpResponse Response;
    Response.Status = Code;
    Response.Body = Body;
    return Response;
  }

  void end(const std::string &Id, Tasks &Of, const std::string &State) {
    Of.State = State;
    Ran.write("end", Id, State);
  }

  HttpResponse start(const HttpRequest &Request) {
    platform::TaskOrder Order;
    if (!fromJson(Request.Body, Order))
      return status("{}", 400);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (monotonicNow() > leaseEnd(Order.lease_until_ms()))
      return status("{}", 409);
    if (All.count(Order.id()) == 0) {
      Tasks &Fresh = All[Order.id()];
      Fresh.Order = Order;
      Fresh.Started = monotonicNow();
      Fresh.Lease = leaseEnd(Order.lease_until_ms());
      Ran.write("start", Order.id(),
                std::to_string(Order.tasks() * Order.accelerators()));
    }
    return status(toJson(statusOf(All[Order.id()])));
  }

  HttpResponse act(const HttpRequest &Request) {
    platform::TaskAction Action;
    if (!fromJson(Request.Body, Action))
      return status("{}", 400);
    std::uint64_t CheckpointMs = 0;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      const auto Found = All.find(Action.id());
      if (Found == All.end())
        return status("{}", Request.Path == "/tasks/stop" ? 200 : 404);
      CheckpointMs =
          payloadNumber(Found->second.Order.payload(), "checkpoint_ms", 0);
    }
    if (Request.Path == "/tasks/checkpoint")
      std::this_thread::sleep_for(Milliseconds(CheckpointMs));
    const std::lock_guard<std::mutex> Lock(Mutex);
    Tasks &Of = All[Action.id()];
    const bool Running = Of.State == "running";
    if (Request.Path == "/tasks/renew" && Running)
      Of.Lease = leaseEnd(Action.lease_until_ms());
    else if (Running)
      end(Action.id(), Of, "stopped");
    else if (Request.Path == "/tasks/checkpoint")
      return status("{}", 409);
    return status(toJson(statusOf(Of)));
  }

  HttpResponse report() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    platform::WorkerReport Report;
    Report.set_state("ready");
    for (const auto &[Id, Each] : All)
      *Report.add_tasks() = statusOf(Each);
    return status(toJson(Report));
  }

  static platform::TaskStatus statusOf(const Tasks &Of) {
    platform::TaskStatus Status;
    Status.set_id(Of.Order.id());
    Status.set_state(Of.State);
    Status.set_progress_ms(Of.ProgressMs);
    if (monotonicNow() - Of.Started >= UsageLag)
      Status.set_memory_mb_per_task(
          payloadNumber(Of.Order.payload(), "uses_mb", 0));
    return Status;
  }

  Journal Ran;
  std::mutex Mutex;
  Instant LastSign;
  std::map<std::string, Tasks> All;
  std::atomic<bool> FailEverything{false};
};

int serve() {
  blockSignals();
  Worker Mine;
  auto Server = serveHttp(
      absl::GetFlag(FLAGS_address), HttpLimits(),
      [&](const HttpRequest &Request) { return Mine.answer(Request); });
  if (!Server)
    return 1;
  std::cout << "ready http=" << (*Server)->address() << std::endl;
  std::thread([&] {
    for (;;) {
      Mine.step();
      std::this_thread::sleep_for(StepPeriod);
    }
  }).detach();
  waitForStop([] {});
  std::_Exit(0);
}

} // namespace
} // namespace baobabcove::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return baobabcove::standins::serve();
}
