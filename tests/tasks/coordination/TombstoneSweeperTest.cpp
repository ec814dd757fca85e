#include "tasks/coordination/TombstoneSweeper.h"
#include "FakeKv.h"
#include "tasks/StoreKeys.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TombstoneSweeper) {
  FakeKv Kv;
  TombstoneSweeper Sweeper{Kv, Milliseconds(150000)};
  ClockReading Now{BootInstant(Milliseconds(100000)), 1000000};
  CoordinatorTerm Term;

  void setup() override {
    Kv.put(keys::Coordinator, "holder");
    Term.Revision = (*Kv.read(keys::Coordinator))->Revision;
  }

  static std::string key(int Number) {
    return keys::tombstone(JobId(std::to_string(Number)), "workspace/team");
  }

  void advance(int Ms) {
    Now.Boot += Milliseconds(Ms);
    Now.UnixMs += Ms;
  }

  std::size_t left() { return Kv.list(keys::Tombstones)->Items.size(); }
};

// Guards against tombstones that pile up in the store.
TEST(TombstoneSweeper, RemovesTombstonesAfterTheRetention) {
  for (int Number = 0; Number < 100; ++Number)
    Kv.put(key(Number), std::to_string(Now.UnixMs));
  Kv.put(key(100), "not a time");
  for (int Round = 0; Round < 10; ++Round)
    Sweeper.sweep(Term, Now);
  LONGS_EQUAL(100, left());
  advance(149000);
  Kv.put(key(101), std::to_string(Now.UnixMs));
  for (int Round = 0; Round < 10; ++Round)
    Sweeper.sweep(Term, Now);
  LONGS_EQUAL(101, left());
  advance(31000);
  for (int Round = 0; Round < 10; ++Round)
    Sweeper.sweep(Term, Now);
  LONGS_EQUAL(1, left());
  CHECK(!Kv.value(key(101)).empty());
}

// Guards against removals by a process that has lost the role, and by one that
// sends a write to the store in every round.
TEST(TombstoneSweeper, WritesNothingWithoutTheRoleOrWithoutTombstones) {
  Sweeper.sweep(Term, Now);
  LONGS_EQUAL(0, Kv.commits());
  Kv.put(key(1), "0");
  Kv.put(keys::Coordinator, "another holder");
  advance(31000);
  Sweeper.sweep(Term, Now);
  Sweeper.sweep(Term, Now);
  LONGS_EQUAL(1, Kv.commits());
  LONGS_EQUAL(1, left());
}

TEST(TombstoneSweeper, TriesAgainAfterAnOutage) {
  Kv.put(key(1), "0");
  Kv.setFault(FakeKv::Fault::Unavailable);
  Sweeper.sweep(Term, Now);
  Kv.setFault(FakeKv::Fault::None);
  advance(31000);
  Sweeper.sweep(Term, Now);
  LONGS_EQUAL(0, left());
}
