#include "coordinator/JobStateMachine.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(JobStateMachine) {
  const StateCharts Charts =
      *StateCharts::load(std::string(SOURCE_FOLDER) + "/charts");
  Metrics Stats;
  const JobStateMachine States{Charts.Job, Stats};
  wire::JobRecord Record;
  GangEnd Lost;

  void setup() override {
    Record.set_state(wire::JOB_RUNNING);
    Lost.Result = GangResult::Lost;
    Lost.MayHaveRun = true;
  }
};

TEST(JobStateMachine, QueuesAnIdempotentJobAgain) {
  Record.mutable_spec()->set_idempotent(true);
  CHECK_TRUE(States.applyGangEnd(Record, Lost));
  LONGS_EQUAL(wire::QUEUED, Record.state());
}

// Guards against a second run of a job that is not idempotent, by a coordinator
// that takes over before the end of the job is stored.
TEST(JobStateMachine, NeverQueuesAJobThatIsNotIdempotentAndMayHaveRun) {
  CHECK_TRUE(States.applyGangEnd(Record, Lost));
  LONGS_EQUAL(wire::JOB_FAILED, Record.state());
  LONGS_EQUAL(ResultCode::JobOutcomeUnknown, Record.code());
  CHECK_TRUE(Record.ended_at_ms() > 0);
}

TEST(JobStateMachine, QueuesAJobThatIsNotIdempotentWithItsCheckpoint) {
  Lost.Checkpointed = true;
  CHECK_TRUE(States.applyGangEnd(Record, Lost));
  LONGS_EQUAL(wire::QUEUED, Record.state());
}

TEST(JobStateMachine, QueuesACancelledJobUntilItsCancellationIsStored) {
  Record.set_cancel_requested(true);
  CHECK_TRUE(States.applyGangEnd(Record, Lost));
  LONGS_EQUAL(wire::QUEUED, Record.state());
}

// Guards against an attempt that ends twice, because the coordinator that takes
// over after its end was stored hears of it again.
TEST(JobStateMachine, AppliesTheEndOfAnAttemptOnce) {
  Record.mutable_spec()->set_idempotent(true);
  CHECK_TRUE(States.applyGangEnd(Record, Lost));
  const std::string Stored = Record.SerializeAsString();
  CHECK_FALSE(States.applyGangEnd(Record, Lost));
  STRCMP_EQUAL(Stored.c_str(), Record.SerializeAsString().c_str());
}
