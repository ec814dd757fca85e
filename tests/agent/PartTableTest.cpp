#include "agent/PartTable.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr Milliseconds Lease{5000};

wire::ReserveRequest reserve(std::uint64_t CoordinatorEpoch,
                             const std::string &Job,
                             std::uint32_t Accelerators) {
  wire::ReserveRequest Request;
  Request.set_epoch(CoordinatorEpoch);
  Request.set_job(Job);
  Request.set_attempt(1);
  Request.set_tasks(1);
  Request.set_accelerators_per_task(Accelerators);
  Request.set_ttl_ms(1000);
  return Request;
}

wire::StartRequest start(std::uint64_t CoordinatorEpoch,
                         const std::string &Job) {
  wire::StartRequest Request;
  Request.set_epoch(CoordinatorEpoch);
  Request.set_job(Job);
  Request.set_attempt(1);
  Request.add_members()->set_node("me");
  return Request;
}

} // namespace

TEST_GROUP(PartTable) {
  StateCharts Charts =
      *StateCharts::load(std::string(SOURCE_FOLDER) + "/charts");
  PartTable Table{{8, 30, 1000}, Lease, Charts.Task};
  Instant Now{Milliseconds(100000)};

  ResultCode reserved(std::uint64_t CoordinatorEpoch, const std::string &Job,
                      std::uint32_t Accelerators) {
    const auto Done =
        Table.reserve(reserve(CoordinatorEpoch, Job, Accelerators), Now);
    return Done ? ResultCode::Ok : Done.error().Code;
  }
  ResultCode armed(std::uint64_t CoordinatorEpoch, const std::string &Job) {
    const auto Done =
        Table.arm(start(CoordinatorEpoch, Job), NodeId("me"), Now);
    return Done ? ResultCode::Ok : Done.error().Code;
  }
  bool renewed(const std::string &Job, Instant LatestExpiry) {
    return Table.renew(JobId(Job), Attempt(1), Now, LatestExpiry).has_value();
  }
};

TEST(PartTable, RefusesCommandsOfAnOlderEpoch) {
  CHECK_TRUE(ResultCode::Ok == reserved(5, "a", 4));
  CHECK_TRUE(ResultCode::StaleEpoch == reserved(4, "b", 4));
  CHECK_TRUE(ResultCode::StaleEpoch == armed(4, "a"));
  CHECK_TRUE(ResultCode::Ok == armed(5, "a"));
}

TEST(PartTable, ReservesNoMoreThanTheWorkerHas) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 6));
  CHECK_TRUE(ResultCode::NoCapacity == reserved(1, "b", 3));
  CHECK_TRUE(ResultCode::Ok == reserved(1, "c", 2));
}

TEST(PartTable, DropsAReservationThatExpired) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 8));
  Now += Milliseconds(1001);
  LONGS_EQUAL(0, Table.expireLeases(Now).size());
  CHECK_TRUE(ResultCode::UnknownGang == armed(1, "a"));
  CHECK_TRUE(ResultCode::Ok == reserved(1, "b", 8));
}

TEST(PartTable, EndsARunningPartWhoseLeaseExpired) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 8));
  CHECK_TRUE(ResultCode::Ok == armed(1, "a"));
  PartRecord *Part = Table.find(JobId("a"), Attempt(1));
  CHECK_TRUE(Table.transition(*Part, "go", Now).has_value());
  Now += Lease + Milliseconds(1);
  CHECK_FALSE(renewed("a", Now + Lease));
  LONGS_EQUAL(1, Table.expireLeases(Now).size());
  LONGS_EQUAL(wire::LOST, Part->Phase);
}

TEST(PartTable, RenewsNoLeaseBeyondTheLatestExpiry) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 8));
  CHECK_TRUE(ResultCode::Ok == armed(1, "a"));
  const Instant LatestExpiry = Now + Milliseconds(700);
  CHECK_TRUE(renewed("a", LatestExpiry));
  CHECK_TRUE(LatestExpiry == Table.find(JobId("a"), Attempt(1))->ExpiresAt);
  CHECK_FALSE(renewed("a", Now - Milliseconds(1)));
}

TEST(PartTable, CountsEventsThatTheChartRefuses) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 8));
  PartRecord *Part = Table.find(JobId("a"), Attempt(1));
  const auto Moved = Table.transition(*Part, "succeed", Now);
  CHECK_TRUE(ResultCode::EventNotAllowed == Moved.error().Code);
  LONGS_EQUAL(1, Table.refusedEvents());
  LONGS_EQUAL(wire::RESERVED, Part->Phase);
}

TEST(PartTable, LosesTasksThatTheWorkerDoesNotReport) {
  CHECK_TRUE(ResultCode::Ok == reserved(1, "a", 8));
  CHECK_TRUE(ResultCode::Ok == armed(1, "a"));
  PartRecord *Part = Table.find(JobId("a"), Attempt(1));
  CHECK_TRUE(Table.transition(*Part, "go", Now).has_value());
  CHECK_FALSE(Table.applyReport({}, Now));
  CHECK_TRUE(Table.applyReport({}, Now + Milliseconds(2000)));
  LONGS_EQUAL(wire::LOST, Part->Phase);
}
