#include "tasks/intake/StoreFollower.h"
#include "FakeKv.h"
#include "WaitUntil.h"

#include <condition_variable>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

/// A store whose watches get no answer while it is silent.
class SilentKv : public FakeKv {
public:
  void setSilent(bool Next) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Silent = Next;
    Changed.notify_all();
  }

  Expected<StoreChanges> changes(const std::string &Prefix, std::int64_t After,
                                 Milliseconds Wait) override {
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      Changed.wait(Lock, [&] { return !Silent; });
    }
    return FakeKv::changes(Prefix, After, Wait);
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Silent = false;
};

constexpr Milliseconds Wait{10};
/// Longer than a watch and its longest answer time.
constexpr Milliseconds Overdue = Wait + Milliseconds(700);

} // namespace

TEST_GROUP(StoreFollower) {
  SilentKv Kv;
  StoreFollower Follower{
      Kv,
      "op/",
      Wait,
      {[](const StoreChanges &) {}, [](const StoreChanges &) {}}};

  void teardown() override {
    Kv.setSilent(false);
    Follower.stop();
  }

  bool isCurrent() { return Follower.isCurrent(BootClock::now()); }
};

TEST(StoreFollower, IsNotCurrentBeforeTheFirstAnswer) {
  CHECK_FALSE(isCurrent());
  Follower.start();
  CHECK_TRUE(waitUntil([&] { return isCurrent(); }));
}

// Pattern: the store turns one entry away and serves the others.
TEST(StoreFollower, IsNotCurrentWhileTheStoreRefusesCalls) {
  Follower.start();
  CHECK_TRUE(waitUntil([&] { return isCurrent(); }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  CHECK_TRUE(waitUntil([&] { return !isCurrent(); }));
  Kv.setFault(FakeKv::Fault::None);
  CHECK_TRUE(waitUntil([&] { return isCurrent(); }));
}

// Pattern: one entry is cut off from the store and gets no answer at all.
TEST(StoreFollower, IsNotCurrentWhileAWatchIsOverdue) {
  Follower.start();
  CHECK_TRUE(waitUntil([&] { return isCurrent(); }));
  Kv.setSilent(true);
  CHECK_FALSE(Follower.isCurrent(BootClock::now() + Overdue));
  Kv.setSilent(false);
  CHECK_TRUE(waitUntil([&] { return isCurrent(); }));
}
