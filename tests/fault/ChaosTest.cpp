#include "Callers.h"
#include "JobDeployment.h"

#include <cstdlib>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr int DefaultSeed = 1;
constexpr int DefaultSeconds = 20;

/// Returns the number in an environment variable, or \p Default when it is not
/// set.
int environmentNumber(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

/// Injects random faults into a deployment. The same seed selects the same
/// sequence of faults.
class FaultInjector {
public:
  FaultInjector(Deployment &Cluster, int Seed)
      : Cluster(Cluster), Random(static_cast<unsigned>(Seed)) {}

  /// Injects one fault and returns its name. Pauses and outages of the store
  /// have ended on return.
  std::string injectRandomFault() {
    using FaultFunction = void (FaultInjector::*)();
    static const std::vector<std::pair<const char *, FaultFunction>> Faults = {
        {"kill entry", &FaultInjector::killEntry},
        {"kill minion agent", &FaultInjector::killMinionAgent},
        {"kill minion", &FaultInjector::killMinion},
        {"kill worker agent", &FaultInjector::killWorkerAgent},
        {"kill worker", &FaultInjector::killWorker},
        {"pause entry", &FaultInjector::pauseEntry},
        {"pause worker agent", &FaultInjector::pauseWorkerAgent},
        {"store down", &FaultInjector::interruptStore},
        {"store slow", &FaultInjector::slowStore},
        {"store loses responses", &FaultInjector::loseStoreResponses},
        {"connections closed", &FaultInjector::closeConnections},
        {"connections silent", &FaultInjector::silenceConnections},
    };
    const auto &[Name, Inject] =
        Faults[randomUpTo(static_cast<int>(Faults.size()) - 1)];
    (this->*Inject)();
    return Name;
  }

  /// Returns a random number in [0, \p Max].
  int randomUpTo(int Max) {
    return std::uniform_int_distribution<int>(0, Max)(Random);
  }

private:
  void killEntry() { (void)Cluster.restartEntry(randomUpTo(1)); }
  void killMinionAgent() { (void)Cluster.restartMinionAgent(randomUpTo(2)); }
  void killMinion() { (void)Cluster.restartMinion(randomUpTo(2)); }
  void killWorkerAgent() { (void)Cluster.restartWorkerAgent(randomUpTo(3)); }
  void killWorker() { (void)Cluster.restartWorker(randomUpTo(3)); }
  void pauseEntry() { pauseAndResume(Cluster.entry(randomUpTo(1))); }
  void pauseWorkerAgent() {
    pauseAndResume(Cluster.workerAgent(randomUpTo(3)));
  }
  void pauseAndResume(Process &Target) {
    Target.pause();
    sleepMs(500 + randomUpTo(6000));
    Target.resume();
  }
  void interruptStore() {
    (void)Cluster.controlStore("/down");
    sleepMs(500 + randomUpTo(4000));
    (void)Cluster.controlStore("/up");
  }
  void slowStore() {
    (void)Cluster.controlStore("/slow?ms=200");
    sleepMs(500 + randomUpTo(2000));
    (void)Cluster.controlStore("/slow?ms=0");
  }
  void loseStoreResponses() { (void)Cluster.controlStore("/lose?count=5"); }
  void closeConnections() {
    (void)Cluster.controlMinionAgentProxy(randomUpTo(2), "/cut");
  }
  void silenceConnections() {
    (void)Cluster.controlMinionAgentProxy(randomUpTo(2), "/silence");
  }

  Deployment &Cluster;
  std::mt19937 Random;
};

} // namespace

TEST_GROUP(Chaos){};

TEST(Chaos, UpholdsAllInvariantsUnderRandomFaults) {
  const int Seed = environmentNumber("CHAOS_SEED", DefaultSeed);
  DeploymentOptions Options;
  Options.Minions = 3;
  Options.Workers = 4;
  Options.ProxyMinionAgents = true;
  JobDeployment Jobs(Options);
  CHECK_TRUE(Jobs.Cluster.ready());
  CallerResults Results;
  CallerOptions LoadOptions;
  LoadOptions.ThreadCount = 4;
  LoadOptions.RequestsPerThread = 1000000;
  Callers Load(Jobs.Cluster, Results, LoadOptions);
  FaultInjector Faults(Jobs.Cluster, Seed);
  const Instant EndTime =
      monotonicNow() +
      std::chrono::seconds(environmentNumber("CHAOS_SECONDS", DefaultSeconds));
  std::string Schedule = "seed " + std::to_string(Seed) + ":";
  std::map<std::string, bool> Ids;
  while (monotonicNow() < EndTime) {
    const bool AtMostOnce = Faults.randomUpTo(3) == 0;
    const std::string Id =
        Jobs.submit(Faults.randomUpTo(1), 1 + Faults.randomUpTo(2),
                    500 + Faults.randomUpTo(3000), !AtMostOnce);
    if (!Id.empty())
      Ids[Id] = AtMostOnce;
    Schedule += " " + Faults.injectRandomFault() + ",";
    sleepMs(Faults.randomUpTo(800));
  }
  // Every accepted job must end after the last fault.
  for (const auto &[Id, AtMostOnce] : Ids) {
    const bool Ended = Deployment::waitFor(
        [&, &Name = Id] {
          const auto State = Jobs.Cluster.job(0, Name).state();
          return State == wire::DONE || State == wire::JOB_FAILED;
        },
        90);
    CHECK_TEXT(Ended, (Schedule + " " + Id + " did not end").c_str());
    if (AtMostOnce)
      CHECK_TEXT(Jobs.countAttempts(Id) <= 1, (Schedule + " " + Id).c_str());
  }
  Results.Stop = true;
  Load.join();
  STRCMP_EQUAL_TEXT("", firstViolation(Results, Jobs.Cluster).c_str(),
                    Schedule.c_str());
  STRCMP_EQUAL_TEXT("", Jobs.firstViolation().c_str(), Schedule.c_str());
  CHECK_TEXT(Results.count("answered") > 50, Schedule.c_str());
  LONGS_EQUAL_TEXT(1, Jobs.Cluster.lowestVersion(), Schedule.c_str());
}
