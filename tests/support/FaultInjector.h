#ifndef BAOBABCOVE_TESTS_SUPPORT_FAULTINJECTOR_H
#define BAOBABCOVE_TESTS_SUPPORT_FAULTINJECTOR_H

#include "Deployment.h"

#include <atomic>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace baobabcove::testing {

/// Injects random faults into one part of a deployment, one after another, from
/// a thread of its own, so that the faults of several injectors overlap. The
/// same seed selects the same series of faults.
class FaultInjector {
public:
  struct Fault {
    const char *Name;
    void (FaultInjector::*Inject)();
  };
  /// A kind of part: the daemon, for agents also the minion or worker that they
  /// serve, and the faults that can occur.
  struct Part {
    const char *Name;
    Process &(Deployment::*Daemon)(int);
    bool (Deployment::*RestartDaemon)(int);
    bool (Deployment::*RestartServed)(int);
    std::vector<Fault> Faults;
  };
  static const Part Entry;
  static const Part Minion;
  static const Part Worker;
  static const Part Store;
  static const Part Configuration;

  /// Harms the part with the number \p I among those of its kind.
  FaultInjector(Deployment &Cluster, const Part &Harmed, int I,
                unsigned int Seed);
  ~FaultInjector();

  /// Makes the current fault the last one.
  void stop() { Stopping = true; }
  /// Waits until the last fault has ended. The processes that the injector has
  /// started live on until it is destroyed.
  void waitUntilStopped() { Stopped.wait(); }

  /// Returns the faults injected so far, once the injector has stopped.
  const std::string &schedule() const { return Schedule; }
  /// Returns what failed that no fault excuses, or an empty string.
  const std::string &failure() const { return Failure; }
  /// Returns the version of the last change of the configuration.
  std::uint64_t configurationVersion() const { return Version; }

private:
  void run();
  int randomUpTo(int Max);
  Process &daemon() { return (Cluster.*Harmed.Daemon)(I); }
  void restart(bool (Deployment::*Restart)(int));

  void killDaemon();
  void killServed();
  void pauseDaemon();
  /// Replaces the daemon after a graceful shutdown.
  void replaceDaemon();
  void killWhileShuttingDown();
  void signalInSeries();
  void closeConnections();
  void silenceConnections();
  void interruptStore();
  void slowStore();
  void loseStoreResponses();
  void changeConfiguration();

  Deployment &Cluster;
  const Part &Harmed;
  const int I;
  std::mt19937 Random;
  std::string Schedule;
  std::string Failure;
  std::uint64_t Version = 1;
  std::atomic<bool> Stopping{false};
  std::promise<void> StoppedPromise;
  std::future<void> Stopped;
  std::promise<void> Destroyed;
  std::thread Thread;
};

/// Injectors for all parts of a deployment. Each has a seed of its own that
/// derives from one seed.
class FaultInjectors {
public:
  FaultInjectors(Deployment &Cluster, const DeploymentOptions &Options,
                 unsigned int Seed);

  /// Ends all faults.
  void stop();
  std::string schedule() const;
  /// Returns one line for each injector that failed.
  std::string failures() const;
  /// Returns the version of the last change of the configuration.
  std::uint64_t configurationVersion() const {
    return Injectors.front()->configurationVersion();
  }

private:
  const unsigned int Seed;
  /// The first one changes the configuration.
  std::vector<std::unique_ptr<FaultInjector>> Injectors;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_FAULTINJECTOR_H
