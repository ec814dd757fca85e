#include "store/StoreHealth.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

BootInstant at(int Ms) { return BootInstant(Milliseconds(Ms)); }

} // namespace

TEST_GROUP(StoreHealth) { StoreHealth Health; };

TEST(StoreHealth, IsAvailableAfterASingleFailure) {
  Health.recordFailure(at(1000));
  CHECK_FALSE(Health.isUnavailable(at(1001)));
}

TEST(StoreHealth, IsUnavailableAfterConsecutiveFailuresUntilAnAnswer) {
  Health.recordFailure(at(1000));
  Health.recordFailure(at(1200));
  CHECK_TRUE(Health.isUnavailable(at(1300)));
  LONGS_EQUAL(300, Health.outageDuration(at(1300)).count());
  Health.recordSuccess(at(1400));
  CHECK_FALSE(Health.isUnavailable(at(1401)));
  LONGS_EQUAL(0, Health.outageDuration(at(1401)).count());
}

TEST(StoreHealth, IsAvailableAgainWhenTheLastFailureIsOld) {
  Health.recordFailure(at(1000));
  Health.recordFailure(at(1200));
  CHECK_FALSE(Health.isUnavailable(at(5000)));
}

TEST(StoreHealth, RetriesAfterTheLengthOfTheOutageUpToALimit) {
  LONGS_EQUAL(1, retryAfter(Milliseconds(0), 0).count());
  LONGS_EQUAL(1, retryAfter(Milliseconds(1900), 0).count());
  LONGS_EQUAL(3, retryAfter(Milliseconds(3100), 0).count());
  LONGS_EQUAL(4, retryAfter(Milliseconds(60000), 0).count());
}

TEST(StoreHealth, AddsJitterToRetryAfter) {
  LONGS_EQUAL(2, retryAfter(Milliseconds(1500), 0.9).count());
  LONGS_EQUAL(1, retryAfter(Milliseconds(1500), 0.4).count());
}
