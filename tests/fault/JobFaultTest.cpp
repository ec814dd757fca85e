#include "Callers.h"
#include "Deployment.h"
#include "JobSite.h"

#include <map>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

DeploymentPlan plan(int Entries, int Workers) {
  DeploymentPlan Plan;
  Plan.Entries = Entries;
  Plan.Workers = Workers;
  return Plan;
}

/// Two entries, two minions and four workers, of which those of odd number can
/// be cut from the others and from the store.
DeploymentPlan twoRegions() {
  DeploymentPlan Plan = plan(2, 4);
  Plan.Minions = 2;
  Plan.ProxyAgents = Plan.ProxyWorkers = true;
  Plan.ProxyEntries = Plan.ProxyStore = true;
  return Plan;
}

/// Longer than the coordinator's lease, a gang's lease and the silence after
/// which members count as lost.
constexpr int LongerThanLeasesMs = 14000;

} // namespace

TEST_GROUP(JobFault){};

TEST(JobFault, RunsGangsWholeWhenTheCoordinatorIsKilledAtAnyMoment) {
  JobSite Jobs(plan(3, 4));
  CHECK_TRUE(Jobs.Site.ready());
  std::mt19937 Random(7);
  for (int Round = 0; Round < 3; ++Round) {
    const int Holder = Jobs.Site.coordinator();
    CHECK_TRUE(Holder >= 0);
    const int Other = (Holder + 1) % 3;
    const std::string Id = Jobs.submit(Other, 3, 1500);
    CHECK_TRUE(!Id.empty());
    // From before the reservation to after the record.
    sleepMs(static_cast<int>(Random() % 40));
    CHECK_TRUE(Jobs.Site.restartEntry(Holder));
    CHECK_TRUE(Jobs.Site.waitJob(Other, Id, wire::DONE));
  }
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, RunsAJobThatIsNotIdempotentOnceAtMost) {
  JobSite Jobs(plan(3, 4));
  CHECK_TRUE(Jobs.Site.ready());
  std::mt19937 Random(11);
  for (int Round = 0; Round < 3; ++Round) {
    const int Holder = Jobs.Site.coordinator();
    CHECK_TRUE(Holder >= 0);
    const int Other = (Holder + 1) % 3;
    const std::string Id = Jobs.submit(Other, 2, 1200, false);
    sleepMs(static_cast<int>(Random() % 60));
    CHECK_TRUE(Jobs.Site.restartEntry(Holder));
    CHECK_TRUE(Deployment::waitFor([&] {
      const auto State = Jobs.Site.job(Other, Id).state();
      return State == wire::DONE || State == wire::JOB_FAILED;
    }));
    CHECK_TRUE(Jobs.attemptsRun(Id) <= 1);
  }
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, RefusesAPausedCoordinatorsCommands) {
  JobSite Jobs(plan(2, 4));
  CHECK_TRUE(Jobs.Site.ready());
  const int Holder = Jobs.Site.coordinator();
  CHECK_TRUE(Holder >= 0);
  const std::string Running = Jobs.submit(1 - Holder, 2, 12000);
  CHECK_TRUE(Jobs.Site.waitJob(1 - Holder, Running, wire::JOB_RUNNING));
  Jobs.Site.entry(Holder).freeze();
  const std::string Meanwhile = Jobs.submit(1 - Holder, 2, 1500);
  CHECK_TRUE(!Meanwhile.empty());
  CHECK_TRUE(Jobs.Site.waitJob(1 - Holder, Meanwhile, wire::DONE));
  Jobs.Site.entry(Holder).thaw();
  const std::string After = Jobs.submit(Holder, 2, 1000);
  CHECK_TRUE(Jobs.Site.waitJob(1 - Holder, After, wire::DONE));
  CHECK_TRUE(Jobs.Site.waitJob(1 - Holder, Running, wire::DONE));
  LONGS_EQUAL(1, Jobs.attemptsRun(Running));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, RunsNoFurtherStepWhenAnAgentWasPausedPastItsLease) {
  JobSite Jobs(plan(2, 3));
  CHECK_TRUE(Jobs.Site.ready());
  const std::string Id = Jobs.submit(0, 2, 15000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::JOB_RUNNING));
  Jobs.Site.workerAgent(0).freeze();
  // The other member stops within the lease, and the job runs elsewhere.
  CHECK_TRUE(Jobs.Site.waitFor([&] { return Jobs.attemptsRun(Id) >= 2; }));
  Jobs.Site.workerAgent(0).thaw();
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, StopsAllWhenAMembersAgentIsKilled) {
  JobSite Jobs(plan(2, 4));
  CHECK_TRUE(Jobs.Site.ready());
  const std::string Id = Jobs.submit(0, 3, 6000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.restartWorkerAgent(0));
  CHECK_TRUE(Jobs.Site.restartWorkerAgent(2));
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, StartsAgainWhenAWorkerIsKilled) {
  JobSite Jobs(plan(2, 4));
  CHECK_TRUE(Jobs.Site.ready());
  const std::string Id = Jobs.submit(0, 3, 4000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.restartWorker(1));
  CHECK_TRUE(Jobs.Site.restartWorker(0));
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, RunsOnWhileTheStoreIsDown) {
  JobSite Jobs(plan(2, 3));
  CHECK_TRUE(Jobs.Site.ready());
  const std::string Long = Jobs.submit(0, 1, 9000);
  const std::string Short = Jobs.submit(0, 1, 3000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Long, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.waitJob(0, Short, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.orderStore("/down"));
  // Longer than the coordinator's lease and the gang's.
  sleepMs(7000);
  const CallResult Refused = Jobs.Site.call(
      0, "POST", "/v1/jobs", gangSpec(1, 1, 100), Deployment::CallerToken);
  STRCMP_EQUAL("not run", Refused.Outcome.c_str());
  // A process that begins meanwhile gets the configuration from its peers.
  CHECK_TRUE(Jobs.Site.restartWorkerAgent(2));
  CHECK_TRUE(Jobs.Site.waitFor([&] {
    const auto Dump = Jobs.Site.state(Jobs.Site.workerAgent(2).value("http"));
    return Dump && Dump->getValue<int>("configuration_version") == 1;
  }));
  CHECK_TRUE(Jobs.Site.orderStore("/up"));
  CHECK_TRUE(Jobs.Site.waitJob(0, Short, wire::DONE));
  CHECK_TRUE(Jobs.Site.waitJob(0, Long, wire::DONE));
  LONGS_EQUAL(1, Jobs.attemptsRun(Long));
  LONGS_EQUAL(1, Jobs.attemptsRun(Short));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, AcceptsNoJobTwiceWhenTheStoreIsSlowAndLosesAnswers) {
  JobSite Jobs(plan(2, 3));
  CHECK_TRUE(Jobs.Site.ready());
  CHECK_TRUE(Jobs.Site.orderStore("/slow?ms=150"));
  CHECK_TRUE(Jobs.Site.orderStore("/lose?count=6"));
  std::map<std::string, std::string> Ids;
  for (int N = 0; N < 6; ++N) {
    const std::string Key = "job-" + std::to_string(N);
    std::string Id;
    CHECK_TRUE(Deployment::waitFor([&] {
      Id = Jobs.Site.submit(N % 2, gangSpec(1, 8, 300), Key);
      return !Id.empty();
    }));
    Ids[Key] = Id;
    STRCMP_EQUAL(
        Id.c_str(),
        Jobs.Site.submit((N + 1) % 2, gangSpec(1, 8, 300), Key).c_str());
  }
  for (const auto &[Key, Id] : Ids) {
    CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::DONE, 60));
    LONGS_EQUAL(1, Jobs.attemptsRun(Id));
  }
}

