#include "tasks/agent/TaskAgent.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"

#include <condition_variable>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// Holds back the listing that follows a stop until a poll that was requested
/// before it has been answered and the next poll has been sent.
class ListingGate {
public:
  void pass(Milliseconds Wait, bool FollowsStop) {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Wait.count() == 0) {
      StopListed = StopListed || FollowsStop;
      Changed.notify_all();
      if (FollowsStop)
        Changed.wait(Lock, [&] { return LaterPolls > 0 || Open; });
      return;
    }
    const bool IsLater = StopListed;
    LaterPolls += IsLater ? 1 : 0;
    Changed.notify_all();
    Changed.wait(Lock, [&] { return Open || (!IsLater && StopListed); });
  }
  void open() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Open = true;
    Changed.notify_all();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool StopListed = false;
  int LaterPolls = 0;
  bool Open = false;
};

/// An in-memory worker, shared by the links to all of its incarnations.
struct FakeWorker {
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Running;
  std::vector<wire::RunEnd> Ends;
  std::uint64_t Acknowledged = 0;
  /// What the last listing acknowledged.
  std::uint64_t LastAcknowledged = 0;
  Milliseconds Deadline{0};
  /// Deadline of the last start.
  Milliseconds StartDeadline{0};
  std::set<RunId> Barred;
  /// The incarnation whose process answers.
  std::string Id = "i-1";
  std::int64_t StartedAtMs = 7;
  int Starts = 0;
  int Listings = 0;
  /// Number of listings that get no answer.
  int ListingsToLose = 0;
  bool LosesStarts = false;
  bool RefusesStops = false;
  /// Whether calls get no answer and have no effect.
  bool Silent = false;
  /// Whether connections are refused: no process listens.
  bool Refuses = false;
  /// Orders the answers to listings, if set.
  ListingGate *Gate = nullptr;

  void end(const std::string &Task, wire::RunEnding How) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    wire::RunEnd End;
    End.set_number(Ends.size() + 1);
    End.set_task(Task);
    End.set_run(Running.at(Task));
    End.set_ending(How);
    Running.erase(Task);
    Ends.push_back(End);
  }
};

class FakeLink : public WorkerLink {
public:
  FakeLink(FakeWorker &Worker, std::string Id)
      : Worker(Worker), Id(std::move(Id)) {}

  OrderAnswer start(const WorkerStart &Order, Milliseconds Deadline,
                    Epoch) override {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    ++Worker.Starts;
    Worker.StartDeadline = Deadline;
    if (Worker.LosesStarts)
      return {};
    Worker.Running[Order.Task] = Order.Run;
    return {CallOutcome::Done, wire::REFUSAL_REASON_UNSPECIFIED, ""};
  }
  OrderAnswer stop(const wire::RunKey &Run, Epoch) override {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    if (Worker.RefusesStops)
      return {};
    Worker.Barred.insert({Run.task(), Run.run()});
    return {CallOutcome::Done, wire::REFUSAL_REASON_UNSPECIFIED, ""};
  }
  Expected<WorkerRuns> renewAndList(Milliseconds Deadline,
                                    std::uint64_t Acknowledged,
                                    Milliseconds Wait, Epoch) override {
    ListingGate *Gate = nullptr;
    bool FollowsStop = false;
    {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      Gate = Worker.Gate;
      FollowsStop = !Worker.Barred.empty();
    }
    if (Gate)
      Gate->pass(Wait, FollowsStop);
    std::this_thread::sleep_for(Milliseconds(5));
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    const bool IsLost = Worker.ListingsToLose > 0;
    Worker.ListingsToLose -= IsLost ? 1 : 0;
    if (Worker.Silent || Worker.Refuses || IsLost)
      return failure(ResultCode::OutcomeUnknown, "no answer");
    if (Worker.Id != Id)
      return failure(ResultCode::WorkerReplaced, "status 421");
    ++Worker.Listings;
    Worker.Deadline = std::max(Worker.Deadline, Deadline);
    Worker.Acknowledged = std::max(Worker.Acknowledged, Acknowledged);
    Worker.LastAcknowledged = Acknowledged;
    WorkerRuns Runs;
    Runs.StartedAtMs = Worker.StartedAtMs;
    Runs.Clock = Milliseconds(1000);
    for (const auto &[Task, Run] : Worker.Running) {
      wire::RunStatus Status;
      Status.set_task(Task);
      Status.set_run(Run);
      Runs.Running.push_back(Status);
    }
    for (const wire::RunEnd &End : Worker.Ends)
      if (End.number() > Worker.Acknowledged &&
          Runs.Ends.size() < MaxListedEnds)
        Runs.Ends.push_back(End);
    return Runs;
  }
  bool isListening() override {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return !Worker.Refuses;
  }

private:
  FakeWorker &Worker;
  const std::string Id;
};

const std::string WorkerAddress = "10.0.0.1:8080";
const std::string SecondAddress = "10.0.0.1:8081";
const std::string NoWorkersAddress = "10.0.0.1:8082";

} // namespace

