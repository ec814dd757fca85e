#include "Deployment.h"
#include "GangJournal.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove::testing;

TEST_GROUP(Journal){};

TEST(Journal, FindsARequestThatRanTwice) {
  const auto Twice =
      findDuplicateRuns({"1 run shed/a x", "2 run shed/b x", "3 run shed/a x"});
  LONGS_EQUAL(1, Twice.size());
  STRCMP_EQUAL("shed/a", Twice[0].c_str());
}

TEST(Journal, FindsAttemptsThatOverlap) {
  const auto Parts = parsePartRuns({"10 start j.1 8", "50 end j.1 lapsed",
                                    "40 start j.2 8", "90 end j.2 succeeded"});
  LONGS_EQUAL(1, findGangViolations(Parts, {{"j", 8}}, 1000).size());
}

TEST(Journal, FindsAPartThatOutlivesItsGang) {
  const auto Parts = parsePartRuns({"10 start j.1 8", "9000 end j.1 stopped"});
  LONGS_EQUAL(1, findGangViolations(Parts, {{"j", 16}}, 6000).size());
}

TEST(Journal, AllowsCompleteGangsAndShortIncompleteOnes) {
  const auto Parts =
      parsePartRuns({"10 start j.1 8", "3000 end j.1 stopped",
                     "4000 start j.2 16", "9000 end j.2 succeeded"});
  LONGS_EQUAL(0, findGangViolations(Parts, {{"j", 16}}, 6000).size());
}
