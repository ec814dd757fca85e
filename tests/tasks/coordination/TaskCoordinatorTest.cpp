#include "tasks/coordination/TaskCoordinator.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr std::uint32_t LongWaitMs = 30000;

/// Returns an upper bound on the workers that all rounds of a second look at.
double workersPerSecond(std::size_t Workers) {
  const double RoundsPerSecond = 1e6 / double(pauseAfterRound(Workers).count());
  return RoundsPerSecond * double(Workers);
}

wire::TaskReport reportOf(const std::string &Node, std::uint64_t Sequence,
                          std::uint32_t WaitMs) {
  wire::TaskReport Report;
  Report.set_node(Node);
  Report.set_worker(Node + "/w#1");
  Report.set_service("planner");
  Report.set_milli_cores(32000);
  Report.set_memory_mb(131072);
  Report.set_accelerators(8);
  Report.set_complete(true);
  Report.set_agent_life(1);
  Report.set_sequence(Sequence);
  Report.set_wait_ms(WaitMs);
  return Report;
}

std::shared_ptr<wire::TaskJobSpec> jobOf(const std::string &Id) {
  auto Spec = std::make_shared<wire::TaskJobSpec>();
  Spec->set_id(Id);
  Spec->set_queue("q");
  Spec->set_service("planner");
  Spec->set_max_attempts(2);
  Spec->set_stretch(3);
  wire::StepSpec &Step = *Spec->add_steps();
  Step.set_count(1);
  Step.set_accelerators(1);
  Step.set_estimate_ms(5000);
  return Spec;
}

/// Returns the configuration of the service sorter and of a queue of the
/// service reader.
OperatorSnapshot configuration() {
  auto Config = std::make_shared<QueueConfig>();
  Config->Services[ServiceName("sorter")];
  Config->Queues.emplace_back();
  Config->Queues[0].Service = ServiceName("reader");
  return Config;
}

} // namespace

TEST_GROUP(TaskCoordinator) {
  FakeKv Kv;
  Metrics Stats;
  CoordinatorRole Role{Kv, "front 1:1", Milliseconds(60000), [] {}};
  TaskCoordinator Coordinator{Kv, {}, configuration, Stats};

  void setup() override {
    Role.start();
    Role.noteRoleKey(false);
    Coordinator.start(Role);
    CHECK_TRUE(waitUntil([&] { return counter("rounds") > 0; }));
  }

  void teardown() override {
    Coordinator.stop();
    Role.stop();
  }

  std::uint64_t counter(const std::string &Name) const {
    const auto Counters = Stats.dump();
    return Counters->optValue<std::uint64_t>(Name, 0);
  }
};

// Pattern: hundreds of workers report twice a second, and each report asks for
// a round that looks at all of them.
TEST(TaskCoordinator, WorkDoesNotGrowWithTheSquareOfTheWorkers) {
  CHECK_TRUE(workersPerSecond(240) <= workersPerSecond(11) * 1.01);
  // Beyond the longest pause it grows no faster than the workers.
  CHECK_TRUE(workersPerSecond(9000) <= workersPerSecond(900) * 10.01);
}

TEST(TaskCoordinator, PausesBrieflyOnASmallCell) {
  CHECK_TRUE(pauseAfterRound(11) < Milliseconds(2));
  CHECK_TRUE(pauseAfterRound(9000) <= Milliseconds(50));
}

// Guards against an agent that takes a worker of a service that no
// configuration names, or none of a service whose jobs have not ended.
TEST(TaskCoordinator, NamesTheServicesOfItsConfigurationAndOfItsJobs) {
  std::uint64_t Sequence = 0;
  const auto Named = [&] {
    std::string Names;
    const wire::TaskOrders Orders =
        Coordinator.attend(reportOf("n1", ++Sequence, 1));
    CHECK_TRUE(Orders.has_services());
    for (const std::string &Name : Orders.services().names())
      Names += Name + " ";
    return Orders.services().known() ? Names : "unknown";
  };
  CHECK_TRUE(waitUntil([&] { return Named() == "reader sorter "; }));
  Coordinator.onJob(jobOf("job1"));
  CHECK_TRUE(waitUntil([&] { return Named() == "planner reader sorter "; }));
}

