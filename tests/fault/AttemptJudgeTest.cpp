// The judge of attempts in the soak: what it reports as BUDGET and as LOST.

#include "AttemptJudge.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove::testing;

TEST_GROUP(AttemptJudge) {
  const std::string Job = "1000000000000001";
  const std::string Task = Job + ".0.0.0";
  const std::string Other = Job + ".0.0.1";
  RunJudge Reports;
  AttemptJudge Judge{Reports};

  void fail(const SeenRun &Run) {
    Judge.noteStart(Run);
    Judge.noteAcknowledged(Run, Judge.noteFailed(Run));
  }
  std::size_t reports() const { return Reports.violations().size(); }
};

// Guards against a start beyond the attempts that is not reported, though it
// was carried out late, or the last end was acknowledged only afterwards.
TEST(AttemptJudge, ReportsStartsBeyondTheAttempts) {
  Judge.allow(Job, 2);
  fail({Task, 1, "w1", false, false});
  const SeenRun Second{Task, 2, "w2", false, false};
  Judge.noteStart(Second);
  const auto FailedAt = Judge.noteFailed(Second);
  Judge.noteStart({Task, 3, "w3", false, true});
  CHECK_EQUAL(0, reports());
  Judge.noteAcknowledged(Second, FailedAt);
  CHECK_EQUAL(1, reports());
  Judge.noteStart({Task, 4, "w3", false, false});
  CHECK_EQUAL(2, reports());
}

// Guards against a false alarm after one run with ends on two workers, after
// ends that were never acknowledged, and after those of other members.
TEST(AttemptJudge, CountsAcknowledgedRunsOfOneTask) {
  Judge.allow(Job, 2);
  fail({Task, 1, "w1", true, false});
  fail({Task, 1, "w2", true, false});
  fail({Other, 2, "w1", true, false});
  Judge.noteFailed({Task, 3, "w1", true, false});
  Judge.noteStart({Task, 4, "w1", true, false});
  CHECK_EQUAL(0, reports());
}

// Guards against a job that is shown as failed after one run of a gang in which
// all members failed.
TEST(AttemptJudge, ReportsAJobThatFailsAfterOneRunOfItsGang) {
  Judge.allow(Job, 2);
  fail({Task, 1, "w1", true, false});
  fail({Other, 1, "w2", true, false});
  CHECK_FALSE(Judge.hasCause(Job));
  Judge.noteGivenUp(Job, "failed");
  CHECK_EQUAL(1, reports());
  CHECK_FALSE(Judge.hasFailed(Job));
}

// Guards against a false alarm when members of a gang fail in different runs.
TEST(AttemptJudge, AcceptsAJobWhoseGangHasNoAttemptsLeft) {
  Judge.allow(Job, 2);
  fail({Task, 1, "w1", true, false});
  fail({Other, 2, "w2", true, false});
  Judge.noteGivenUp(Job, "failed");
  CHECK_EQUAL(0, reports());
  CHECK_TRUE(Judge.hasFailed(Job));
}

// Guards against a cancelling that nobody asked for, and against counting jobs
// that were given up after crashes as ended.
TEST(AttemptJudge, TellsCrashesFromFailedRuns) {
  Judge.allow(Job, 2);
  for (const char *Worker : {"w1", "w2", "w3"})
    Judge.noteCrash({Task, 1, Worker, false, false});
  Judge.noteGivenUp(Job, "failed");
  CHECK_EQUAL(0, reports());
  CHECK_FALSE(Judge.hasFailed(Job));
  const std::string Cancelled = "1000000000000002";
  Judge.noteGivenUp(Cancelled, "canceled");
  CHECK_EQUAL(1, reports());
}