TEST_GROUP(TaskAgent) {
  FakeKv Kv;
  FakeWorker Worker;
  /// Another worker on the same host.
  FakeWorker SecondWorker;
  /// Stands for the other addresses of the host.
  FakeWorker NoWorker;
  ListingGate Gate;
  Metrics Stats;
  std::mutex Mutex;
  wire::TaskOrders Orders;
  wire::TaskReport Last;
  /// Whether reports that need not be answered at once are ignored.
  std::atomic<bool> IgnoresPolls{false};
  std::unique_ptr<RpcServer> Coordinator;
  std::unique_ptr<TaskAgent> Agent;

  void setup() override {
    NoWorker.Refuses = true;
    SecondWorker.Id = "i-2";
    SecondWorker.StartedAtMs = 6;
    Orders.set_coordinating(true);
    Orders.set_epoch(5);
    Orders.set_grant_ms(6000);
    Orders.set_worker("n1/i-1#7");
    Orders.mutable_services()->set_known(true);
    Orders.mutable_services()->add_names("planner");
    Coordinator =
        std::move(*serveRpc("127.0.0.1:0", nullptr, nullptr,
                            [this](const wire::TaskReport &Report) {
                              std::this_thread::sleep_for(Milliseconds(10));
                              const std::lock_guard<std::mutex> Lock(Mutex);
                              if (IgnoresPolls && Report.wait_ms() > 0)
                                return Orders;
                              if (Report.sequence() > Last.sequence())
                                Last = Report;
                              return Orders;
                            }));
    Kv.put(keys::Coordinator, "front " + Coordinator->address() + " nonce");
    startAgent();
    Agent->onHeartbeat(heartbeat(7, 1));
  }

  void startAgent() {
    Agent = std::make_unique<TaskAgent>(
        AgentSettings{NodeId("n1"), DataCentreName("z"), "10.0.0.1"}, Kv,
        [this](const WorkerHeartbeat &Heartbeat) {
          return std::make_unique<FakeLink>(workerAt(Heartbeat.Address),
                                            Heartbeat.Id);
        },
        Stats);
    Agent->start();
  }

  FakeWorker &workerAt(const std::string &Address) {
    if (Address == WorkerAddress)
      return Worker;
    return Address == SecondAddress ? SecondWorker : NoWorker;
  }

  void teardown() override {
    Gate.open();
    Agent->stop();
    Agent.reset();
    Coordinator->shutdown(Milliseconds(0));
    Coordinator.reset();
  }

  static WorkerHeartbeat heartbeat(std::int64_t StartedAt,
                                   std::int64_t Sequence) {
    WorkerHeartbeat Heartbeat;
    Heartbeat.Id = "i-1";
    Heartbeat.StartedAtMs = StartedAt;
    Heartbeat.Sequence = Sequence;
    Heartbeat.Service = ServiceName("planner");
    Heartbeat.Address = WorkerAddress;
    Heartbeat.Accelerators = 8;
    return Heartbeat;
  }

  /// Ends the worker, starts it again under its id, and announces it.
  void restartWorker(std::int64_t StartedAt) {
    {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      Worker.StartedAtMs = StartedAt;
      Worker.Running.clear();
      Worker.Ends.clear();
    }
    Agent->onHeartbeat(heartbeat(StartedAt, 1));
  }

  /// Restarts the agent, to which the coordinator names a run to bar. The
  /// worker does not acknowledge stops.
  void restartAgentWithBar() {
    Agent->stop();
    {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      Worker.Deadline = Milliseconds(0);
      Worker.RefusesStops = true;
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Last.Clear();
      wire::RunKey &Bar = *Orders.add_bars();
      Bar.set_task("j.0.0.9");
      Bar.set_run(4);
    }
    startAgent();
  }

  void endWorker() {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = true;
  }

  /// Waits for some more reports.
  void awaitReports() {
    const std::uint64_t Sequence = last().sequence();
    CHECK_TRUE(waitUntil([&] { return last().sequence() > Sequence + 3; }));
  }

  /// Waits until the worker has a lease.
  void awaitLease() {
    CHECK_TRUE(waitUntil([&] {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      return Worker.Deadline.count() > 0;
    }));
  }

  /// Waits until a candidate that was called has not proved itself.
  void awaitDoubt() {
    CHECK_TRUE(waitUntil([&] {
      return Stats.text().find("candidates_doubted") != std::string::npos;
    }));
  }

  /// Sends a start that the worker does not answer, and ends the worker.
  void loseStartAndEndWorker() {
    CHECK_TRUE(waitUntil([&] { return last().complete(); }));
    {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      Worker.LosesStarts = true;
      Worker.RefusesStops = true;
    }
    order(1);
    CHECK_TRUE(waitUntil([&] { return starts() == 1; }));
    endWorker();
    CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/none#1"; }));
  }

  wire::TaskReport last() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Last;
  }

  void silenceWorker() {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Silent = true;
  }

  /// Sets how long the coordinator allows runs to continue.
  void grant(Milliseconds Duration) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_grant_ms(static_cast<std::uint32_t>(Duration.count()));
  }

  /// Sets how long the coordinator allows starts to be sent.
  void limitStarts(std::uint32_t ForMs) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_starts_limited(true);
    Orders.set_starts_for_ms(ForMs);
  }

  int starts() {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return Worker.Starts;
  }

  /// Replaces the ordered start by a stop.
  void withdraw(std::uint64_t Revision) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_revision(Revision);
    wire::RunKey &Stop = *Orders.add_stops();
    Stop.set_task(Orders.starts(0).task());
    Stop.set_run(Orders.starts(0).run());
    Orders.clear_starts();
  }

  /// Starts a run, ends it, and lets the coordinator acknowledge the end, which
  /// the agent must not do before.
  void endRunAndAcknowledge() {
    order(1);
    CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
    Worker.end("j.0.0.0", wire::RUN_DONE);
    CHECK_TRUE(waitUntil([&] { return last().ends_size() == 1; }));
    LONGS_EQUAL(0, Worker.Acknowledged);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Orders.set_revision(2);
      Orders.set_acknowledged_end(1);
    }
    CHECK_TRUE(waitUntil([&] {
      const std::lock_guard<std::mutex> Lock(Worker.Mutex);
      return Worker.Acknowledged == 1;
    }));
  }

  void order(std::uint64_t Revision, bool MayHaveBeenSent = false) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_revision(Revision);
    wire::StartOrder &Start = *Orders.add_starts();
    Start.set_task("j.0.0.0");
    Start.set_run(1);
    Start.set_may_have_been_sent(MayHaveBeenSent);
  }
};

