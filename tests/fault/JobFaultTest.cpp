#include "Callers.h"
#include "Deployment.h"
#include "JobDeployment.h"

#include <map>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

DeploymentOptions deploymentOptions(int Entries, int Workers) {
  DeploymentOptions Options;
  Options.Entries = Entries;
  Options.Workers = Workers;
  return Options;
}

/// Two entries, two minions and four workers, with the proxies that
/// Deployment::partitionRegions() needs.
DeploymentOptions twoRegions() {
  DeploymentOptions Options = deploymentOptions(2, 4);
  Options.Minions = 2;
  Options.ProxyMinionAgents = Options.ProxyWorkerAgents = true;
  Options.ProxyEntries = Options.ProxyStore = true;
  return Options;
}

/// Longer than the coordinator's lease, the lease of a gang, and the time
/// without heartbeats after which workers and minions are unreachable.
constexpr int LongerThanLeasesMs = 14000;

} // namespace

TEST_GROUP(JobFault){};

TEST(JobFault, RunsCompleteGangsWhenTheCoordinatorIsKilled) {
  JobDeployment Jobs(deploymentOptions(3, 4));
  CHECK_TRUE(Jobs.Cluster.ready());
  std::mt19937 Random(7);
  for (int Round = 0; Round < 3; ++Round) {
    const int Coordinator = Jobs.Cluster.coordinator();
    CHECK_TRUE(Coordinator >= 0);
    const int OtherEntry = (Coordinator + 1) % 3;
    const std::string Id = Jobs.submit(OtherEntry, 3, 1500);
    CHECK_TRUE(!Id.empty());
    // The delay varies from before the reservation until after the record of
    // the start is written.
    sleepMs(static_cast<int>(Random() % 40));
    CHECK_TRUE(Jobs.Cluster.restartEntry(Coordinator));
    CHECK_TRUE(Jobs.Cluster.waitForJob(OtherEntry, Id, wire::DONE));
  }
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, RunsANonIdempotentJobAtMostOnce) {
  JobDeployment Jobs(deploymentOptions(3, 4));
  CHECK_TRUE(Jobs.Cluster.ready());
  std::mt19937 Random(11);
  for (int Round = 0; Round < 3; ++Round) {
    const int Coordinator = Jobs.Cluster.coordinator();
    CHECK_TRUE(Coordinator >= 0);
    const int OtherEntry = (Coordinator + 1) % 3;
    const std::string Id = Jobs.submit(OtherEntry, 2, 1200, false);
    sleepMs(static_cast<int>(Random() % 60));
    CHECK_TRUE(Jobs.Cluster.restartEntry(Coordinator));
    CHECK_TRUE(Deployment::waitFor([&] {
      const auto State = Jobs.Cluster.job(OtherEntry, Id).state();
      return State == wire::DONE || State == wire::JOB_FAILED;
    }));
    CHECK_TRUE(Jobs.countAttempts(Id) <= 1);
  }
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, RefusesCommandsOfAPausedCoordinator) {
  JobDeployment Jobs(deploymentOptions(2, 4));
  CHECK_TRUE(Jobs.Cluster.ready());
  const int Coordinator = Jobs.Cluster.coordinator();
  CHECK_TRUE(Coordinator >= 0);
  const std::string Running = Jobs.submit(1 - Coordinator, 2, 12000);
  CHECK_TRUE(
      Jobs.Cluster.waitForJob(1 - Coordinator, Running, wire::JOB_RUNNING));
  Jobs.Cluster.entry(Coordinator).pause();
  const std::string Meanwhile = Jobs.submit(1 - Coordinator, 2, 1500);
  CHECK_TRUE(!Meanwhile.empty());
  CHECK_TRUE(Jobs.Cluster.waitForJob(1 - Coordinator, Meanwhile, wire::DONE));
  Jobs.Cluster.entry(Coordinator).resume();
  const std::string After = Jobs.submit(Coordinator, 2, 1000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(1 - Coordinator, After, wire::DONE));
  CHECK_TRUE(Jobs.Cluster.waitForJob(1 - Coordinator, Running, wire::DONE));
  LONGS_EQUAL(1, Jobs.countAttempts(Running));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, RunsTheJobElsewhereWhenAnAgentIsPausedPastItsLease) {
  JobDeployment Jobs(deploymentOptions(2, 3));
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string Id = Jobs.submit(0, 2, 15000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::JOB_RUNNING));
  Jobs.Cluster.workerAgent(0).pause();
  // The other worker's part stops within the lease; the job then restarts on
  // other workers.
  CHECK_TRUE(Jobs.Cluster.waitFor([&] { return Jobs.countAttempts(Id) >= 2; }));
  Jobs.Cluster.workerAgent(0).resume();
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, CompletesAGangWhenItsAgentsAreKilled) {
  JobDeployment Jobs(deploymentOptions(2, 4));
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string Id = Jobs.submit(0, 3, 6000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.restartWorkerAgent(0));
  CHECK_TRUE(Jobs.Cluster.restartWorkerAgent(2));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, RestartsAGangWhenItsWorkersAreKilled) {
  JobDeployment Jobs(deploymentOptions(2, 4));
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string Id = Jobs.submit(0, 3, 4000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.restartWorker(1));
  CHECK_TRUE(Jobs.Cluster.restartWorker(0));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, KeepsGangsRunningWhileTheStoreIsDown) {
  JobDeployment Jobs(deploymentOptions(2, 3));
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string Long = Jobs.submit(0, 1, 9000);
  const std::string Short = Jobs.submit(0, 1, 3000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Long, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Short, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.controlStore("/down"));
  // Longer than the coordinator's lease and the lease of a gang.
  sleepMs(7000);
  const CallResult Refused = Jobs.Cluster.call(
      0, "POST", "/v1/jobs", gangSpec(1, 1, 100), Deployment::CallerToken);
  STRCMP_EQUAL("not run", Refused.Outcome.c_str());
  // An agent that starts now gets the configuration from its peers.
  CHECK_TRUE(Jobs.Cluster.restartWorkerAgent(2));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] {
    const auto Dump =
        Jobs.Cluster.state(Jobs.Cluster.workerAgent(2).value("http"));
    return Dump && Dump->getValue<int>("configuration_version") == 1;
  }));
  CHECK_TRUE(Jobs.Cluster.controlStore("/up"));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Short, wire::DONE));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Long, wire::DONE));
  LONGS_EQUAL(1, Jobs.countAttempts(Long));
  LONGS_EQUAL(1, Jobs.countAttempts(Short));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, AcceptsNoJobTwiceWhenTheStoreIsSlowAndLosesResponses) {
  JobDeployment Jobs(deploymentOptions(2, 3));
  CHECK_TRUE(Jobs.Cluster.ready());
  CHECK_TRUE(Jobs.Cluster.controlStore("/slow?ms=150"));
  CHECK_TRUE(Jobs.Cluster.controlStore("/lose?count=6"));
  std::map<std::string, std::string> Ids;
  for (int N = 0; N < 6; ++N) {
    const std::string Key = "job-" + std::to_string(N);
    std::string Id;
    CHECK_TRUE(Deployment::waitFor([&] {
      Id = Jobs.Cluster.submit(N % 2, gangSpec(1, 8, 300), Key);
      return !Id.empty();
    }));
    Ids[Key] = Id;
    STRCMP_EQUAL(
        Id.c_str(),
        Jobs.Cluster.submit((N + 1) % 2, gangSpec(1, 8, 300), Key).c_str());
  }
  for (const auto &[Key, Id] : Ids) {
    CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::DONE, 60));
    LONGS_EQUAL(1, Jobs.countAttempts(Id));
  }
}

