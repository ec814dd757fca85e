#include "membership/Members.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(Members) {
  Members Table;
  Instant Now{Milliseconds(100000)};

  bool hear(std::uint64_t Life, const std::string &Address) {
    wire::Heartbeat Beat;
    Beat.set_node("n");
    Beat.set_kind(wire::MINION);
    Beat.set_incarnation(Life);
    Beat.set_rpc_address(Address);
    return Table.hear(Beat, Now);
  }
};

TEST(Members, RefusesALateMessageOfAnEarlierLife) {
  CHECK_TRUE(hear(2, "new"));
  CHECK_FALSE(hear(1, "old"));
  MemberRecord Known;
  CHECK_TRUE(Table.find(NodeId("n"), Known));
  STRCMP_EQUAL("new", Known.Beat.rpc_address().c_str());
}

TEST(Members, LeavesOutTheSilent) {
  hear(1, "a");
  const Milliseconds Silence(500);
  LONGS_EQUAL(1, Table.alive(wire::MINION, Silence, Now + Silence).size());
  LONGS_EQUAL(
      0, Table.alive(wire::MINION, Silence, Now + Silence + Milliseconds(1))
             .size());
  LONGS_EQUAL(0, Table.alive(wire::WORKER, Silence, Now).size());
}

TEST(Members, ForgetsAfterLongSilence) {
  hear(1, "a");
  Table.forgetSilent(Milliseconds(10), Now + Milliseconds(11));
  LONGS_EQUAL(0, Table.all().size());
}