TEST(TaskCoordinator, NamesNoServicesWithoutAConfiguration) {
  Coordinator.stop();
  TaskCoordinator WithoutConfig(
      Kv, {}, [] { return OperatorSnapshot(); }, Stats);
  WithoutConfig.start(Role);
  const std::uint64_t Rounds = counter("rounds");
  CHECK_TRUE(waitUntil([&] { return counter("rounds") > Rounds + 1; }));
  const wire::TaskOrders Orders = WithoutConfig.attend(reportOf("n1", 1, 1));
  CHECK_TRUE(Orders.coordinating());
  CHECK_TRUE(Orders.has_services());
  CHECK_FALSE(Orders.services().known());
  WithoutConfig.stop();
}

// Guards against runs that are stopped, and blamed for a crash, because of
// reports from before another process held the role. The takeover fails here
// before the role is lost.
TEST(TaskCoordinator, ForgetsReportsOfAnEarlierTerm) {
  Coordinator.stop();
  TaskCoordinator Late(
      Kv, {}, [] { return OperatorSnapshot(); }, Stats);
  Kv.setFault(FakeKv::Fault::Unavailable);
  Late.start(Role);
  CHECK_TRUE(Late.attend(reportOf("n1", 1, 1)).coordinating());
  std::this_thread::sleep_for(Milliseconds(300));
  const Epoch First = Role.term()->Number;
  Role.lose(First);
  std::this_thread::sleep_for(Milliseconds(300));
  Kv.setFault(FakeKv::Fault::None);
  for (std::int64_t Lease = 1; Lease < 5; ++Lease)
    Kv.expire(Lease);
  Role.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] {
    const auto Term = Role.term();
    return Term && First < Term->Number &&
           Late.dump().find("\"epoch\":" +
                            std::to_string(Term->Number.value())) !=
               std::string::npos;
  }));
  CHECK(Late.dump().find("\"agents\":0") != std::string::npos);
  Late.stop();
}

// Guards against a record of another writer on which one coordinator after the
// other crashes as soon as it takes over.
TEST(TaskCoordinator, CoordinatesBesideRecordsThatAreNoJobs) {
  Coordinator.stop();
  Kv.put(keys::job(JobId("empty")), "");
  Kv.put(keys::job(JobId("job1")), jobOf("job1")->SerializeAsString());
  TaskCoordinator Next(Kv, {}, configuration, Stats);
  Next.start(Role);
  CHECK_TRUE(waitUntil(
      [&] { return Next.attend(reportOf("n1", 1, 0)).starts_size() == 1; }));
  Next.stop();
}

// Guards against entries that tell their callers of a job as begun when it is
// placed, or never: they know what is stored.
TEST(TaskCoordinator, StoresThatAJobHasBegunOnceAWorkerRunsIt) {
  Coordinator.stop();
  Kv.put(keys::job(JobId("job1")), jobOf("job1")->SerializeAsString());
  TaskCoordinator Next(Kv, {}, configuration, Stats);
  Next.start(Role);
  wire::TaskReport Report = reportOf("n1", 1, 0);
  CHECK_TRUE(waitUntil([&] { return Next.attend(Report).starts_size() == 1; }));
  const auto IsStoredAsBegun = [&] {
    wire::TaskJobProgress Stored;
    return Stored.ParseFromString(Kv.value(keys::progress(JobId("job1")))) &&
           Stored.begun();
  };
  CHECK_FALSE(IsStoredAsBegun());
  wire::RunStatus &Run = *Report.add_running();
  Run.set_task("job1.0.0.0");
  Run.set_run(1);
  Report.set_sequence(2);
  (void)Next.attend(Report);
  CHECK_TRUE(waitUntil(IsStoredAsBegun));
  Next.stop();
}

