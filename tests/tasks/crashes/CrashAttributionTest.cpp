#include "tasks/crashes/CrashAttribution.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

CrashHistory
historyOf(std::initializer_list<std::pair<Blame, const char *>> Crashes) {
  CrashHistory History;
  std::uint64_t Run = 0;
  for (const auto &[Certainty, Node] : Crashes)
    History.record(Certainty, NodeId(Node), ++Run);
  return History;
}

} // namespace

TEST_GROUP(CrashAttribution){};

TEST(CrashAttribution, BlamesTheOnlyUnitForCertain) {
  const auto Found = attributeCrash({{0, Milliseconds(10), true}});
  CHECK(Blame::Certain == Found.Certainty);
  LONGS_EQUAL(1, Found.Units.size());
}

TEST(CrashAttribution, SharesTheBlameAmongUnitsOnProbation) {
  const auto Found = attributeCrash({{0, Milliseconds(0), true},
                                     {1, Milliseconds(1999), true},
                                     {2, Milliseconds(2000), true}});
  CHECK(Blame::Shared == Found.Certainty);
  LONGS_EQUAL(2, Found.Units.size());
}

TEST(CrashAttribution, BlamesTheUnitOnProbationBeforeOlderOnes) {
  const auto Found = attributeCrash({{0, Milliseconds(5000), true},
                                     {1, Milliseconds(400), true},
                                     {2, Milliseconds(60000), true}});
  CHECK(Blame::Certain == Found.Certainty);
  LONGS_EQUAL(1, Found.Units.at(0));
}

TEST(CrashAttribution, IsNotCertainThatAUnitStartedOrAfterItsProbation) {
  CHECK(Blame::Alone ==
        attributeCrash({{0, Milliseconds(0), false}}).Certainty);
  CHECK(Blame::Alone ==
        attributeCrash({{0, Milliseconds(3000), true}}).Certainty);
}

TEST(CrashAttribution, BlamesNoUnitThatHasRunForLong) {
  CHECK_TRUE(attributeCrash({}).Units.empty());
  CHECK_TRUE(attributeCrash({{0, Milliseconds(10000), true}}).Units.empty());
}

// Pattern: two workers crash by chance under a task whose run had ended there
// unnoticed, and a third one with its neighbour. The job was given up.
TEST(CrashAttribution, ProvesAUnitDeadlyByThreeCertainCrashesOnSeveralNodes) {
  CHECK_FALSE(historyOf({{Blame::Certain, "n1"}, {Blame::Certain, "n2"}})
                  .provesUnitDeadly());
  CHECK_FALSE(historyOf({{Blame::Shared, "n1"},
                         {Blame::Certain, "n2"},
                         {Blame::Certain, "n3"}})
                  .provesUnitDeadly());
  CHECK_TRUE(historyOf({{Blame::Certain, "n1"},
                        {Blame::Certain, "n2"},
                        {Blame::Certain, "n3"}})
                 .provesUnitDeadly());
  // Without a third certain crash, the fifth start is the last.
  CHECK_TRUE(historyOf({{Blame::Shared, "n1"},
                        {Blame::Shared, "n2"},
                        {Blame::Shared, "n3"},
                        {Blame::Certain, "n4"},
                        {Blame::Certain, "n5"}})
                 .provesUnitDeadly());
}

TEST(CrashAttribution, NeverProvesAUnitDeadlyBySharedCrashes) {
  CHECK_FALSE(historyOf({{Blame::Shared, "n1"},
                         {Blame::Shared, "n2"},
                         {Blame::Shared, "n3"},
                         {Blame::Shared, "n4"},
                         {Blame::Shared, "n5"},
                         {Blame::Shared, "n6"},
                         {Blame::Certain, "n7"}})
                  .provesUnitDeadly());
}

// Pattern: a faulty worker crashes whatever it runs.
TEST(CrashAttribution, RequiresMoreCrashesOnASingleNode) {
  CrashHistory History = historyOf(
      {{Blame::Certain, "n1"}, {Blame::Certain, "n1"}, {Blame::Certain, "n1"}});
  History.record(Blame::Certain, NodeId("n1"), 4);
  CHECK_FALSE(History.provesUnitDeadly());
  History.record(Blame::Certain, NodeId("n1"), 5);
  CHECK_TRUE(History.provesUnitDeadly());
}

// Pattern: the agent is restarted at each crash, so that no crash is certain.
TEST(CrashAttribution, ProvesAUnitDeadlyByFiveCrashesAlone) {
  CrashHistory History = historyOf({{Blame::Alone, "n1"},
                                    {Blame::Alone, "n2"},
                                    {Blame::Alone, "n3"},
                                    {Blame::Alone, "n4"}});
  CHECK_FALSE(History.provesUnitDeadly());
  History.record(Blame::Alone, NodeId("n5"), 5);
  CHECK_TRUE(History.provesUnitDeadly());
}

TEST(CrashAttribution, CountsOneCrashPerRun) {
  CrashHistory History;
  CHECK_TRUE(History.record(Blame::Certain, NodeId("n1"), 4));
  CHECK_FALSE(History.record(Blame::Certain, NodeId("n2"), 4));
  LONGS_EQUAL(1, History.crashes());
}

TEST(CrashAttribution, RestoresAHistoryFromItsRecord) {
  const CrashHistory History = CrashHistory::fromRecord(
      historyOf({{Blame::Shared, "n1"}, {Blame::Certain, "n2"}}).toRecord());
  CHECK_TRUE(History.isSuspect());
  LONGS_EQUAL(2, History.crashes());
  CrashHistory Next = History;
  CHECK_FALSE(Next.record(Blame::Certain, NodeId("n3"), 2));
  Next.record(Blame::Certain, NodeId("n3"), 3);
  CHECK_FALSE(Next.provesUnitDeadly());
  Next.record(Blame::Certain, NodeId("n3"), 4);
  CHECK_TRUE(Next.provesUnitDeadly());
}

TEST(CrashAttribution, ReadsARecordWithoutCrashes) {
  const CrashHistory History =
      CrashHistory::fromRecord(wire::TaskRecord().crashes());
  CHECK_TRUE(History.empty());
  CHECK_FALSE(History.isSuspect());
}
