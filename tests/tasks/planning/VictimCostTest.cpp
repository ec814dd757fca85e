#include "tasks/planning/VictimCost.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(VictimCost) {
  PlanInput Input;

  /// Adds a run of a whole accelerator on worker 0.
  void addRun(const std::string &Step, const std::string &Gang = "",
              std::size_t Members = 1, double Loss = 1) {
    Input.Preemptible.push_back({0, JobId("j"), Input.Preemptible.size(),
                                 Resources{0, 0, 1}, Gang, Loss, Step, Members,
                                 false});
  }

  std::pair<VictimCost, std::optional<std::size_t>> costToFree(
      std::int64_t Accelerators) {
    const std::vector<bool> Removed(Input.Preemptible.size());
    return VictimCosts(Input).untilFits(0, Resources(), {0, 0, Accelerators},
                                        Removed);
  }
};

// Guards against members of a gang that are counted once more for each member
// on the same worker, although they all end with the first.
TEST(VictimCost, CountsAGangOnce) {
  Input.MayMiss["s"] = 2;
  addRun("s", "s", 2);
  addRun("s", "s", 2);
  const auto [Cost, First] = costToFree(2);
  CHECK_TRUE(First.has_value());
  LONGS_EQUAL(0, Cost.Violations);
}

// Guards against a gang that is valued as a single task.
TEST(VictimCost, ViolatesTheLimitByAGangThatIsLarger) {
  Input.MayMiss["s"] = 1;
  addRun("s", "s", 2);
  LONGS_EQUAL(1, costToFree(1).first.Violations);
}

TEST(VictimCost, CountsEachStepBeyondItsLimitOnce) {
  Input.MayMiss["s"] = 1;
  Input.MayMiss["t"] = 0;
  for (int Run = 0; Run < 3; ++Run)
    addRun("s");
  addRun("t");
  LONGS_EQUAL(0, costToFree(1).first.Violations);
  LONGS_EQUAL(1, costToFree(3).first.Violations);
  LONGS_EQUAL(2, costToFree(4).first.Violations);
}

// Guards against a step that exceeds its limit where batch runs would do.
TEST(VictimCost, PrefersAnyLossToAViolation) {
  Input.MayMiss["s"] = 0;
  addRun("s");
  addRun("", "", 1, 1e6);
  const auto [Cost, First] = costToFree(1);
  LONGS_EQUAL(1, First.value_or(0));
  LONGS_EQUAL(0, Cost.Violations);
}

TEST(VictimCost, NamesNoVictimIfAllDoNotSuffice) {
  addRun("");
  CHECK_FALSE(costToFree(2).second.has_value());
}
