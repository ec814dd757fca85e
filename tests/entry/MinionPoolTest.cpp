#include "entry/MinionPool.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(MinionPool) {
  Settings Of;
  Members Known;
  MinionPool Pool{Of, Known};

  void announce(const std::string &Node, std::uint32_t Slots) {
    wire::Heartbeat Beat;
    Beat.set_node(Node);
    Beat.set_kind(wire::MINION);
    Beat.set_incarnation(1);
    Beat.mutable_minion()->set_service("s");
    Beat.mutable_minion()->set_slots(Slots);
    Known.hear(Beat, monotonicNow());
    Pool.membersChanged();
  }

  SlotRequest wanted(Milliseconds Patience) const {
    return {"s", "w", {}, monotonicNow() + Patience};
  }
};

TEST(MinionPool, WaitsForTheFirstMinionOfAnEntryThatHasJustBegun) {
  auto Got = std::async(std::launch::async, [&] {
    return Pool.acquire(wanted(Milliseconds(30000)));
  });
  while (Pool.waiting() == 0)
    std::this_thread::yield();
  announce("late", 1);
  const auto Chosen = Got.get();
  CHECK_TRUE(Chosen.has_value());
  STRCMP_EQUAL("late", Chosen->Beat.node().c_str());
}

TEST(MinionPool, RefusesAtTheDeadlineWhenNoMinionComes) {
  const auto Refused = Pool.acquire(wanted(Milliseconds(20)));
  CHECK_FALSE(Refused.has_value());
  LONGS_EQUAL(static_cast<long>(ResultCode::DeadlineBeforeStart),
              static_cast<long>(Refused.error().Code));
  LONGS_EQUAL(0, Pool.waiting());
}

TEST(MinionPool, NeverSendsMoreThanTheSlots) {
  announce("one", 1);
  CHECK_TRUE(Pool.acquire(wanted(Milliseconds(20))).has_value());
  CHECK_FALSE(Pool.acquire(wanted(Milliseconds(20))).has_value());
  Pool.release("one", "w", DeliveryMark::Good, Milliseconds(1), -1);
  CHECK_TRUE(Pool.acquire(wanted(Milliseconds(20))).has_value());
}
