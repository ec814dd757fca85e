#include "Callers.h"
#include "Deployment.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

DeploymentPlan plan(int Entries, int Minions) {
  DeploymentPlan Plan;
  Plan.Entries = Entries;
  Plan.Minions = Minions;
  return Plan;
}

} // namespace

TEST_GROUP(RequestFault){};

TEST(RequestFault, KeepsAtMostOnceWhenEveryEntryIsKilledInTurn) {
  Deployment Site(plan(2, 3));
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {8, 25, "work=60", 2});
  for (int I = 0; I < 4; ++I) {
    sleepMs(400);
    CHECK_TRUE(Site.restartEntry(I % 2));
  }
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  LONGS_EQUAL(200, Got.Last.size());
  STRCMP_EQUAL("", Got.unanswered().c_str());
  // The minions and agents lived on, so that every key has its answer.
  LONGS_EQUAL(200, Got.count("answered"));
}

TEST(RequestFault, WaitsForMinionsWhenEveryEntryIsKilledAtOnce) {
  Deployment Site(plan(2, 3));
  CHECK_TRUE(Site.ready());
  for (int Round = 0; Round < 3; ++Round) {
    Site.entry(0).kill();
    Site.entry(1).kill();
    CHECK_TRUE(Site.restartEntry(0));
    CHECK_TRUE(Site.restartEntry(1));
    for (int I = 0; I < 2; ++I) {
      const std::string Key = "r" + std::to_string(Round * 2 + I);
      const CallResult Got = Site.request(I, Key, false, Key, 15000);
      STRCMP_EQUAL(("answer:" + Key).c_str(), Got.Body.c_str());
    }
  }
}

TEST(RequestFault, TellsUnknownHonestlyWhenAnAgentIsKilled) {
  Deployment Site(plan(2, 3));
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {8, 20, "work=60", 2});
  sleepMs(500);
  CHECK_TRUE(Site.restartMinionAgent(0));
  sleepMs(500);
  CHECK_TRUE(Site.restartMinionAgent(1));
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  // At most what was in flight at the two agents may be unknown.
  CHECK_TRUE(Got.count("unknown") <= 16);
  CHECK_TRUE(Got.count("answered") >= 144);
}

TEST(RequestFault, TellsUnknownHonestlyWhenAMinionIsKilled) {
  Deployment Site(plan(2, 3));
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {8, 20, "work=60", 2});
  sleepMs(500);
  CHECK_TRUE(Site.restartMinion(0));
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  CHECK_TRUE(Got.count("unknown") <= 8);
}

TEST(RequestFault, ReplacesConnectionsThatFellSilent) {
  DeploymentPlan Plan = plan(2, 3);
  Plan.ProxyAgents = true;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {8, 25, "work=60", 2});
  sleepMs(400);
  for (int I = 0; I < 3; ++I)
    CHECK_TRUE(Site.orderAgentProxy(I, "/silence"));
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  LONGS_EQUAL(200, Got.count("answered"));
}

TEST(RequestFault, KeepsAtMostOnceWhenConnectionsAreCut) {
  DeploymentPlan Plan = plan(2, 3);
  Plan.ProxyAgents = true;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {8, 25, "work=60", 2});
  for (int I = 0; I < 6; ++I) {
    sleepMs(250);
    CHECK_TRUE(Site.orderAgentProxy(I % 3, "/cut"));
  }
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  LONGS_EQUAL(200, Got.count("answered"));
}

