#include "tasks/agent/WorkerCandidates.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerCandidates) {
  WorkerCandidates Candidates;
  BootInstant Now{Milliseconds(1000)};

  static WorkerHeartbeat heartbeat(const std::string &Id,
                                   std::int64_t Sequence) {
    WorkerHeartbeat Heartbeat;
    Heartbeat.Id = Id;
    Heartbeat.StartedAtMs = 7;
    Heartbeat.Sequence = Sequence;
    Heartbeat.Service = ServiceName("planner");
    Heartbeat.Address = "10.0.0.1:8080";
    return Heartbeat;
  }

  void nameServices(const std::vector<std::string> &Names) {
    wire::TaskOrders Answer;
    Answer.mutable_services()->set_known(true);
    for (const std::string &Name : Names)
      Answer.mutable_services()->add_names(Name);
    Candidates.applyServices(Answer);
  }
};

TEST(WorkerCandidates, AreNotDueBeforeTheirServiceIsNamed) {
  Candidates.add(heartbeat("i-1", 1), Now);
  LONGS_EQUAL(0, Candidates.due(Now).size());
  nameServices({"other"});
  LONGS_EQUAL(0, Candidates.due(Now).size());
  nameServices({"other", "planner"});
  LONGS_EQUAL(1, Candidates.due(Now).size());
}

TEST(WorkerCandidates, KeepTheNewestHeartbeat) {
  nameServices({"planner"});
  Candidates.add(heartbeat("i-1", 2), Now);
  WorkerHeartbeat Draining = heartbeat("i-1", 3);
  Draining.Draining = true;
  Candidates.add(Draining, Now);
  Candidates.add(heartbeat("i-1", 1), Now);
  LONGS_EQUAL(1, Candidates.size());
  CHECK_TRUE(Candidates.take(Candidates.due(Now)[0]).Heartbeat.Draining);
  LONGS_EQUAL(0, Candidates.size());
}

// Guards against a worker whose heartbeats are ignored because another writer
// has announced its incarnation with a higher sequence number.
TEST(WorkerCandidates, AreToldApartByServiceAndAddress) {
  nameServices({"planner"});
  WorkerHeartbeat Other = heartbeat("i-1", 1000);
  Other.Service = ServiceName("unknown");
  Candidates.add(Other, Now);
  Other = heartbeat("i-1", 1000);
  Other.Address = "10.0.0.1:1";
  Candidates.add(Other, Now);
  Candidates.add(heartbeat("i-1", 1), Now);
  LONGS_EQUAL(3, Candidates.size());
  LONGS_EQUAL(2, Candidates.due(Now).size());
}

TEST(WorkerCandidates, AreForgottenWithoutFurtherHeartbeats) {
  nameServices({"planner"});
  Candidates.add(heartbeat("i-1", 1), Now);
  LONGS_EQUAL(1, Candidates.due(Now + WorkerCandidates::Timeout).size());
  LONGS_EQUAL(
      0,
      Candidates.due(Now + WorkerCandidates::Timeout + Milliseconds(1)).size());
  LONGS_EQUAL(0, Candidates.size());
}

TEST(WorkerCandidates, AreBoundedAndKeepTheOnesHeardOfLast) {
  nameServices({"planner"});
  Candidates.add(heartbeat("i-0", 1), Now);
  for (std::size_t N = 1; N <= WorkerCandidates::MaxCandidates; ++N)
    Candidates.add(heartbeat("i-" + std::to_string(N), 1),
                   Now + Milliseconds(1));
  LONGS_EQUAL(WorkerCandidates::MaxCandidates, Candidates.size());
  STRCMP_EQUAL("i-1", Candidates.due(Now)[0].Heartbeat.Id.c_str());
}

TEST(WorkerCandidates, KeepTheServicesWhileACoordinatorKnowsNone) {
  nameServices({"planner"});
  wire::TaskOrders Answer;
  Answer.mutable_services();
  Candidates.applyServices(Answer);
  Candidates.add(heartbeat("i-1", 1), Now);
  LONGS_EQUAL(1, Candidates.due(Now).size());
}

TEST(WorkerCandidates, RecognizeAddressesOfTheirHost) {
  CHECK_TRUE(isOnHost("10.0.0.1:8080", "10.0.0.1"));
  for (const char *Address :
       {"10.0.0.2:8080", "[::1]:8080", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
        "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", ""})
    CHECK_FALSE(isOnHost(Address, "10.0.0.1"));
  CHECK_FALSE(isOnHost(":8080", ""));
}
