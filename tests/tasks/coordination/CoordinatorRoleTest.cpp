#include "tasks/coordination/CoordinatorRole.h"
#include "FakeKv.h"
#include "WaitUntil.h"
#include "tasks/StoreKeys.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(CoordinatorRole) {
  FakeKv Kv;
  CoordinatorRole One{Kv, "one 1:1", Milliseconds(60000), [] {}};
  CoordinatorRole Two{Kv, "two 2:2", Milliseconds(60000), [] {}};
};

TEST(CoordinatorRole, IsHeldByOneProcessAtATime) {
  One.start();
  Two.start();
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
  CHECK_TRUE(One.isConfirmed());
  Two.noteRoleKey(false);
  std::this_thread::sleep_for(Milliseconds(50));
  CHECK_FALSE(Two.term().has_value());
}

TEST(CoordinatorRole, GoesToAnotherProcessWithAHigherEpochWhenReleased) {
  One.start();
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
  const Epoch First = One.term()->Number;
  One.stop();
  CHECK_FALSE(One.isConfirmed());
  STRCMP_EQUAL("", Kv.value(keys::Coordinator).c_str());
  Two.start();
  Two.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Two.term().has_value(); }));
  CHECK_TRUE(First < Two.term()->Number);
}

TEST(CoordinatorRole, RecognizesItsOwnWriteWhenTheAnswerWasLost) {
  Kv.setFault(FakeKv::Fault::AnswerLost);
  One.start();
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
}

TEST(CoordinatorRole, IsNotConfirmedOnceTheLeaseMayHaveExpired) {
  CoordinatorRole Short(Kv, "short 3:3", Milliseconds(400), [] {});
  Short.start();
  Short.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Short.term().has_value(); }));
  Kv.setFault(FakeKv::Fault::Unavailable);
  CHECK_TRUE(waitUntil([&] { return !Short.isConfirmed(); }));
  CHECK_TRUE(Short.term().has_value());
  Kv.setFault(FakeKv::Fault::None);
  CHECK_TRUE(waitUntil([&] { return Short.isConfirmed(); }));
}

TEST(CoordinatorRole, IsLostWhenTheLeaseHasExpired) {
  int Changes = 0;
  CoordinatorRole Short(Kv, "short 3:3", Milliseconds(400), [&] { ++Changes; });
  Short.start();
  Short.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Short.term().has_value(); }));
  const Epoch First = Short.term()->Number;
  Kv.expire(1);
  CHECK_TRUE(waitUntil([&] {
    const auto Term = Short.term();
    return Term && First < Term->Number;
  }));
  Short.stop();
  CHECK(Changes >= 3);
}

// Pattern: entries of 0.12 to 0.5 cores see at the same time that the role is
// free.
TEST(CoordinatorRole, GoesToTheStrongerOfTwoProcesses) {
  CHECK_TRUE(acquisitionDelay(0.5) < acquisitionDelay(0.25));
  CHECK_TRUE(acquisitionDelay(0.25) < acquisitionDelay(0.12));
  LONGS_EQUAL(0, acquisitionDelay(1).count());
  CoordinatorRole Weak(
      Kv, "weak 4:4", Milliseconds(60000), [] {}, Milliseconds(60000));
  Weak.start();
  Weak.noteRoleKey(false);
  One.start();
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
  Weak.noteRoleKey(true);
  CHECK_FALSE(Weak.term().has_value());
}

TEST(CoordinatorRole, GoesToAWeakProcessThatIsAlone) {
  CoordinatorRole Weak(
      Kv, "weak 4:4", Milliseconds(60000), [] {}, Milliseconds(50));
  Weak.start();
  Weak.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Weak.term().has_value(); }));
}

// Pattern: the strong entries lose the role in turn, a weak one acquires it and
// keeps it for the rest of the day, with rounds that take seconds.
TEST(CoordinatorRole, IsHandedToAStrongerProcessThatAsks) {
  CoordinatorRole Weak(
      Kv, "weak 4:4", Milliseconds(60000), [] {}, acquisitionDelay(0.12));
  Weak.start();
  Weak.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Weak.term().has_value(); }));
  const Epoch First = Weak.term()->Number;
  One.start();
  One.noteRoleKey(true, acquisitionDelayOf(Kv.value(keys::Coordinator)));
  CHECK_TRUE(waitUntil([&] { return !Kv.value(keys::RoleRequest).empty(); }));
  Weak.noteRequest(Milliseconds(std::stoi(Kv.value(keys::RoleRequest))));
  CHECK_TRUE(waitUntil([&] { return Kv.value(keys::Coordinator).empty(); }));
  CHECK_FALSE(Weak.term().has_value());
  CHECK_FALSE(Weak.isConfirmed());
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
  CHECK_TRUE(First < One.term()->Number);
}

TEST(CoordinatorRole, IsKeptWhenTheProcessThatAsksIsNotStronger) {
  CoordinatorRole Weak(
      Kv, "weak 4:4", Milliseconds(60000), [] {}, acquisitionDelay(0.12));
  Weak.start();
  Weak.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return Weak.term().has_value(); }));
  const Epoch First = Weak.term()->Number;
  for (const double CpuShare : {0.05, 0.12, 0.15}) {
    // Each request makes the holder act, and it renews its lease.
    const int Renewals = Kv.renewals();
    Weak.noteRequest(acquisitionDelay(CpuShare));
    CHECK_TRUE(waitUntil([&] { return Kv.renewals() > Renewals; }));
    CHECK_TRUE(Weak.term().has_value());
    CHECK_TRUE(Weak.isConfirmed());
    CHECK_FALSE(Kv.value(keys::Coordinator).empty());
  }
  CHECK_TRUE(First == Weak.term()->Number);
}

// Pattern: a write of the term that was handed over fails after the same
// process has acquired the role again; nobody held it until the lease ended.
TEST(CoordinatorRole, IsNotLostByAWriteOfAnEarlierTerm) {
  One.start();
  One.noteRoleKey(false);
  CHECK_TRUE(waitUntil([&] { return One.term().has_value(); }));
  const Epoch Number = One.term()->Number;
  One.lose(Epoch(Number.value() - 1));
  CHECK_TRUE(One.term().has_value());
  CHECK_TRUE(One.isConfirmed());
  One.lose(Number);
  CHECK_FALSE(One.isConfirmed());
}

TEST(CoordinatorRole, ReadsTheDelayOfTheHolder) {
  LONGS_EQUAL(380, acquisitionDelayOf("n 10.0.0.1:7 nonce 380").count());
  // Written by an earlier version.
  LONGS_EQUAL(0, acquisitionDelayOf("n 10.0.0.1:7 nonce").count());
  LONGS_EQUAL(0, acquisitionDelayOf("n 10.0.0.1:7 nonce x").count());
}
