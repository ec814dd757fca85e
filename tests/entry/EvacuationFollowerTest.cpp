#include "entry/EvacuationFollower.h"
#include "WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// A store whose watches end at once, so that each change is found by a
/// listing, as after a lost connection.
class ListedStore : public Store {
public:
  void set(const std::string &Key, std::int64_t Revision) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Keys[Key] = Revision;
  }
  void erase(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Keys.erase(Key);
  }

  Expected<StoreEntry> read(const std::string &Key) override {
    return StoreEntry{Key, "", 0};
  }
  Expected<StoreSnapshot> list(const std::string &Prefix) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    StoreSnapshot Snapshot;
    for (const auto &[Key, Revision] : Keys)
      if (Key.rfind(Prefix, 0) == 0)
        Snapshot.Entries.push_back({Key, "{}", Revision});
    return Snapshot;
  }
  Expected<std::int64_t> swap(const std::string &, std::int64_t,
                              const std::string &, std::int64_t) override {
    return 0;
  }
  Expected<void> remove(const std::string &, std::int64_t) override {
    return {};
  }
  Expected<std::int64_t> grantLease(std::chrono::seconds) override { return 0; }
  Expected<void> renewLease(std::int64_t) override { return {}; }
  Expected<void> revokeLease(std::int64_t) override { return {}; }
  Expected<void> watch(const std::string &, std::int64_t,
                       const StoreWatchCallback &,
                       const std::atomic<bool> &) override {
    return {};
  }

private:
  std::mutex Mutex;
  std::map<std::string, std::int64_t> Keys;
};

wire::Heartbeat heartbeatOf(wire::NodeKind Kind, const std::string &Centre) {
  wire::Heartbeat Message;
  Message.set_kind(Kind);
  Message.mutable_location()->set_data_centre(Centre);
  return Message;
}

} // namespace

TEST_GROUP(EvacuationFollower) {
  ListedStore Kv;
  EvacuationFollower Evacuated{Kv, "cell"};

  void teardown() override { Evacuated.stop(); }
};

// Pattern: the end of an evacuation falls between two watches, and the data
// centre stays closed.
TEST(EvacuationFollower, FollowsTheKeysOfItsCell) {
  Kv.set("evacuations/cell/z0", 4);
  Kv.set("evacuations/cell2/z1", 5);
  Evacuated.start();
  CHECK_TRUE(waitUntil([&] { return Evacuated.active().size() == 1; }));
  LONGS_EQUAL(4, Evacuated.active().at(DataCentreName("z0")));
  Kv.set("evacuations/cell/z2", 6);
  Kv.erase("evacuations/cell/z0");
  CHECK_TRUE(waitUntil([&] {
    return Evacuated.active().size() == 1 &&
           Evacuated.active().count(DataCentreName("z2"));
  }));
}

// Pattern: minions, which take requests and no gangs, or workers elsewhere
// count as draining.
TEST(EvacuationFollower, DrainsTheWorkersOfTheDataCentre) {
  Kv.set("evacuations/cell/z0", 4);
  Evacuated.start();
  CHECK_TRUE(waitUntil([&] { return Evacuated.active().size() == 1; }));
  CHECK_TRUE(
      Evacuated.withEvacuations(heartbeatOf(wire::WORKER, "z0")).draining());
  CHECK_FALSE(
      Evacuated.withEvacuations(heartbeatOf(wire::WORKER, "z1")).draining());
  CHECK_FALSE(
      Evacuated.withEvacuations(heartbeatOf(wire::MINION, "z0")).draining());
}
