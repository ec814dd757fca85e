/// \file
/// Measures the time of one planning round for task jobs by the number of
/// workers, with five waiting tasks for each.

#include "tasks/coordination/JobTracker.h"

#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using namespace baobabcove;

constexpr int TasksPerWorker = 5;
constexpr int TasksPerJob = 10;
constexpr int WorkersPerRack = 20;
constexpr std::int64_t Accelerators = 8;

wire::TaskReport makeReport(int Number) {
  wire::TaskReport Report;
  Report.set_node("n" + std::to_string(Number));
  Report.set_worker(Report.node() + "/w#1");
  Report.set_service("planner");
  Report.set_milli_cores(64000);
  Report.set_memory_mb(262144);
  Report.set_accelerators(Accelerators);
  Report.set_rack("r" + std::to_string(Number / WorkersPerRack));
  Report.add_labels("a");
  Report.add_labels(Report.rack());
  Report.set_complete(true);
  Report.set_agent_life(1);
  return Report;
}

/// Returns a job of \p TasksPerJob tasks; every third is a gang, every fourth
/// is urgent.
std::shared_ptr<wire::TaskJobSpec> makeJob(int Number, std::int64_t Needed) {
  auto Spec = std::make_shared<wire::TaskJobSpec>();
  Spec->set_id("j" + std::to_string(Number));
  Spec->set_queue("q" + std::to_string(Number % 4));
  Spec->set_workspace("w" + std::to_string(Number % 20));
  Spec->set_service("planner");
  Spec->set_accepted_ms(1000000 + Number);
  Spec->set_max_attempts(2);
  Spec->set_priority(Number % 4 == 0 ? 0 : 1);
  Spec->set_stretch(3);
  Spec->set_target_latency_ms(3000);
  wire::StepSpec &Step = *Spec->add_steps();
  Step.set_count(TasksPerJob);
  Step.set_accelerators(Needed);
  Step.set_milli_cores(1000);
  Step.set_memory_mb(1000);
  Step.set_estimate_ms(2000 + Number % 7 * 1000);
  Step.set_gang(Number % 3 == 0);
  return Spec;
}

/// \p Needed accelerators for each task: with one, all tasks fit; with eight, a
/// fifth of them.
void planRound(benchmark::State &State, std::int64_t Needed) {
  std::vector<wire::TaskReport> Reports;
  Reports.reserve(std::size_t(State.range(0)));
  for (int W = 0; W < State.range(0); ++W)
    Reports.push_back(makeReport(W));
  const ClockReading Now{BootInstant(Milliseconds(100000)), 2000000};
  const auto Jobs = int(State.range(0)) * TasksPerWorker / TasksPerJob;
  for (auto _ : State) {
    State.PauseTiming();
    auto Tracker = std::make_unique<JobTracker>();
    for (int J = 0; J < Jobs; ++J)
      Tracker->addJob(makeJob(J, Needed));
    for (const wire::TaskReport &Report : Reports)
      Tracker->applyReport(Report, Now);
    State.ResumeTiming();
    Tracker->plan(Reports, {}, Now);
    State.PauseTiming();
    Tracker.reset();
    State.ResumeTiming();
  }
}

void planWithRoom(benchmark::State &State) { planRound(State, 1); }
void planUnderShortage(benchmark::State &State) {
  planRound(State, Accelerators);
}

/// planTasks alone, for units of which most do not fit, on workers with speeds
/// from \p Speeds.
void planOn(benchmark::State &State, const std::vector<double> &Speeds) {
  PlanInput Input;
  for (int W = 0; W < State.range(0); ++W) {
    PlanWorker Worker;
    Worker.Incarnation = WorkerIncarnation("n" + std::to_string(W) + "/w#1");
    Worker.Service = ServiceName("planner");
    Worker.Rack = RackName("r" + std::to_string(W / WorkersPerRack));
    Worker.Capacity = {64000, 262144, Accelerators};
    Worker.Free = {32000, 131072, 1 + W % 4};
    Worker.Speed = Speeds[std::size_t(W) % Speeds.size()];
    Input.Workers.push_back(std::move(Worker));
  }
  std::vector<std::shared_ptr<wire::TaskJobSpec>> Specs;
  for (int J = 0; J < int(State.range(0)) * TasksPerWorker / TasksPerJob; ++J) {
    Specs.push_back(makeJob(J, 1 + J % 2));
    PlanUnit Unit;
    Unit.Job = JobId(Specs.back()->id());
    Unit.Step = &Specs.back()->steps(0);
    Unit.Service = ServiceName("planner");
    Unit.StepKey = Specs.back()->id() + ".0.0";
    Unit.Rank = J;
    for (std::size_t T = 0; T < TasksPerJob; ++T) {
      if (!Unit.Step->gang())
        Unit.Tasks.clear();
      Unit.Tasks.push_back(T);
      if (!Unit.Step->gang() || T + 1 == TasksPerJob)
        Input.Units.push_back(Unit);
    }
  }
  for (auto _ : State) {
    State.PauseTiming();
    PlanInput Copy = Input;
    State.ResumeTiming();
    benchmark::DoNotOptimize(planTasks(std::move(Copy)));
  }
}

void planUnits(benchmark::State &State) { planOn(State, {1}); }
void planOnUnevenWorkers(benchmark::State &State) {
  planOn(State, {0.7, 0.7, 1.7});
}

BENCHMARK(planWithRoom)->Arg(70)->Arg(1000)->Unit(benchmark::kMillisecond);
BENCHMARK(planUnderShortage)->Arg(70)->Arg(1000)->Unit(benchmark::kMillisecond);
BENCHMARK(planUnits)->Arg(70)->Arg(1000)->Unit(benchmark::kMillisecond);
BENCHMARK(planOnUnevenWorkers)
    ->Arg(70)
    ->Arg(1000)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
