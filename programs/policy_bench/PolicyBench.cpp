#include "CellSimulator.h"

#include <algorithm>
#include <iostream>

#include <Poco/JSON/Object.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, deployment, "kumasaka", "kumasaka or skoljka");
ABSL_FLAG(std::string, policy, "packing", "packing, best-fit or first-fit");
ABSL_FLAG(double, load, 0.85, "offered load, a share of all accelerators");
ABSL_FLAG(uint64_t, seed, 1, "first seed");
ABSL_FLAG(uint64_t, seeds, 1, "number of seeds; medians are printed");
ABSL_FLAG(std::string, faults, "all",
          "all, none, or some of lies,never,cancels,failing-worker,losses,"
          "usage-lag");
ABSL_FLAG(std::string, compare, "",
          "two policies A,B on the same workloads; prints the ratios A/B");
ABSL_FLAG(bool, classes, false,
          "also print mean completion and run time of each class");
ABSL_FLAG(double, weight, -1,
          "weight of completion time, 0 to 1; negative for the deployment's");

namespace {

using namespace baobabcove;
using namespace baobabcove::bench;

/// A printed measure and how it is aggregated over the seeds.
struct Column {
  const char *Name;
  double (*Read)(const Measures &);
  /// Counts of violations are summed, since a median would hide rare ones.
  bool Sum;
};

const std::vector<Column> &columns() {
  using M = Measures;
  static const std::vector<Column> Table = {
      {"mean_completion_s", [](const M &R) { return R.MeanCompletion; }, false},
      {"p99_completion_s", [](const M &R) { return R.P99Completion; }, false},
      {"slowdown_p50", [](const M &R) { return R.SlowdownP50; }, false},
      {"slowdown_p99", [](const M &R) { return R.SlowdownP99; }, false},
      {"fragmentation", [](const M &R) { return R.Fragmentation; }, false},
      {"large_gang_wait_p99_s", [](const M &R) { return R.LargeGangWaitP99; },
       false},
      {"utilisation", [](const M &R) { return R.Utilisation; }, false},
      {"quarantined_mean", [](const M &R) { return R.Quarantined; }, false},
      {"reclaims", [](const M &R) { return double(R.Reclaims); }, false},
      {"reclaim_p99_s", [](const M &R) { return R.ReclaimP99; }, false},
      {"urgent_p99_s", [](const M &R) { return R.UrgentP99; }, false},
      {"lost_accelerator_hours",
       [](const M &R) { return R.LostAcceleratorHours; }, false},
      {"guarantee_violations",
       [](const M &R) { return double(R.GuaranteeViolations); }, true},
      {"partial_gangs", [](const M &R) { return double(R.PartialGangs); },
       true},
      {"starved_jobs", [](const M &R) { return double(R.StarvedJobs); }, true},
      {"succeeded", [](const M &R) { return double(R.Succeeded); }, false},
      {"failed", [](const M &R) { return double(R.Failed); }, false},
      {"completion_over_lower_bound",
       [](const M &R) { return R.OverLowerBound; }, false},
      {"decision_us_p50", [](const M &R) { return R.DecisionP50Us; }, false},
      {"decision_us_p99", [](const M &R) { return R.DecisionP99Us; }, false},
  };
  return Table;
}

std::vector<Measures> runSeeds(const std::string &Policy,
                               const Faults &Enabled) {
  std::vector<Measures> Results;
  const std::uint64_t FirstSeed = absl::GetFlag(FLAGS_seed);
  for (std::uint64_t I = 0; I < absl::GetFlag(FLAGS_seeds); ++I) {
    const Workload Input =
        makeWorkload(absl::GetFlag(FLAGS_deployment), absl::GetFlag(FLAGS_load),
                     FirstSeed + I, Enabled);
    SchedulerOptions Options;
    Options.Policy = Policy;
    const double Weight = absl::GetFlag(FLAGS_weight);
    Options.CompletionWeight = Weight < 0 ? Input.CompletionWeight : Weight;
    Results.push_back(CellSimulator(Input, Options, FirstSeed + I).run());
  }
  return Results;
}

double aggregate(const Column &Measure, const std::vector<Measures> &Results) {
  std::vector<double> Values;
  double Sum = 0;
  for (const Measures &Each : Results) {
    Values.push_back(Measure.Read(Each));
    Sum += Values.back();
  }
  std::sort(Values.begin(), Values.end());
  const std::size_t Half = Values.size() / 2;
  const double Median = Values.size() % 2 == 1
                            ? Values[Half]
                            : (Values[Half - 1] + Values[Half]) / 2;
  return Measure.Sum ? Sum : Median;
}

void print(const std::string &Policy, const std::vector<Measures> &Results) {
  Poco::JSON::Object Line(Poco::JSON_PRESERVE_KEY_ORDER);
  Line.set("deployment", absl::GetFlag(FLAGS_deployment));
  Line.set("policy", Policy);
  Line.set("load", absl::GetFlag(FLAGS_load));
  Line.set("faults", absl::GetFlag(FLAGS_faults));
  Line.set("seeds", Results.size());
  for (const Column &Each : columns())
    Line.set(Each.Name, aggregate(Each, Results));
  if (absl::GetFlag(FLAGS_classes)) {
    for (const auto &[Name, Means] : Results[0].Classes) {
      Line.set("completion_of_" + Name, Means.first);
      Line.set("run_of_" + Name, Means.second);
    }
    for (const auto &[Reason, Count] : Results[0].Stops)
      Line.set("stops_" + Reason, Count);
  }
  Line.stringify(std::cout);
  std::cout << std::endl;
}

void printRatios(const std::vector<Measures> &Left,
                 const std::vector<Measures> &Right) {
  Poco::JSON::Object Line(Poco::JSON_PRESERVE_KEY_ORDER);
  Line.set("ratios", absl::GetFlag(FLAGS_compare));
  for (const Column &Each : columns()) {
    const double Denominator = aggregate(Each, Right);
    if (!Each.Sum && Denominator != 0)
      Line.set(Each.Name, aggregate(Each, Left) / Denominator);
  }
  Line.stringify(std::cout);
  std::cout << std::endl;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage(
      "Simulates the scheduler on a seeded workload in virtual time.");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  Faults Enabled;
  if (!readFaults(absl::GetFlag(FLAGS_faults), Enabled)) {
    std::cerr << "--faults names an unknown fault; see --help.\n";
    return 2;
  }
  const std::string Compare = absl::GetFlag(FLAGS_compare);
  if (Compare.empty()) {
    const std::string Policy = absl::GetFlag(FLAGS_policy);
    print(Policy, runSeeds(Policy, Enabled));
    return 0;
  }
  const std::size_t Comma = Compare.find(',');
  if (Comma == std::string::npos) {
    std::cerr << "--compare expects two policies separated by a comma.\n";
    return 2;
  }
  const auto Left = runSeeds(Compare.substr(0, Comma), Enabled);
  const auto Right = runSeeds(Compare.substr(Comma + 1), Enabled);
  print(Compare.substr(0, Comma), Left);
  print(Compare.substr(Comma + 1), Right);
  printRatios(Left, Right);
  return 0;
}
