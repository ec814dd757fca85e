// Gangs in a small deployment of real processes, several members of which end
// failed in one run: such a run uses up one attempt, whoever hears of its ends.

#include "TaskDeployment.h"
#include "WaitUntil.h"

#include "base/Text.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr std::size_t EntryCount = 2;
constexpr std::size_t WorkerCount = 8;
constexpr std::int64_t OnePerWorker = WorkerFleet::Accelerators;
const std::string Job = "1000000000000001";

std::string memberOf(std::size_t Index) {
  return Job + ".0.0." + std::to_string(Index);
}

} // namespace

TEST_GROUP(GangFailure) {
  std::unique_ptr<TaskDeployment> System;
  std::size_t Members = 0;

  void teardown() override { System.reset(); }

  /// Starts a deployment whose queue allows \p MaxAttempts failed runs, and
  /// submits a gang of \p Count members.
  void submitGang(std::size_t Count, std::int64_t Accelerators,
                  int MaxAttempts) {
    constexpr unsigned Seed = 1;
    System = std::make_unique<TaskDeployment>(EntryCount, WorkerCount, Seed,
                                              MaxAttempts);
    Members = Count;
    FleetJob Shape;
    Shape.Tasks = Count;
    Shape.IsGang = true;
    Shape.Accelerators = Accelerators;
    Shape.MemoryMb = 1000;
    Shape.WorkMs = Shape.EstimateMs = 1500;
    HttpClient Client(System->Entries[0]->ip() + ":8080");
    CHECK_TRUE(waitUntil([&] {
      const auto Answer = Client.call(jobCall("POST", Job, Shape.body()));
      return Answer && Answer->Status == 200;
    }));
  }

  std::size_t workerOf(std::size_t Member) const {
    return System->Fleet->workerOf(memberOf(Member));
  }

  /// Number of runs of which a worker started a member.
  std::size_t runs() const { return System->Fleet->runsOf(Job).size(); }

  /// Number of runs of which all members were started.
  std::size_t wholeRuns() const {
    std::size_t Count = 0;
    for (const auto &[Run, Started] : System->Fleet->runsOf(Job))
      Count += Started == Members ? 1 : 0;
    return Count;
  }

  /// Waits until all members of the next run are at work.
  void waitUntilWhole() {
    const bool IsWhole = waitUntil([&] {
      for (std::size_t M = 0; M < Members; ++M)
        if (workerOf(M) == System->Fleet->size())
          return false;
      return true;
    });
    expect(IsWhole, "the next run does not begin: " + state());
  }

  /// Ends all members of the run that is at work as failed.
  void failRun() {
    System->Fleet->noteFault();
    expect(System->Fleet->failGang(Job) == Members, "the run is not whole");
  }

  /// Returns the state of the job that a caller sees; empty without an answer.
  std::string state() const {
    for (const auto &Entry : System->Entries) {
      HttpClient Client(Entry->ip() + ":8080");
      const auto Answer = Client.call(jobCall("GET", Job));
      if (!Answer || Answer->Status != 200)
        continue;
      for (const char *Each : {"completed", "failed", "running", "pending"})
        if (Answer->Body.find("\"" + std::string(Each) + "\"") !=
            std::string::npos)
          return Each;
    }
    return "";
  }

  /// Returns the entry that has heard that \p Member ended failed in \p Run, or
  /// EntryCount.
  std::size_t entryThatHeard(std::size_t Member, int Run) const {
    const std::string Line = "attempt failed task=" + memberOf(Member) +
                             " run=" + std::to_string(Run) + " ";
    for (std::size_t E = 0; E < EntryCount; ++E) {
      std::string Log;
      (void)readFile(System->Entries[E]->logPath(), Log);
      if (Log.find(Line) != std::string::npos)
        return E;
    }
    return EntryCount;
  }

  /// Waits until an entry has heard that \p Member ended failed in \p Run.
  std::size_t waitUntilHeard(std::size_t Member, int Run) {
    std::size_t Entry = EntryCount;
    expect(waitUntil([&] {
             Entry = entryThatHeard(Member, Run);
             return Entry != EntryCount;
           }),
           "nobody hears of " + memberOf(Member) + ": " + state());
    return Entry;
  }

  /// Keeps the logs if the test fails here.
  void expect(bool Holds, const std::string &Else) {
    if (Holds)
      return;
    keepLogs(*System, UtestShell::getCurrent()->getName().asCharString());
    FAIL(Else.c_str());
  }

  /// \p Refused of the runs may lack a member whose worker refused it.
  void expectEnd(const std::string &State, std::size_t Runs,
                 std::size_t Refused = 0) {
    std::string Last;
    (void)waitUntil([&] {
      Last = state();
      return Last == "completed" || Last == "failed";
    });
    if (State == "failed")
      // A run too many would have begun by then.
      std::this_thread::sleep_for(Milliseconds(4000));
    const std::string Seen = "shown as " + Last + " after " +
                             std::to_string(wholeRuns()) + " runs " +
                             System->Fleet->violations();
    const std::string Wanted =
        "shown as " + State + " after " + std::to_string(Runs) + " runs ";
    expect(Seen == Wanted, Seen + "; wanted: " + Wanted);
    expect(runs() <= Runs + Refused,
           std::to_string(runs()) + " runs were begun, whole or not");
  }
};

