#include "tasks/agent/ReportParts.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

namespace {

constexpr std::size_t ManyRuns = 40000;
constexpr std::size_t MaxMessageBytes = 4 << 20;

template <class T> std::vector<T> many(std::size_t Count) {
  std::vector<T> Items(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Items[I].set_task("a-job-with-a-name-of-usual-length.0.0." +
                      std::to_string(I));
    Items[I].set_run(I + 1);
  }
  return Items;
}

} // namespace

TEST_GROUP(ReportParts) { wire::TaskReport Report; };

// Pattern: a worker has so many runs that its agent's report exceeds the size
// of a message and brings no grant.
TEST(ReportParts, SpreadsManyRunsOverSeveralReports) {
  const auto Running = many<wire::RunStatus>(ManyRuns);
  std::set<std::string> Reported;
  std::size_t Next = 0;
  Next = addRunsFrom(Report, Running, Next);
  const std::uint32_t Parts = Report.running_parts();
  CHECK(Parts > 1);
  for (std::uint32_t Part = 0; Part < Parts; ++Part) {
    CHECK(Report.ByteSizeLong() < MaxMessageBytes / 4);
    for (const wire::RunStatus &Run : Report.running())
      Reported.insert(Run.task());
    Report.Clear();
    Next = addRunsFrom(Report, Running, Next);
  }
  LONGS_EQUAL(ManyRuns, Reported.size());
}

TEST(ReportParts, ReportsFewRunsAsAWhole) {
  LONGS_EQUAL(0, addRunsFrom(Report, many<wire::RunStatus>(1200), 7));
  LONGS_EQUAL(1200, Report.running_size());
  LONGS_EQUAL(0, Report.running_parts());
}

TEST(ReportParts, ReportsTheOldestOfManyEnds) {
  auto Ends = many<wire::RunEnd>(ManyRuns);
  addEnds(Report, Ends);
  STRCMP_EQUAL(Ends.front().task().c_str(), Report.ends(0).task().c_str());
  CHECK(Report.ends_size() > 1000);
  CHECK(Report.ByteSizeLong() < MaxMessageBytes / 4);
}

TEST(ReportParts, BoundsRefusals) {
  addRefusals(Report, many<wire::RunRefusal>(ManyRuns));
  CHECK(Report.refusals_size() > 1000);
  CHECK(Report.ByteSizeLong() < MaxMessageBytes / 4);
}

// Pattern: a part of the lost runs is taken for all of them, and a crash is
// blamed on the wrong ones.
TEST(ReportParts, NamesNoLostWorkerWithTooManyRuns) {
  LostRunMap Lost;
  for (const auto &Run : many<wire::RunKey>(ManyRuns))
    Lost[{Run.task(), Run.run()}] = true;
  Report.set_lost_worker("n1/w#1");
  Report.set_lost_runs_complete(true);
  addLostRuns(Report, Lost);
  LONGS_EQUAL(0, Report.lost_runs_size());
  STRCMP_EQUAL("", Report.lost_worker().c_str());
  CHECK_FALSE(Report.lost_runs_complete());
}