TEST(TaskAgent, ReportsItsWorkerAfterTheFirstListing) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(8, last().accelerators());
}

TEST(TaskAgent, StartsAnOrderedRunOnceAndReportsIt) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  LONGS_EQUAL(1, Worker.Starts);
  CHECK_TRUE(waitUntil([&] { return Worker.Deadline.count() > 1000; }));
}

TEST(TaskAgent, AcknowledgesAnEndOnlyWhenTheCoordinatorSaysSo) {
  endRunAndAcknowledge();
}

// Guards against a run that begins again on the worker's next incarnation: a
// new coordinator, which does not know the end yet, orders its start.
TEST(TaskAgent, SendsNoStartOfARunWhoseEndTheWorkerLists) {
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Running["j.0.0.0"] = 1;
  }
  Worker.end("j.0.0.0", wire::RUN_DONE);
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 1; }));
  order(1, true);
  awaitReports();
  LONGS_EQUAL(0, starts());
  LONGS_EQUAL(1, last().ends_size());
  LONGS_EQUAL(0, last().refusals_size());
}

// Guards against a call that is carried out by the next incarnation of the
// worker, and discards ends of it whose numbers were acknowledged before.
TEST(TaskAgent, RepeatsNoAcknowledgementOnceTheWorkerHasForgottenTheEnd) {
  endRunAndAcknowledge();
  CHECK_TRUE(waitUntil([&] {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return Worker.LastAcknowledged == 0;
  }));
}

TEST(TaskAgent, BarsAnUnansweredStartBeforeReportingTheRefusal) {
  Worker.LosesStarts = true;
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 1; }));
  LONGS_EQUAL(wire::REFUSED_BARRED, last().refusals(0).reason());
  LONGS_EQUAL(1, Worker.Barred.count({"j.0.0.0", 1}));
}

// Pattern: many runs are barred at once, so that listings overlap. The listing
// that follows the stop is answered after one that was requested before it.
TEST(TaskAgent, BarsARunByAListingThatIsOvertaken) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.LosesStarts = true;
    Worker.Gate = &Gate;
  }
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 1; }));
}

TEST(TaskAgent, IgnoresOrdersOfAnEarlierEpoch) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_epoch(4);
  }
  order(9);
  const std::uint64_t Sequence = last().sequence();
  CHECK_TRUE(waitUntil([&] { return last().sequence() > Sequence + 3; }));
  LONGS_EQUAL(0, Worker.Starts);
}

TEST(TaskAgent, IgnoresADelayedHeartbeatOfAnEarlierIncarnation) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  Agent->onHeartbeat(heartbeat(6, 99));
  const std::uint64_t Sequence = last().sequence();
  CHECK_TRUE(waitUntil([&] { return last().sequence() > Sequence + 3; }));
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
}

TEST(TaskAgent, ReportsADepartedWorkerAsAnIncarnationWithoutRuns) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  Agent->onWorkerLeft("i-1");
  endWorker();
  CHECK_TRUE(waitUntil(
      [&] { return last().worker() == "n1/none#1" && last().complete(); }));
  CHECK_TRUE(last().draining());
}

