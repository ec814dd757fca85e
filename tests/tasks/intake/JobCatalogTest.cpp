#include "tasks/intake/JobCatalog.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"
#include "tasks/intake/ConfigFollower.h"
#include "tasks/intake/StoreFollower.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(JobCatalog) {
  FakeKv Kv;
  JobCatalog Catalog{nullptr};

  void addJob(const std::string &Id) {
    wire::TaskJobSpec Spec;
    Spec.set_id(Id);
    Spec.set_queue("q");
    Spec.add_steps()->set_count(1);
    Kv.put(keys::job(JobId(Id)), Spec.SerializeAsString());
  }
};

TEST(JobCatalog, CountsJobsThatHaveNotStarted) {
  addJob("a");
  addJob("b");
  wire::TaskJobProgress Progress;
  Progress.set_begun(true);
  Kv.put(keys::progress(JobId("b")), Progress.SerializeAsString());
  Catalog.replaceAll(*Kv.list(keys::All));
  LONGS_EQUAL(1, Catalog.pendingJobs("q"));
  LONGS_EQUAL(0, Catalog.pendingJobs("other"));
}

// Guards against a begun job that waits again, for its clients, because an
// entry reads a list that is older than what it knows.
TEST(JobCatalog, KeepsAJobBegun) {
  addJob("a");
  wire::TaskJobProgress Progress;
  Kv.put(keys::progress(JobId("a")), Progress.SerializeAsString());
  const StoreChanges Before = *Kv.list(keys::All);
  Progress.set_begun(true);
  Kv.put(keys::progress(JobId("a")), Progress.SerializeAsString());
  Catalog.replaceAll(*Kv.list(keys::All));
  LONGS_EQUAL(0, Catalog.pendingJobs("q"));
  Catalog.replaceAll(Before);
  LONGS_EQUAL(0, Catalog.pendingJobs("q"));
}

TEST(JobCatalog, SkipsRecordsThatCannotBeParsed) {
  Kv.put(keys::job(JobId("a")), "\xff\xff not a record");
  Kv.put(keys::All + "future/thing", "x");
  Catalog.replaceAll(*Kv.list(keys::All));
  LONGS_EQUAL(0, Catalog.size());
}

// Guards against jobs of other writers, which no process can run.
TEST(JobCatalog, SkipsRecordsThatNoEntryStores) {
  const auto Put = [&](const std::string &Key, const auto &Change) {
    wire::TaskJobSpec Spec;
    Spec.set_id("a");
    Spec.add_steps()->set_count(1);
    Spec.add_steps()->set_count(1);
    Spec.mutable_steps(1)->add_after(0);
    Change(Spec);
    Kv.put(keys::job(JobId(Key)), Spec.SerializeAsString());
    Catalog.replaceAll(*Kv.list(keys::All));
    return Catalog.size();
  };
  LONGS_EQUAL(0, Put("b", [](wire::TaskJobSpec &) {}));
  LONGS_EQUAL(0, Put("a", [](wire::TaskJobSpec &Spec) { Spec.Clear(); }));
  LONGS_EQUAL(0, Put("a", [](wire::TaskJobSpec &Spec) { Spec.clear_steps(); }));
  LONGS_EQUAL(0, Put("a", [](wire::TaskJobSpec &Spec) {
                Spec.mutable_steps(0)->set_count(4000000000);
              }));
  LONGS_EQUAL(0, Put("a", [](wire::TaskJobSpec &Spec) {
                Spec.set_repeat_count(4000000000);
              }));
  LONGS_EQUAL(0, Put("a", [](wire::TaskJobSpec &Spec) {
                Spec.mutable_steps(0)->add_after(1);
              }));
  LONGS_EQUAL(1, Put("a", [](wire::TaskJobSpec &) {}));
}

TEST(JobCatalog, TracksTheRoleHolder) {
  Kv.put(keys::Coordinator, "node address nonce");
  Catalog.replaceAll(*Kv.list(keys::All));
  STRCMP_EQUAL("node address nonce", Catalog.roleHolder()->Value.c_str());
  Catalog.apply({{{keys::Coordinator, "", 0, 0}}, 9});
  CHECK_FALSE(Catalog.roleHolder().has_value());
}

TEST(JobCatalog, FollowsTheStoreAcrossAnOutageAndACompaction) {
  addJob("a");
  StoreFollower Follower(
      Kv, keys::All, Milliseconds(1),
      {[&](const StoreChanges &All) { Catalog.replaceAll(All); },
       [&](const StoreChanges &News) { Catalog.apply(News); }});
  Follower.start();
  CHECK_TRUE(waitUntil([&] { return Catalog.size() == 1; }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  std::this_thread::sleep_for(Milliseconds(20));
  addJob("b");
  Kv.compact();
  Kv.setFault(FakeKv::Fault::None);
  CHECK_TRUE(waitUntil([&] { return Catalog.size() == 2; }));
}

TEST(JobCatalog, NeverReturnsToAnOlderConfiguration) {
  ConfigFollower Configuration(Kv, "op/", "op/config",
                               [](const std::string &Text) {
                                 QueueConfig Config;
                                 Config.Version = std::stol(Text);
                                 return Expected<QueueConfig>(Config);
                               });
  Kv.put("op/config", "7");
  Configuration.start();
  CHECK_TRUE(waitUntil([&] { return Configuration.current() != nullptr; }));
  Kv.put("op/config", "5");
  Kv.put("op/config", "9");
  CHECK_TRUE(waitUntil([&] {
    CHECK(Configuration.current()->Version != 5);
    return Configuration.current()->Version == 9;
  }));
  Configuration.stop();
}

TEST(JobCatalog, ReportsRequestsForTheRole) {
  struct : CatalogListener {
    void onJob(std::shared_ptr<const wire::TaskJobSpec>) override {}
    void onCancel(const JobId &) override {}
    void onRoleKeyChange() override {}
    void onRoleRequest(Milliseconds AcquireDelay) override {
      Requests.push_back(AcquireDelay.count());
    }
    std::vector<std::int64_t> Requests;
  } Listener;
  JobCatalog Observed{&Listener};
  Observed.apply({{{keys::RoleRequest, "40", 7, 7}}, 7});
  Observed.apply({{{keys::RoleRequest, "no number", 8, 8}}, 8});
  Observed.apply({{{keys::RoleRequest, "", 0, 0}}, 9});
  LONGS_EQUAL(1, Listener.Requests.size());
  LONGS_EQUAL(40, Listener.Requests[0]);
}
