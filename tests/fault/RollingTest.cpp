#include "Callers.h"
#include "JobDeployment.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

TEST_GROUP(Rolling){};

TEST(Rolling, LosesNoWorkWhenEveryProcessIsReplacedUnderLoad) {
  DeploymentOptions Options;
  Options.Minions = 3;
  Options.Workers = 3;
  JobDeployment Jobs(Options);
  Deployment &Cluster = Jobs.Cluster;
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  CallerOptions LoadOptions;
  LoadOptions.ThreadCount = 4;
  LoadOptions.RequestsPerThread = 100000;
  Callers Load(Cluster, Results, LoadOptions);
  const std::string Long = Jobs.submit(0, 1, 9000);
  std::vector<std::string> Ids = {Long};
  for (int I = 0; I < 2; ++I) {
    Cluster.entry(I).terminate();
    CHECK_TRUE(Cluster.entry(I).waitForExit(30));
    CHECK_TRUE(Cluster.restartEntry(I));
    const std::string Id = Jobs.submit(I, 1, 800);
    CHECK_TRUE(!Id.empty());
    Ids.push_back(Id);
  }
  for (int I = 0; I < 3; ++I) {
    Cluster.minionAgent(I).terminate();
    CHECK_TRUE(Cluster.minionAgent(I).waitForExit(30));
    CHECK_TRUE(Cluster.restartMinionAgent(I));
  }
  for (int I = 0; I < 3; ++I) {
    Cluster.workerAgent(I).terminate();
    CHECK_TRUE(Cluster.workerAgent(I).waitForExit(30));
    CHECK_TRUE(Cluster.restartWorkerAgent(I));
  }
  for (const std::string &Id : Ids)
    CHECK_TRUE(Cluster.waitForJob(0, Id, wire::DONE, 60));
  Results.Stop = true;
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  STRCMP_EQUAL("", Results.describeUnanswered().c_str());
  CHECK_TRUE(Results.LastResults.size() > 100);
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
  LONGS_EQUAL(1, Cluster.lowestVersion());
}
