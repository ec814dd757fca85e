// A soak of the task daemons: entries and agents as real processes, jobs of
// single tasks and of gangs, some with few attempts, and overlapping random
// faults of processes, store, workers, messages about workers and keys. The
// same seed selects the same series of faults.

#include "KeyCaller.h"
#include "TaskFaults.h"

#include <cstdio>
#include <iterator>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

/// All accepted jobs end within this time after the last one. The users allow
/// 14 s and the time of the work; the longest runs away from their rack take
/// 8 s, and a job may wait for others.
constexpr Milliseconds FinishTimeout{45000};
/// Jobs are submitted for this long after the last fault.
constexpr std::chrono::seconds CalmTime{10};
/// Series of faults that overlap.
constexpr TaskFaults::Kind SeriesOfFaults[] = {
    TaskFaults::Kind::Any,      TaskFaults::Kind::Any,
    TaskFaults::Kind::Workers,  TaskFaults::Kind::Messages,
    TaskFaults::Kind::Gangs,    TaskFaults::Kind::Restarts,
    TaskFaults::Kind::Refusals, TaskFaults::Kind::Keys};
constexpr std::uint64_t FirstJob = 0x1000000000000000;
/// Questions about states, counts and keys between the submissions of jobs.
constexpr int QuestionsAtOnce = 3;

