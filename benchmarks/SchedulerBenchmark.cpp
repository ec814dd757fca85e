/// \file
/// Time of one decision against the number of workers.

#include "baobabcove/Scheduler.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using namespace baobabcove;

constexpr std::uint32_t WorkerSize = 8;
/// Running tasks for each worker, as at 1,125 workers and 5,000 tasks.
constexpr double TasksPerWorker = 4.45;
constexpr int WorkersPerRack = 3;

JobInfo job(std::uint64_t Number, std::uint32_t Tasks,
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

/// A cell in which most workers are busy.
class Cell {
public:
  explicit Cell(int Workers) : Policy(SchedulerOptions()) {
    for (int I = 0; I < Workers; ++I) {
      WorkerInfo Info;
      Info.Id = NodeId("n" + std::to_string(I));
      Info.Place = PlaceName("p");
      Info.DataCentre = DataCentreName("d");
      Info.Rack = RackName("r" + std::to_string(I / WorkersPerRack));
      Info.Accelerators = WorkerSize;
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

  /// Submits a job and decides; returns the time of the decision in µs.
  double submit(std::uint32_t Tasks, std::uint32_t Accelerators) {
    Now += Milliseconds(10);
    Policy.jobQueued(job(Next++, Tasks, Accelerators, Now), Now);
    const auto Began = std::chrono::steady_clock::now();
    const auto Commands = Policy.decide(Now);
    const std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Began;
    for (const Command &Each : Commands)
      if (const auto *Start = std::get_if<StartGang>(&Each)) {
        Policy.gangStarted(Start->Job, Start->Number, Now);
        Running.push_back(*Start);
      }
    return Took.count();
  }

  /// Ends the gang that began first.
  void endOne() {
    if (Running.empty())
      return;
    const StartGang Gang = Running.front();
    Running.pop_front();
    GangEnd End;
    End.Progress = Milliseconds(60000);
    Policy.gangEnded(Gang.Job, Gang.Number, End, Now);
  }

  /// Ends the gang that began last.
  void endLast() {
    if (!Running.empty())
      std::rotate(Running.begin(), Running.end() - 1, Running.end());
    endOne();
  }

private:
  Scheduler Policy;
  Instant Now{Milliseconds(1000000)};
  std::uint64_t Next = 0;
  std::deque<StartGang> Running;
};

void report(benchmark::State &State, std::vector<double> Times) {
  std::sort(Times.begin(), Times.end());
  State.counters["p50_us"] = Times[Times.size() / 2];
  State.counters["p99_us"] = Times[Times.size() * 99 / 100];
}

void decideOneJob(benchmark::State &State) {
  Cell Site(static_cast<int>(State.range(0)));
  std::vector<double> Times;
  for (auto Each : State) {
    (void)Each;
    Site.endOne();
    Times.push_back(Site.submit(1, 1));
  }
  report(State, std::move(Times));
}

void decideWidestGang(benchmark::State &State) {
  Cell Site(static_cast<int>(State.range(0)));
  std::vector<double> Times;
  for (auto Each : State) {
    (void)Each;
    Times.push_back(Site.submit(1024, 1));
    Site.endLast();
  }
  report(State, std::move(Times));
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
