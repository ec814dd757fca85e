#include "entry/MinionPool.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(MinionPool) {
  Settings Options;
  MemberTable Membership;
  MinionPool Pool{Options, Membership};

  void announce(const std::string &Node, std::uint32_t Slots) {
    wire::Heartbeat Message;
    Message.set_node(Node);
    Message.set_kind(wire::MINION);
    Message.set_incarnation(1);
    Message.mutable_minion()->set_service("s");
    Message.mutable_minion()->set_slots(Slots);
    Membership.update(Message, monotonicNow());
    Pool.membersChanged();
  }

  SlotRequest wanted(Milliseconds Timeout) const {
    return {"s", "w", {}, monotonicNow() + Timeout};
  }
};

TEST(MinionPool, WaitsForTheFirstMinionDuringWarmUp) {
  auto Got = std::async(std::launch::async, [&] {
    return Pool.acquire(wanted(Milliseconds(30000)));
  });
  while (Pool.waiting() == 0)
    std::this_thread::yield();
  announce("late", 1);
  const auto Chosen = Got.get();
  CHECK_TRUE(Chosen.has_value());
  STRCMP_EQUAL("late", Chosen->LastHeartbeat.node().c_str());
}

TEST(MinionPool, FailsAtTheDeadlineWhenNoMinionAppears) {
  const auto Refused = Pool.acquire(wanted(Milliseconds(20)));
  CHECK_FALSE(Refused.has_value());
  LONGS_EQUAL(static_cast<long>(ResultCode::DeadlineBeforeStart),
              static_cast<long>(Refused.error().Code));
  LONGS_EQUAL(0, Pool.waiting());
}

TEST(MinionPool, NeverExceedsTheSlotsOfAMinion) {
  announce("one", 1);
  CHECK_TRUE(Pool.acquire(wanted(Milliseconds(20))).has_value());
  CHECK_FALSE(Pool.acquire(wanted(Milliseconds(20))).has_value());
  Pool.release("one", "w", DeliveryResult::Succeeded, Milliseconds(1), -1);
  CHECK_TRUE(Pool.acquire(wanted(Milliseconds(20))).has_value());
}
