#include "tasks/TaskCoordinator.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(TaskCoordinator){
    /// Returns an upper bound on the workers that all rounds of a second look
    /// at.
    static double workersPerSecond(std::size_t Workers){
        const double RoundsPerSecond = 1e6 /
                                       double(pauseAfterRound(Workers).count());
return RoundsPerSecond * double(Workers);
}
}
;

// Pattern: hundreds of workers report twice a second, and each report asks for
// a round that looks at all of them.
TEST(TaskCoordinator, WorkDoesNotGrowWithTheSquareOfTheWorkers) {
  CHECK_TRUE(workersPerSecond(240) <= workersPerSecond(11) * 1.01);
  // Beyond the longest pause it grows no faster than the workers.
  CHECK_TRUE(workersPerSecond(9000) <= workersPerSecond(900) * 10.01);
}

TEST(TaskCoordinator, PausesBrieflyOnASmallCell) {
  CHECK_TRUE(pauseAfterRound(11) < Milliseconds(2));
  CHECK_TRUE(pauseAfterRound(9000) <= Milliseconds(50));
}
