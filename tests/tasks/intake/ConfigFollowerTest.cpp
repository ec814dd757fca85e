#include "tasks/intake/ConfigFollower.h"
#include "FakeKv.h"
#include "WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

Expected<QueueConfig> readVersion(const std::string &Text) {
  QueueConfig Config;
  Config.Version = std::stol(Text);
  return Config;
}

} // namespace

TEST_GROUP(ConfigFollower) {
  FakeKv Kv;
  ConfigFollower Follower{Kv, "op/", "op/config", &readVersion, "op/evacuate/"};

  void teardown() override { Follower.stop(); }

  bool isEvacuated(const std::string &Name) const {
    return Follower.snapshot().Evacuated.Active.count(DataCentreName(Name)) > 0;
  }
  void remove(const std::string &Key) { (void)Kv.commit({{}, {}, {Key}}); }
};

// Pattern: an entry that restarts during an evacuation starts runs there.
TEST(ConfigFollower, KnowsTheEvacuationsWithTheFirstConfiguration) {
  Kv.put("op/config", "1");
  Kv.put("op/evacuate/z0", "{}");
  CHECK(Follower.snapshot().Evacuated.ConfirmedAt == BootInstant{});
  Follower.start();
  OperatorSnapshot Snapshot;
  CHECK_TRUE(waitUntil([&] {
    Snapshot = Follower.snapshot();
    return Snapshot.Config != nullptr;
  }));
  LONGS_EQUAL(1, Snapshot.Evacuated.Active.size());
}

TEST(ConfigFollower, FollowsEvacuationsAndTheirEnds) {
  Follower.start();
  Kv.put("op/evacuate/z0", "{}");
  Kv.put("op/evacuate/z1", "{}");
  CHECK_TRUE(waitUntil([&] { return isEvacuated("z0") && isEvacuated("z1"); }));
  remove("op/evacuate/z0");
  CHECK_TRUE(waitUntil([&] { return !isEvacuated("z0"); }));
  CHECK_TRUE(isEvacuated("z1"));
  LONGS_EQUAL(
      1, Follower.snapshot().Evacuated.RestoredAt.count(DataCentreName("z0")));
  Kv.put("op/evacuate/z0", "{}");
  CHECK_TRUE(waitUntil([&] { return isEvacuated("z0"); }));
  LONGS_EQUAL(0, Follower.snapshot().Evacuated.RestoredAt.size());
}

// Pattern: the store drops the history with the removal of an evacuation in it,
// and the data centre stays closed for good.
TEST(ConfigFollower, EndsEvacuationsThatAListingLacks) {
  Kv.put("op/evacuate/z0", "{}");
  Kv.put("op/evacuate/z1", "{}");
  Follower.start();
  CHECK_TRUE(waitUntil([&] { return isEvacuated("z0") && isEvacuated("z1"); }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  std::this_thread::sleep_for(Milliseconds(20));
  const BootInstant Before = Follower.snapshot().Evacuated.ConfirmedAt;
  Kv.setFault(FakeKv::Fault::None);
  remove("op/evacuate/z0");
  Kv.put("op/other", "");
  Kv.compact();
  CHECK_TRUE(waitUntil([&] { return !isEvacuated("z0"); }));
  CHECK_TRUE(isEvacuated("z1"));
  CHECK_TRUE(Follower.snapshot().Evacuated.ConfirmedAt >= Before);
}

// Pattern: an entry takes what it read before an outage for what is in force.
TEST(ConfigFollower, KeepsTheTimeOfTheLastConfirmation) {
  Follower.start();
  CHECK_TRUE(waitUntil([&] {
    return Follower.snapshot().Evacuated.ConfirmedAt != BootInstant{};
  }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  std::this_thread::sleep_for(Milliseconds(20));
  const BootInstant Last = Follower.snapshot().Evacuated.ConfirmedAt;
  std::this_thread::sleep_for(Milliseconds(50));
  CHECK(Follower.snapshot().Evacuated.ConfirmedAt == Last);
}
