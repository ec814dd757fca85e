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

DeploymentOptions deploymentOptions(int Entries, int Minions) {
  DeploymentOptions Options;
  Options.Entries = Entries;
  Options.Minions = Minions;
  return Options;
}

} // namespace

TEST_GROUP(RequestFault){};

TEST(RequestFault, RunsRequestsAtMostOnceWhenEntriesAreKilledInTurn) {
  Deployment Cluster(deploymentOptions(2, 3));
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {8, 25, "work=60", 2});
  for (int I = 0; I < 4; ++I) {
    sleepMs(400);
    CHECK_TRUE(Cluster.restartEntry(I % 2));
  }
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  LONGS_EQUAL(200, Results.LastResults.size());
  STRCMP_EQUAL("", Results.describeUnanswered().c_str());
  // Minions and agents were not killed, so every key has its response.
  LONGS_EQUAL(200, Results.count("answered"));
}

TEST(RequestFault, WaitsForMinionsWhenAllEntriesAreKilledAtOnce) {
  Deployment Cluster(deploymentOptions(2, 3));
  CHECK_TRUE(Cluster.ready());
  for (int Round = 0; Round < 3; ++Round) {
    Cluster.entry(0).kill();
    Cluster.entry(1).kill();
    CHECK_TRUE(Cluster.restartEntry(0));
    CHECK_TRUE(Cluster.restartEntry(1));
    for (int I = 0; I < 2; ++I) {
      const std::string Key = "r" + std::to_string(Round * 2 + I);
      const CallResult Response = Cluster.request(I, Key, false, Key, 15000);
      STRCMP_EQUAL(("answer:" + Key).c_str(), Response.Body.c_str());
    }
  }
}

TEST(RequestFault, ReportsUnknownOutcomesWhenAnAgentIsKilled) {
  Deployment Cluster(deploymentOptions(2, 3));
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {8, 20, "work=60", 2});
  sleepMs(500);
  CHECK_TRUE(Cluster.restartMinionAgent(0));
  sleepMs(500);
  CHECK_TRUE(Cluster.restartMinionAgent(1));
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  // Only requests in flight at the two agents may have an unknown outcome.
  CHECK_TRUE(Results.count("unknown") <= 16);
  CHECK_TRUE(Results.count("answered") >= 144);
}

TEST(RequestFault, ReportsUnknownOutcomesWhenAMinionIsKilled) {
  Deployment Cluster(deploymentOptions(2, 3));
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {8, 20, "work=60", 2});
  sleepMs(500);
  CHECK_TRUE(Cluster.restartMinion(0));
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  CHECK_TRUE(Results.count("unknown") <= 8);
}

TEST(RequestFault, ReplacesSilentConnections) {
  DeploymentOptions Options = deploymentOptions(2, 3);
  Options.ProxyMinionAgents = true;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {8, 25, "work=60", 2});
  sleepMs(400);
  for (int I = 0; I < 3; ++I)
    CHECK_TRUE(Cluster.controlMinionAgentProxy(I, "/silence"));
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  LONGS_EQUAL(200, Results.count("answered"));
}

TEST(RequestFault, RunsRequestsAtMostOnceWhenConnectionsAreClosed) {
  DeploymentOptions Options = deploymentOptions(2, 3);
  Options.ProxyMinionAgents = true;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {8, 25, "work=60", 2});
  for (int I = 0; I < 6; ++I) {
    sleepMs(250);
    CHECK_TRUE(Cluster.controlMinionAgentProxy(I % 3, "/cut"));
  }
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  LONGS_EQUAL(200, Results.count("answered"));
}