TEST(RequestFault, GivesNobodyTheAnswerOfAnother) {
  DeploymentPlan Plan = plan(2, 2);
  Plan.ProxyAgents = true;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Site.orderAgentProxy(I, "/delay?ms=40"));
  // Deadlines shorter and longer than the work, the same keys in two
  // workspaces through two entries, answers out of order.
  std::atomic<int> Wrong{0};
  std::atomic<int> Answered{0};
  std::vector<std::thread> List;
  for (int Caller = 0; Caller < 8; ++Caller)
    List.emplace_back([&, Caller] {
      const bool Other = Caller % 2 == 1;
      for (int N = 0; N < 10; ++N) {
        const std::string Key = "same-" + std::to_string(N);
        const std::string Body = (Other ? "other " : "shed ") + Key +
                                 " work=" + std::to_string(20 + 40 * (N % 5));
        const CallResult Result = Site.request(
            Caller / 4, Body, false, Key, N % 3 == 0 ? 120 : 4000,
            Other ? Deployment::OtherToken : Deployment::CallerToken);
        if (Result.Status != 200)
          continue;
        ++Answered;
        Wrong += Result.Body == "answer:" + Body ? 0 : 1;
      }
    });
  for (std::thread &Each : List)
    Each.join();
  LONGS_EQUAL(0, Wrong.load());
  CHECK_TRUE(Answered > 0);
  LONGS_EQUAL(0, ranTwice(Site.minionRuns()).size());
}

TEST(RequestFault, ServesWhileTheStoreIsDown) {
  Deployment Site(plan(2, 2));
  CHECK_TRUE(Site.ready());
  CHECK_TRUE(Site.orderStore("/down"));
  int Answered = 0;
  for (int N = 0; N < 20; ++N)
    Answered +=
        Site.request(N % 2, "plain " + std::to_string(N), N % 4 == 0).Status ==
                200
            ? 1
            : 0;
  LONGS_EQUAL(20, Answered);
  // A key of the caller's own needs the store, a ticket does not.
  STRCMP_EQUAL("not run",
               Site.request(0, "keyed", false, "own-key").Outcome.c_str());
  const CallResult Given =
      Site.call(0, "POST",
                std::string("/v1/services/") + Deployment::Service + "/tickets",
                "", Deployment::CallerToken);
  const std::size_t At = Given.Body.find("ticket~");
  CHECK_TRUE(At != std::string::npos);
  const std::string Ticket =
      Given.Body.substr(At, Given.Body.find('"', At) - At);
  LONGS_EQUAL(200, Site.request(0, "once", false, Ticket).Status);
  LONGS_EQUAL(200, Site.request(1, "once", false, Ticket).Status);
  LONGS_EQUAL(0, ranTwice(Site.minionRuns()).size());
}

TEST(RequestFault, LosesNothingWhenTheStoreLosesAnswers) {
  Deployment Site(plan(2, 2));
  CHECK_TRUE(Site.ready());
  CHECK_TRUE(Site.orderStore("/lose?count=10"));
  Tally Got;
  Callers Load(Site, Got, {4, 15, "work=5", 2});
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  LONGS_EQUAL(60, Got.count("answered"));
}

TEST(RequestFault, CutsOffNothingWhenAnEntryStopsAsPlanned) {
  Deployment Site(plan(2, 2));
  CHECK_TRUE(Site.ready());
  std::atomic<int> Answered{0};
  std::vector<std::thread> List;
  for (int I = 0; I < 8; ++I)
    List.emplace_back([&, I] {
      Answered += Site.request(0, "slow " + std::to_string(I) + " work=2500",
                               false, "", 8000)
                              .Status == 200
                      ? 1
                      : 0;
    });
  sleepMs(600);
  Site.entry(0).terminate();
  for (std::thread &Each : List)
    Each.join();
  LONGS_EQUAL(8, Answered.load());
  CHECK_TRUE(Site.entry(0).waitEnd(20));
}

TEST(RequestFault, GivesADrainingMinionNothingNew) {
  Deployment Site(plan(2, 2));
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {6, 60, "work=40", 2});
  sleepMs(500);
  CHECK_TRUE(Deployment::order(Site.minion(0).value("http"), "/order/drain"));
  // The promise is a few seconds.
  sleepMs(3000);
  const std::size_t Before = Site.journal("minion-0", "run").size();
  Load.join();
  LONGS_EQUAL(Before, Site.journal("minion-0", "run").size());
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  LONGS_EQUAL(360, Got.count("answered"));
}

