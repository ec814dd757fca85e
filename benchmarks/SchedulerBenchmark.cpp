/// \file
/// Measures the time of one scheduling decision by the number of workers.

#include "baobabcove/Scheduler.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using namespace baobabcove;

constexpr std::uint32_t AcceleratorsPerWorker = 8;
/// Running tasks per worker: 5,000 tasks on 1,125 workers.
constexpr double TasksPerWorker = 4.45;
constexpr int WorkersPerRack = 3;

JobInfo makeJob(std::uint64_t Number, std::uint32_t Tasks,
                std::uint32_t Accelerators, Instant Now) {
  JobInfo Info;
  Info.Id = JobId("j" + std::to_string(Number));
  Info.Workspace = WorkspaceId("w" + std::to_string(Number % 49));
  Info.Class = "c" + std::to_string(Number % 5);
  Info.Tasks = Tasks;
  Info.AcceleratorsPerTask = Accelerators;
  Info.Submitted = Now;
  return Info;
}

/// A scheduler with workers of which most are busy.
class BusyCell {
public:
  explicit BusyCell(int Workers) : Policy(SchedulerOptions()) {
    for (int I = 0; I < Workers; ++I) {
      WorkerInfo Info;
      Info.Id = NodeId("n" + std::to_string(I));
      Info.Place = PlaceName("p");
      Info.DataCentre = DataCentreName("d");
      Info.Rack = RackName("r" + std::to_string(I / WorkersPerRack));
      Info.Accelerators = AcceleratorsPerWorker;
      Info.Cores = 60;
      Info.MemoryMb = 260000;
      Policy.workerSeen(Info, Now);
    }
    std::vector<WorkspaceGuarantee> Guarantees;
    Guarantees.reserve(49);
    for (int I = 0; I < 49; ++I)
      Guarantees.push_back({WorkspaceId("w" + std::to_string(I)),
                            {{static_cast<std::uint32_t>(Workers / 98), 8,
                              Adjacency::SameWorker}}});
    Policy.setGuarantees(Guarantees);
    const auto Tasks = static_cast<int>(Workers * TasksPerWorker);
    for (int I = 0; I < Tasks; ++I)
      submit(1, 1);
  }

  /// Submits a job and starts what the scheduler decides. Returns the time of
  /// the decision in µs.
  double submit(std::uint32_t Tasks, std::uint32_t Accelerators) {
    Now += Milliseconds(10);
    Policy.jobQueued(makeJob(NextJob++, Tasks, Accelerators, Now), Now);
    const auto DecisionStart = std::chrono::steady_clock::now();
    const auto Commands = Policy.decide(Now);
    const std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - DecisionStart;
    for (const Command &Each : Commands)
      if (const auto *Start = std::get_if<StartGang>(&Each)) {
        Policy.gangStarted(Start->Job, Start->Number, Now);
        Running.push_back(*Start);
      }
    return Elapsed.count();
  }

  /// Ends the running gang that started first.
  void endOldestGang() {
    if (Running.empty())
      return;
    const StartGang Gang = Running.front();
    Running.pop_front();
    GangEnd End;
    End.Progress = Milliseconds(60000);
    Policy.gangEnded(Gang.Job, Gang.Number, End, Now);
  }

  /// Ends the running gang that started last.
  void endNewestGang() {
    if (!Running.empty())
      std::rotate(Running.begin(), Running.end() - 1, Running.end());
    endOldestGang();
  }

private:
  Scheduler Policy;
  Instant Now{Milliseconds(1000000)};
  std::uint64_t NextJob = 0;
  std::deque<StartGang> Running;
};

void report(benchmark::State &State, std::vector<double> TimesUs) {
  std::sort(TimesUs.begin(), TimesUs.end());
  State.counters["p50_us"] = TimesUs[TimesUs.size() / 2];
  State.counters["p99_us"] = TimesUs[TimesUs.size() * 99 / 100];
}

void decideOneJob(benchmark::State &State) {
  BusyCell Cell(static_cast<int>(State.range(0)));
  std::vector<double> TimesUs;
  for (auto Each : State) {
    (void)Each;
    Cell.endOldestGang();
    TimesUs.push_back(Cell.submit(1, 1));
  }
  report(State, std::move(TimesUs));
}

void decideWidestGang(benchmark::State &State) {
  BusyCell Cell(static_cast<int>(State.range(0)));
  std::vector<double> TimesUs;
  for (auto Each : State) {
    (void)Each;
    TimesUs.push_back(Cell.submit(1024, 1));
    Cell.endNewestGang();
  }
  report(State, std::move(TimesUs));
}

} // namespace

BENCHMARK(decideOneJob)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1125)
    ->Arg(3000)
    ->Arg(9000)
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(decideWidestGang)
    ->Arg(1125)
    ->Arg(9000)
    ->Iterations(50)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
