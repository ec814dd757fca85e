#include "agent/OutcomeTable.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

wire::ExecuteRequest request(const std::string &Id) {
  wire::ExecuteRequest Request;
  Request.set_workspace("w");
  Request.set_request_id(Id);
  return Request;
}

wire::ExecuteReply answer(const std::string &Body) {
  wire::ExecuteReply Reply;
  Reply.set_body(Body);
  return Reply;
}

constexpr Milliseconds Timeout{2000};

} // namespace

TEST_GROUP(OutcomeTable) {
  OutcomeTable Table{4, 1 << 20};
  wire::ExecuteReply Reply;
  Instant Now = monotonicNow();

  OutcomeTable::Admission begin(const wire::ExecuteRequest &Request,
                                const std::string &Digest = "d") {
    return Table.begin(Request, Digest, monotonicNow() + Timeout, Now, Reply);
  }
  ResultCode code() const { return static_cast<ResultCode>(Reply.code()); }
};

TEST(OutcomeTable, RunsARequestOnceAndRepeatsItsAnswer) {
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("a")));
  Table.finish(request("a"), answer("x"), Now);
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(request("a")));
  STRCMP_EQUAL("x", Reply.body().c_str());
}

TEST(OutcomeTable, WaitsForARunInProgress) {
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("a")));
  std::thread Runner([&] { Table.finish(request("a"), answer("x"), Now); });
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(request("a")));
  Runner.join();
  STRCMP_EQUAL("x", Reply.body().c_str());
}

TEST(OutcomeTable, WithdrawsARequestQueriedBeforeItArrives) {
  wire::ExecuteRequest Query = request("a");
  Query.set_ask_only(true);
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(Query));
  CHECK_TRUE(ResultCode::Withdrawn == code());
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(request("a")));
  CHECK_TRUE(ResultCode::Withdrawn == code());
}

TEST(OutcomeTable, RefusesAKeyUsedForADifferentRequest) {
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("a"), "d1"));
  Table.finish(request("a"), answer("x"), Now);
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(request("a"), "d2"));
  CHECK_TRUE(ResultCode::KeyReused == code());
}

TEST(OutcomeTable, RefusesNewRequestsWhenFullAndDropsOnlyOldEntries) {
  for (const char *Id : {"a", "b", "c", "d"}) {
    CHECK_TRUE(OutcomeTable::Admission::Run == begin(request(Id)));
    Table.finish(request(Id), answer(Id), Now);
  }
  CHECK_TRUE(OutcomeTable::Admission::Replied == begin(request("e")));
  CHECK_TRUE(ResultCode::OutcomeTableFull == code());
  Now += (OutcomeTable::KeptPeriods + 1) * OutcomeTable::Period;
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("e")));
}

TEST(OutcomeTable, AcceptsARequestAgainAfterItDidNotRun) {
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("a")));
  Table.abandon(request("a"));
  CHECK_TRUE(OutcomeTable::Admission::Run == begin(request("a")));
}