TEST(RequestFault, NeverReturnsTheResponseToAnotherRequest) {
  DeploymentOptions Options = deploymentOptions(2, 2);
  Options.ProxyMinionAgents = true;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Cluster.controlMinionAgentProxy(I, "/delay?ms=40"));
  // Deadlines are shorter and longer than the work time, two workspaces use the
  // same keys at two entries, and responses come out of order.
  std::atomic<int> WrongResponses{0};
  std::atomic<int> Answered{0};
  std::vector<std::thread> Threads;
  for (int Caller = 0; Caller < 8; ++Caller)
    Threads.emplace_back([&, Caller] {
      const bool Other = Caller % 2 == 1;
      for (int N = 0; N < 10; ++N) {
        const std::string Key = "same-" + std::to_string(N);
        const std::string Body = (Other ? "other " : "shed ") + Key +
                                 " work=" + std::to_string(20 + 40 * (N % 5));
        const CallResult Result = Cluster.request(
            Caller / 4, Body, false, Key, N % 3 == 0 ? 120 : 4000,
            Other ? Deployment::OtherToken : Deployment::CallerToken);
        if (Result.Status != 200)
          continue;
        ++Answered;
        WrongResponses += Result.Body == "answer:" + Body ? 0 : 1;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  LONGS_EQUAL(0, WrongResponses.load());
  CHECK_TRUE(Answered > 0);
  LONGS_EQUAL(0, findDuplicateRuns(Cluster.minionRuns()).size());
}

TEST(RequestFault, ServesWhileTheStoreIsDown) {
  Deployment Cluster(deploymentOptions(2, 2));
  CHECK_TRUE(Cluster.ready());
  CHECK_TRUE(Cluster.controlStore("/down"));
  int Answered = 0;
  for (int N = 0; N < 20; ++N)
    Answered += Cluster.request(N % 2, "plain " + std::to_string(N), N % 4 == 0)
                            .Status == 200
                    ? 1
                    : 0;
  LONGS_EQUAL(20, Answered);
  // A key chosen by the caller needs the store, which alone knows whether an
  // earlier request had it; a ticket does not.
  STRCMP_EQUAL("unknown",
               Cluster.request(0, "keyed", false, "own-key").Outcome.c_str());
  const CallResult TicketResponse = Cluster.call(
      0, "POST",
      std::string("/v1/services/") + Deployment::Service + "/tickets", "",
      Deployment::CallerToken);
  const std::size_t TicketAt = TicketResponse.Body.find("ticket~");
  CHECK_TRUE(TicketAt != std::string::npos);
  const std::string Ticket = TicketResponse.Body.substr(
      TicketAt, TicketResponse.Body.find('"', TicketAt) - TicketAt);
  LONGS_EQUAL(200, Cluster.request(0, "once", false, Ticket).Status);
  LONGS_EQUAL(200, Cluster.request(1, "once", false, Ticket).Status);
  LONGS_EQUAL(0, findDuplicateRuns(Cluster.minionRuns()).size());
}

TEST(RequestFault, AnswersEveryRequestWhenTheStoreLosesResponses) {
  Deployment Cluster(deploymentOptions(2, 2));
  CHECK_TRUE(Cluster.ready());
  CHECK_TRUE(Cluster.controlStore("/lose?count=10"));
  CallerResults Results;
  Callers Load(Cluster, Results, {4, 15, "work=5", 2});
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  LONGS_EQUAL(60, Results.count("answered"));
}

TEST(RequestFault, CompletesRequestsInFlightWhenAnEntryShutsDown) {
  Deployment Cluster(deploymentOptions(2, 2));
  CHECK_TRUE(Cluster.ready());
  std::atomic<int> Answered{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < 8; ++I)
    Threads.emplace_back([&, I] {
      Answered += Cluster.request(0, "slow " + std::to_string(I) + " work=2500",
                                  false, "", 8000)
                              .Status == 200
                      ? 1
                      : 0;
    });
  sleepMs(600);
  Cluster.entry(0).terminate();
  for (std::thread &Thread : Threads)
    Thread.join();
  LONGS_EQUAL(8, Answered.load());
  CHECK_TRUE(Cluster.entry(0).waitForExit(20));
}

TEST(RequestFault, SendsNoNewRequestsToADrainingMinion) {
  Deployment Cluster(deploymentOptions(2, 2));
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {6, 60, "work=40", 2});
  sleepMs(500);
  CHECK_TRUE(
      Deployment::sendControl(Cluster.minion(0).value("http"), "/order/drain"));
  // Draining takes effect within a few seconds.
  sleepMs(3000);
  const std::size_t Before = Cluster.journal("minion-0", "run").size();
  Load.join();
  LONGS_EQUAL(Before, Cluster.journal("minion-0", "run").size());
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  LONGS_EQUAL(360, Results.count("answered"));
}

TEST(RequestFault, CompletesRequestsInFlightWhenAnAgentShutsDown) {
  Deployment Cluster(deploymentOptions(2, 2));
  CHECK_TRUE(Cluster.ready());
  CallerResults Results;
  Callers Load(Cluster, Results, {6, 30, "work=80", 2});
  sleepMs(500);
  Cluster.minionAgent(0).terminate();
  CHECK_TRUE(Cluster.minionAgent(0).waitForExit(20));
  Load.join();
  STRCMP_EQUAL("", firstViolation(Results, Cluster).c_str());
  // An agent's stored responses are gone once it has stopped. That matters only
  // to keys that are sent again, and no response was lost here, so none was.
  STRCMP_EQUAL("", Results.describeUnanswered().c_str());
  LONGS_EQUAL(180, Results.count("answered"));
}

TEST(RequestFault, KeepsGoodputAndRetriesBoundedUnderOverload) {
  DeploymentOptions Options = deploymentOptions(2, 2);
  Options.MinionWorkMs = 50;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  // 48 callers, three for each of the 16 slots, send their next request at once
  // after a response.
  CallerResults Results;
  std::atomic<int> Sent{0};
  std::atomic<int> Answered{0};
  std::vector<std::thread> Threads;
  const Instant EndTime = monotonicNow() + Milliseconds(5000);
  for (int I = 0; I < 48; ++I)
    Threads.emplace_back([&, I] {
      while (monotonicNow() < EndTime) {
        ++Sent;
        const auto Result = Cluster.request(I % 2, "load", false, "", 2000);
        Answered += Result.Status == 200 ? 1 : 0;
        if (Result.Status != 200)
          sleepMs(100);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  // The capacity is 16 slots / 50 ms * 5 s = 1600 requests; the bound is half
  // of it.
  CHECK_TEXT(Answered >= 800,
             ("answered " + std::to_string(Answered.load())).c_str());
  double Deliveries = 0;
  for (int I = 0; I < 2; ++I) {
    const auto Dump = Cluster.state(Cluster.entry(I).value("http"));
    Deliveries += Dump->getObject("figures")->getValue<double>("deliveries");
  }
  // The retry budget allows one retry per five requests, and ten more at each
  // of the two entries at the start.
  CHECK_TEXT(Deliveries <= 1.2 * Sent + 20,
             ("deliveries " + std::to_string(Deliveries) + " of " +
              std::to_string(Sent.load()))
                 .c_str());
}

TEST(RequestFault, IsolatesAWorkspaceFromTheBurstOfAnother) {
  DeploymentOptions Options = deploymentOptions(1, 2);
  Options.MinionWorkMs = 40;
  Deployment Cluster(Options);
  CHECK_TRUE(Cluster.ready());
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Burst;
  for (int I = 0; I < 40; ++I)
    Burst.emplace_back([&] {
      while (!Stop)
        if (Cluster.request(0, "burst", true, "", 2000).Status != 200)
          sleepMs(50);
    });
  sleepMs(500);
  int Answered = 0;
  for (int N = 0; N < 30; ++N)
    Answered +=
        Cluster.request(0, "quiet", true, "", 2000, Deployment::OtherToken)
                    .Status == 200
            ? 1
            : 0;
  Stop = true;
  for (std::thread &Thread : Burst)
    Thread.join();
  LONGS_EQUAL(30, Answered);
}

TEST(RequestFault, AvoidsMinionsThatRefuseOrReturnMalformedResponses) {
  Deployment Cluster(deploymentOptions(2, 3));
  CHECK_TRUE(Cluster.ready());
  const auto Order = [&](int I, const char *Path) {
    return Deployment::sendControl(Cluster.minion(I).value("http"), Path);
  };
  CHECK_TRUE(Order(0, "/order/refuse"));
  CHECK_TRUE(Order(1, "/order/garbage"));
  int Answered = 0;
  for (int N = 0; N < 60; ++N) {
    const CallResult Result = Cluster.request(N % 2, "x", true, "", 3000);
    CHECK_TRUE(Result.Status != 200 || Result.Body == "answer:x");
    Answered += Result.Status == 200 ? 1 : 0;
  }
  CHECK_TEXT(Answered >= 50, ("answered " + std::to_string(Answered)).c_str());
}