// Pattern: a worker is lost for good while its agent lives on.
TEST(TaskAgent, ReportsTheLeaseOfASilentWorkerAsExpired) {
  grant(Milliseconds(300));
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  silenceWorker();
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  CHECK_FALSE(last().complete());
}

// Pattern: a worker crashes while its agent lives on. Nothing runs on it any
// more, so its runs need not wait for the end of the lease.
TEST(TaskAgent, ReportsAWorkerThatRefusesConnectionsAsDeparted) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = true;
  }
  CHECK_TRUE(waitUntil(
      [&] { return last().worker() == "n1/none#1" && last().complete(); }));
  LONGS_EQUAL(0, last().running_size());
}

// Pattern: a worker is lost for good, then its agent is restarted and never
// hears from it. Earlier agents granted no lease that lasts longer than a
// grant from now.
TEST(TaskAgent, ReportsLeasesOfEarlierAgentsAsExpiredAfterOneGrant) {
  grant(Milliseconds(300));
  Agent->stop();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Last.Clear();
  }
  startAgent();
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  STRCMP_EQUAL("", last().worker().c_str());
}

// Pattern: a worker restarts and is lost again before it answers. The
// incarnation that may have runs stays the agent's worker.
TEST(TaskAgent, ReportsLeasesOfEarlierIncarnationsAsExpired) {
  grant(Milliseconds(300));
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  silenceWorker();
  Agent->onHeartbeat(heartbeat(8, 1));
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
}

TEST(TaskAgent, DoesNotReportALeaseAsExpiredBeforeItsGrantEnds) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  silenceWorker();
  CHECK_TRUE(waitUntil([&] { return !last().complete(); }));
  CHECK_FALSE(last().lapsed());
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
}

TEST(TaskAgent, PollsAsOftenAsTheCoordinatorAsks) {
  CHECK_TRUE(waitUntil([&] { return last().wait_ms() == 400; }));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_poll_ms(700);
  }
  CHECK_TRUE(waitUntil([&] { return last().wait_ms() == 700; }));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_poll_ms(60000);
  }
  CHECK_TRUE(waitUntil([&] { return last().wait_ms() == 1000; }));
}

// Pattern: a coordinator that holds its polls for long grants leases that have
// mostly expired when they arrive.
TEST(TaskAgent, CountsAGrantFromTheEndOfTheHold) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_held_ms(600000);
  }
  CHECK_TRUE(waitUntil([&] {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return Worker.Deadline.count() > 500000;
  }));
}

// Pattern: a worker crashes under a task that was just started. The coordinator
// must learn which runs may have caused it.
TEST(TaskAgent, ReportsTheRunsOfACrashedWorker) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  restartWorker(8);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#8"; }));
  STRCMP_EQUAL("n1/i-1#7", last().lost_worker().c_str());
  LONGS_EQUAL(1, last().lost_runs_size());
  STRCMP_EQUAL("j.0.0.0", last().lost_runs(0).task().c_str());
  CHECK_TRUE(last().lost_runs(0).begun());
  STRCMP_EQUAL("", last().left_worker().c_str());
  // An earlier agent may have started more.
  CHECK_FALSE(last().lost_runs_complete());
  restartWorker(9);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#9"; }));
  CHECK_TRUE(last().lost_runs_complete());
}

TEST(TaskAgent, ReportsThatAWorkerLeftInAnOrderlyWay) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  Agent->onWorkerLeft("i-1");
  endWorker();
  CHECK_TRUE(waitUntil([&] { return last().left_worker() == "n1/i-1#7"; }));
  // The next incarnation replaces the absent worker, not a running one.
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = false;
  }
  restartWorker(8);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#8"; }));
  STRCMP_EQUAL("n1/i-1#7", last().left_worker().c_str());
}

TEST(TaskAgent, ReportsTheEndOfADrainingWorkerAsOrderly) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  WorkerHeartbeat Draining = heartbeat(7, 2);
  Draining.Draining = true;
  Agent->onHeartbeat(Draining);
  restartWorker(8);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#8"; }));
  STRCMP_EQUAL("n1/i-1#7", last().left_worker().c_str());
}

// Pattern: starts that are ordered after a crash, before it is certain, would
// make their tasks look guilty.
TEST(TaskAgent, SendsNoStartToAWorkerThatRefusesConnections) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = true;
  }
  CHECK_TRUE(waitUntil([&] {
    return Stats.text().find("listing_failures") != std::string::npos;
  }));
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/none#1"; }));
  LONGS_EQUAL(0, Worker.Starts);
  LONGS_EQUAL(0, last().lost_runs_size());
}

// Pattern: a worker's capacity shrinks; starts that the coordinator orders
// until it knows would exceed it.
TEST(TaskAgent, ReportsAChangedCapacityWithoutWaitingForThePoll) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  IgnoresPolls = true;
  WorkerHeartbeat Shrunk = heartbeat(7, 2);
  Shrunk.Accelerators = 3;
  Agent->onHeartbeat(Shrunk);
  CHECK_TRUE(waitUntil([&] { return last().accelerators() == 3; }));
}

