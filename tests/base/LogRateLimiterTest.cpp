#include "base/LogRateLimiter.h"
#include "base/Metrics.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(LogRateLimiter) {
  LogRateLimiter Limiter;

  int acquire(int FromMs, int ToMs, int LinesPerMs) {
    int Acquired = 0;
    for (int Ms = FromMs; Ms < ToMs; ++Ms)
      for (int I = 0; I < LinesPerMs; ++I)
        Acquired +=
            Limiter.tryAcquire(Instant(Milliseconds(1000 + Ms))) ? 1 : 0;
    return Acquired;
  }
};

TEST(LogRateLimiter, AllowsABurst) { LONGS_EQUAL(1000, acquire(0, 1, 1000)); }

TEST(LogRateLimiter, LimitsTheSustainedRate) {
  acquire(0, 1, 1000);
  const int Acquired = acquire(1, 10001, 5);
  CHECK(Acquired <= 2001);
  CHECK(Acquired >= 1990);
}

TEST(LogRateLimiter, RefillsWhenIdle) {
  acquire(0, 1, 2000);
  LONGS_EQUAL(1000, acquire(20000, 20001, 2000));
}

TEST_GROUP(MetricsText){};

TEST(MetricsText, ShowsCountersAndHistograms) {
  Metrics Stats;
  Stats.count("calls", 3);
  Stats.sample("call_ms", 4);
  Stats.sample("call_ms", 400);
  const std::string Text = Stats.text();
  for (const char *Line :
       {"baobabcove_calls 3\n", "baobabcove_call_ms_bucket{le=\"2\"} 0\n",
        "baobabcove_call_ms_bucket{le=\"5\"} 1\n",
        "baobabcove_call_ms_bucket{le=\"500\"} 2\n",
        "baobabcove_call_ms_count 2\n", "baobabcove_call_ms_sum 404\n"})
    CHECK(Text.find(Line) != std::string::npos);
}