// Guards against a second run of a task that works or has ended, because its
// unreadable progress counts as none.
TEST(TaskCoordinator, StartsNoTaskOfAJobWhoseProgressCannotBeRead) {
  Coordinator.stop();
  Kv.put(keys::job(JobId("job1")), jobOf("job1")->SerializeAsString());
  Kv.put(keys::progress(JobId("job1")), "\xff\xff not a record");
  TaskCoordinator Next(Kv, {}, configuration, Stats);
  Next.start(Role);
  wire::TaskReport Report = reportOf("n1", 1, 0);
  wire::RunStatus &Run = *Report.add_running();
  Run.set_task("job1.0.0.0");
  Run.set_run(1);
  wire::TaskOrders Orders;
  CHECK_TRUE(waitUntil([&] {
    Orders = Next.attend(Report);
    LONGS_EQUAL(0, Orders.starts_size());
    return Orders.stops_size() == 1;
  }));
  // Its callers learn of it.
  CHECK_TRUE(waitUntil([&] {
    wire::TaskJobProgress Stored;
    return Stored.ParseFromString(Kv.value(keys::progress(JobId("job1")))) &&
           Stored.failed();
  }));
  Next.stop();
}

// Guards against a lease that is extended before the agent knows the bars that
// follow from its report of expired leases.
TEST(TaskCoordinator, TellsWhichReportItHasApplied) {
  const std::uint64_t Rounds = counter("rounds");
  (void)Coordinator.attend(reportOf("n1", 1, 1));
  CHECK_TRUE(waitUntil([&] { return counter("rounds") > Rounds + 1; }));
  LONGS_EQUAL(1, Coordinator.attend(reportOf("n1", 2, 1)).applied_sequence());
  // Of another agent incarnation it has applied none.
  wire::TaskReport Other = reportOf("n1", 3, 1);
  Other.set_agent_incarnation(77);
  CHECK_TRUE(Coordinator.attend(Other).has_applied_sequence());
  LONGS_EQUAL(0, Coordinator.attend(Other).applied_sequence());
}

// Guards against agents of silent workers that poll without a pause, each time
// their report of expired leases has been applied.
TEST(TaskCoordinator, HoldsThePollsOfAgentsWithExpiredLeases) {
  wire::TaskReport Lapsed = reportOf("n1", 1, 0);
  Lapsed.set_complete(false);
  Lapsed.set_lapsed(true);
  LONGS_EQUAL(1, Coordinator.attend(Lapsed).applied_sequence());
  // The orders that follow from a report are published after it is applied, and
  // a poll that does not know them is answered at once.
  const std::uint64_t Rounds = counter("rounds");
  CHECK_TRUE(waitUntil([&] { return counter("rounds") > Rounds + 1; }));
  Lapsed.set_sequence(2);
  Lapsed.set_orders_seen(Coordinator.attend(Lapsed).revision());
  Lapsed.set_sequence(3);
  Lapsed.set_wait_ms(700);
  const Instant Begin = monotonicNow();
  (void)Coordinator.attend(Lapsed);
  CHECK(monotonicNow() - Begin >= Milliseconds(600));
}

