#include "tasks/FailedRuns.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(FailedRuns) {
  FailedRuns Runs;

  static FailedRuns storedAndRestored(const FailedRuns &Stored) {
    wire::TaskRecord Record;
    Stored.store(Record);
    return FailedRuns::fromRecord(Record);
  }
};

TEST(FailedRuns, CountsEachRunOnceInAnyOrder) {
  for (const std::uint64_t Run : {5, 2, 9, 3})
    CHECK_TRUE(Runs.record(Run));
  for (const std::uint64_t Run : {2, 3, 5, 9})
    CHECK_FALSE(Runs.record(Run));
  LONGS_EQUAL(4, Runs.count());
}

// Guards against an old run that counts again because newer ones have displaced
// its number.
TEST(FailedRuns, CountsNoRunBelowItsLatestNumbersAgain) {
  for (std::uint64_t Run = 1; Run <= 12; ++Run)
    CHECK_TRUE(Runs.record(Run));
  for (std::uint64_t Run = 1; Run <= 12; ++Run)
    CHECK_FALSE(Runs.record(Run));
  LONGS_EQUAL(12, Runs.count());
  CHECK_TRUE(Runs.record(13));
}

// Guards against a late end that does not count although no number was
// displaced.
TEST(FailedRuns, CountsARunBelowEightNumbersIfThereWereNoMore) {
  for (std::uint64_t Run = 2; Run <= 9; ++Run)
    CHECK_TRUE(Runs.record(Run));
  CHECK_TRUE(Runs.record(1));
  CHECK_FALSE(Runs.record(1));
  LONGS_EQUAL(9, Runs.count());
}

// Guards against a run that counts twice around a takeover.
TEST(FailedRuns, RemembersItsRunsInTheRecord) {
  for (std::uint64_t Run = 1; Run <= 10; ++Run)
    CHECK_TRUE(Runs.record(2 * Run));
  FailedRuns Restored = storedAndRestored(Runs);
  LONGS_EQUAL(10, Restored.count());
  CHECK_FALSE(Restored.lacksNumbers());
  for (std::uint64_t Run = 1; Run <= 10; ++Run)
    CHECK_FALSE(Restored.record(2 * Run));
  CHECK_TRUE(Restored.record(19));
  CHECK_TRUE(Restored.record(21));
  LONGS_EQUAL(12, Restored.count());
}

TEST(FailedRuns, TakesARecordWithoutFailuresForComplete) {
  CHECK_FALSE(storedAndRestored(Runs).lacksNumbers());
}

TEST(FailedRuns, CountsNoRunThatARecordWithoutNumbersMayContain) {
  wire::TaskRecord Record;
  Record.set_failures(2);
  Runs = FailedRuns::fromRecord(Record);
  CHECK_TRUE(Runs.lacksNumbers());
  Runs.ignoreThrough(4);
  CHECK_FALSE(Runs.lacksNumbers());
  for (std::uint64_t Run = 1; Run <= 4; ++Run)
    CHECK_FALSE(Runs.record(Run));
  CHECK_TRUE(Runs.record(5));
  LONGS_EQUAL(3, Runs.count());
}