TEST(JobFault, KeepsGangsWholeWhenHalfOfTheWorkersAreLost) {
  JobSite Jobs(plan(2, 6));
  CHECK_TRUE(Jobs.Site.ready());
  const std::string Large = Jobs.submit(0, 4, 5000);
  const std::string Small = Jobs.submit(0, 2, 5000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Large, wire::JOB_RUNNING));
  for (int I = 0; I < 3; ++I) {
    Jobs.Site.workerAgent(I).kill();
    Jobs.Site.worker(I).kill();
  }
  // Three workers are left, too few for the large gang.
  CHECK_TRUE(Jobs.Site.waitJob(0, Small, wire::DONE, 60));
  for (int I = 0; I < 3; ++I) {
    CHECK_TRUE(Jobs.Site.restartWorker(I));
    CHECK_TRUE(Jobs.Site.restartWorkerAgent(I));
  }
  CHECK_TRUE(Jobs.Site.waitJob(0, Large, wire::DONE, 60));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, CancelsAWaveWhileGangsStart) {
  JobSite Jobs(plan(2, 3));
  CHECK_TRUE(Jobs.Site.ready());
  std::vector<std::string> Ids;
  for (int N = 0; N < 40; ++N)
    Ids.push_back(Jobs.submit(N % 2, 1 + N % 2, 60000));
  std::vector<std::thread> List;
  for (int Lane = 0; Lane < 4; ++Lane)
    List.emplace_back([&, Lane] {
      for (std::size_t N = Lane; N < Ids.size(); N += 4)
        (void)Jobs.Site.call(Lane % 2, "DELETE", "/v1/jobs/" + Ids[N], "",
                             Deployment::CallerToken);
    });
  for (std::thread &Each : List)
    Each.join();
  for (const std::string &Id : Ids)
    CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::CANCELLED));
  const std::string Next = Jobs.submit(0, 3, 500);
  CHECK_TRUE(Jobs.Site.waitJob(0, Next, wire::DONE));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, RunsNothingTwiceWhenTheCoordinatorIsCutFromTheWorkers) {
  DeploymentPlan Plan = plan(2, 3);
  Plan.ProxyEntries = true;
  JobSite Jobs(Plan);
  CHECK_TRUE(Jobs.Site.ready());
  const int Holder = Jobs.Site.coordinator();
  const std::string Id = Jobs.submit(0, 2, 14000, false);
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::JOB_RUNNING));
  // Heartbeats reach only the other entry, for longer than every lease; that
  // entry vouches for the workers, whose gang runs on.
  CHECK_TRUE(Jobs.Site.orderEntryProxy(Holder, "/silence_all"));
  sleepMs(12000);
  CHECK_TRUE(Jobs.Site.orderEntryProxy(Holder, "/silence_all?on=false"));
  CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::DONE, 60));
  LONGS_EQUAL(1, Jobs.attemptsRun(Id));
  STRCMP_EQUAL("", Jobs.broken().c_str());
}