// Guards against a gang that is shown as failed after one run because two
// members on two workers ended failed before they heard of each other.
TEST(GangFailure, RunThatFailsOnTwoWorkersUsesOneAttempt) {
  submitGang(2, OnePerWorker, 2);
  waitUntilWhole();
  CHECK_TRUE(workerOf(0) != workerOf(1));
  failRun();
  expectEnd("completed", 2);
}

// Guards against a gang that is shown as failed after one run because one
// listing of a worker carries the ends of all four members.
TEST(GangFailure, RunWhoseEndsAreListedTogetherUsesOneAttempt) {
  submitGang(4, OnePerWorker / 4, 2);
  waitUntilWhole();
  for (std::size_t M = 1; M < Members; ++M)
    LONGS_EQUAL(workerOf(0), workerOf(M));
  failRun();
  expectEnd("completed", 2);
}

// Guards against a gang that is shown as failed after one run because the six
// reports of its workers are counted.
TEST(GangFailure, RunThatFailsOnSixWorkersUsesOneAttempt) {
  submitGang(6, OnePerWorker, 2);
  waitUntilWhole();
  failRun();
  expectEnd("completed", 2);
}

// Guards against a gang that is shown as failed after two runs of three.
TEST(GangFailure, TwoFailedRunsLeaveTheThirdAttempt) {
  submitGang(2, OnePerWorker, 3);
  for (int Run = 1; Run <= 2; ++Run) {
    waitUntilWhole();
    failRun();
  }
  expectEnd("completed", 3);
}

// Guards against a run that uses up two attempts because the coordinator was
// killed when it had heard one end, and the next one hears the other.
TEST(GangFailure, EndThatTheNextCoordinatorHearsUsesNoMoreAttempts) {
  submitGang(2, OnePerWorker, 2);
  waitUntilWhole();
  const TaskDaemon &Late = *System->Agents[workerOf(1)];
  Late.signal(SIGSTOP);
  failRun();
  const std::size_t First = waitUntilHeard(0, 1);
  // The count is stored by then.
  std::this_thread::sleep_for(Milliseconds(300));
  LONGS_EQUAL(EntryCount, entryThatHeard(1, 1));
  System->Entries[First]->kill();
  Late.signal(SIGCONT);
  CHECK_TRUE(waitUntilHeard(1, 1) != First);
  expectEnd("completed", 2);
}

// Guards against a run that uses up two attempts because one member's end is
// heard from an agent that stood still and was started anew.
TEST(GangFailure, EndThatAnAgentStartedAnewListsUsesNoMoreAttempts) {
  submitGang(2, OnePerWorker, 2);
  waitUntilWhole();
  TaskDaemon &Late = *System->Agents[workerOf(1)];
  Late.signal(SIGSTOP);
  failRun();
  (void)waitUntilHeard(0, 1);
  LONGS_EQUAL(EntryCount, entryThatHeard(1, 1));
  Late.kill();
  Late.start();
  (void)waitUntilHeard(1, 1);
  expectEnd("completed", 2);
}

// Guards against a run that uses up more attempts than one because one member's
// worker is killed as soon as all members have ended.
TEST(GangFailure, WorkerKilledAfterTheEndsUsesNoMoreAttempts) {
  constexpr Milliseconds Down{1500};
  submitGang(3, OnePerWorker, 2);
  waitUntilWhole();
  const std::size_t Killed = workerOf(2);
  failRun();
  System->Fleet->crash(Killed, Down);
  // The next run may be placed there before the agent notices.
  expectEnd("completed", 2, 1);
}

// Guards against a gang that is started once more after its last attempt.
TEST(GangFailure, IsNotStartedAgainAfterItsLastAttempt) {
  submitGang(2, OnePerWorker, 3);
  for (int Run = 1; Run <= 3; ++Run) {
    waitUntilWhole();
    failRun();
  }
  expectEnd("failed", 3);
}

// Guards against a gang that is started once more because the coordinator that
// counted the earlier attempts was killed before the last one's ends are heard.
TEST(GangFailure, IsNotStartedAgainWhenTheNextCoordinatorHearsTheLastEnds) {
  submitGang(2, OnePerWorker, 2);
  waitUntilWhole();
  failRun();
  const std::size_t First = waitUntilHeard(0, 1);
  waitUntilWhole();
  const std::size_t Workers[] = {workerOf(0), workerOf(1)};
  for (std::size_t W : Workers)
    System->Agents[W]->signal(SIGSTOP);
  failRun();
  System->Entries[First]->kill();
  for (std::size_t W : Workers)
    System->Agents[W]->signal(SIGCONT);
  CHECK_TRUE(waitUntilHeard(0, 2) != First);
  expectEnd("failed", 2);
}
