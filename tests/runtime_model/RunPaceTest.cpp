#include "runtime_model/RunPace.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(RunPace) {
  RunPace Pace;

  static BootInstant at(int Ms) {
    return BootInstant(Milliseconds(50000 + Ms));
  }
};

// Guards against having no forecast until a run has ended.
TEST(RunPace, ForecastsTheEndAfterTwoSeconds) {
  for (int Ms = 0; Ms <= 2000; Ms += 500)
    Pace.note(static_cast<std::uint32_t>(Ms / 100), at(Ms));
  DOUBLES_EQUAL(10000, double(Pace.projected()->count()), 1);
  DOUBLES_EQUAL(8000, double(Pace.remaining(at(2000))->count()), 1);
  DOUBLES_EQUAL(7500, double(Pace.remaining(at(2500))->count()), 1);
}

// Guards against a pace that is far too fast because the first listing came
// just before a change of the percent.
TEST(RunPace, MeasuresFromTheFirstChange) {
  Pace.note(0, at(0));
  Pace.note(1, at(100));
  CHECK_FALSE(Pace.msPerPercent().has_value());
  Pace.note(2, at(3100));
  DOUBLES_EQUAL(3000, *Pace.msPerPercent(), 1);
}

// Guards against counting the part that an earlier run did as done in no time.
TEST(RunPace, SubtractsWhatAResumedRunHadDone) {
  RunPace Resumed(true);
  Resumed.note(50, at(0));
  // The restore takes 1 s.
  Resumed.note(51, at(1100));
  Resumed.note(75, at(3500));
  DOUBLES_EQUAL(10000, double(Resumed.whole(at(6000))->count()), 1);
}

// Guards against a sample from a resumed run that does not tell what it
// had done.
TEST(RunPace, GivesNoDurationForAResumedRunThatStartsAtZero) {
  RunPace Resumed(true);
  Resumed.note(0, at(0));
  Resumed.note(50, at(1000));
  CHECK_FALSE(Resumed.whole(at(2000)).has_value());
  RunPace Fresh;
  Fresh.note(0, at(0));
  DOUBLES_EQUAL(2000, double(Fresh.whole(at(2000))->count()), 1);
}

// Guards against extrapolating from the last few percent.
TEST(RunPace, GivesNoDurationForARunFirstListedNearItsEnd) {
  Pace.note(90, at(0));
  CHECK_FALSE(Pace.whole(at(100)).has_value());
}
