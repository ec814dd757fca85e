#include "Deployment.h"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr double InForceSeconds = 3;

DeploymentPlan plan(int Entries, int Minions, int Workers) {
  DeploymentPlan Plan;
  Plan.Entries = Entries;
  Plan.Minions = Minions;
  Plan.Workers = Workers;
  return Plan;
}

std::string limit(int Number) {
  return "    max_queued_jobs: " + std::to_string(Number) + "\n";
}

} // namespace

TEST_GROUP(ConfigurationFault){};

TEST(ConfigurationFault, AcceptsExactlyOneOfTwoConflictingChanges) {
  Deployment Site(plan(2, 1, 0));
  CHECK_TRUE(Site.ready());
  for (std::uint64_t Round = 1; Round <= 5; ++Round) {
    CallResult Results[2];
    std::thread Other([&] {
      Results[1] = Site.apply(1, Round, limit(int(20 + Round)),
                              "b" + std::to_string(Round));
    });
    Results[0] = Site.apply(0, Round, limit(int(10 + Round)),
                            "a" + std::to_string(Round));
    Other.join();
    const int Accepted =
        (Results[0].Status == 200 ? 1 : 0) + (Results[1].Status == 200 ? 1 : 0);
    LONGS_EQUAL(1, Accepted);
    const CallResult &Told = Results[Results[0].Status == 200 ? 1 : 0];
    LONGS_EQUAL(409, Told.Status);
    CHECK_TRUE(Told.Body.find("by yuki changed 10-all.yaml") !=
               std::string::npos);
  }
}

TEST(ConfigurationFault, IsInForceEverywhereWithinSecondsOverASlowPath) {
  DeploymentPlan Plan = plan(2, 2, 2);
  Plan.ProxyEntries = true;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Site.orderEntryProxy(I, "/delay?ms=60"));
  LONGS_EQUAL(200, Site.apply(0, 1, limit(10), "slow").Status);
  CHECK_TRUE(Deployment::waitFor([&] { return Site.leastVersion() >= 2; },
                                 InForceSeconds));
}

TEST(ConfigurationFault, NeverRevertsWhateverRestarts) {
  Deployment Site(plan(2, 1, 1));
  CHECK_TRUE(Site.ready());
  LONGS_EQUAL(200, Site.apply(0, 1, limit(10), "c2").Status);
  CHECK_TRUE(Deployment::waitFor([&] { return Site.leastVersion() >= 2; }));
  CHECK_TRUE(Site.orderStore("/down"));
  CHECK_TRUE(Site.restartEntry(0));
  CHECK_TRUE(Site.restartMinionAgent(0));
  CHECK_TRUE(Site.restartWorkerAgent(0));
  // With the store down, peers bring the restarted processes up to date.
  CHECK_TRUE(Deployment::waitFor([&] { return Site.leastVersion() >= 2; }));
  CHECK_TRUE(Site.orderStore("/up"));
  CHECK_TRUE(Site.restartEntry(1));
  CHECK_TRUE(Deployment::waitFor([&] { return Site.leastVersion() >= 2; }));
}

TEST(ConfigurationFault, AppliesOnceWhenTheStoreLosesTheAnswer) {
  Deployment Site(plan(2, 1, 0));
  CHECK_TRUE(Site.ready());
  CHECK_TRUE(Site.orderStore("/lose?count=1"));
  CallResult Result;
  // A heartbeat's write may meet the loss instead; then this one just passes.
  Result = Site.apply(0, 1, limit(10), "lost");
  CHECK_TRUE(Deployment::waitFor([&] {
    Result = Site.apply(1, 1, limit(10), "lost");
    return Result.Status == 200;
  }));
  CHECK_TRUE(Result.Body.find("\"version\":2") != std::string::npos);
}

TEST(ConfigurationFault, RefusesGuaranteesThatCannotAllBePacked) {
  Deployment Site(plan(1, 0, 2));
  CHECK_TRUE(Site.ready());
  const CallResult Result = Site.apply(
      0, 1, "    guarantee:\n      - {count: 3, accelerators: 8}\n", "big");
  LONGS_EQUAL(422, Result.Status);
  CHECK_TRUE(Result.Body.find("GuaranteeImpossible") != std::string::npos);
  LONGS_EQUAL(1, Site.leastVersion());
}