// Pattern: each publication wakes the waiting calls of all agents, so that a
// small instance has no processor time left for its rounds.
TEST(TaskCoordinator, WakesOnlyTheAgentWhoseOrdersChanged) {
  constexpr std::uint64_t Agents = 20;
  std::atomic<int> Started{0};
  std::vector<std::thread> Calls;
  for (std::uint64_t N = 0; N < Agents; ++N)
    Calls.emplace_back([&, N] {
      const std::string Node = "n" + std::to_string(N);
      // The first answer has the orders that are in force.
      auto Orders = Coordinator.attend(reportOf(Node, 1, LongWaitMs));
      wire::TaskReport Report = reportOf(Node, 2, LongWaitMs);
      Report.set_orders_seen(Orders.revision());
      Orders = Coordinator.attend(Report);
      Started += Orders.starts_size();
    });
  CHECK_TRUE(waitUntil([&] { return counter("attend_calls") == 2 * Agents; }));
  const std::uint64_t Rounds = counter("rounds");
  CHECK_TRUE(waitUntil([&] { return counter("rounds") > Rounds + 1; }));
  const std::uint64_t Before = counter("attend_wakeups");
  Coordinator.onJob(jobOf("job1"));
  CHECK_TRUE(waitUntil([&] { return Started == 1; }));
  const std::uint64_t Wakeups = counter("attend_wakeups") - Before;
  Coordinator.stop();
  for (std::thread &Call : Calls)
    Call.join();
  CHECK(Wakeups < Agents / 2);
}

// Pattern: the polls of all agents ask for a round each, so that a small
// instance plans all the time and its decisions come seconds late.
TEST(TaskCoordinator, RunsNoRoundForAPollWithoutNews) {
  (void)Coordinator.attend(reportOf("n1", 1, 1));
  const std::uint64_t RoundsBefore = counter("rounds");
  const Instant Begin = monotonicNow();
  constexpr std::uint64_t Polls = 200;
  std::uint64_t OrdersSeen = 0;
  for (std::uint64_t Sequence = 2; Sequence < 2 + Polls; ++Sequence) {
    wire::TaskReport Poll = reportOf("n1", Sequence, 1);
    Poll.set_orders_seen(OrdersSeen);
    OrdersSeen = Coordinator.attend(Poll).revision();
  }
  const std::uint64_t Rounds = counter("rounds") - RoundsBefore;
  // Periodic rounds go on.
  const auto PeriodicRounds =
      std::uint64_t((monotonicNow() - Begin) / Milliseconds(100)) + 1;
  CHECK(Rounds <= PeriodicRounds + 5);
}

TEST(TaskCoordinator, AppliesTheNewsOfAReport) {
  (void)Coordinator.attend(reportOf("n1", 1, 0));
  Coordinator.onJob(jobOf("job1"));
  wire::TaskOrders Orders;
  CHECK_TRUE(waitUntil([&] {
    Orders = Coordinator.attend(reportOf("n1", 2, 0));
    return Orders.starts_size() == 1;
  }));
  wire::TaskReport Report = reportOf("n1", 3, 0);
  wire::RunEnd &End = *Report.add_ends();
  End.set_number(1);
  End.set_task(Orders.starts(0).task());
  End.set_run(1);
  End.set_ending(wire::RUN_DONE);
  CHECK_TRUE(waitUntil(
      [&] { return Coordinator.attend(Report).acknowledged_end() == 1; }));
}

// Pattern: seventy agents poll an entry of 0.12 core so often that it has no
// processor time left for its decisions.
TEST(TaskCoordinator, LetsAgentsPollAsOftenAsItsProcessorAllows) {
  LONGS_EQUAL(400, pollInterval(11, 0.25).count());
  LONGS_EQUAL(400, pollInterval(70, 0.5).count());
  CHECK_TRUE(60 * 1000.0 / double(pollInterval(60, 0.17).count()) <= 62);
  // A worker that is cut off must be noticed.
  LONGS_EQUAL(1000, pollInterval(9000, 0.5).count());
  LONGS_EQUAL(400, Coordinator.attend(reportOf("n1", 1, 0)).poll_ms());
}