TEST(JobFault, ServesBothRegionsWhenTheyAreCutFromEachOther) {
  JobSite Jobs(twoRegions());
  CHECK_TRUE(Jobs.Site.ready());
  // A gang that may span the regions, and one that must run once at most.
  const std::string Wide = Jobs.submit(0, 2, 9000);
  const std::string Narrow = Jobs.submit(1, 1, 9000);
  const std::string Once = Jobs.submit(1, 1, 9000, false);
  for (const std::string &Id : {Wide, Narrow, Once})
    CHECK_TRUE(Jobs.Site.waitJob(0, Id, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.cutRegions(true));
  sleepMs(LongerThanLeasesMs);
  for (int I = 0; I < 2; ++I)
    CHECK_TRUE(Jobs.Site.waitFor([&] {
      const std::string Body = "cut" + std::to_string(I);
      return Jobs.Site.request(I, Body, true).Body == "answer:" + Body;
    }));
  STRCMP_EQUAL("", Jobs.submit(1, 1, 100).c_str());
  CHECK_TRUE(Deployment::waitFor([&] { return Jobs.Site.coordinator() == 0; }));
  const std::string During = Jobs.submit(0, 1, 500);
  CHECK_TRUE(Jobs.Site.waitJob(0, During, wire::DONE, 60));
  for (const char *Beyond : {"worker-1", "worker-3"})
    for (const std::string &Line : Jobs.Site.journal(Beyond))
      CHECK_TEXT(Line.find(During) == std::string::npos, Line.c_str());
  CHECK_TRUE(Jobs.Site.cutRegions(false));
  for (const std::string &Id : {Wide, Narrow})
    CHECK_TRUE(Jobs.Site.waitJob(1, Id, wire::DONE, 60));
  CHECK_TRUE(Jobs.Site.waitFor([&] {
    const auto State = Jobs.Site.job(1, Once).state();
    return State == wire::DONE || State == wire::JOB_FAILED;
  }));
  LONGS_EQUAL(1, Jobs.attemptsRun(Once));
  STRCMP_EQUAL("", Jobs.broken().c_str());
  LONGS_EQUAL(200, Jobs.Site.apply(1, 1, "", "after").Status);
  CHECK_TRUE(Jobs.Site.waitFor([&] { return Jobs.Site.leastVersion() >= 2; }));
}

TEST(JobFault, FreesItsSideOfAGangThatTheCutBroke) {
  JobSite Jobs(twoRegions());
  CHECK_TRUE(Jobs.Site.ready());
  // Three of four workers: it spans the regions wherever it is put.
  const std::string Wide = Jobs.submit(0, 3, 60000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Wide, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.cutRegions(true));
  sleepMs(LongerThanLeasesMs);
  CHECK_TRUE(Deployment::waitFor([&] { return Jobs.Site.coordinator() == 0; }));
  const std::string During = Jobs.submit(0, 2, 500);
  CHECK_TRUE(Jobs.Site.waitJob(0, During, wire::DONE, 60));
}

TEST(JobFault, ReckonsAGangByTheMemoryThatItIsMeasuredToUse) {
  JobSite Jobs(plan(1, 1));
  CHECK_TRUE(Jobs.Site.ready());
  // It declares nothing and uses all but a little of its worker.
  const std::string Liar = Jobs.Site.submit(
      0, "{\"tasks\":1,\"accelerators_per_task\":1,\"idempotent\":true,"
         "\"payload\":\"work_ms=12000 uses_mb=127000\"}");
  CHECK_TRUE(Jobs.Site.waitJob(0, Liar, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.waitFor([&] {
    const auto Dump = Jobs.Site.state(Jobs.Site.entry(0).value("http"));
    return Dump->getObject("figures")->has("usage_reports");
  }));
  const std::string Modest = Jobs.Site.submit(
      0, gangSpec(1, 1, 100, true, ",\"memory_mb_per_task\":20000"));
  CHECK_TRUE(Jobs.Site.waitJob(0, Modest, wire::DONE));
  CHECK_TRUE(Jobs.Site.job(0, Liar).state() == wire::DONE);
}

TEST(JobFault, ReclaimsAGuaranteeFromABorrower) {
  JobSite Jobs(plan(2, 2));
  CHECK_TRUE(Jobs.Site.ready());
  const CallResult Applied = Jobs.Site.apply(
      0, 1, "    guarantee:\n      - {count: 1, accelerators: 8}\n", "g1");
  LONGS_EQUAL(200, Applied.Status);
  CHECK_TRUE(Jobs.Site.waitFor([&] { return Jobs.Site.leastVersion() >= 2; }));
  // "shed" borrows everything; "other" holds the guarantee.
  const std::string Lent = Jobs.submit(0, 2, 60000);
  CHECK_TRUE(Jobs.Site.waitJob(0, Lent, wire::JOB_RUNNING));
  CHECK_TRUE(Jobs.Site.waitFor([&] {
    const auto Dump = Jobs.Site.state(Jobs.Site.workerAgent(0).value("http"));
    const auto Parts = Dump->getArray("parts");
    return Parts->size() == 1 &&
           Parts->getObject(0)->getValue<int>("progress_ms") > 0;
  }));
  const Instant Asked = monotonicNow();
  const CallResult Claimed = Jobs.Site.call(
      0, "POST", "/v1/jobs", gangSpec(1, 8, 300, true, ",\"urgent\":true"),
      Deployment::OtherToken);
  wire::JobRecord Record;
  CHECK_TRUE(fromJson(Claimed.Body, Record).has_value());
  CHECK_TRUE(Jobs.Site.waitJob(0, Record.id(), wire::DONE));
  // 2.3 s to the start, then 0.3 s of work; the rest is for the machine.
  CHECK_TRUE((monotonicNow() - Asked).count() < 15000);
  CHECK_TRUE(Jobs.Site.job(0, Lent).progress_ms() > 0);
}