// Pattern: a slow coordinator acknowledges ends late, the worker answers each
// listing at once, and its agent lists without a pause.
TEST(TaskAgent, PausesBetweenListingsWhileAnEndIsNotAcknowledged) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  Worker.end("j.0.0.0", wire::RUN_DONE);
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 1; }));
  const auto Listings = [this] {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return Worker.Listings;
  };
  const int Before = Listings();
  const Instant Begin = monotonicNow();
  const std::uint64_t Sequence = last().sequence();
  CHECK_TRUE(waitUntil([&] { return last().sequence() > Sequence + 2; }));
  const int Listed = Listings() - Before;
  CHECK(Listed <= (monotonicNow() - Begin) / Milliseconds(50) + 3);
}

// Pattern: a worker crashes after thousands of runs, and each later report of
// its agent names all of them as lost.
TEST(TaskAgent, ForgetsRunsThatHaveEndedBeforeACrash) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  Worker.end("j.0.0.0", wire::RUN_DONE);
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 1; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Ends.clear();
  }
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 0; }));
  restartWorker(8);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#8"; }));
  STRCMP_EQUAL("n1/i-1#7", last().lost_worker().c_str());
  LONGS_EQUAL(0, last().lost_runs_size());
}

// Pattern: orders reach an agent whose worker is silent and whose leases have
// expired. The coordinator gives the runs up, and the agent starts them when
// the worker answers.
TEST(TaskAgent, SendsNoStartThatItReceivedBeforeItReportedExpiredLeases) {
  grant(Milliseconds(300));
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  silenceWorker();
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  LONGS_EQUAL(0, last().lapsed_revision());
  grant(Milliseconds(6000));
  order(3);
  CHECK_TRUE(waitUntil([&] { return last().lapsed_revision() == 3; }));
  LONGS_EQUAL(5, last().lapsed_epoch());
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Silent = false;
  }
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 1; }));
  LONGS_EQUAL(0, Worker.Starts);
}

// Pattern: more orders than the agent's queue holds are dropped and never
// carried out.
TEST(TaskAgent, StartsMoreRunsThanItsQueueHolds) {
  constexpr int Runs = 1200;
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_revision(1);
    for (int Run = 0; Run < Runs; ++Run) {
      wire::StartOrder &Start = *Orders.add_starts();
      Start.set_task("j.0.0." + std::to_string(Run));
      Start.set_run(1);
      Start.set_payload(std::string(100, 'x'));
    }
  }
  CHECK_TRUE(waitUntil([&] { return last().running_size() == Runs; }));
  LONGS_EQUAL(Runs, Worker.Starts);
}

// Pattern: the coordinator names a start that an earlier agent sent; it must
// not be carried out under the lease that this agent gives.
TEST(TaskAgent, GivesNoLeaseBeforeTheCoordinatorsBarsAreAcknowledged) {
  restartAgentWithBar();
  Agent->onHeartbeat(heartbeat(7, 1));
  CHECK_TRUE(waitUntil([&] { return last().sequence() > 5; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    LONGS_EQUAL(0, Worker.Deadline.count());
    Worker.RefusesStops = false;
  }
  awaitLease();
  LONGS_EQUAL(1, Worker.Barred.count({"j.0.0.9", 4}));
}

// Guards against a task that runs twice because the bars that the coordinator
// named before the agent knew its worker are forgotten.
TEST(TaskAgent, GivesNoLeaseBeforeBarsThatCameBeforeItsWorker) {
  restartAgentWithBar();
  awaitReports();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.clear_bars();
  }
  awaitReports();
  Agent->onHeartbeat(heartbeat(7, 1));
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#7"; }));
  awaitReports();
  const std::lock_guard<std::mutex> Lock(Worker.Mutex);
  LONGS_EQUAL(0, Worker.Deadline.count());
}

// Guards against a task that runs twice because a start that a worker did not
// answer is carried out by its next incarnation under the same id.
TEST(TaskAgent, BarsUnansweredStartsOnTheNextIncarnationUnderTheId) {
  loseStartAndEndWorker();
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = false;
    Worker.RefusesStops = false;
    Worker.Deadline = Milliseconds(0);
  }
  restartWorker(9);
  awaitLease();
  LONGS_EQUAL(1, Worker.Barred.count({"j.0.0.0", 1}));
}

// Guards against a task that runs twice because a start that a worker did not
// answer is reported as barred while the worker starts again under its id.
TEST(TaskAgent, ReportsAnUnansweredStartOfAnEndedWorkerAsBarredOnlyLater) {
  loseStartAndEndWorker();
  const Instant Begin = monotonicNow();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_worker("n1/none#1");
    Orders.set_revision(2);
    Orders.clear_starts();
    wire::RunKey &Stop = *Orders.add_stops();
    Stop.set_task("j.0.0.0");
    Stop.set_run(1);
    wire::RunKey &Other = *Orders.add_stops();
    Other.set_task("j.0.0.1");
    Other.set_run(1);
  }
  // The worker never got the other one.
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 1; }));
  STRCMP_EQUAL("j.0.0.1", last().refusals(0).task().c_str());
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 2; }));
  CHECK(monotonicNow() - Begin > Milliseconds(300));
  CHECK(monotonicNow() - Begin < Milliseconds(3000));
}

