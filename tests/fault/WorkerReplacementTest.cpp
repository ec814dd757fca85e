// Messages about a worker that nothing proves, sent to the agents of a small
// deployment of real processes. None of them may end the worker's runs.

#include "TaskDeployment.h"
#include "WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

const std::string Job = "1000000000000001";
const std::string Task = Job + ".0.0.0";
/// Longer than a lease.
constexpr std::int64_t WorkMs = 9000;
constexpr std::int64_t FutureMs = 60000;

} // namespace

TEST_GROUP(WorkerReplacement) {
  std::unique_ptr<TaskDeployment> System;
  std::unique_ptr<HttpClient> Client;
  FleetJob Shape;
  /// The worker that runs the task.
  std::size_t Holder = 0;

  void setup() override {
    System = std::make_unique<TaskDeployment>(1, 3);
    Client = std::make_unique<HttpClient>(System->Entries[0]->ip() + ":8080");
    Shape.WorkMs = Shape.EstimateMs = WorkMs;
    Shape.Accelerators = 1;
    Shape.MemoryMb = 1000;
    CHECK_TRUE(waitUntil([&] {
      const auto Answer = Client->call(jobCall("POST", Job, Shape.body()));
      return Answer && Answer->Status == 200;
    }));
    System->Fleet->noteAccepted(Job, Shape);
    CHECK_TRUE(waitUntil(
        [&] { return System->Fleet->workerOf(Task) < System->Fleet->size(); }));
    Holder = System->Fleet->workerOf(Task);
    // The run has been listed, and reported, when the message arrives.
    std::this_thread::sleep_for(Milliseconds(800));
  }

  void teardown() override { System.reset(); }

  void announce(const WorkerFleet::HeartbeatChange &Change) {
    (void)System->Fleet->sendChangedHeartbeat(Holder, Change);
  }

  /// Expects that the task ends as done by its only start.
  void expectOneStart() {
    const bool IsDone = waitUntil([&] { return System->Fleet->isDone(Job); });
    const std::string Found = System->Fleet->violations();
    if (!IsDone || !Found.empty() || System->Fleet->startsOf(Task) != 1)
      keepLogs(*System, UtestShell::getCurrent()->getName().asCharString());
    STRCMP_EQUAL("", Found.c_str());
    CHECK_TRUE(IsDone);
    LONGS_EQUAL(1, System->Fleet->startsOf(Task));
  }
};

// Guards against a task that runs twice because a heartbeat of another writer,
// of a service that no configuration names and with the address of no worker,
// is taken as the end of the worker that runs it.
TEST(WorkerReplacement, KeepsRunsWhenAnotherWriterAnnouncesAWorker) {
  announce([](std::string &Id, Poco::JSON::Object &Body) {
    Id = "i-4e6d1b4a";
    Body.set("service", "unknown");
    Body.set("address", "[::1]:8080");
    Body.set("born", wallClockMs());
    Body.set("sequence", 1);
  });
  expectOneStart();
}

// Guards against a task that runs twice because a worker of a known service is
// announced at an address of the machine where none listens.
TEST(WorkerReplacement, KeepsRunsWhenTheAnnouncedWorkerDoesNotAnswer) {
  announce([&](std::string &Id, Poco::JSON::Object &Body) {
    Id = "i-4e6d1b4a";
    Body.set("address", System->Agents[Holder]->ip() + ":8089");
    Body.set("born", wallClockMs() + FutureMs);
  });
  expectOneStart();
}

// Guards against a task that runs twice because its worker is announced as
// restarted, by a message that the worker itself contradicts.
TEST(WorkerReplacement, KeepsRunsWhenTheWorkerContradictsItsRestart) {
  for (const std::int64_t Ahead : {std::int64_t(1), FutureMs})
    announce([&](std::string &, Poco::JSON::Object &Body) {
      Body.set("born", wallClockMs() + Ahead);
      Body.set("sequence", 1);
    });
  expectOneStart();
}

// Guards against a task that is stopped and started again because its worker's
// termination, announced before a restart under the same id, arrives late.
TEST(WorkerReplacement, KeepsRunsWhenADeregistrationArrivesLate) {
  System->Fleet->announceEnd(Holder, System->Fleet->idOf(Holder));
  expectOneStart();
}