TEST(JobFault, RunsNoIncompleteGangWhenHalfOfTheWorkersAreLost) {
  JobDeployment Jobs(deploymentOptions(2, 6));
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string Large = Jobs.submit(0, 4, 5000);
  const std::string Small = Jobs.submit(0, 2, 5000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Large, wire::JOB_RUNNING));
  for (int I = 0; I < 3; ++I) {
    Jobs.Cluster.workerAgent(I).kill();
    Jobs.Cluster.worker(I).kill();
  }
  // Three workers are left, too few for the large gang.
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Small, wire::DONE, 60));
  for (int I = 0; I < 3; ++I) {
    CHECK_TRUE(Jobs.Cluster.restartWorker(I));
    CHECK_TRUE(Jobs.Cluster.restartWorkerAgent(I));
  }
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Large, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, CancelsManyJobsWhileGangsStart) {
  JobDeployment Jobs(deploymentOptions(2, 3));
  CHECK_TRUE(Jobs.Cluster.ready());
  std::vector<std::string> Ids;
  for (int N = 0; N < 40; ++N)
    Ids.push_back(Jobs.submit(N % 2, 1 + N % 2, 60000));
  std::vector<std::thread> Threads;
  for (int Canceller = 0; Canceller < 4; ++Canceller)
    Threads.emplace_back([&, Canceller] {
      for (std::size_t N = Canceller; N < Ids.size(); N += 4)
        (void)Jobs.Cluster.call(Canceller % 2, "DELETE", "/v1/jobs/" + Ids[N],
                                "", Deployment::CallerToken);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (const std::string &Id : Ids)
    CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::CANCELLED));
  const std::string Next = Jobs.submit(0, 3, 500);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Next, wire::DONE));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, RunsNothingTwiceWhenTheCoordinatorCannotReachTheWorkers) {
  DeploymentOptions Options = deploymentOptions(2, 3);
  Options.ProxyEntries = true;
  JobDeployment Jobs(Options);
  CHECK_TRUE(Jobs.Cluster.ready());
  const int Coordinator = Jobs.Cluster.coordinator();
  const std::string Id = Jobs.submit(0, 2, 14000, false);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::JOB_RUNNING));
  // For longer than every lease, heartbeats reach only the other entry. That
  // entry reports the workers as alive, so that their gang keeps running.
  CHECK_TRUE(Jobs.Cluster.controlEntryProxy(Coordinator, "/silence_all"));
  sleepMs(12000);
  CHECK_TRUE(
      Jobs.Cluster.controlEntryProxy(Coordinator, "/silence_all?on=false"));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::DONE, 60));
  LONGS_EQUAL(1, Jobs.countAttempts(Id));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

