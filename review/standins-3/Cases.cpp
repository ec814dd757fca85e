#include "Cases.h"

#include <algorithm>
#include <thread>

namespace baobabcove::review {

namespace {

const std::string Key = "key-1";
constexpr std::size_t Accelerators = 8;
constexpr Milliseconds LongWork{45000};

void waitUntil(Instant Until) { std::this_thread::sleep_until(Until); }

std::string stateOf(const ClientAnswer &Answer) {
  return parse(Answer.Body)->optValue<std::string>("state", "");
}

/// Submits a job until an entry accepts it.
bool submit(System &At, std::size_t N, const std::string &Body,
            const std::string &WithKey = Key) {
  constexpr int Attempts = 4;
  for (int I = 0; I < Attempts; ++I)
    if (At.call(N % At.Entries.size(), "POST", Prefix + jobId(N), Body, WithKey)
            .Status == 200)
      return true;
  return false;
}

/// Waits until the workers have begun the job.
bool waitForStart(const System &At, std::size_t N, Milliseconds Timeout) {
  const Instant End = monotonicNow() + Timeout;
  while (!At.Ledger.hasBegun(jobId(N)))
    if (monotonicNow() > End)
      return false;
    else
      std::this_thread::sleep_for(Milliseconds(20));
  return true;
}

/// Fills \p Count workers with a task each that takes all accelerators. The
/// jobs have the numbers from 1000 on.
bool fill(System &At, std::size_t Count) {
  constexpr std::size_t First = 1000;
  for (std::size_t N = First; N < First + Count; ++N)
    if (!submit(At, N, jobText({LongWork, Accelerators, false}, 1)) ||
        !waitForStart(At, N, Milliseconds(6000)))
      return false;
  return true;
}

/// Workers that go down and up by turns, one after the other, and are down for
/// half of the period.
class Flapping {
public:
  Flapping(System &At, std::vector<std::size_t> Which, Milliseconds Period,
           Milliseconds Length)
      : At(At), Which(std::move(Which)), Period(Period), Length(Length),
        Thread([this] { run(); }) {}
  ~Flapping() { Thread.join(); }

private:
  void run() {
    const Instant Begin = monotonicNow();
    std::vector<std::thread> Each;
    for (std::size_t I = 0; I < Which.size(); ++I)
      Each.emplace_back([this, Begin, I] {
        Worker &Turned = *At.Workers[Which[I]];
        const Milliseconds Phase =
            Period * std::int64_t(I) / std::int64_t(Which.size());
        for (Milliseconds Since = Phase; Since < Length; Since += Period) {
          waitUntil(Begin + Since);
          Turned.crash();
          waitUntil(Begin + std::min(Since + Period / 2, Length));
          (void)Turned.start();
        }
      });
    for (std::thread &One : Each)
      One.join();
  }

