#include "tasks/intake/JobIntake.h"
#include "FakeKv.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(JobIntake) {
  FakeKv Kv;
  JobCatalog Catalog{nullptr};
  JobIntake Intake{Kv, Catalog};
  const JobId Id{"00000000000000aa"};

  wire::TaskJobSpec spec() {
    wire::TaskJobSpec Spec;
    Spec.set_id(Id.str());
    Spec.set_queue("q");
    return Spec;
  }

  void setProgress(bool Completed) {
    wire::TaskJobProgress Progress;
    Progress.set_completed(Completed);
    Kv.put(keys::progress(Id), Progress.SerializeAsString());
  }
};

TEST(JobIntake, StoresAJobBeforeItIsAccepted) {
  CHECK_TRUE(Intake.accept(spec()).has_value());
  CHECK(!Kv.value(keys::job(Id)).empty());
  CHECK(JobStatus::Pending == *Intake.status(Id));
}

// Guards against a job whose progress does not fit into a transaction of the
// store: it would be accepted and never run.
TEST(JobIntake, RefusesAJobThatCanNeverBeHeld) {
  wire::TaskJobSpec Large = spec();
  Large.add_steps()->set_count(1000);
  Large.set_repeat_count(11);
  const auto Refused = Intake.accept(Large);
  CHECK_FALSE(Refused.has_value());
  CHECK(ResultCode::JobTooLarge == Refused.error().Code);
  CHECK(Outcome::NotRun == resultInfo(Refused.error().Code).RunOutcome);
  STRCMP_EQUAL("", Kv.value(keys::job(Id)).c_str());
  Large.set_repeat_count(10);
  CHECK_TRUE(Intake.accept(Large).has_value());
}

TEST(JobIntake, AcceptsADuplicateIdWithoutASecondJob) {
  JobCatalog Other{nullptr};
  JobIntake OtherIntake{Kv, Other};
  CHECK_TRUE(OtherIntake.accept(spec()).has_value());
  const std::string Stored = Kv.value(keys::job(Id));
  CHECK_TRUE(Intake.accept(spec()).has_value());
  STRCMP_EQUAL(Stored.c_str(), Kv.value(keys::job(Id)).c_str());
}

TEST(JobIntake, RejectsJobsWhileTheStoreIsUnavailable) {
  Kv.Health.recordFailure(BootClock::now());
  Kv.Health.recordFailure(BootClock::now());
  const auto Refused = Intake.accept(spec());
  CHECK(ResultCode::StoreUnavailable == Refused.error().Code);
  LONGS_EQUAL(0, Kv.commits());
}

TEST(JobIntake, ResolvesALostAnswerByReadingTheJob) {
  Kv.setFault(FakeKv::Fault::AnswerLost);
  CHECK_TRUE(Intake.accept(spec()).has_value());
}

TEST(JobIntake, ReportsAnUnknownOutcomeForADelayedWrite) {
  Kv.setFault(FakeKv::Fault::Delayed);
  const auto Unknown = Intake.accept(spec());
  CHECK(ResultCode::StoreAnswerLost == Unknown.error().Code);
  Kv.setFault(FakeKv::Fault::None);
  Kv.applyDelayed();
  CHECK_TRUE(Intake.accept(spec()).has_value());
}

TEST(JobIntake, ReadsTheStoreBeforeReportingAnUnknownJob) {
  Kv.put(keys::job(Id), spec().SerializeAsString());
  setProgress(true);
  CHECK(JobStatus::Completed == *Intake.status(Id));
  CHECK(ResultCode::UnknownJob ==
        Intake.status(JobId("00000000000000bb")).error().Code);
}

TEST(JobIntake, FailsStatusWithStoreUnavailableDuringAnOutage) {
  Kv.setFault(FakeKv::Fault::Unavailable);
  CHECK(ResultCode::StoreUnavailable == Intake.status(Id).error().Code);
}

TEST(JobIntake, CancelsIdempotently) {
  CHECK_TRUE(Intake.accept(spec()).has_value());
  CHECK_TRUE(Intake.cancel(Id).has_value());
  CHECK_TRUE(Intake.cancel(Id).has_value());
  CHECK(JobStatus::Cancelled == *Intake.status(Id));
  CHECK(ResultCode::UnknownJob ==
        Intake.cancel(JobId("00000000000000bb")).error().Code);
}

TEST(JobIntake, ResolvesALostCancelByReadingTheKey) {
  CHECK_TRUE(Intake.accept(spec()).has_value());
  Kv.setFault(FakeKv::Fault::AnswerLost);
  CHECK_TRUE(Intake.cancel(Id).has_value());
}

TEST(JobIntake, DoesNotAcknowledgeACancelThatIsNotStored) {
  CHECK_TRUE(Intake.accept(spec()).has_value());
  Kv.setFault(FakeKv::Fault::Delayed);
  CHECK(ResultCode::StoreAnswerLost == Intake.cancel(Id).error().Code);
}
