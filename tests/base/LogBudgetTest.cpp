#include "base/LogBudget.h"
#include "base/Metrics.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(LogBudget) {
  LogBudget Budget;

  int lines(int FromMs, int ToMs, int PerMs) {
    int Written = 0;
    for (int Ms = FromMs; Ms < ToMs; ++Ms)
      for (int I = 0; I < PerMs; ++I)
        Written += Budget.spend(Instant(Milliseconds(1000 + Ms))) ? 1 : 0;
    return Written;
  }
};

TEST(LogBudget, LetsABurstThrough) { LONGS_EQUAL(1000, lines(0, 1, 1000)); }

TEST(LogBudget, BoundsTheVolumeUnderLoad) {
  lines(0, 1, 1000);
  const int Written = lines(1, 10001, 5);
  CHECK(Written <= 2001);
  CHECK(Written >= 1990);
}

TEST(LogBudget, IsFullAgainAfterAQuietTime) {
  lines(0, 1, 2000);
  LONGS_EQUAL(1000, lines(20000, 20001, 2000));
}

TEST_GROUP(MetricsText){};

TEST(MetricsText, ShowsCountersAndHistograms) {
  Metrics Figures;
  Figures.count("calls", 3);
  Figures.sample("call_ms", 4);
  Figures.sample("call_ms", 400);
  const std::string Text = Figures.text();
  for (const char *Line :
       {"baobabcove_calls 3\n", "baobabcove_call_ms_bucket{le=\"2\"} 0\n",
        "baobabcove_call_ms_bucket{le=\"5\"} 1\n",
        "baobabcove_call_ms_bucket{le=\"500\"} 2\n",
        "baobabcove_call_ms_count 2\n", "baobabcove_call_ms_sum 404\n"})
    CHECK(Text.find(Line) != std::string::npos);
}
