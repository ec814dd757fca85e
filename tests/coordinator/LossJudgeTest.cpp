#include "coordinator/LossJudge.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(LossJudge) {
  LossTimes Times{Milliseconds(6000), Milliseconds(60000), Milliseconds(2500)};
  LossJudge Judge{Times};
  Instant Now{Milliseconds(1000000)};

  wire::Heartbeat entry(const std::string &Node, int HeardAgeMs) {
    wire::Heartbeat Beat;
    Beat.set_node(Node);
    auto *Heard = Beat.add_heard_workers();
    Heard->set_node("w");
    Heard->set_age_ms(static_cast<std::uint64_t>(HeardAgeMs));
    return Beat;
  }
};

TEST(LossJudge, HoldsAWorkerForGoneThatNoEntryHears) {
  Judge.begin({}, Now);
  const Instant Later = Now + Milliseconds(7000);
  CHECK_FALSE(Judge.isGone("w", Later - Milliseconds(100), Later));
  CHECK_TRUE(Judge.isGone("w", Now, Later));
}

TEST(LossJudge, WaitsAfterItBeganBecauseItHasHeardNothingYet) {
  Judge.begin({}, Now);
  CHECK_FALSE(Judge.isGone("w", Instant(), Now + Milliseconds(5999)));
}

TEST(LossJudge, BelievesAnotherEntryThatHearsTheWorker) {
  Judge.begin({"e2"}, Now);
  const Instant Later = Now + Milliseconds(7000);
  Judge.hearEntry(entry("e2", 300), Later);
  CHECK_FALSE(Judge.isGone("w", Now, Later));
  Judge.hearEntry(entry("e2", 6500), Later);
  CHECK_TRUE(Judge.isGone("w", Now, Later));
}

TEST(LossJudge, WaitsForAnEntryThatIsOutOfReach) {
  Judge.begin({"e2"}, Now);
  CHECK_FALSE(Judge.isGone("w", Now, Now + Milliseconds(30000)));
  const Instant Late = Now + Milliseconds(70000);
  for (const std::string &Entry : Judge.expired(Late))
    Judge.forget(Entry);
  CHECK_TRUE(Judge.isGone("w", Now, Late));
}

TEST(LossJudge, CountsAnEntryNoMoreThatTookLeave) {
  Judge.begin({"e2"}, Now);
  wire::Heartbeat Leave = entry("e2", 100);
  Leave.set_leaving(true);
  Judge.hearEntry(Leave, Now);
  CHECK_TRUE(Judge.isGone("w", Now, Now + Milliseconds(7000)));
}