TEST(RequestFault, FinishesWhatRunsWhenAnAgentStopsAsPlanned) {
  Deployment Site(plan(2, 2));
  CHECK_TRUE(Site.ready());
  Tally Got;
  Callers Load(Site, Got, {6, 30, "work=80", 2});
  sleepMs(500);
  Site.minionAgent(0).terminate();
  CHECK_TRUE(Site.minionAgent(0).waitEnd(20));
  Load.join();
  STRCMP_EQUAL("", broken(Got, Site).c_str());
  // A key whose answer the stopped agent took along may come out unknown only
  // if it was asked for again; nothing here was lost, so nothing was.
  STRCMP_EQUAL("", Got.unanswered().c_str());
  LONGS_EQUAL(180, Got.count("answered"));
}

TEST(RequestFault, KeepsGoodputAndRetriesBoundedUnderOverload) {
  DeploymentPlan Plan = plan(2, 2);
  Plan.MinionWorkMs = 50;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  // 16 slots; three times as many callers, each at once again.
  Tally Got;
  std::atomic<int> Sent{0};
  std::atomic<int> Answered{0};
  std::vector<std::thread> List;
  const Instant Until = monotonicNow() + Milliseconds(5000);
  for (int I = 0; I < 48; ++I)
    List.emplace_back([&, I] {
      while (monotonicNow() < Until) {
        ++Sent;
        const auto Result = Site.request(I % 2, "load", false, "", 2000);
        Answered += Result.Status == 200 ? 1 : 0;
        if (Result.Status != 200)
          sleepMs(100);
      }
    });
  for (std::thread &Each : List)
    Each.join();
  // Capacity is 16 slots / 50 ms for 5 s = 1600; half of it is the bound.
  CHECK_TEXT(Answered >= 800,
             ("answered " + std::to_string(Answered.load())).c_str());
  double Deliveries = 0;
  for (int I = 0; I < 2; ++I) {
    const auto Dump = Site.state(Site.entry(I).value("http"));
    Deliveries += Dump->getObject("figures")->getValue<double>("deliveries");
  }
  // The budget allows a retry for five requests, after a start of ten each.
  CHECK_TEXT(Deliveries <= 1.2 * Sent + 20,
             ("deliveries " + std::to_string(Deliveries) + " of " +
              std::to_string(Sent.load()))
                 .c_str());
}

TEST(RequestFault, KeepsOneWorkspacesBurstFromAnother) {
  DeploymentPlan Plan = plan(1, 2);
  Plan.MinionWorkMs = 40;
  Deployment Site(Plan);
  CHECK_TRUE(Site.ready());
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Burst;
  for (int I = 0; I < 40; ++I)
    Burst.emplace_back([&] {
      while (!Stop)
        if (Site.request(0, "burst", true, "", 2000).Status != 200)
          sleepMs(50);
    });
  sleepMs(500);
  int Answered = 0;
  for (int N = 0; N < 30; ++N)
    Answered += Site.request(0, "quiet", true, "", 2000, Deployment::OtherToken)
                            .Status == 200
                    ? 1
                    : 0;
  Stop = true;
  for (std::thread &Each : Burst)
    Each.join();
  LONGS_EQUAL(30, Answered);
}

TEST(RequestFault, GoesRoundMinionsThatRefuseOrAnswerGarbage) {
  Deployment Site(plan(2, 3));
  CHECK_TRUE(Site.ready());
  const auto Order = [&](int I, const char *Path) {
    return Deployment::order(Site.minion(I).value("http"), Path);
  };
  CHECK_TRUE(Order(0, "/order/refuse"));
  CHECK_TRUE(Order(1, "/order/garbage"));
  int Answered = 0;
  for (int N = 0; N < 60; ++N) {
    const CallResult Result = Site.request(N % 2, "x", true, "", 3000);
    CHECK_TRUE(Result.Status != 200 || Result.Body == "answer:x");
    Answered += Result.Status == 200 ? 1 : 0;
  }
  CHECK_TEXT(Answered >= 50, ("answered " + std::to_string(Answered)).c_str());
}
