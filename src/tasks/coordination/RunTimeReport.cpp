#include "tasks/coordination/RunTimeReport.h"

#include "base/StateDump.h"

#include <algorithm>

namespace baobabcove {

namespace {

constexpr double Percent = 100;
/// The dump also goes to the log, as one line.
constexpr std::size_t MaxRows = 100;

} // namespace

void recordPredictions(TaskRunTimes &RunTimes, Metrics &Stats) {
  for (double Ratio : RunTimes.takePredictionRatios()) {
    Stats.count("run_time_samples");
    Stats.sample("run_time_predicted_percent", Percent * Ratio);
  }
}

void recordSpeeds(const TaskRunTimes &RunTimes, Metrics &Stats) {
  for (const auto &[Node, Speed] : RunTimes.speeds().known())
    Stats.sample("worker_speed_percent", Percent * Speed.Factor);
}

Poco::JSON::Object::Ptr describe(const TaskRunTimes &RunTimes) {
  std::vector<RunTimeRow> Rows = RunTimes.model().rows();
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const RunTimeRow &L, const RunTimeRow &R) {
                     return L.Samples > R.Samples;
                   });
  auto Dump = makeDump();
  Dump->set("enabled", RunTimes.learns());
  Dump->set("samples", RunTimes.model().samples());
  Dump->set("rows", Rows.size());
  Rows.resize(std::min(Rows.size(), MaxRows));
  auto Durations = makeDump();
  for (const RunTimeRow &Row : Rows) {
    auto Shown = makeDump();
    Shown->set("samples", Row.Samples);
    Shown->set("p50_ms", Row.Durations.median().count());
    Shown->set("p90_ms", Row.Durations.quantile(0.9).count());
    Durations->set(Row.Name, Shown);
  }
  Dump->set("durations", Durations);
  auto Speeds = makeDump();
  for (const auto &[Node, Speed] : RunTimes.speeds().known()) {
    auto Shown = makeDump();
    Shown->set("factor", Speed.Factor);
    Shown->set("confidence", Speed.Confidence);
    Speeds->set(Node.str(), Shown);
  }
  Dump->set("speeds", Speeds);
  return Dump;
}

} // namespace baobabcove
