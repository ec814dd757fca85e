#include "tasks/planning/WorkerQuarantine.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(WorkerQuarantine) {
  WorkerQuarantine Quarantine;
  const NodeId Node{"n"};
  const JobId Job{"j"};
  const JobId Other{"k"};
  BootInstant Now{Milliseconds(100000)};

  /// Lets \p Ends tasks of run \p Run of a unit end failed on the worker.
  void fail(const JobId &Failed, std::size_t Unit, std::uint64_t Run,
            int Ends = 1) {
    for (int End = 0; End < Ends; ++End)
      Quarantine.noteFailure(Node, {Failed, Unit, Run}, Now);
  }

  void expectQuarantineOf(int Ms) {
    CHECK_TRUE(Quarantine.isQuarantined(Node, Now + Milliseconds(Ms - 1)));
    CHECK_FALSE(Quarantine.isQuarantined(Node, Now + Milliseconds(Ms)));
  }
};

TEST(WorkerQuarantine, BeginsWithTheSecondJobThatFailsInARow) {
  fail(Job, 0, 1);
  fail(Job, 0, 2);
  CHECK_FALSE(Quarantine.isQuarantined(Node, Now));
  fail(Other, 0, 1);
  expectQuarantineOf(2500);
}

TEST(WorkerQuarantine, DoublesWithEachRunThatFailsUpToALimit) {
  fail(Job, 0, 1);
  fail(Other, 0, 1);
  expectQuarantineOf(2500);
  fail(Other, 0, 2);
  expectQuarantineOf(5000);
  // Another unit of the same job.
  fail(Other, 1, 2);
  expectQuarantineOf(10000);
  fail(Job, 0, 2);
  expectQuarantineOf(10000);
}

// Guards against a worker that is excluded for 10 instead of 2.5 s because
// several members of one run of a gang failed on it.
TEST(WorkerQuarantine, CountsARunWhoseMembersFailOnOneWorkerOnce) {
  fail(Job, 0, 1);
  fail(Other, 0, 1, 4);
  expectQuarantineOf(2500);
  fail(Other, 0, 2, 4);
  expectQuarantineOf(5000);
}

TEST(WorkerQuarantine, IsEndedByASuccess) {
  fail(Job, 0, 1);
  fail(Other, 0, 1);
  Quarantine.noteSuccess(Node);
  CHECK_FALSE(Quarantine.isQuarantined(Node, Now));
  fail(Job, 0, 2);
  CHECK_FALSE(Quarantine.isQuarantined(Node, Now));
  CHECK_EQUAL(1, Quarantine.nodesFailedBy(Job).size());
  CHECK_TRUE(Quarantine.nodesFailedBy(Other).empty());
}