int environmentNumber(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

/// Submits jobs through all entries over connections that stay open.
class Submitter {
public:
  Submitter(TaskDeployment &System, unsigned Seed)
      : System(System), Random(Seed), Shapes(Seed * 10 + 8),
        Owners(Seed * 100 + 1), Clients(System.clients()) {}

  FleetJob anyJob() {
    FleetJob Job;
    Job.WorkMs = 300 + Random.upTo(3000);
    // Declared durations are off by a factor of up to eight.
    Job.EstimateMs = Job.WorkMs * (1 + Random.upTo(7)) / (1 + Random.upTo(3));
    Job.Accelerators = 1 << Random.upTo(3);
    Job.MemoryMb = Random.oneIn(2) ? 68000 : 11000;
    Job.IsGang = Random.oneIn(2);
    Job.InOneRack = Job.IsGang && Random.oneIn(2);
    // Some gangs have more tasks than one rack holds.
    Job.Tasks = 1 + Random.below(2 * WorkerFleet::WorkersPerRack + 1);
    if (Random.oneIn(6))
      Job.MaxAttempts = anyFewAttempts();
    return Job;
  }

  /// Returns a gang that a single worker can hold.
  FleetJob smallGang() {
    FleetJob Job;
    Job.WorkMs = Job.EstimateMs = 1000 + Random.upTo(2500);
    Job.Accelerators = 1;
    Job.MemoryMb = 11000;
    Job.IsGang = true;
    Job.InOneRack = Random.oneIn(2);
    Job.Tasks = 2 + Random.below(3);
    if (Random.oneIn(2))
      Job.MaxAttempts = anyFewAttempts();
    return Job;
  }

  /// Returns a job with many occurrences, or with steps without tasks.
  FleetJob anyOddJob() {
    FleetJob Job;
    Job.WorkMs = Job.EstimateMs = 50 + Shapes.upTo(400);
    Job.Accelerators = 1;
    Job.MemoryMb = 1000;
    if (Shapes.oneIn(2))
      Job.Repeats = 1 + Shapes.below(40);
    else
      Job.IsGang = Shapes.oneIn(2);
    Job.Tasks = 1 + Shapes.below(3);
    Job.EmptyStepsBefore = Shapes.below(300);
    Job.EmptyStepsAfter = Shapes.below(300);
    return Job;
  }

  /// Submits a job without tasks, which no entry may accept.
  void submitWithoutTasks() {
    static const char *const Repeats[] = {"0", "1", "1000000000", "4000000000",
                                          "1099511627776"};
    const std::string Step =
        Shapes.oneIn(2) ? R"({"gang":true})" : R"({"long_running":true})";
    std::string Steps = Step;
    for (std::size_t More = Shapes.below(100); More > 0; --More)
      Steps += "," + Step;
    const std::string Body = R"({"repeat_count":)" +
                             std::string(Repeats[Shapes.below(5)]) +
                             R"(,"steps":[)" + Steps + "]}";
    const auto Answer = Clients[Shapes.below(Clients.size())]->call(
        jobCall("POST", nextId(), Body));
    if (Answer && Answer->Status == 200)
      AcceptedWithoutTasks += Body + "\n";
  }

  /// Submits a job, repeatedly if it is not answered. Returns whether it was
  /// accepted.
  bool submit(const FleetJob &Job) {
    constexpr int Attempts = 5;
    const std::string Id = nextId();
    const std::string Body = Job.body();
    Owner Of;
    Of.Queue =
        queuePrefix(Job.MaxAttempts == MaxTaskAttempts ? 0 : Job.MaxAttempts);
    if (Owners.oneIn(3)) {
      Of.HasKey = true;
      if (Job.MaxAttempts == MaxTaskAttempts && Owners.oneIn(2))
        Of.Queue = KeyedQueuePrefix;
    }
    System.Fleet->allowAttempts(Id, std::size_t(Job.MaxAttempts));
    System.Fleet->noteSubmitted(Id, Of.Queue);
    for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
      const auto Answer = Clients[Random.below(Clients.size())]->call(
          callOf("POST", Id, Of, Body));
      if (!Answer || Answer->Status != 200)
        continue;
      System.Fleet->noteAccepted(Id, Job);
      Accepted.push_back(Id);
      OwnerOf[Id] = Of;
      return true;
    }
    return false;
  }

  /// Returns the state of a job by the first entry that tells it.
  std::string stateOf(const std::string &Id) {
    for (std::size_t Entry = 0; Entry < Clients.size(); ++Entry)
      if (std::string State = stateOf(Entry, Id); !State.empty())
        return State;
    return "unknown";
  }

  /// Asks one entry for the number of waiting jobs of one queue.
  void checkAnyCount() {
    const std::string Queues[] = {queuePrefix(), KeyedQueuePrefix,
                                  queuePrefix(FewTaskAttempts[0])};
    const std::size_t Entry = Owners.below(Clients.size());
    const std::string &Queue = Queues[Owners.below(std::size(Queues))];
    Question Asked = questionTo(Entry);
    const auto Answer = Clients[Entry]->call(callOf("GET", "", {Queue, true}));
    if (!Answer || Answer->Status != 200)
      return;
    Asked.IsInTouch = System.isInTouch(Entry, Asked.AskedAt);
    const std::size_t From = Answer->Body.find(':') + 1;
    System.Fleet->noteWaiting(
        Asked, Queue, std::size_t(std::atol(Answer->Body.c_str() + From)));
  }

  /// Asks one entry for the state of one job. A job may be shown as completed
  /// only if all of its tasks have ended as done.
  void checkAnyState() {
    if (Accepted.empty())
      return;
    const std::string &Id = Accepted[Random.below(Accepted.size())];
    if (stateOf(Random.below(Clients.size()), Id) == "completed" &&
        !System.Fleet->isDone(Id))
      ShownTooEarly += Id + " is shown as completed before its end\n";
  }

  /// Asks one entry for the state of one of the latest jobs, which is judged by
  /// what the workers have begun.
  void checkLatestState() {
    constexpr std::size_t Latest = 12;
    if (!Accepted.empty())
      (void)stateOf(Owners.below(Clients.size()),
                    Accepted[Accepted.size() - 1 -
                             Owners.below(std::min(Accepted.size(), Latest))]);
  }

  /// Asks any entry for the states of the jobs that may have failed by now.
  void checkFailures() {
    const std::size_t Entry = Random.below(Clients.size());
    for (const std::string &Id : Accepted)
      if (System.Fleet->mayHaveFailed(Id) && !System.Fleet->hasFailed(Id) &&
          !System.Fleet->isDone(Id) && stateOf(Entry, Id).empty())
        return;
  }

  std::vector<std::string> Accepted;
  std::string ShownTooEarly;
  std::string AcceptedWithoutTasks;

private:
  std::string nextId() { return jobIdText(FirstJob + ++Submitted); }

  int anyFewAttempts() {
    return FewTaskAttempts[Random.below(std::size(FewTaskAttempts))];
  }

  /// The queue of a job, and whether it was submitted with the kept key.
  struct Owner {
    std::string Queue;
    bool HasKey = false;
  };

  static HttpCall callOf(const std::string &Method, const std::string &Id,
                         const Owner &Of, const std::string &Body = "") {
    HttpCall Call = jobCall(Method, Id, Body, Of.Queue);
    if (Of.HasKey)
      Call.Headers["Authorization"] = std::string("Bearer ") + KeptKey;
    return Call;
  }

  Question questionTo(std::size_t Entry) const {
    return {System.Entries[Entry]->ip(), monotonicNow(), false};
  }

  /// Returns the state of a job by one entry; empty if it does not tell.
  std::string stateOf(std::size_t Entry, const std::string &Id) {
    const Question Asked = questionTo(Entry);
    const auto Answer = Clients[Entry]->call(callOf("GET", Id, OwnerOf[Id]));
    if (!Answer || Answer->Status != 200)
      return "";
    const std::size_t From = Answer->Body.find(":\"") + 2;
    std::string State =
        Answer->Body.substr(From, Answer->Body.find('"', From) - From);
    System.Fleet->noteState(Asked, Id, State);
    if (State == "failed" || State == "canceled")
      System.Fleet->noteGivenUp(Id, State);
    return State;
  }

  TaskDeployment &System;
  Dice Random;
  Dice Shapes;
  Dice Owners;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::map<std::string, Owner> OwnerOf;
  std::uint64_t Submitted = 0;
};

bool waitFor(const std::function<bool()> &Holds, Milliseconds Timeout) {
  for (const Instant End = monotonicNow() + Timeout; monotonicNow() < End;
       std::this_thread::sleep_for(Milliseconds(100)))
    if (Holds())
      return true;
  return Holds();
}

