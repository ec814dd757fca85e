#include "tasks/coordination/ProgressWriter.h"
#include "FakeKv.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(ProgressWriter) {
  FakeKv Kv;
  ProgressWriter Writer{Kv};
  std::map<JobId, TaskJob> Jobs;
  std::set<JobId> Dirty;
  CoordinatorTerm Term;

  void setup() override {
    Kv.put(keys::Coordinator, "me");
    Term.Revision = (*Kv.read(keys::Coordinator))->Revision;
    Term.Number = Epoch(static_cast<std::uint64_t>(Term.Revision));
  }

  void addJobs(int Count) {
    for (int I = 0; I < Count; ++I) {
      auto Spec = std::make_shared<wire::TaskJobSpec>();
      Spec->set_id("job" + std::to_string(I));
      Spec->add_steps()->set_count(1);
      Jobs.try_emplace(JobId(Spec->id()), TaskJob(Spec));
      Dirty.insert(JobId(Spec->id()));
    }
  }

  void changeAll() {
    for (auto &[Id, Job] : Jobs) {
      ++Job.task(0).Run;
      Dirty.insert(Id);
    }
  }
};

TEST(ProgressWriter, WritesManyJobsWithinTheLimitOfATransaction) {
  addJobs(40);
  changeAll();
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  LONGS_EQUAL(0, Dirty.size());
  LONGS_EQUAL(3, Kv.commits());
}

TEST(ProgressWriter, KeepsJobsDirtyWhileTheStoreIsUnavailable) {
  addJobs(1);
  Kv.setFault(FakeKv::Fault::Unavailable);
  CHECK(WriteOutcome::Retry == Writer.write(Term, Jobs, Dirty));
  LONGS_EQUAL(1, Dirty.size());
}

TEST(ProgressWriter, RecognizesItsOwnWriteWhoseAnswerWasLost) {
  addJobs(2);
  changeAll();
  Kv.setFault(FakeKv::Fault::AnswerLost);
  CHECK(WriteOutcome::Retry == Writer.write(Term, Jobs, Dirty));
  Kv.setFault(FakeKv::Fault::None);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  changeAll();
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  LONGS_EQUAL(0, Dirty.size());
}

TEST(ProgressWriter, IsNotOverwrittenByADelayedWrite) {
  addJobs(1);
  changeAll();
  Kv.setFault(FakeKv::Fault::Delayed);
  CHECK(WriteOutcome::Retry == Writer.write(Term, Jobs, Dirty));
  Kv.setFault(FakeKv::Fault::None);
  changeAll();
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  const std::string Newest = Kv.value(keys::progress(JobId("job0")));
  Kv.applyDelayed();
  CHECK(Newest == Kv.value(keys::progress(JobId("job0"))));
}

TEST(ProgressWriter, WritesNothingOnceAnotherProcessHoldsTheRole) {
  addJobs(1);
  changeAll();
  Kv.put(keys::Coordinator, "other");
  CHECK(WriteOutcome::RoleLost == Writer.write(Term, Jobs, Dirty));
  STRCMP_EQUAL("", Kv.value(keys::progress(JobId("job0"))).c_str());
  CHECK(WriteOutcome::RoleLost == Writer.remove(Term, JobId("job0")));
}