TEST(JobFault, ServesBothRegionsDuringANetworkPartition) {
  JobDeployment Jobs(twoRegions());
  CHECK_TRUE(Jobs.Cluster.ready());
  // One gang may span the regions; another must run at most once.
  const std::string Spanning = Jobs.submit(0, 2, 9000);
  const std::string OneWorker = Jobs.submit(1, 1, 9000);
  const std::string AtMostOnce = Jobs.submit(1, 1, 9000, false);
  for (const std::string &Id : {Spanning, OneWorker, AtMostOnce})
    CHECK_TRUE(Jobs.Cluster.waitForJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.partitionRegions(true));
  sleepMs(LongerThanLeasesMs);
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Jobs.Cluster.waitFor([&] {
      const std::string Body = "cut" + std::to_string(I);
      return Jobs.Cluster.request(I, Body, true).Body == "answer:" + Body;
    }));
  STRCMP_EQUAL("", Jobs.submit(1, 1, 100).c_str());
  CHECK_TRUE(
      Deployment::waitFor([&] { return Jobs.Cluster.coordinator() == 0; }));
  const std::string During = Jobs.submit(0, 1, 500);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, During, wire::DONE, 60));
  for (const char *IsolatedWorker : {"worker-1", "worker-3"})
    for (const std::string &Line : Jobs.Cluster.journal(IsolatedWorker))
      CHECK_TEXT(Line.find(During) == std::string::npos, Line.c_str());
  CHECK_TRUE(Jobs.Cluster.partitionRegions(false));
  for (const std::string &Id : {Spanning, OneWorker})
    CHECK_TRUE(Jobs.Cluster.waitForJob(1, Id, wire::DONE, 60));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] {
    const auto State = Jobs.Cluster.job(1, AtMostOnce).state();
    return State == wire::DONE || State == wire::JOB_FAILED;
  }));
  LONGS_EQUAL(1, Jobs.countAttempts(AtMostOnce));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
  LONGS_EQUAL(200, Jobs.Cluster.apply(1, 1, "", "after").Status);
  CHECK_TRUE(
      Jobs.Cluster.waitFor([&] { return Jobs.Cluster.lowestVersion() >= 2; }));
}

