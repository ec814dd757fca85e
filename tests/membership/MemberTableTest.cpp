#include "membership/MemberTable.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(MemberTable) {
  MemberTable Table;
  Instant Now{Milliseconds(100000)};

  bool receive(std::uint64_t Incarnation, const std::string &Address) {
    wire::Heartbeat Heartbeat;
    Heartbeat.set_node("n");
    Heartbeat.set_kind(wire::MINION);
    Heartbeat.set_incarnation(Incarnation);
    Heartbeat.set_rpc_address(Address);
    return Table.update(Heartbeat, Now);
  }
};

TEST(MemberTable, RefusesADelayedHeartbeatOfAnEarlierIncarnation) {
  CHECK_TRUE(receive(2, "new"));
  CHECK_FALSE(receive(1, "old"));
  MemberRecord Known;
  CHECK_TRUE(Table.find(NodeId("n"), Known));
  STRCMP_EQUAL("new", Known.LastHeartbeat.rpc_address().c_str());
}

TEST(MemberTable, OmitsMembersWhoseHeartbeatTimedOut) {
  receive(1, "a");
  const Milliseconds Timeout(500);
  LONGS_EQUAL(1, Table.alive(wire::MINION, Timeout, Now + Timeout).size());
  LONGS_EQUAL(
      0, Table.alive(wire::MINION, Timeout, Now + Timeout + Milliseconds(1))
             .size());
  LONGS_EQUAL(0, Table.alive(wire::WORKER, Timeout, Now).size());
}

TEST(MemberTable, RemovesStaleMembers) {
  receive(1, "a");
  Table.removeStale(Milliseconds(10), Now + Milliseconds(11));
  LONGS_EQUAL(0, Table.all().size());
}
