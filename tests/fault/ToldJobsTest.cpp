// What entries tell of jobs that no worker begins, and whom they tell it, in a
// small deployment of real processes.

#include "KeyCaller.h"
#include "TaskDeployment.h"
#include "WaitUntil.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr std::size_t JobCount = 4;
/// Accepted jobs are owed in a count after this.
constexpr Milliseconds OwedAfter =
    JobStateJudge::VisibleAfter + JobStateJudge::MaxCountAge;
constexpr int Unauthorized = 401;

} // namespace

TEST_GROUP(ToldJobs) {
  TaskDeployment System{3, 2};
  std::vector<std::unique_ptr<HttpClient>> Clients = System.clients();

  void setup() override {
    for (std::size_t Entry = 0; Entry < Clients.size(); ++Entry)
      CHECK_TRUE(
          waitUntil([&] { return status(Entry, job("POST", 0)) == 200; }));
    CHECK_TRUE(waitUntil(
        [&] { return answer(0, job("GET", 0)) == "state:completed"; }));
  }

  static std::string jobId(std::size_t Number) {
    return "300000000000000" + std::to_string(Number);
  }

  /// Returns a call to a job, which lasts if it is submitted.
  static HttpCall job(const std::string &Method, std::size_t Number,
                      std::size_t GangSize = 0) {
    FleetJob Job;
    Job.Accelerators = 1;
    Job.MemoryMb = 1000;
    Job.WorkMs = Job.EstimateMs = 60000;
    Job.IsGang = GangSize > 0;
    Job.Tasks = std::max<std::size_t>(1, GangSize);
    if (Number == 0)
      Job.WorkMs = 0;
    return jobCall(Method, jobId(Number), Method == "POST" ? Job.body() : "");
  }

  int status(std::size_t Entry, const HttpCall &Call) {
    const auto Answer = Clients[Entry]->call(Call);
    return Answer ? Answer->Status : 0;
  }

  /// Returns what an entry answers, without braces and quotes.
  std::string answer(std::size_t Entry, const HttpCall &Call) {
    const auto Answer = Clients[Entry]->call(Call);
    std::string Text;
    for (const char Each : Answer ? Answer->Body : "")
      if (Each != '"' && Each != '{' && Each != '}')
        Text += Each;
    return Text;
  }

  void submitJobs(std::size_t GangSize = 0) {
    for (std::size_t Number = 1; Number <= JobCount; ++Number)
      LONGS_EQUAL(
          200, status(Number % Clients.size(), job("POST", Number, GangSize)));
  }

  /// Checks at each entry that all jobs wait.
  void checkAllWait() {
    for (std::size_t Entry = 0; Entry < Clients.size(); ++Entry) {
      STRCMP_EQUAL("waiting:4", answer(Entry, jobCall("GET", "")).c_str());
      for (std::size_t Number = 1; Number <= JobCount; ++Number)
        STRCMP_EQUAL("state:pending",
                     answer(Entry, job("GET", Number)).c_str());
    }
  }

  /// Waits until each entry tells that all jobs run.
  void checkAllRun() {
    for (std::size_t Entry = 0; Entry < Clients.size(); ++Entry) {
      CHECK_TRUE(waitUntil(
          [&] { return answer(Entry, jobCall("GET", "")) == "waiting:0"; }));
      for (std::size_t Number = 1; Number <= JobCount; ++Number)
        STRCMP_EQUAL("state:running",
                     answer(Entry, job("GET", Number)).c_str());
    }
  }

  void setModes(WorkerFleet::Mode Mode) {
    for (std::size_t Worker = 0; Worker < System.Fleet->size(); ++Worker)
      System.Fleet->setMode(Worker, Mode);
  }
};

// Guards against jobs that are told as running, and none as waiting, while all
// workers refuse each start.
TEST(ToldJobs, WaitWhileWorkersRefuseThem) {
  setModes(WorkerFleet::Mode::Refuses);
  submitJobs();
  std::this_thread::sleep_for(OwedAfter);
  checkAllWait();
  setModes(WorkerFleet::Mode::Sound);
  checkAllRun();
}

// Guards against the same of gangs.
TEST(ToldJobs, WaitWhileWorkersRefuseAGang) {
  setModes(WorkerFleet::Mode::Refuses);
  submitJobs(2);
  std::this_thread::sleep_for(OwedAfter);
  checkAllWait();
}

// Guards against jobs that are told as running while the agents that have to
// start them hang.
TEST(ToldJobs, WaitWhileTheAgentsHang) {
  for (const auto &Agent : System.Agents)
    Agent->signal(SIGSTOP);
  submitJobs();
  std::this_thread::sleep_for(OwedAfter);
  checkAllWait();
  for (const auto &Agent : System.Agents)
    Agent->signal(SIGCONT);
  checkAllRun();
}

// Guards against begun jobs that wait again, for their clients, once all
// entries have started again and no worker runs them any more.
TEST(ToldJobs, StayBegunAcrossARestartOfAllEntries) {
  submitJobs();
  checkAllRun();
  // Longer than it takes until a begin is stored.
  std::this_thread::sleep_for(Milliseconds(1000));
  for (const auto &Entry : System.Entries)
    Entry->kill();
  setModes(WorkerFleet::Mode::Refuses);
  for (std::size_t Worker = 0; Worker < System.Fleet->size(); ++Worker)
    System.Fleet->crash(Worker, Milliseconds(0));
  for (const auto &Entry : System.Entries)
    Entry->start();
  CHECK_TRUE(waitUntil([&] { return status(0, job("GET", 1)) == 200; }));
  checkAllRun();
}

// Guards against calls that run with a key that was withdrawn, or that never
// was, on a queue that admits calls without a key and on one that does not.
TEST(ToldJobs, AreNotToldToCallersWithAWithdrawnKey) {
  const auto Send = [&](const std::string &Method, const std::string &Queue,
                        const std::string &Key) {
    HttpCall Call = job(Method, 1);
    Call.Path = Queue + jobId(Queue == KeyedQueuePrefix ? 8 : 9);
    Call.Headers["Authorization"] = "Bearer " + Key;
    return Call;
  };
  for (const std::string &Queue : {queuePrefix(), KeyedQueuePrefix})
    LONGS_EQUAL(200, status(0, Send("POST", Queue, "key-0")));
  System.replaceKey();
  std::this_thread::sleep_for(KeyCaller::MaxUseAfterWithdrawal);
  for (const std::string &Queue : {queuePrefix(), KeyedQueuePrefix})
    for (std::size_t Entry = 0; Entry < Clients.size(); ++Entry) {
      for (const char *Key : {"key-0", "no-key"})
        for (const char *Method : {"POST", "GET", "DELETE"})
          LONGS_EQUAL(Unauthorized, status(Entry, Send(Method, Queue, Key)));
      LONGS_EQUAL(200, status(Entry, Send("GET", Queue, "key-1")));
    }
}
