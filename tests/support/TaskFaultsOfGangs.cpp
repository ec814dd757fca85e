/// \file
/// The part of TaskFaults that lets members of one run of a gang fail together.

#include "TaskFaults.h"

#include <algorithm>

namespace baobabcove::testing {

TaskFaults::Gang TaskFaults::anyGang(Spread Over) {
  constexpr Milliseconds Patience{2000};
  const Instant End = monotonicNow() + Patience;
  do {
    std::vector<Gang> Found;
    for (const auto &[Job, Workers] : System.Fleet->gangs())
      if (Over == Spread::Any ||
          (Workers.size() == 1) == (Over == Spread::OneWorker))
        Found.push_back({Job, Workers});
    if (!Found.empty())
      return Found[Random.below(Found.size())];
    sleep(20);
  } while (!Stopping && monotonicNow() < End);
  return {};
}

std::vector<std::size_t> TaskFaults::someOf(const Gang &Of) {
  std::vector<std::size_t> Chosen{Of.Workers[Random.below(Of.Workers.size())]};
  for (std::size_t W : Of.Workers)
    if (W != Chosen.front() && Random.oneIn(2))
      Chosen.push_back(W);
  return Chosen;
}

void TaskFaults::fail(const Gang &Failing, const std::string &Meanwhile) {
  const std::size_t Members = System.Fleet->failGang(Failing.Job);
  if (Members > 0)
    System.Fleet->note("gang-fails-" + Meanwhile + " " + Failing.Job + " " +
                       std::to_string(Members) + " members on " +
                       std::to_string(Failing.Workers.size()) + " workers");
}

void TaskFaults::failGangOnOneWorker() {
  if (const Gang Failing = anyGang(Spread::OneWorker); !Failing.Workers.empty())
    fail(Failing, "on-one-worker");
}

void TaskFaults::failGangOnWorkers() {
  if (const Gang Failing = anyGang(Spread::SeveralWorkers);
      !Failing.Workers.empty())
    fail(Failing, "on-workers");
}

void TaskFaults::failGangAgain() {
  constexpr int Runs = 4;
  constexpr Milliseconds Patience{2500};
  const Gang Failing = anyGang(Spread::Any);
  if (Failing.Workers.empty())
    return;
  for (int Run = 0; Run < Runs && !Stopping; ++Run) {
    std::vector<std::size_t> Workers;
    for (const Instant End = monotonicNow() + Patience;
         Workers.empty() && !Stopping && monotonicNow() < End; sleep(20))
      Workers = System.Fleet->gangs()[Failing.Job];
    if (Workers.empty())
      return;
    fail({Failing.Job, Workers}, "again");
  }
}

void TaskFaults::failGangThenCrashWorker() {
  const Gang Failing = anyGang(Spread::Any);
  if (Failing.Workers.empty())
    return;
  fail(Failing, "then-crash");
  sleep(Random.upTo(50));
  System.Fleet->crash(Failing.Workers[Random.below(Failing.Workers.size())],
                      Milliseconds(Random.upTo(2000)),
                      Random.oneIn(2) ? WorkerFleet::NextId::Same
                                      : WorkerFleet::NextId::New);
}

void TaskFaults::failHeldGang(const std::string &Name, GangStep Meanwhile) {
  const Gang Failing = anyGang(Spread::Any);
  if (Failing.Workers.empty())
    return;
  const std::vector<std::size_t> Held = someOf(Failing);
  const Milliseconds Delay(1000 + Random.upTo(4000));
  for (std::size_t W : Held)
    System.Fleet->delayCalls(W, WorkerFleet::ListingPath, Delay);
  fail(Failing, Name);
  (this->*Meanwhile)(Held);
  for (std::size_t W : Held)
    System.Fleet->delayCalls(W, "", Milliseconds(0));
}

void TaskFaults::wait(const std::vector<std::size_t> &) {
  sleep(200 + Random.upTo(4000));
}

void TaskFaults::killCoordinator(const std::vector<std::size_t> &) {
  // Clients cannot tell which entry coordinates.
  for (const auto &Each : System.Entries)
    restart(*Each, &TaskDaemon::kill, Random.upTo(300));
  sleep(Random.upTo(2000));
}

void TaskFaults::pauseCoordinator(const std::vector<std::size_t> &) {
  const std::size_t Left = Random.below(System.Entries.size());
  const auto SignalOthers = [&](int Number) {
    for (std::size_t E = 0; E < System.Entries.size(); ++E)
      if (E != Left)
        System.Entries[E]->signal(Number);
  };
  System.Fleet->note("pause processes but " + System.Entries[Left]->ip());
  SignalOthers(SIGSTOP);
  sleep(1000 + Random.upTo(3500));
  SignalOthers(SIGCONT);
  System.Fleet->note("continue processes");
}

void TaskFaults::killAgents(const std::vector<std::size_t> &Held) {
  for (std::size_t W : Held)
    restart(*System.Agents[W], &TaskDaemon::kill, Random.upTo(1000));
}

void TaskFaults::failUnheardGang() {
  failHeldGang("unheard", &TaskFaults::wait);
}

void TaskFaults::failGangAcrossTakeover() {
  failHeldGang("across-takeover", &TaskFaults::killCoordinator);
}

void TaskFaults::failGangAcrossPause() {
  failHeldGang("across-pause", &TaskFaults::pauseCoordinator);
}

void TaskFaults::failGangAcrossAgentRestarts() {
  failHeldGang("across-agent-restarts", &TaskFaults::killAgents);
}

void TaskFaults::failGangOfPausedAgents() {
  const Gang Failing = anyGang(Spread::Any);
  if (Failing.Workers.empty())
    return;
  const std::vector<std::size_t> Held = someOf(Failing);
  for (std::size_t W : Held)
    System.Agents[W]->signal(SIGSTOP);
  fail(Failing, "of-paused-agents");
  if (Random.oneIn(2))
    killCoordinator(Held);
  else
    sleep(300 + Random.upTo(5000));
  // Some of the agents forget what they were told.
  for (std::size_t W : Held)
    if (Random.oneIn(3))
      restart(*System.Agents[W], &TaskDaemon::kill, Random.upTo(500));
    else
      System.Agents[W]->signal(SIGCONT);
}

} // namespace baobabcove::testing
