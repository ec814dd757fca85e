#include "tasks/agent/WorkerLiveness.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerLiveness) {
  WorkerLiveness Liveness;
  BootInstant Now{Milliseconds(100000)};

  void refuseFor(int Ms) {
    Liveness.noteRefusal(Now);
    Now += Milliseconds(Ms);
    Liveness.noteRefusal(Now);
  }
};

TEST(WorkerLiveness, AnswersUntilACallFails) {
  CHECK_TRUE(Liveness.answers());
  Liveness.noteSilence();
  CHECK_FALSE(Liveness.answers());
  Liveness.noteAnswer();
  CHECK_TRUE(Liveness.answers());
}

// Pattern: a worker crashes and does not return.
TEST(WorkerLiveness, HasEndedAfterRefusalsOnly) {
  refuseFor(500);
  CHECK_FALSE(Liveness.hasEnded(Now));
  refuseFor(200);
  CHECK_TRUE(Liveness.hasEnded(Now));
}

// Pattern: a worker is stopped for seconds and then continues its runs.
TEST(WorkerLiveness, NeverEndsBySilence) {
  for (int I = 0; I < 100; ++I) {
    Liveness.noteSilence();
    Now += Milliseconds(1000);
  }
  CHECK_FALSE(Liveness.hasEnded(Now));
}

// Pattern: a worker goes down and up by turns.
TEST(WorkerLiveness, StartsOverAfterAnAnswer) {
  for (int I = 0; I < 10; ++I) {
    refuseFor(500);
    CHECK_FALSE(Liveness.hasEnded(Now));
    Liveness.noteAnswer();
  }
}

TEST(WorkerLiveness, StartsOverAfterSilence) {
  refuseFor(500);
  Liveness.noteSilence();
  refuseFor(500);
  CHECK_FALSE(Liveness.hasEnded(Now));
}