// Pattern: a weak entry hands the role over, and its agents stay on their polls
// instead of looking for the new coordinator.
TEST(TaskCoordinator, EndsHeldPollsWithItsTerm) {
  std::atomic<bool> Answered{false};
  std::thread Call([&] {
    auto Orders = Coordinator.attend(reportOf("n1", 1, LongWaitMs));
    wire::TaskReport Report = reportOf("n1", 2, LongWaitMs);
    Report.set_orders_seen(Orders.revision());
    Orders = Coordinator.attend(Report);
    Answered = !Orders.coordinating();
  });
  CHECK_TRUE(waitUntil([&] { return counter("attend_calls") == 2; }));
  Role.stop();
  Coordinator.onRoleChange();
  const bool IsAnswered = waitUntil([&] { return Answered.load(); });
  Coordinator.stop();
  Call.join();
  CHECK_TRUE(IsAnswered);
}

TEST_GROUP(TaskCoordinatorOrders) {
  FakeKv Kv;
  Metrics Stats;
  TaskCoordinator Coordinator{Kv, CoordinatorSettings(),
                              [] { return std::make_shared<QueueConfig>(); },
                              Stats};
  CoordinatorRole Role{Kv, "front 1:1", Milliseconds(60000),
                       [this] { Coordinator.onRoleChange(); }};
  wire::TaskReport Report;

  void setup() override {
    wire::TaskJobSpec Spec;
    Spec.set_id("j");
    Spec.set_service("planner");
    Spec.set_stretch(3);
    wire::StepSpec &Step = *Spec.add_steps();
    Step.set_count(1);
    Step.set_accelerators(4);
    Step.set_estimate_ms(5000);
    Kv.put(std::string(keys::Jobs) + "j", Spec.SerializeAsString());
    Report.set_node("n1");
    Report.set_worker("n1/w#1");
    Report.set_service("planner");
    Report.set_accelerators(8);
    Report.set_complete(true);
    Report.set_agent_life(1);
    Role.start();
    Role.noteRoleKey(false);
    Coordinator.start(Role);
  }

  void teardown() override {
    Coordinator.stop();
    Role.stop();
  }

  wire::TaskOrders attend() {
    Report.set_sequence(Report.sequence() + 1);
    return Coordinator.attend(Report);
  }
};

// Pattern: a start is ordered while the agent is out of touch and the worker's
// capacity shrinks. The agent's next report must not be answered with it.
TEST(TaskCoordinatorOrders, GivesNoOrdersForACapacityThatHasShrunk) {
  CHECK_TRUE(waitUntil([&] { return attend().starts_size() == 1; }));
  Report.set_accelerators(2);
  LONGS_EQUAL(0, attend().starts_size());
  CHECK_TRUE(waitUntil([&] { return attend().stops_size() == 1; }));
}

// Pattern: a worker's capacity grows while its agent's poll is held. Orders,
// stops among them, did not go out before the end of the hold.
TEST(TaskCoordinator, AnswersAHeldPollWhenTheCapacityHasGrown) {
  wire::TaskReport Small = reportOf("n1", 1, LongWaitMs);
  Small.set_accelerators(0);
  const std::uint64_t Seen = Coordinator.attend(Small).revision();
  std::atomic<int> Starts{0};
  std::thread Call([&] {
    Small.set_sequence(2);
    Small.set_orders_seen(Seen);
    Starts += Coordinator.attend(Small).starts_size();
  });
  CHECK_TRUE(waitUntil([&] { return counter("attend_calls") == 2; }));
  (void)Coordinator.attend(reportOf("n1", 3, 0));
  Coordinator.onJob(jobOf("job1"));
  const bool IsAnswered = waitUntil([&] { return Starts == 1; });
  Coordinator.stop();
  Call.join();
  CHECK_TRUE(IsAnswered);
}