  System &At;
  const std::vector<std::size_t> Which;
  const Milliseconds Period;
  const Milliseconds Length;
  std::thread Thread;
};

int flap(Record &Events, const CaseFiles &Files, bool HasTrouble) {
  constexpr std::size_t AllWorkers = 20;
  constexpr std::size_t Flappers = 3;
  constexpr int MaxAttempts = 3;
  System At(Events, Files, 3, AllWorkers);
  if (!At.start(configText(1, {Key}, MaxAttempts)) ||
      !fill(At, AllWorkers - Flappers))
    return CouldNotRun;
  std::vector<std::size_t> Free;
  for (std::size_t N = 0; N < AllWorkers; ++N)
    if (At.Workers[N]->isIdle())
      Free.push_back(N);
  if (Free.size() != Flappers)
    return CouldNotRun;
  constexpr std::size_t Job = 1;
  if (!submit(At, Job, jobText({Milliseconds(4000), Accelerators, false}, 1)) ||
      !waitForStart(At, Job, Milliseconds(3000)))
    return CouldNotRun;
  std::stable_partition(Free.begin(), Free.end(), [&](std::size_t N) {
    return !At.Workers[N]->isIdle();
  });
  std::this_thread::sleep_for(Milliseconds(400));
  std::unique_ptr<Flapping> Trouble;
  if (HasTrouble)
    Trouble = std::make_unique<Flapping>(At, Free, Milliseconds(1500),
                                         Milliseconds(6500));
  const Instant End = monotonicNow() + Milliseconds(30000);
  std::string State;
  while (monotonicNow() < End && State != "failed" && State != "completed") {
    std::this_thread::sleep_for(Milliseconds(500));
    State = stateOf(At.call(1, "GET", Prefix + jobId(Job), "", Key));
  }
  const std::size_t Failed = At.Ledger.ends(jobId(Job), "failed");
  Events.note("verdict: state " + State + ", " +
              std::to_string(At.Ledger.starts(jobId(Job))) + " starts, " +
              std::to_string(Failed) + " ends failed of " +
              std::to_string(MaxAttempts) + " allowed");
  if (State == "failed")
    return Failed < MaxAttempts ? Broken : CouldNotRun;
  return State == "completed" ? Held : CouldNotRun;
}

int waiting(Record &Events, const CaseFiles &Files, bool HasTrouble) {
  constexpr std::size_t AllWorkers = 11;
  constexpr std::size_t Jobs = 8;
  constexpr Milliseconds Grey{6500};
  constexpr Milliseconds Counted{5000}; // visible_ms + 2 s
  System At(Events, Files, 3, AllWorkers);
  if (!At.start(configText(1, {Key}, 3)) || !fill(At, AllWorkers - 1))
    return CouldNotRun;
  for (const auto &Each : At.Workers)
    if (Each->isIdle() && HasTrouble)
      Each->setUnhealthy(true);
  const Instant Begin = monotonicNow();
  for (std::size_t N = 1; N <= Jobs; ++N)
    if (!submit(At, N, jobText({Milliseconds(20000), 1, false}, 1)))
      return CouldNotRun;
  const Instant Accepted = monotonicNow();
  waitUntil(Accepted + Counted + Milliseconds(300));
  std::size_t Least = Jobs;
  std::size_t Owed = 0;
  for (std::size_t Entry = 0; Entry < At.Entries.size(); ++Entry) {
    const ClientAnswer Count = At.call(Entry, "GET", Prefix, "", Key);
    if (Count.Status != 200)
      return CouldNotRun;
    Least = std::min(
        Least, std::size_t(parse(Count.Body)->optValue<int>("waiting", 0)));
  }
  for (std::size_t N = 1; N <= Jobs; ++N)
    Owed += At.Ledger.hasBegun(jobId(N)) ? 0 : 1;
  Events.note("verdict: waiting " + std::to_string(Least) +
              ", jobs that have "
              "not begun: " +
              std::to_string(Owed) + ", " +
              std::to_string(Milliseconds(monotonicNow() - Begin).count()) +
              " ms after the disruption began (it lasts " +
              std::to_string(Grey.count()) + " ms)");
  return 2 * Least < Owed ? Broken : Held;
}

/// Waits until no task of the jobs runs and each job has begun. Returns false
/// when that takes too long.
bool waitForFailures(const System &At, const std::vector<std::size_t> &Jobs,
                     std::size_t Tasks) {
  const Instant End = monotonicNow() + Milliseconds(5000);
  const auto HasFailed = [&](std::size_t Job) {
    return At.Ledger.ends(jobId(Job), "failed") >= Tasks;
  };
  while (!std::all_of(Jobs.begin(), Jobs.end(), HasFailed))
    if (monotonicNow() > End)
      return false;
    else
      std::this_thread::sleep_for(Milliseconds(5));
  return true;
}

int lasting(Record &Events, const CaseFiles &Files, bool HasTrouble) {
  constexpr std::size_t AllWorkers = 11;
  constexpr std::size_t Tasks = 3;
  constexpr Milliseconds Grey{6500};
  constexpr Milliseconds Handed{5600};
  // From 6 s after the last run, for 3 s; these and the 4 s before are calm.
  constexpr Milliseconds Idle{9000};
  constexpr Milliseconds Calm{7000};
  const std::vector<std::size_t> Jobs = {1, 2};
  System At(Events, Files, 3, AllWorkers);
  if (!At.start(configText(1, {Key}, 3)) || !fill(At, AllWorkers - 1))
    return CouldNotRun;
  Worker *Free = nullptr;
  for (const auto &Each : At.Workers)
    if (Each->isIdle())
      Free = Each.get();
  if (!Free)
    return CouldNotRun;
  const Instant Begin = monotonicNow();
  if (HasTrouble) {
    Events.note("disruption: the free worker fails all that it starts");
    Free->setFailing(true);
  }
  waitUntil(Begin + Handed);
  for (const std::size_t N : Jobs)
    if (!submit(At, N, jobText({Milliseconds(0), 1, true}, Tasks)))
      return CouldNotRun;
  if (HasTrouble && !waitForFailures(At, Jobs, Tasks))
    return CouldNotRun;
  const Instant LastEnd = monotonicNow();
  waitUntil(Begin + Grey);
  Free->setFailing(false);
  Events.note("disruption: over");
  const std::size_t Before =
      At.Ledger.starts(jobId(Jobs[0])) + At.Ledger.starts(jobId(Jobs[1]));
  waitUntil(std::max(LastEnd + Idle, Begin + Grey + Calm));
  std::size_t Running = 0;
  for (const std::size_t N : Jobs)
    Running += At.Ledger.starts(jobId(N)) - At.Ledger.ends(jobId(N), "failed");
  const std::size_t After =
      At.Ledger.starts(jobId(Jobs[0])) + At.Ledger.starts(jobId(Jobs[1]));
  Events.note("verdict: " + std::to_string(Running) + " of " +
              std::to_string(Jobs.size() * Tasks) + " lasting tasks run, " +
              std::to_string(After - Before) +
              " starts since the disruption ended; " +
              std::to_string(Milliseconds(monotonicNow() - LastEnd).count()) +
              " ms after their last runs");
  std::this_thread::sleep_for(Milliseconds(4000));
  return Running == 0 && After == Before ? Broken : Held;
}

/// Returns the number of the job's tasks that run.
std::size_t running(const System &At, std::size_t N) {
  return At.Ledger.starts(jobId(N)) - At.Ledger.ends(jobId(N), "lost");
}

int suspects(Record &Events, const CaseFiles &Files, bool HasTrouble) {
  constexpr std::size_t AllWorkers = 11;
  constexpr std::size_t Tasks = 6;
  constexpr std::size_t Job = 1;
  constexpr Milliseconds Down{1000};
  // From 6 s after the last run, for 3 s; these and the 4 s before are calm.
  constexpr Milliseconds Idle{9000};
  constexpr Milliseconds Calm{7000};
  System At(Events, Files, 3, AllWorkers);
  if (!At.start(configText(1, {Key}, 3)) || !fill(At, AllWorkers - 1))
    return CouldNotRun;
  Worker *Free = nullptr;
  for (const auto &Each : At.Workers)
    if (Each->isIdle())
      Free = Each.get();
  if (!Free || !submit(At, Job, jobText({Milliseconds(0), 1, true}, Tasks)))
    return CouldNotRun;
  const Instant StartBy = monotonicNow() + Milliseconds(15000);
  while (running(At, Job) < Tasks && monotonicNow() < StartBy)
    std::this_thread::sleep_for(Milliseconds(20));
  if (running(At, Job) < Tasks)
    return CouldNotRun;
  std::this_thread::sleep_for(Milliseconds(4000));
  const Instant LastEnd = monotonicNow();
  if (HasTrouble) {
    Events.note("disruption: the worker crashes");
    Free->crash();
    std::this_thread::sleep_for(Down);
    if (!Free->start())
      return CouldNotRun;
  }
  waitUntil(LastEnd + std::max(Idle, Down + Calm));
  const std::size_t Running = running(At, Job);
  Events.note("verdict: " + std::to_string(Running) + " of " +
              std::to_string(Tasks) + " lasting tasks run " +
              std::to_string(Milliseconds(monotonicNow() - LastEnd).count()) +
              " ms after their last runs; the worker has room for 8");
  const Instant GiveUp = monotonicNow() + Milliseconds(15000);
  while (running(At, Job) < Tasks && monotonicNow() < GiveUp)
    std::this_thread::sleep_for(Milliseconds(50));
  Events.note(std::to_string(running(At, Job)) + " run " +
              std::to_string(Milliseconds(monotonicNow() - LastEnd).count()) +
              " ms after their last runs");
  // The capacity for all that wait is there twice over.
  const std::size_t Waiting = Tasks - Running;
  return Waiting > 0 && Accelerators - Running >= 2 * Waiting ? Broken : Held;
}

int revoked(Record &Events, const CaseFiles &Files, bool HasTrouble) {
  constexpr Milliseconds Revoke{5000};
  const std::string Kept = "key-2";
  System At(Events, Files, 3, 3);
  if (!At.start(configText(1, {Key, Kept}, 3, true)))
    return CouldNotRun;
  const std::string Body = jobText({Milliseconds(1000), 1, false}, 1);
  if (!submit(At, 1, Body))
    return CouldNotRun;
  At.Kv.put("op/config", HasTrouble ? configText(2, {Kept}, 3, true)
                                    : configText(2, {Key, Kept}, 3, true));
  std::this_thread::sleep_for(Revoke + Milliseconds(300));
  std::size_t Served = 0;
  for (std::size_t Entry = 0; Entry < At.Entries.size(); ++Entry)
    Served +=
        At.call(Entry, "POST", Prefix + jobId(10 + Entry), Body, Key).Status ==
                200
            ? 1
            : 0;
  std::this_thread::sleep_for(Milliseconds(1000));
  Events.note("verdict: " + std::to_string(Served) +
              " calls with the key were answered with success");
  if (!HasTrouble)
    return Served == At.Entries.size() ? Held : CouldNotRun;
  return Served > 0 ? Broken : Held;
}

} // namespace

int runCase(const std::string &Name, Record &Events, const CaseFiles &Files,
            bool HasTrouble) {
  if (Name == "flap")
    return flap(Events, Files, HasTrouble);
  if (Name == "lasting")
    return lasting(Events, Files, HasTrouble);
  if (Name == "suspects")
    return suspects(Events, Files, HasTrouble);
  if (Name == "revoked")
    return revoked(Events, Files, HasTrouble);
  if (Name == "waiting")
    return waiting(Events, Files, HasTrouble);
  return CouldNotRun;
}

} // namespace baobabcove::review
