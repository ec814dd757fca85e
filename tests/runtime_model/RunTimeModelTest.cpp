#include "runtime_model/RunTimeModel.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace baobabcove;

TEST_GROUP(RunTimeModel) {
  RunTimeModel Model;
  TaskKind Kind{"q", "img", "ws", 1, 4};
  std::mt19937 Random{7};

  /// Adds runs whose logarithms have a standard deviation of 0.4, of which
  /// \p TailPercent of 100 take seven times as long.
  void learn(const TaskKind &Of, double MedianMs, int Runs, int TailPercent = 0,
             std::int64_t DeclaredMs = 0) {
    std::normal_distribution<double> Spread(0, 0.4);
    for (int R = 0; R < Runs; ++R) {
      const double Tail = R % 100 < TailPercent ? 7 : 1;
      Model.add(Of, Milliseconds(DeclaredMs),
                Milliseconds(
                    std::lround(MedianMs * Tail * std::exp(Spread(Random)))));
    }
  }

  double median(const TaskKind &Of, std::int64_t DeclaredMs) {
    return double(
        Model.estimate(Of, Milliseconds(DeclaredMs)).median().count());
  }
};

// Guards against a model that invents durations before it has seen a run.
TEST(RunTimeModel, UsesTheDeclaredDurationWithoutSamples) {
  DOUBLES_EQUAL(5000, median(Kind, 5000), 1);
  CHECK(Model.estimate(Kind, Milliseconds(5000)).quantile(0.9).count() > 7500);
}

// Guards against trusting a declared duration that is off by a factor of ten
// although the runs of the queue show it.
TEST(RunTimeModel, OutweighsADeclarationThatIsOffByTen) {
  learn(Kind, 2000, 30, 0, 20000);
  CHECK(median(Kind, 20000) > 1500);
  CHECK(median(Kind, 20000) < 3000);
}

// Guards against a single job with a wrong declaration in a queue of correct
// ones being taken at its word.
TEST(RunTimeModel, DoubtsOneDeclarationThatDiffersFromTheQueue) {
  learn(Kind, 2000, 30, 0, 2000);
  CHECK(median(Kind, 20000) < 13000);
  CHECK(median(Kind, 2000) > 1500);
  CHECK(median(Kind, 2000) < 2700);
}

// Guards against a tail of 3 % that moves the median.
TEST(RunTimeModel, KeepsItsMedianUnderATail) {
  learn(Kind, 2000, 200, 3);
  CHECK(median(Kind, 0) > 1600);
  CHECK(median(Kind, 0) < 2500);
}

// Guards against quantiles that do not match the spread of the runs.
TEST(RunTimeModel, PredictsTheUpperQuantile) {
  learn(Kind, 2000, 300);
  const double Actual = 2000 * std::exp(1.28 * 0.4);
  const auto Q =
      double(Model.estimate(Kind, Milliseconds(0)).quantile(0.9).count());
  CHECK(Q > Actual * 0.75);
  CHECK(Q < Actual * 1.4);
}

// Guards against a new image of a known queue starting from nothing.
TEST(RunTimeModel, FallsBackToTheQueueForANewImage) {
  learn(Kind, 2000, 30);
  TaskKind Other = Kind;
  Other.Image = "other";
  Other.Workspace = "elsewhere";
  const double Estimated = median(Other, 0);
  CHECK(Estimated > 1500);
  CHECK(Estimated < 2700);
}

// Guards against averaging over images that differ.
TEST(RunTimeModel, DistinguishesImagesOfOneQueue) {
  TaskKind Slow = Kind;
  Slow.Image = "slow";
  for (int Round = 0; Round < 20; ++Round) {
    learn(Kind, 1000, 1);
    learn(Slow, 9000, 1);
  }
  CHECK(median(Kind, 0) < 2200);
  CHECK(median(Slow, 0) > 4000);
}

// Guards against memory that grows with the number of images.
TEST(RunTimeModel, KeepsABoundedNumberOfRows) {
  RunTimeModel Small(16);
  for (int Image = 0; Image < 1000; ++Image) {
    TaskKind Of = Kind;
    Of.Image = std::to_string(Image);
    Small.add(Of, Milliseconds(0), Milliseconds(1000));
  }
  LONGS_EQUAL(16, Small.rows().size());
  LONGS_EQUAL(1000, Small.samples());
}

TEST_GROUP(DurationEstimate){};

// Guards against a time left of zero, or a negative one, for a run that
// exceeds its expected duration.
TEST(DurationEstimate, GivesMoreTimeToARunThatExceedsTheEstimate) {
  const DurationEstimate Estimate{std::log(2000.0), 0.16};
  const auto Fresh = Estimate.remaining(Milliseconds(0), 0.5);
  DOUBLES_EQUAL(2000, double(Fresh.count()), 2);
  const auto Half = Estimate.remaining(Milliseconds(1000), 0.5);
  CHECK(Half.count() > 900 && Half.count() < 1300);
  DOUBLES_EQUAL(
      10000, double(Estimate.remaining(Milliseconds(20000), 0.5).count()), 1);
}
