#include "Deployment.h"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

/// Time within which an accepted configuration is active in all processes.
constexpr double ActivationSeconds = 3;

DeploymentOptions deploymentOptions(int Entries, int Minions, int Workers) {
  DeploymentOptions Options;
  Options.Entries = Entries;
  Options.Minions = Minions;
  Options.Workers = Workers;
  return Options;
}

/// Returns a setting of a workspace by which changes differ.
std::string limit(int Number) {
  return "    max_queued_jobs: " + std::to_string(Number) + "\n";
}

} // namespace

TEST_GROUP(ConfigurationFault){};

TEST(ConfigurationFault, AcceptsExactlyOneOfTwoConflictingChanges) {
  Deployment Cluster(deploymentOptions(2, 1, 0));
  CHECK_TRUE(Cluster.ready());
  for (std::uint64_t Round = 1; Round <= 5; ++Round) {
    CallResult Results[2];
    std::thread OtherThread([&] {
      Results[1] = Cluster.apply(1, Round, limit(int(20 + Round)),
                                 "b" + std::to_string(Round));
    });
    Results[0] = Cluster.apply(0, Round, limit(int(10 + Round)),
                               "a" + std::to_string(Round));
    OtherThread.join();
    const int Accepted =
        (Results[0].Status == 200 ? 1 : 0) + (Results[1].Status == 200 ? 1 : 0);
    LONGS_EQUAL(1, Accepted);
    const CallResult &Conflict = Results[Results[0].Status == 200 ? 1 : 0];
    LONGS_EQUAL(409, Conflict.Status);
    CHECK_TRUE(Conflict.Body.find("by yuki changed 10-all.yaml") !=
               std::string::npos);
  }
}

TEST(ConfigurationFault, IsInForceEverywhereWithinSecondsOverASlowPath) {
  DeploymentOptions Options = deploymentOptions(2, 2, 2);
  Options.ProxyEntries = true;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Cluster.controlEntryProxy(I, "/delay?ms=60"));
  LONGS_EQUAL(200, Cluster.apply(0, 1, limit(10), "slow").Status);
  CHECK_TRUE(Deployment::waitFor([&] { return Cluster.lowestVersion() >= 2; },
                                 ActivationSeconds));
}

TEST(ConfigurationFault, NeverRevertsWhenProcessesRestart) {
  Deployment Cluster(deploymentOptions(2, 1, 1));
  CHECK_TRUE(Cluster.ready());
  LONGS_EQUAL(200, Cluster.apply(0, 1, limit(10), "c2").Status);
  CHECK_TRUE(Deployment::waitFor([&] { return Cluster.lowestVersion() >= 2; }));
  CHECK_TRUE(Cluster.controlStore("/down"));
  CHECK_TRUE(Cluster.restartEntry(0));
  CHECK_TRUE(Cluster.restartMinionAgent(0));
  CHECK_TRUE(Cluster.restartWorkerAgent(0));
  // With the store down, restarted processes get the configuration from peers.
  CHECK_TRUE(Deployment::waitFor([&] { return Cluster.lowestVersion() >= 2; }));
  CHECK_TRUE(Cluster.controlStore("/up"));
  CHECK_TRUE(Cluster.restartEntry(1));
  CHECK_TRUE(Deployment::waitFor([&] { return Cluster.lowestVersion() >= 2; }));
}

TEST(ConfigurationFault, AppliesOnceWhenTheStoreLosesTheResponse) {
  Deployment Cluster(deploymentOptions(2, 1, 0));
  CHECK_TRUE(Cluster.ready());
  CHECK_TRUE(Cluster.controlStore("/lose?count=1"));
  CallResult Result;
  // The lost response may be that of a heartbeat's write instead; then the
  // first attempt succeeds.
  Result = Cluster.apply(0, 1, limit(10), "lost");
  CHECK_TRUE(Deployment::waitFor([&] {
    Result = Cluster.apply(1, 1, limit(10), "lost");
    return Result.Status == 200;
  }));
  CHECK_TRUE(Result.Body.find("\"version\":2") != std::string::npos);
}

TEST(ConfigurationFault, RefusesGuaranteesThatDoNotFitTheWorkers) {
  Deployment Cluster(deploymentOptions(1, 0, 2));
  CHECK_TRUE(Cluster.ready());
  const CallResult Result = Cluster.apply(
      0, 1, "    guarantee:\n      - {count: 3, accelerators: 8}\n", "big");
  LONGS_EQUAL(422, Result.Status);
  CHECK_TRUE(Result.Body.find("GuaranteeImpossible") != std::string::npos);
  LONGS_EQUAL(1, Cluster.lowestVersion());
}