// Pattern: a run is placed while the first poll of its agent is held and the
// store refuses the write. The session had no lease yet, so that the run was
// taken for lost and placed again.
TEST(TaskCoordinator, CountsALeaseFromTheArrivalOfAHeldPoll) {
  Kv.setFault(FakeKv::Fault::Unavailable);
  Coordinator.onJob(jobOf("job1"));
  const std::uint64_t Rounds = counter("rounds");
  CHECK_TRUE(waitUntil([&] { return counter("rounds") > Rounds + 1; }));
  wire::TaskOrders Orders;
  std::thread Call(
      [&] { Orders = Coordinator.attend(reportOf("n1", 1, LongWaitMs)); });
  CHECK_TRUE(waitUntil([&] { return counter("progress_not_written") > 2; }));
  Kv.setFault(FakeKv::Fault::None);
  Call.join();
  LONGS_EQUAL(1, Orders.starts_size());
  LONGS_EQUAL(1, Orders.starts(0).run());
}

// Pattern: the clock steps back between two restarts of an agent, and the
// coordinator ignores its reports while it grants the lease.
TEST(TaskCoordinator, AcceptsARestartedAgentWithALowerStartTime) {
  wire::TaskReport Report = reportOf("n1", 1, 0);
  Coordinator.onJob(jobOf("job1"));
  for (std::uint64_t Agent : {900, 100}) {
    Report.set_agent_incarnation(Agent);
    Report.set_agent_life(Agent);
    Report.set_sequence(1);
    CHECK_TRUE(waitUntil([&] {
      Report.set_sequence(Report.sequence() + 1);
      const wire::TaskOrders Orders = Coordinator.attend(Report);
      Report.set_agent_session(Orders.agent_session());
      return Orders.starts_size() == 1 &&
             Orders.starts(0).may_have_been_sent() == (Agent == 100);
    }));
  }
}

// Pattern: an agent that has just started gets the orders that were made for
// the one before it, whose runs have been given up.
TEST(TaskCoordinator, GivesOrdersOnlyToTheAgentTheyWereMadeFor) {
  wire::TaskReport Report = reportOf("n1", 1, 0);
  Coordinator.onJob(jobOf("job1"));
  CHECK_TRUE(waitUntil([&] {
    Report.set_sequence(Report.sequence() + 1);
    return Coordinator.attend(Report).starts_size() == 1;
  }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  Coordinator.onJob(jobOf("job2"));
  const std::uint64_t Rounds = counter("rounds");
  CHECK_TRUE(waitUntil([&] { return counter("progress_not_written") > 2; }));
  CHECK(counter("rounds") <= Rounds + 1);
  Report.set_agent_incarnation(5);
  const wire::TaskOrders Orders = Coordinator.attend(Report);
  LONGS_EQUAL(0, Orders.starts_size());
  CHECK(Orders.grant_ms() > 0);
  CHECK(Orders.agent_session() != 0);
  Report.set_agent_session(Orders.agent_session());
  Report.set_sequence(Report.sequence() + 1);
  LONGS_EQUAL(0, Coordinator.attend(Report).starts_size());
}

// Pattern: the orders exceed the size of a message, and the agent gets no grant
// any more, so that all runs of the worker lapse.
TEST(TaskCoordinator, AnswersManyStartsInMessagesThatFit) {
  auto Spec = jobOf("job1");
  Spec->set_payload(std::string(4000, 'x'));
  Spec->mutable_steps(0)->set_count(1200);
  Spec->mutable_steps(0)->set_accelerators(0);
  Coordinator.onJob(Spec);
  wire::TaskReport Report = reportOf("n1", 1, 0);
  CHECK_TRUE(waitUntil([&] {
    Report.set_sequence(Report.sequence() + 1);
    const wire::TaskOrders Orders = Coordinator.attend(Report);
    CHECK(Orders.ByteSizeLong() < (1 << 20));
    CHECK(Orders.grant_ms() > 0);
    Report.set_orders_seen(Orders.revision());
    for (const wire::StartOrder &Start : Orders.starts()) {
      wire::RunStatus &Run = *Report.add_running();
      Run.set_task(Start.task());
      Run.set_run(Start.run());
    }
    return Report.running_size() >= 1200;
  }));
  LONGS_EQUAL(1200, Report.running_size());
}