// Guards against a task that runs twice because the lease is extended between a
// report of expired leases and the coordinator's bars that follow from it.
TEST(TaskAgent, GivesNoLeaseBeforeItsReportOfExpiredLeasesIsApplied) {
  grant(Milliseconds(300));
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_applied_sequence(0);
  }
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  silenceWorker();
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  grant(Milliseconds(6000));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Silent = false;
    Worker.Deadline = Milliseconds(0);
  }
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  awaitReports();
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    LONGS_EQUAL(0, Worker.Deadline.count());
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_applied_sequence(Last.sequence());
  }
  awaitLease();
}

// Guards against a task that runs twice because a start of an earlier agent,
// which this one never sent, is not barred after the leases have expired.
TEST(TaskAgent, BarsAStartOfAnEarlierAgentAfterAnExpiry) {
  grant(Milliseconds(300));
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Silent = true;
    Worker.RefusesStops = true;
  }
  CHECK_TRUE(waitUntil([&] { return last().lapsed(); }));
  order(1, true);
  CHECK_TRUE(waitUntil([&] { return last().lapsed_revision() == 1; }));
  grant(Milliseconds(6000));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Silent = false;
    Worker.Deadline = Milliseconds(0);
  }
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  awaitReports();
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    LONGS_EQUAL(0, Worker.Deadline.count());
    Worker.RefusesStops = false;
  }
  awaitLease();
  LONGS_EQUAL(1, Worker.Barred.count({"j.0.0.0", 1}));
}

// Guards against a task that runs twice because its start reached a worker that
// had started again under its id before its agent noticed: the run is lost with
// the earlier incarnation, and started elsewhere while it works on this one.
TEST(TaskAgent, ReportsARestartUnderTheIdWithoutAnAbsentWorker) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  std::set<std::string> Names;
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.StartedAtMs = 9;
  }
  CHECK_TRUE(waitUntil([&] {
    Names.insert(last().worker());
    return last().worker() == "n1/i-1#9" && last().complete();
  }));
  LONGS_EQUAL(0, Names.count("n1/none#1"));
  STRCMP_EQUAL("n1/i-1#7", last().lost_worker().c_str());
}

// Guards against a worker that has started again under its id and takes no task
// before its next heartbeat, although its rack and room stay with the machine;
// and against a task that needs a label which it may not have any more.
TEST(TaskAgent, KeepsRackAndRoomButNoOtherLabelsAcrossARestartUnderTheId) {
  WorkerHeartbeat Labelled = heartbeat(7, 2);
  Labelled.Rack = RackName("r1");
  Labelled.Labels = {"a", "r1"};
  Agent->onHeartbeat(Labelled);
  CHECK_TRUE(waitUntil([&] { return last().labels_size() == 2; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.StartedAtMs = 9;
  }
  CHECK_TRUE(waitUntil(
      [&] { return last().worker() == "n1/i-1#9" && last().complete(); }));
  LONGS_EQUAL(8, last().accelerators());
  STRCMP_EQUAL("r1", last().rack().c_str());
  LONGS_EQUAL(1, last().labels_size());
  STRCMP_EQUAL("r1", last().labels(0).c_str());
  CHECK_TRUE(last().cold_for_ms() > 0);
  WorkerHeartbeat First = heartbeat(9, 1);
  First.Labels = {"b", "r1"};
  Agent->onHeartbeat(First);
  CHECK_TRUE(waitUntil([&] { return last().labels_size() == 2; }));
  LONGS_EQUAL(0, last().cold_for_ms());
}

// Guards against a restart that is noticed late because one answer is lost.
TEST(TaskAgent, RepeatsALostListingAtOnce) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.StartedAtMs = 9;
    Worker.ListingsToLose = 2;
  }
  const Instant RestartedAt = monotonicNow();
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#9"; }));
  // Two retries with the delay take longer.
  CHECK_TRUE(monotonicNow() - RestartedAt < Milliseconds(200));
}

// Guards against an agent that takes no worker any more after one has started
// again under its id while the clock was set back.
TEST(TaskAgent, ReplacesAWorkerThatStartedAgainAtAnEarlierTime) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  restartWorker(5);
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#5"; }));
}

TEST(TaskAgent, RepeatsTheSessionThatTheCoordinatorSends) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_agent_session(77);
  }
  CHECK_TRUE(waitUntil([&] { return last().agent_session() == 77; }));
  CHECK(last().agent_incarnation() != 0);
}

