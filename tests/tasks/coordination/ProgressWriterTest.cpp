#include "tasks/coordination/ProgressWriter.h"
#include "FakeKv.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr std::uint32_t ManyTasks = 8000;

} // namespace

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

  void addJobs(int Count, std::uint32_t Tasks = 1) {
    for (int I = 0; I < Count; ++I) {
      auto Spec = std::make_shared<wire::TaskJobSpec>();
      Spec->set_id("job" + std::to_string(I));
      Spec->add_steps()->set_count(Tasks);
      Jobs.try_emplace(JobId(Spec->id()), TaskJob(Spec));
      Dirty.insert(JobId(Spec->id()));
    }
  }

  TaskJob &job() { return Jobs.at(JobId("job0")); }

  void place(std::size_t Task) {
    job().task(Task).Phase = wire::TASK_PLACED;
    job().task(Task).Run = 7;
    job().task(Task).Worker =
        WorkerIncarnation("side-data-centre-12/i-0123456789#1780737502275");
    Dirty.insert(job().id());
  }

  std::vector<StoreItem> items(const std::string &Prefix) {
    return Kv.list(Prefix)->Items;
  }

  TaskJob readBack() {
    TaskJob Restored(std::make_shared<wire::TaskJobSpec>(job().spec()));
    Restored.restore(readProgress(items(keys::All), items(keys::ProgressPages))
                         .at(job().id())
                         .Progress);
    return Restored;
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
  CHECK(WriteOutcome::RoleLost == Writer.remove(Term, JobId("job0"), 1));
}

// Guards against a record beyond the store's limit on values, with which no
// progress of a large job would be stored any more.
TEST(ProgressWriter, KeepsEachValueBelowTheLimitOfTheStore) {
  constexpr std::size_t MaxValueBytes = 1 << 20;
  addJobs(1, ManyTasks);
  for (std::size_t Task = 0; Task < ManyTasks; ++Task)
    place(Task);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  for (const StoreItem &Item : items("baobabcove"))
    CHECK(Item.Value.size() < MaxValueBytes / 4);
  Kv.put(keys::job(job().id()), job().spec().SerializeAsString());
  CHECK_TRUE(mayHavePages(items(keys::All)));
  const TaskJob Restored = readBack();
  for (std::size_t Task = 0; Task < ManyTasks; ++Task)
    LONGS_EQUAL(7, Restored.task(Task).Run);
}

// Guards against tasks of a large job that run again, because the page that
// holds them cannot be read.
TEST(ProgressWriter, TellsWhetherAllRecordsOfAJobAreReadable) {
  addJobs(1, ManyTasks);
  place(0);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  const auto IsReadable = [&] {
    return readProgress(items(keys::All), items(keys::ProgressPages))
        .at(job().id())
        .IsReadable;
  };
  CHECK_TRUE(IsReadable());
  Kv.put(keys::progressPage(job().id(), 3), "\xff\xff not a record");
  CHECK_FALSE(IsReadable());
}

// Guards against writing all records of a large job for each task that changes.
TEST(ProgressWriter, WritesOnlyThePagesThatHaveChanged) {
  addJobs(1, ManyTasks);
  place(0);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  const std::int64_t Before = Kv.list(keys::All)->Revision;
  place(ManyTasks - 1);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  std::size_t Changed = 0;
  for (const StoreItem &Item : items(keys::ProgressPages))
    Changed += Item.Revision > Before ? 1 : 0;
  LONGS_EQUAL(1, Changed);
}

// Guards against pages that are taken for stored after a write without an
// answer.
TEST(ProgressWriter, WritesPagesAgainAfterALostAnswer) {
  for (const FakeKv::Fault Fault :
       {FakeKv::Fault::AnswerLost, FakeKv::Fault::Delayed}) {
    Jobs.clear();
    addJobs(1, ManyTasks);
    if (const auto Head = Kv.read(keys::progress(JobId("job0"))); *Head)
      job().Revision = (*Head)->Revision;
    place(600);
    Kv.setFault(Fault);
    CHECK(WriteOutcome::Retry == Writer.write(Term, Jobs, Dirty));
    Kv.setFault(FakeKv::Fault::None);
    place(1200);
    CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
    Kv.applyDelayed();
    const TaskJob Restored = readBack();
    LONGS_EQUAL(7, Restored.task(600).Run);
    LONGS_EQUAL(7, Restored.task(1200).Run);
  }
}

// Guards against pages that stay in the store after their job.
TEST(ProgressWriter, RemovesAllPagesWithTheJob) {
  addJobs(1, ManyTasks);
  place(0);
  CHECK(WriteOutcome::Written == Writer.write(Term, Jobs, Dirty));
  CHECK(WriteOutcome::Written == Writer.remove(Term, JobId("job0"), ManyTasks));
  LONGS_EQUAL(0, items(keys::ProgressPages).size());
}

// Guards against a takeover that waits for one more reading of the store
// although no job is large.
TEST(ProgressWriter, ReadsNoPagesForSmallJobs) {
  addJobs(2, 500);
  for (const auto &[Id, Job] : Jobs)
    Kv.put(keys::job(Id), Job.spec().SerializeAsString());
  CHECK_FALSE(mayHavePages(items(keys::All)));
}
