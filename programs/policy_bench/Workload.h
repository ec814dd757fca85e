/// \file
/// Seeded workloads of the two deployments, with their faults.

#ifndef BAOBABCOVE_POLICY_BENCH_WORKLOAD_H
#define BAOBABCOVE_POLICY_BENCH_WORKLOAD_H

#include "baobabcove/Scheduler.h"

#include <string>
#include <vector>

namespace baobabcove::bench {

/// Which faults are switched on.
struct Faults {
  bool Lies = false;
  bool Never = false;
  bool Cancels = false;
  bool FailingWorker = false;
  bool Losses = false;
  bool UsageLag = false;
};

/// Reads "all", "none" or a list such as "lies,never". Returns false when a
/// name is unknown.
bool readFaults(const std::string &Text, Faults &Result);

/// A job and what is true of it.
struct PlannedJob {
  JobInfo Info;
  Milliseconds Run{0};
  /// Fails on every worker.
  bool Never = false;
  std::uint64_t MemoryMb = 0;
  /// When the caller cancels it, if it has not ended; zero for never.
  Instant CancelAt;
};

/// A worker that is away for a while.
struct Absence {
  std::size_t Worker = 0;
  Instant From;
  Instant Until;
};

struct Workload {
  std::vector<WorkerInfo> Workers;
  std::vector<WorkspaceGuarantee> Guarantees;
  std::vector<PlannedJob> Jobs;
  std::vector<Absence> Absences;
  /// Index of the worker that fails everything; past the end for none.
  std::size_t FailingWorker = 0;
  /// The deployment's weight of completion time.
  double CompletionWeight = 0.5;
};

/// Makes the workload of "kumasaka" or "skoljka" at an offered load.
Workload makeWorkload(const std::string &Deployment, double Load,
                      std::uint64_t Seed, const Faults &On);

} // namespace baobabcove::bench

#endif // BAOBABCOVE_POLICY_BENCH_WORKLOAD_H