/// Runs jobs under random faults and checks what the workers and callers saw.
void soak(bool LateCallsReachNextLife) {
  const int Seed = environmentNumber("TASK_SOAK_SEED", 1);
  const int Seconds = environmentNumber("TASK_SOAK_SECONDS", 20);
  TaskDeployment System(std::size_t(environmentNumber("TASK_SOAK_ENTRIES", 4)),
                        std::size_t(environmentNumber("TASK_SOAK_AGENTS", 40)),
                        unsigned(Seed));
  System.Fleet->setLateCallsReachNextLife(LateCallsReachNextLife);
  Submitter Client(System, unsigned(Seed));
  KeyCaller Keys(System, unsigned(Seed) * 100 + 2);
  CHECK_TRUE(
      waitFor([&] { return Client.submit(FleetJob()); }, Milliseconds(20000)));
  std::mutex Processes;
  std::vector<std::unique_ptr<TaskFaults>> Faults;
  for (const TaskFaults::Kind Kind : SeriesOfFaults)
    Faults.push_back(std::make_unique<TaskFaults>(
        System, Kind, unsigned(Seed) * 10 + unsigned(Faults.size()),
        Processes));
  Dice Random(unsigned(Seed) * 10 + 9);
  const auto SubmitFor = [&](std::chrono::seconds Time, int MaxPauseMs) {
    for (const Instant End = monotonicNow() + Time; monotonicNow() < End;
         std::this_thread::sleep_for(Milliseconds(Random.upTo(MaxPauseMs)))) {
      (void)Client.submit(Client.anyJob());
      (void)Client.submit(Client.smallGang());
      (void)Client.submit(Client.anyOddJob());
      Client.submitWithoutTasks();
      Client.checkAnyState();
      for (int Asked = 0; Asked < QuestionsAtOnce; ++Asked) {
        Client.checkLatestState();
        Client.checkAnyCount();
        Keys.callWithBadCredentials();
      }
      Keys.callWithKeptKey();
      Client.checkFailures();
    }
  };
  SubmitFor(std::chrono::seconds(Seconds), 500);
  for (const auto &Each : Faults)
    Each->finish();
  // What the faults leave behind must not hold back later jobs. Fewer of them
  // leave room, so that none has to wait.
  SubmitFor(CalmTime, 1500);
  const Instant SubmissionsEnded = monotonicNow();
  std::string Open;
  const bool AllEnded = waitFor(
      [&] {
        Open.clear();
        Client.checkFailures();
        for (const std::string &Id : Client.Accepted)
          if (!System.Fleet->isDone(Id) && !System.Fleet->hasFailed(Id))
            Open += Id + " ";
        return Open.empty();
      },
      FinishTimeout);
  const auto Took = monotonicNow() - SubmissionsEnded;
  std::string Wrong =
      Client.ShownTooEarly + Client.AcceptedWithoutTasks + Keys.violations();
  for (const std::string &Id : Client.Accepted)
    if (!System.Fleet->isDone(Id))
      // Judged by the fleet, which also knows why an open job may have failed.
      (void)Client.stateOf(Id);
    else if (!waitFor(
                 [&] {
                   // A worker may take unheard ends as done with it.
                   return Client.stateOf(Id) == "completed" ||
                          (System.Fleet->hasFailed(Id) &&
                           !System.Fleet->isDoneNoted(Id));
                 },
                 Milliseconds(3000)))
      Wrong += Id + " is shown as " + Client.stateOf(Id) + "\n";
  std::printf("seed %d: %zu jobs, %zu failed with cause, open ones ended after "
              "%lld ms, longest idle wait %lld ms, %zu late starts, %zu late "
              "writes, %zu calls for their keys, %zu of them with withdrawn "
              "ones, up to %zu waiting jobs owed in a count\n%s\n",
              Seed, Client.Accepted.size(), System.Fleet->failedJobs(),
              static_cast<long long>(Took.count()),
              static_cast<long long>(System.Fleet->longestIdleWait().count()),
              System.Fleet->lateStarts(), System.Store.lateWrites(),
              Keys.calls(), Keys.withdrawn(), System.Fleet->mostWaitingJobs(),
              System.Fleet->eventCounts().c_str());
  Wrong += System.Fleet->violations();
  if (!AllEnded || !Wrong.empty())
    keepLogs(System, "seed-" + std::to_string(Seed));
  STRCMP_EQUAL("", Wrong.c_str());
  CHECK_TEXT(AllEnded, ("not ended: " + Open).c_str());
}

} // namespace

TEST_GROUP(TaskSoak){};

// Guards against accepted jobs that are lost, run twice, start beyond their
// attempts, are shown as failed although they have attempts left, or have
// nothing running although there is room, after overlapping faults of
// processes, store and workers, gangs whose members fail together, and late and
// foreign messages. Guards as well against entries that tell of jobs what no
// worker has begun, and against calls with withdrawn keys that run.
TEST(TaskSoak, RunsEveryAcceptedJobAfterRandomFaults) { soak(false); }

// Guards against tasks that run twice because a start that a worker did not
// answer is carried out by its next life under the same id.
TEST(TaskSoak, RunsNothingTwiceWhenLateStartsReachTheNextLife) { soak(true); }
