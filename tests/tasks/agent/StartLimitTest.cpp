#include "tasks/agent/StartLimit.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(StartLimit) {
  const BootInstant Sent{Milliseconds(100000)};
  StartLimit Limit;

  static wire::TaskOrders answer(bool Limited, std::uint32_t ForMs) {
    wire::TaskOrders Answer;
    Answer.set_starts_limited(Limited);
    Answer.set_starts_for_ms(ForMs);
    return Answer;
  }
};

// Pattern: an agent that lost its coordinator sends a start that it received
// earlier into a data centre that has been evacuated meanwhile.
TEST(StartLimit, EndsWithThePeriodOfTheAnswer) {
  Limit.apply(answer(true, 4000), Sent);
  CHECK_TRUE(Limit.allows(Sent + Milliseconds(3000)));
  CHECK_FALSE(Limit.allows(Sent + Milliseconds(4000)));
  // The clock of this machine may be slow.
  CHECK_TRUE(Limit.until() <= Sent + Milliseconds(3920));
}

TEST(StartLimit, EndsAtOnceWhenTheDataCentreIsEvacuated) {
  Limit.apply(answer(true, 4000), Sent);
  Limit.apply(answer(true, 0), Sent + Milliseconds(10));
  CHECK_FALSE(Limit.allows(Sent + Milliseconds(20)));
}

// Pattern: an answer that was overtaken cuts the period short.
TEST(StartLimit, KeepsTheLongestPeriod) {
  Limit.apply(answer(true, 4000), Sent + Milliseconds(500));
  Limit.apply(answer(true, 4000), Sent);
  CHECK_TRUE(Limit.allows(Sent + Milliseconds(4100)));
}

// Pattern: the first coordinator that sets a limit follows one that does not,
// and its limit has no effect.
TEST(StartLimit, IsSetAndLiftedByTheCoordinator) {
  CHECK_TRUE(Limit.allows(Sent));
  Limit.apply(answer(false, 0), Sent);
  CHECK_TRUE(Limit.allows(Sent + Milliseconds(1000000)));
  Limit.apply(answer(true, 1000), Sent);
  CHECK_FALSE(Limit.allows(Sent + Milliseconds(1000)));
  Limit.apply(answer(false, 0), Sent);
  CHECK_TRUE(Limit.allows(Sent + Milliseconds(1000)));
}

TEST(StartLimit, ReleasesHeldStartsOnce) {
  Limit.apply(answer(true, 0), Sent);
  Limit.hold({"j.0.0.0", 1});
  LONGS_EQUAL(0, Limit.release(Sent).size());
  Limit.apply(answer(true, 4000), Sent);
  LONGS_EQUAL(1, Limit.release(Sent).size());
  LONGS_EQUAL(0, Limit.release(Sent).size());
}