// Pattern: an agent that received a start before its data centre was evacuated
// sends it after the bound.
TEST(TaskAgent, HoldsAStartBackUntilTheCoordinatorAllowsIt) {
  limitStarts(0);
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().orders_seen() == 1; }));
  std::this_thread::sleep_for(Milliseconds(100));
  LONGS_EQUAL(0, starts());
  limitStarts(3000);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  LONGS_EQUAL(1, starts());
}

// Pattern: a start that is held back is sent although it was withdrawn.
TEST(TaskAgent, NeverSendsAWithdrawnStart) {
  limitStarts(0);
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().orders_seen() == 1; }));
  withdraw(2);
  CHECK_TRUE(waitUntil([&] { return last().refusals_size() == 1; }));
  limitStarts(3000);
  CHECK_TRUE(waitUntil([&] {
    return Agent->dump().find("\"starts_held\":0") != std::string::npos;
  }));
  std::this_thread::sleep_for(Milliseconds(50));
  LONGS_EQUAL(0, starts());
}

// Pattern: the agent goes on to send starts after the period that an earlier
// answer allowed. An answer for less than the delivery time allows none.
TEST(TaskAgent, SendsNoStartAfterThePeriodOfAnEarlierAnswer) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  limitStarts(300);
  std::this_thread::sleep_for(Milliseconds(50));
  limitStarts(100);
  std::this_thread::sleep_for(Milliseconds(400));
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().orders_seen() == 1; }));
  std::this_thread::sleep_for(Milliseconds(100));
  LONGS_EQUAL(0, starts());
}

// Pattern: a start that the worker receives late begins after the period.
TEST(TaskAgent, LimitsTheDeadlineOfAStart) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  limitStarts(2000);
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  const std::lock_guard<std::mutex> Lock(Worker.Mutex);
  // The worker's clock stands at 1000.
  CHECK_TRUE(Worker.StartDeadline > Milliseconds(1000));
  CHECK_TRUE(Worker.StartDeadline < Milliseconds(3000));
}

// Pattern: a worker that has become warm counts as cold until its next
// heartbeat.
TEST(TaskAgent, ReportsTheRestOfTheColdPeriod) {
  WorkerHeartbeat Cold = heartbeat(7, 2);
  Cold.ColdRemaining = Milliseconds(400);
  Agent->onHeartbeat(Cold);
  CHECK_TRUE(waitUntil(
      [&] { return last().cold_for_ms() > 0 && last().cold_for_ms() < 300; }));
  CHECK_TRUE(waitUntil([&] { return last().cold_for_ms() == 0; }));
}

// Guards against runs that are started again because a heartbeat of another
// writer is taken as the end of the worker that runs them.
TEST(TaskAgent, KeepsItsWorkerWhenOneOnAnotherHostIsAnnounced) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  WorkerHeartbeat Other = heartbeat(99, 1);
  Other.Id = "i-4e6d1b4a";
  for (const char *Address :
       {"[::1]:8080", "10.0.0.2:8080", "10.0.0.1", "10.0.0.1:0",
        "10.0.0.1:65536", "10.0.0.1:8o80", "localhost:8080", ":8080", ""}) {
    Other.Address = Address;
    Agent->onHeartbeat(Other);
  }
  awaitReports();
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(1, last().running_size());
  CHECK(Agent->dump().find("\"candidates\":0") != std::string::npos);
}

// Guards against runs that are started again because a worker is announced at
// an address where none listens.
TEST(TaskAgent, KeepsItsWorkerWhenTheAnnouncedOneDoesNotAnswer) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  WorkerHeartbeat Other = heartbeat(99, 1);
  Other.Id = "i-2";
  Other.Address = NoWorkersAddress;
  Agent->onHeartbeat(Other);
  awaitDoubt();
  awaitReports();
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(1, last().running_size());
}

// Guards against runs that are started again, and against a worker whose
// heartbeats are ignored from then on, after a message announces its restart
// which it contradicts itself.
TEST(TaskAgent, KeepsItsWorkerWhenItContradictsItsRestart) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  Agent->onHeartbeat(heartbeat(8, 1000));
  awaitDoubt();
  awaitReports();
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(1, last().running_size());
  WorkerHeartbeat Draining = heartbeat(7, 2);
  Draining.Draining = true;
  Agent->onHeartbeat(Draining);
  CHECK_TRUE(waitUntil([&] { return last().draining(); }));
}

// Guards against runs that are stopped and started again because a worker's
// termination, announced before it started again under its id, arrives late.
TEST(TaskAgent, KeepsItsWorkerWhenItsEndIsAnnouncedButItAnswers) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  Agent->onWorkerLeft("i-1");
  awaitReports();
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(1, last().running_size());
  // Its next heartbeat shows that the announcement was late, so that a later
  // end counts as a crash.
  Agent->onHeartbeat(heartbeat(7, 2));
  endWorker();
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/none#1"; }));
  STRCMP_EQUAL("", last().left_worker().c_str());
}

