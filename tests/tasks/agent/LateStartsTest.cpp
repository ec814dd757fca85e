#include "tasks/agent/LateStarts.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(LateStarts) {
  LateStarts Late;
  const RunId First{"j.0.0.0", 1};
  const RunId Second{"j.0.0.1", 1};
  BootInstant Now{Milliseconds(1000)};
};

TEST(LateStarts, ReachAWorkerUnderTheSameIdOnly) {
  Late.addUnanswered("i-1", First, Now);
  LONGS_EQUAL(1, Late.reaching("i-1", Now).count(First));
  LONGS_EQUAL(0, Late.reaching("i-2", Now).size());
  LONGS_EQUAL(1, Late.reaching("i-1", Now).size());
}

TEST(LateStarts, ReachAnyWorkerIfTheCoordinatorNamesThem) {
  Late.addNamed(Second, Now);
  LONGS_EQUAL(1, Late.reaching("i-1", Now).count(Second));
  CHECK_FALSE(Late.isUnanswered(Second, Now));
}

TEST(LateStarts, AreForgottenOnceTheyCannotBeCarriedOut) {
  Late.addUnanswered("i-1", First, Now);
  CHECK_TRUE(Late.isUnanswered(First, Now + LateStarts::Timeout));
  Now += LateStarts::Timeout + Milliseconds(1);
  CHECK_FALSE(Late.isUnanswered(First, Now));
  LONGS_EQUAL(0, Late.reaching("i-1", Now).size());
}
