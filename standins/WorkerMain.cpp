/// \file
/// Stand-in of a worker: simulates tasks under leases on its machine's
/// monotonic clock, takes checkpoints, and can be made to fail all tasks. The
/// payload of a task selects its behaviour: "work_ms=N" is its run time,
/// "fail" makes it fail at its end, "checkpoint_ms=N" is the time that a
/// checkpoint takes, and "uses_mb=N" is the memory use that it reports.

#include "EventJournal.h"
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
ABSL_FLAG(std::string, journal, "",
          "file to which events of tasks are appended");

namespace baobabcove::standins {
namespace {

constexpr Milliseconds UpdatePeriod{20};
/// Period of "alive" events in the journal, which tell a reader when the
/// process was killed.
constexpr Milliseconds AliveEventPeriod{100};
constexpr std::uint64_t DefaultWorkMs = 1000;
/// Time after its start from which a task reports its memory use, since
/// measurements lag behind.
constexpr Milliseconds UsageReportDelay{500};

/// Returns the number after "\p Key=" in \p Payload, or \p Default when the key
/// is absent.
std::uint64_t payloadNumber(const std::string &Payload, const std::string &Key,
                            std::uint64_t Default) {
  const std::size_t Found = Payload.find(Key + "=");
  return Found == std::string::npos
             ? Default
             : std::stoull(Payload.substr(Found + Key.size() + 1));
}

Instant toInstant(std::uint64_t Ms) {
  return Instant(Milliseconds(static_cast<std::int64_t>(Ms)));
}

/// The tasks started by one order, which end together.
struct TaskGroup {
  platform::TaskOrder Order;
  std::string State = "running";
  Instant Started;
  Instant LeaseEnd;
  std::uint64_t ProgressMs = 0;
};

class SimulatedWorker {
public:
  SimulatedWorker() : Events(absl::GetFlag(FLAGS_journal)) {
    Events.write("boot", "-", "-");
  }

  HttpResponse handle(const HttpRequest &Request) {
    if (Request.Path == "/tasks")
      return reportTasks();
    if (Request.Path == "/tasks/start")
      return startTasks(Request);
    if (Request.Path == "/order/fail")
      FailAll = Request.query("on") != "false";
    if (Request.Path == "/order/fail")
      return jsonResponse("{}");
    return applyAction(Request);
  }

  /// Updates the progress of the running tasks, and ends those whose lease has
  /// expired, whose work is done, or that are to fail.
  void update() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Instant Now = monotonicNow();
    if (Now - LastAliveEvent >= AliveEventPeriod) {
      Events.write("alive", "-", "-");
      LastAliveEvent = Now;
    }
    for (auto &[Id, Each] : Groups) {
      if (Each.State != "running")
        continue;
      Each.ProgressMs =
          Each.Order.resume_ms() +
          static_cast<std::uint64_t>((Now - Each.Started).count());
      if (Now > Each.LeaseEnd)
        endGroup(Id, Each, "lapsed");
      else if (Each.ProgressMs >= workMsOf(Each))
        endGroup(Id, Each, shouldFail(Each) ? "failed" : "succeeded");
      else if (FailAll)
        endGroup(Id, Each, "failed");
    }
  }

private:
  static std::uint64_t workMsOf(const TaskGroup &Group) {
    return payloadNumber(Group.Order.payload(), "work_ms", DefaultWorkMs);
  }
  static bool shouldFail(const TaskGroup &Group) {
    return Group.Order.payload().find("fail") != std::string::npos;
  }

  static HttpResponse jsonResponse(const std::string &Body, int Status = 200) {
    HttpResponse Response;
    Response.Status = Status;
    Response.Body = Body;
    return Response;
  }

  void endGroup(const std::string &Id, TaskGroup &Group,
                const std::string &State) {
    Group.State = State;
    Events.write("end", Id, State);
  }

  /// Starts the tasks of an order unless its lease has expired. An order that
  /// is repeated starts nothing more.
  HttpResponse startTasks(const HttpRequest &Request) {
    platform::TaskOrder Order;
    if (!fromJson(Request.Body, Order))
      return jsonResponse("{}", 400);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (monotonicNow() > toInstant(Order.lease_until_ms()))
      return jsonResponse("{}", 409);
    if (Groups.count(Order.id()) == 0) {
      TaskGroup &NewGroup = Groups[Order.id()];
      NewGroup.Order = Order;
      NewGroup.Started = monotonicNow();
      NewGroup.LeaseEnd = toInstant(Order.lease_until_ms());
      Events.write("start", Order.id(),
                   std::to_string(Order.tasks() * Order.accelerators()));
    }
    return jsonResponse(toJson(statusOf(Groups[Order.id()])));
  }

  /// Renews the lease of tasks, or stops them with or without a checkpoint.
  HttpResponse applyAction(const HttpRequest &Request) {
    platform::TaskAction Action;
    if (!fromJson(Request.Body, Action))
      return jsonResponse("{}", 400);
    std::uint64_t CheckpointMs = 0;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      const auto Found = Groups.find(Action.id());
      if (Found == Groups.end())
        return jsonResponse("{}", Request.Path == "/tasks/stop" ? 200 : 404);
      CheckpointMs =
          payloadNumber(Found->second.Order.payload(), "checkpoint_ms", 0);
    }
    if (Request.Path == "/tasks/checkpoint")
      std::this_thread::sleep_for(Milliseconds(CheckpointMs));
    const std::lock_guard<std::mutex> Lock(Mutex);
    TaskGroup &Group = Groups[Action.id()];
    const bool IsRunning = Group.State == "running";
    if (Request.Path == "/tasks/renew" && IsRunning)
      Group.LeaseEnd = toInstant(Action.lease_until_ms());
    else if (IsRunning)
      endGroup(Action.id(), Group, "stopped");
    else if (Request.Path == "/tasks/checkpoint")
      return jsonResponse("{}", 409);
    return jsonResponse(toJson(statusOf(Group)));
  }

  HttpResponse reportTasks() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    platform::WorkerReport Report;
    Report.set_state("ready");
    for (const auto &[Id, Each] : Groups)
      *Report.add_tasks() = statusOf(Each);
    return jsonResponse(toJson(Report));
  }

  static platform::TaskStatus statusOf(const TaskGroup &Group) {
    platform::TaskStatus Status;
    Status.set_id(Group.Order.id());
    Status.set_state(Group.State);
    Status.set_progress_ms(Group.ProgressMs);
    if (monotonicNow() - Group.Started >= UsageReportDelay)
      Status.set_memory_mb_per_task(
          payloadNumber(Group.Order.payload(), "uses_mb", 0));
    return Status;
  }

  EventJournal Events;
  std::mutex Mutex;
  Instant LastAliveEvent;
  std::map<std::string, TaskGroup> Groups;
  std::atomic<bool> FailAll{false};
};

int serve() {
  blockSignals();
  SimulatedWorker Worker;
  auto Server = serveHttp(
      absl::GetFlag(FLAGS_address), HttpLimits(),
      [&](const HttpRequest &Request) { return Worker.handle(Request); });
  if (!Server)
    return 1;
  std::cout << "ready http=" << (*Server)->address() << std::endl;
  std::thread([&] {
    for (;;) {
      Worker.update();
      std::this_thread::sleep_for(UpdatePeriod);
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