// Guards against runs of two workers at once after a second one is announced
// while the first one answers.
TEST(TaskAgent, KeepsItsWorkerWhileItAnswersBesideAnother) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  WorkerHeartbeat Second = heartbeat(6, 1);
  Second.Id = "i-2";
  Second.Address = SecondAddress;
  Agent->onHeartbeat(Second);
  CHECK_TRUE(waitUntil([&] {
    const std::lock_guard<std::mutex> Lock(SecondWorker.Mutex);
    return SecondWorker.Listings > 1;
  }));
  awaitReports();
  STRCMP_EQUAL("n1/i-1#7", last().worker().c_str());
  LONGS_EQUAL(1, last().running_size());
  LONGS_EQUAL(0, SecondWorker.Deadline.count());
  // It replaces the first one once that has ended, whichever started earlier.
  endWorker();
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-2#6"; }));
}

// Guards against runs that are started again while a silent worker may still
// run them, because another worker is announced.
TEST(TaskAgent, KeepsASilentWorkerUntilItsLeasesHaveExpired) {
  grant(Milliseconds(1500));
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  silenceWorker();
  WorkerHeartbeat Second = heartbeat(6, 1);
  Second.Id = "i-2";
  Second.Address = SecondAddress;
  const Instant Begin = monotonicNow();
  CHECK_TRUE(waitUntil([&] {
    Second.Sequence++;
    Agent->onHeartbeat(Second);
    return last().worker() == "n1/i-2#6";
  }));
  CHECK(monotonicNow() - Begin >= Milliseconds(1000));
  STRCMP_EQUAL("n1/i-1#7", last().lost_worker().c_str());
}

// Guards against starts on a worker under a service that no configuration
// names, as announced by another writer beside the worker's own heartbeats.
TEST(TaskAgent, TakesNoWorkerOfAServiceThatIsNotNamed) {
  CHECK_TRUE(waitUntil([&] { return last().complete(); }));
  endWorker();
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/none#1"; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    Worker.Refuses = false;
    Worker.StartedAtMs = 9;
  }
  WorkerHeartbeat Other = heartbeat(9, 1000);
  Other.Service = ServiceName("unknown");
  Agent->onHeartbeat(Other);
  awaitReports();
  STRCMP_EQUAL("n1/none#1", last().worker().c_str());
  Agent->onHeartbeat(heartbeat(9, 1));
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#9"; }));
  STRCMP_EQUAL("planner", last().service().c_str());
  // It does not change the worker either.
  Other.Sequence = 1001;
  Agent->onHeartbeat(Other);
  WorkerHeartbeat Draining = heartbeat(9, 2);
  Draining.Draining = true;
  Agent->onHeartbeat(Draining);
  CHECK_TRUE(waitUntil([&] { return last().draining(); }));
  STRCMP_EQUAL("planner", last().service().c_str());
}

// Pattern: a coordinator without a configuration, then one that names a new
// service, then one of an earlier release.
TEST(TaskAgent, TakesAWorkerOnceItsServiceIsNamed) {
  Agent->stop();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Last.Clear();
    Orders.mutable_services()->Clear();
  }
  startAgent();
  Agent->onHeartbeat(heartbeat(7, 1));
  awaitReports();
  STRCMP_EQUAL("", last().worker().c_str());
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.mutable_services()->set_known(true);
    Orders.mutable_services()->add_names("planner");
  }
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#7"; }));
  Agent->stop();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Last.Clear();
    Orders.clear_services();
  }
  startAgent();
  Agent->onHeartbeat(heartbeat(7, 1));
  CHECK_TRUE(waitUntil([&] { return last().worker() == "n1/i-1#7"; }));
}

// Guards against a run that is given up as never started, and whose task starts
// again, although its end follows in the next listing: a worker lists 500 ends
// at a time.
TEST(TaskAgent, BarsNoRunWhoseEndMayFollowInTheNextListing) {
  order(1);
  CHECK_TRUE(waitUntil([&] { return last().running_size() == 1; }));
  {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    for (int Other = 0; Other < 500; ++Other) {
      const std::string Task = "k.0.0." + std::to_string(Other);
      Worker.Running[Task] = 1;
    }
  }
  for (int Other = 0; Other < 500; ++Other)
    Worker.end("k.0.0." + std::to_string(Other), wire::RUN_DONE);
  Worker.end("j.0.0.0", wire::RUN_DONE);
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 500; }));
  withdraw(2);
  CHECK_TRUE(waitUntil([&] {
    const std::lock_guard<std::mutex> Lock(Worker.Mutex);
    return Worker.Barred.count({"j.0.0.0", 1}) > 0;
  }));
  awaitReports();
  LONGS_EQUAL(0, last().refusals_size());
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Orders.set_revision(3);
    Orders.set_acknowledged_end(500);
  }
  CHECK_TRUE(waitUntil([&] { return last().ends_size() == 1; }));
  STRCMP_EQUAL("j.0.0.0", last().ends(0).task().c_str());
  LONGS_EQUAL(0, last().refusals_size());
}
