#include "Callers.h"
#include "JobSite.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

TEST_GROUP(Rolling){};

TEST(Rolling, LosesNothingWhenEveryProcessIsReplacedUnderLoad) {
  DeploymentPlan Plan;
  Plan.Minions = 3;
  Plan.Workers = 3;
  JobSite Jobs(Plan);
  Deployment &Site = Jobs.Site;
  CHECK_TRUE(Site.ready());
  Tally Got;
  CallerPlan Load;
  Load.Threads = 4;
  Load.Count = 100000;
  Callers Callers(Site, Got, Load);
  const std::string Long = Jobs.submit(0, 1, 9000);
  std::vector<std::string> Ids = {Long};
  for (int I = 0; I < 2; ++I) {
    Site.entry(I).terminate();
    CHECK_TRUE(Site.entry(I).waitEnd(30));
    CHECK_TRUE(Site.restartEntry(I));
    const std::string Id = Jobs.submit(I, 1, 800);
    CHECK_TRUE(!Id.empty());
    Ids.push_back(Id);
  }
  for (int I = 0; I < 3; ++I) {
    Site.minionAgent(I).terminate();
    CHECK_TRUE(Site.minionAgent(I).waitEnd(30));
    CHECK_TRUE(Site.restartMinionAgent(I));
  }
  for (int I = 0; I < 3; ++I) {
    Site.workerAgent(I).terminate();
    CHECK_TRUE(Site.workerAgent(I).waitEnd(30));
    CHECK_TRUE(Site.restartWorkerAgent(I));
  }
  for (const std::string &Id : Ids)
    CHECK_TRUE(Site.waitJob(0, Id, wire::DONE, 60));
  Got.Stop = true;
  Callers.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  STRCMP_EQUAL("", Got.unanswered().c_str());
  CHECK_TRUE(Got.Last.size() > 100);
  STRCMP_EQUAL("", Jobs.broken().c_str());
  LONGS_EQUAL(1, Site.leastVersion());
}