TEST(JobFault, FreesTheReachableWorkersOfAPartitionedGang) {
  JobDeployment Jobs(twoRegions());
  CHECK_TRUE(Jobs.Cluster.ready());
  // A gang on three of four workers always spans the regions.
  const std::string Spanning = Jobs.submit(0, 3, 60000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Spanning, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.partitionRegions(true));
  sleepMs(LongerThanLeasesMs);
  CHECK_TRUE(
      Deployment::waitFor([&] { return Jobs.Cluster.coordinator() == 0; }));
  const std::string During = Jobs.submit(0, 2, 500);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, During, wire::DONE, 60));
}

TEST(JobFault, PlacesGangsByTheirMeasuredMemoryUse) {
  JobDeployment Jobs(deploymentOptions(1, 1));
  CHECK_TRUE(Jobs.Cluster.ready());
  // The job declares no memory, but uses nearly all memory of its worker.
  const std::string Undeclared = Jobs.Cluster.submit(
      0, "{\"tasks\":1,\"accelerators_per_task\":1,\"idempotent\":true,"
         "\"payload\":\"work_ms=12000 uses_mb=127000\"}");
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Undeclared, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] {
    const auto Dump = Jobs.Cluster.state(Jobs.Cluster.entry(0).value("http"));
    return Dump->getObject("figures")->has("usage_reports");
  }));
  const std::string Declared = Jobs.Cluster.submit(
      0, gangSpec(1, 1, 100, true, ",\"memory_mb_per_task\":20000"));
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Declared, wire::DONE));
  CHECK_TRUE(Jobs.Cluster.job(0, Undeclared).state() == wire::DONE);
}

TEST(JobFault, ReclaimsAGuaranteeFromABorrower) {
  JobDeployment Jobs(deploymentOptions(2, 2));
  CHECK_TRUE(Jobs.Cluster.ready());
  const CallResult Applied = Jobs.Cluster.apply(
      0, 1, "    guarantee:\n      - {count: 1, accelerators: 8}\n", "g1");
  LONGS_EQUAL(200, Applied.Status);
  CHECK_TRUE(
      Jobs.Cluster.waitFor([&] { return Jobs.Cluster.lowestVersion() >= 2; }));
  // A job of "shed" borrows all workers; "other" has the guarantee.
  const std::string Borrower = Jobs.submit(0, 2, 60000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Borrower, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] {
    const auto Dump =
        Jobs.Cluster.state(Jobs.Cluster.workerAgent(0).value("http"));
    const auto Parts = Dump->getArray("parts");
    return Parts->size() == 1 &&
           Parts->getObject(0)->getValue<int>("progress_ms") > 0;
  }));
  const Instant SubmitTime = monotonicNow();
  const CallResult Urgent = Jobs.Cluster.call(
      0, "POST", "/v1/jobs", gangSpec(1, 8, 300, true, ",\"urgent\":true"),
      Deployment::OtherToken);
  wire::JobRecord Record;
  CHECK_TRUE(fromJson(Urgent.Body, Record).has_value());
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, Record.id(), wire::DONE));
  // The start may take 2.3 s and the work takes 0.3 s; the rest allows for a
  // slow machine.
  CHECK_TRUE((monotonicNow() - SubmitTime).count() < 15000);
  CHECK_TRUE(Jobs.Cluster.job(0, Borrower).progress_ms() > 0);
}
