#include "FaultInjector.h"

#include "Callers.h"

namespace baobabcove::testing {

namespace {

/// Far longer than requests and tasks in flight take.
constexpr double ShutdownSeconds = 60;
constexpr double ConfigurationSeconds = 60;
constexpr int MinPauseMs = 300;
constexpr int MaxPauseMs = 4000;

/// Returns the version in the response to a change of the configuration.
std::uint64_t versionIn(const std::string &Body) {
  const std::string Field = "\"version\":";
  const std::size_t Found = Body.find(Field);
  return Found == std::string::npos
             ? 0
             : std::stoull(Body.substr(Found + Field.size()));
}

} // namespace

const FaultInjector::Part FaultInjector::Entry = {
    "entry",
    &Deployment::entry,
    &Deployment::restartEntry,
    nullptr,
    {{"kill", &FaultInjector::killDaemon},
     {"pause", &FaultInjector::pauseDaemon},
     {"replace", &FaultInjector::replaceDaemon},
     {"kill while shutting down", &FaultInjector::killWhileShuttingDown},
     {"signals", &FaultInjector::signalInSeries}}};

const FaultInjector::Part FaultInjector::Minion = {
    "minion",
    &Deployment::minionAgent,
    &Deployment::restartMinionAgent,
    &Deployment::restartMinion,
    {{"kill agent", &FaultInjector::killDaemon},
     {"kill minion", &FaultInjector::killServed},
     {"replace agent", &FaultInjector::replaceDaemon},
     {"kill agent while shutting down", &FaultInjector::killWhileShuttingDown},
     {"signals", &FaultInjector::signalInSeries},
     {"connections closed", &FaultInjector::closeConnections},
     {"connections silent", &FaultInjector::silenceConnections}}};

const FaultInjector::Part FaultInjector::Worker = {
    "worker",
    &Deployment::workerAgent,
    &Deployment::restartWorkerAgent,
    &Deployment::restartWorker,
    {{"kill agent", &FaultInjector::killDaemon},
     {"kill worker", &FaultInjector::killServed},
     {"pause agent", &FaultInjector::pauseDaemon},
     {"replace agent", &FaultInjector::replaceDaemon},
     {"kill agent while shutting down", &FaultInjector::killWhileShuttingDown},
     {"signals", &FaultInjector::signalInSeries}}};

const FaultInjector::Part FaultInjector::Store = {
    "store",
    nullptr,
    nullptr,
    nullptr,
    {{"down", &FaultInjector::interruptStore},
     {"slow", &FaultInjector::slowStore},
     {"loses responses", &FaultInjector::loseStoreResponses}}};

const FaultInjector::Part FaultInjector::Configuration = {
    "configuration",
    nullptr,
    nullptr,
    nullptr,
    {{"change", &FaultInjector::changeConfiguration}}};

FaultInjector::FaultInjector(Deployment &Cluster, const Part &Harmed, int I,
                             unsigned int Seed)
    : Cluster(Cluster), Harmed(Harmed), I(I), Random(Seed),
      Schedule(std::string(Harmed.Name) + " " + std::to_string(I) + ":"),
      Stopped(StoppedPromise.get_future()), Thread([this] { run(); }) {}

FaultInjector::~FaultInjector() {
  stop();
  Destroyed.set_value();
  Thread.join();
}

void FaultInjector::run() {
  sleepMs(randomUpTo(MaxPauseMs));
  while (!Stopping) {
    const int Last = static_cast<int>(Harmed.Faults.size()) - 1;
    const Fault &Next = Harmed.Faults[randomUpTo(Last)];
    Schedule += std::string(" ") + Next.Name + ",";
    (this->*Next.Inject)();
    sleepMs(MinPauseMs + randomUpTo(MaxPauseMs - MinPauseMs));
  }
  StoppedPromise.set_value();
  // The end of the thread kills the processes that it has started.
  Destroyed.get_future().wait();
}

int FaultInjector::randomUpTo(int Max) {
  return std::uniform_int_distribution<int>(0, Max)(Random);
}

void FaultInjector::restart(bool (Deployment::*Restart)(int)) {
  if (!(Cluster.*Restart)(I) && Failure.empty())
    Failure = Schedule + " did not start again";
}

void FaultInjector::killDaemon() { restart(Harmed.RestartDaemon); }
void FaultInjector::killServed() { restart(Harmed.RestartServed); }

void FaultInjector::pauseDaemon() {
  daemon().pause();
  sleepMs(500 + randomUpTo(6000));
  daemon().resume();
}

void FaultInjector::replaceDaemon() {
  daemon().terminate();
  if (!daemon().waitForExit(ShutdownSeconds) && Failure.empty())
    Failure = Schedule + " did not exit after SIGTERM";
  restart(Harmed.RestartDaemon);
}

void FaultInjector::killWhileShuttingDown() {
  daemon().terminate();
  sleepMs(randomUpTo(2000));
  restart(Harmed.RestartDaemon);
}

void FaultInjector::signalInSeries() {
  for (int N = 1 + randomUpTo(4); N > 0; --N) {
    daemon().reload();
    daemon().logState();
    sleepMs(randomUpTo(200));
  }
  if (daemon().waitForExit(0.02) && Failure.empty())
    Failure = Schedule + " ended by SIGHUP or SIGUSR1";
  daemon().terminate();
  daemon().reload();
  sleepMs(randomUpTo(1000));
  daemon().terminate();
  replaceDaemon();
}

void FaultInjector::closeConnections() {
  (void)Cluster.controlMinionAgentProxy(I, "/cut");
}

void FaultInjector::silenceConnections() {
  (void)Cluster.controlMinionAgentProxy(I, "/silence");
}

void FaultInjector::interruptStore() {
  (void)Cluster.controlStore("/down");
  sleepMs(500 + randomUpTo(4000));
  (void)Cluster.controlStore("/up");
}

void FaultInjector::slowStore() {
  (void)Cluster.controlStore("/slow?ms=200");
  sleepMs(500 + randomUpTo(2000));
  (void)Cluster.controlStore("/slow?ms=0");
}

void FaultInjector::loseStoreResponses() {
  (void)Cluster.controlStore("/lose?count=5");
}

void FaultInjector::changeConfiguration() {
  // A change whose outcome is not known is repeated under the same id.
  const std::string ChangeId = "change-" + std::to_string(Version);
  const std::string Setting =
      "    max_queued_jobs: " + std::to_string(10 + Version % 10) + "\n";
  CallResult Result;
  int Attempts = 0;
  const bool Accepted = Deployment::waitFor(
      [&] {
        Result = Cluster.apply(Attempts++ % 2, Version, Setting, ChangeId);
        return Result.Status == 200;
      },
      ConfigurationSeconds);
  if (Accepted && versionIn(Result.Body) == Version + 1)
    ++Version;
  else if (Failure.empty())
    Failure = Schedule + " " + ChangeId + " received " + Result.Body;
}

FaultInjectors::FaultInjectors(Deployment &Cluster,
                               const DeploymentOptions &Options,
                               unsigned int Seed)
    : Seed(Seed) {
  std::mt19937 Seeds(Seed);
  const auto Add = [&](const FaultInjector::Part &Harmed, int Count) {
    for (int I = 0; I < Count; ++I)
      Injectors.push_back(
          std::make_unique<FaultInjector>(Cluster, Harmed, I, Seeds()));
  };
  Add(FaultInjector::Configuration, 1);
  Add(FaultInjector::Store, 1);
  Add(FaultInjector::Entry, Options.Entries);
  Add(FaultInjector::Minion, Options.Minions);
  Add(FaultInjector::Worker, Options.Workers);
}

void FaultInjectors::stop() {
  for (const auto &Each : Injectors)
    Each->stop();
  for (const auto &Each : Injectors)
    Each->waitUntilStopped();
}

std::string FaultInjectors::schedule() const {
  std::string Text = "seed " + std::to_string(Seed) + ";";
  for (const auto &Each : Injectors)
    Text += " " + Each->schedule();
  return Text;
}

std::string FaultInjectors::failures() const {
  std::string Text;
  for (const auto &Each : Injectors)
    if (!Each->failure().empty())
      Text += Each->failure() + "\n";
  return Text;
}

} // namespace baobabcove::testing
