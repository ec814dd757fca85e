#include "JobDeployment.h"
#include "cli/CtlCommand.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

TEST_GROUP(EvacuationFault) {
  static DeploymentOptions options() {
    DeploymentOptions Options;
    Options.Entries = 2;
    Options.Workers = 4;
    Options.DataCentres = 2;
    return Options;
  }

  JobDeployment Jobs{options()};

  int evacuation(int Entry, const std::string &Method) {
    return Jobs.Cluster
        .call(Entry, Method, "/v1/data-centres/a-1/evacuation", "")
        .Status;
  }

  bool isEvacuated(int Entry) {
    const auto Dump = Jobs.Cluster.state(Jobs.Cluster.entryHttpAddress(Entry));
    return Dump && Dump->getArray("evacuated_data_centres")->size() == 1;
  }
};

// Pattern: gangs start in a data centre that the operators have evacuated, also
// after the coordinator was replaced, and those that run there stay.
TEST(EvacuationFault, MovesGangsOutAndStartsNoneUntilTheRestore) {
  CHECK_TRUE(Jobs.Cluster.ready());
  const std::string First = Jobs.submit(0, 4, 6000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, First, wire::JOB_RUNNING));
  LONGS_EQUAL(200, evacuation(0, "PUT"));
  LONGS_EQUAL(200, evacuation(1, "PUT"));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] { return isEvacuated(1); }));
  // The gang is stopped by checkpoint; it does not fit on the other workers.
  CHECK_TRUE(Jobs.Cluster.waitForJob(0, First, wire::QUEUED));
  const int Coordinator = Jobs.Cluster.coordinator();
  CHECK_TRUE(Coordinator >= 0);
  CHECK_TRUE(Jobs.Cluster.restartEntry(Coordinator));
  const std::size_t Before = Jobs.partRuns().size();
  const std::string Second = Jobs.submit(1 - Coordinator, 2, 1000);
  CHECK_TRUE(Jobs.Cluster.waitForJob(1 - Coordinator, Second, wire::DONE));
  LONGS_EQUAL(Before + 2, Jobs.partRuns().size());
  LONGS_EQUAL(200, evacuation(1 - Coordinator, "DELETE"));
  CHECK_TRUE(Jobs.Cluster.waitForJob(1 - Coordinator, First, wire::DONE));
  STRCMP_EQUAL("", Jobs.firstViolation().c_str());
}

// Pattern: a caller closes a data centre.
TEST(EvacuationFault, IsReservedForOperators) {
  CHECK_TRUE(Jobs.Cluster.ready());
  LONGS_EQUAL(403, Jobs.Cluster
                       .call(0, "PUT", "/v1/data-centres/a-1/evacuation", "",
                             Deployment::CallerToken)
                       .Status);
  LONGS_EQUAL(400,
              Jobs.Cluster.call(0, "PUT", "/v1/data-centres/a$1/evacuation", "")
                  .Status);
  LONGS_EQUAL(200, evacuation(0, "GET"));
  CHECK_FALSE(isEvacuated(0));
}

// Pattern: the command line and the entry disagree on a path or a field.
TEST(EvacuationFault, IsOperatedByCommands) {
  CHECK_TRUE(Jobs.Cluster.ready());
  CtlOptions Options;
  Options.Entries = {Jobs.Cluster.entryHttpAddress(0)};
  Options.Token = Deployment::OperatorToken;
  std::ostringstream Out;
  CtlCommand Command(Options, Out, Out);
  CHECK(CtlExit::Ok == Command.run({"data-centre", "evacuate", "a-2"}));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] { return isEvacuated(0); }));
  Out.str("");
  CHECK(CtlExit::Ok == Command.run({"data-centre", "list"}));
  STRCMP_CONTAINS("a-1", Out.str().c_str());
  STRCMP_CONTAINS("true", Out.str().c_str());
  CHECK(CtlExit::Ok == Command.run({"data-centre", "restore", "a-2"}));
  CHECK_TRUE(Jobs.Cluster.waitFor([&] { return !isEvacuated(0); }));
}
