// The judge of what entries tell of jobs in the soak: what it reports as MIXED.

#include "JobStateJudge.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

TEST_GROUP(JobStateJudge) {
  const std::string Job = "1000000000000001";
  const Instant Start{Milliseconds(100000)};
  const Question Later{"e1", Start + Milliseconds(5001), true};
  RunJudge Reports;
  JobStateJudge Judge{Reports};

  void setup() override {
    Judge.noteSubmitted(Job, "q");
    Judge.noteAccepted(Job, Start);
  }
  std::size_t reports() const { return Reports.violations().size(); }
};

// Guards against a soak that takes a placed job for a begun one, as the entries
// did.
TEST(JobStateJudge, ReportsAJobThatNoWorkerHasBegun) {
  Judge.noteState(Later, Job, "pending", true, false);
  CHECK_EQUAL(0, reports());
  Judge.noteState(Later, Job, "running", false, false);
  CHECK_EQUAL(1, reports());
  Judge.noteBegun(Job);
  Judge.noteState({"e2", Start, false}, Job, "running", false, false);
  CHECK_EQUAL(1, reports());
  Judge.noteState(Later, Job, "pending", false, false);
  CHECK_EQUAL(2, reports());
}

// Guards against a job that is told as pending long after its begin; before a
// run was listed or its end acknowledged nobody can know of it.
TEST(JobStateJudge, ReportsABeginThatIsNotShown) {
  Judge.noteBegun(Job);
  Judge.noteState(Later, Job, "pending", true, false);
  Judge.noteState(Later, Job, "pending", false, true);
  CHECK_EQUAL(0, reports());
  Judge.noteState(Later, Job, "pending", true, true);
  CHECK_EQUAL(1, reports());
  Judge.noteAcknowledged(Job, Start);
  Judge.noteState(Later, Job, "pending", true, false);
  CHECK_EQUAL(2, reports());
}

// Guards against a count that leaves out more than half of the waiting jobs.
TEST(JobStateJudge, ReportsACountThatIsTooLow) {
  Judge.noteWaiting({"e1", Later.AskedAt, false}, "q", 0, false, {});
  Judge.noteWaiting({"e1", Start + Milliseconds(4999), true}, "q", 0, false,
                    {});
  Judge.noteWaiting(Later, "other", 0, false, {});
  Judge.noteWaiting(Later, "q", 1, false, {});
  CHECK_EQUAL(0, reports());
  Judge.noteWaiting(Later, "q", 0, false, {});
  CHECK_EQUAL(1, reports());
  Judge.noteBegun(Job);
  Judge.noteWaiting(Later, "q", 0, false, {});
  CHECK_EQUAL(1, reports());
}

// Guards against a count that holds jobs which began long ago.
TEST(JobStateJudge, ReportsACountThatIsTooHigh) {
  Judge.noteBegun(Job);
  Judge.noteWaiting(Later, "q", 1, true, {});
  Judge.noteWaiting(Later, "q", 1, false, {Job});
  CHECK_EQUAL(0, reports());
  Judge.noteWaiting(Later, "q", 1, true, {Job});
  CHECK_EQUAL(1, reports());
  Judge.noteAcknowledged(Job, Start);
  Judge.noteWaiting(Later, "q", 1, true, {});
  CHECK_EQUAL(2, reports());
}
