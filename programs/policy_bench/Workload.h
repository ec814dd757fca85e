#ifndef BAOBABCOVE_POLICY_BENCH_WORKLOAD_H
#define BAOBABCOVE_POLICY_BENCH_WORKLOAD_H

#include "baobabcove/Scheduler.h"

#include <string>
#include <vector>

namespace baobabcove::bench {

/// The faults that a workload contains.
struct Faults {
  /// Jobs declare wrong run times.
  bool WrongRunTimes = false;
  /// Some jobs fail on every worker.
  bool FailingJobs = false;
  /// Callers cancel some of their jobs.
  bool Cancellations = false;
  /// All tasks fail on one worker.
  bool FailingWorker = false;
  /// Workers are lost and return.
  bool WorkerLosses = false;
  /// Jobs use other amounts of memory than declared; a higher usage is reported
  /// with a delay.
  bool UsageLag = false;
};

/// Parses "all", "none" or a list such as "lies,never". Returns false when a
/// name is unknown.
bool readFaults(const std::string &Text, Faults &Result);

/// A job and its actual behaviour.
struct PlannedJob {
  JobInfo Info;
  /// Actual run time.
  Milliseconds Run{0};
  /// Fails on every worker.
  bool AlwaysFails = false;
  /// Actual memory of each task.
  std::uint64_t MemoryMb = 0;
  /// When the caller cancels the job if it has not ended; zero for never.
  Instant CancelAt;
};

/// Period in which a worker is lost.
struct Outage {
  std::size_t Worker = 0;
  Instant From;
  Instant Until;
};

/// A seeded workload of a deployment with its faults.
struct Workload {
  std::vector<WorkerInfo> Workers;
  std::vector<WorkspaceGuarantee> Guarantees;
  std::vector<PlannedJob> Jobs;
  std::vector<Outage> Outages;
  /// Index of the worker on which all tasks fail; past the end for none.
  std::size_t FailingWorker = 0;
  /// SchedulerOptions::CompletionWeight of the deployment.
  double CompletionWeight = 0.5;
};

/// Generates the workload of the deployment "kumasaka" or "skoljka". \p Load is
/// the offered load as a share of all accelerators over a day.
Workload makeWorkload(const std::string &Deployment, double Load,
                      std::uint64_t Seed, const Faults &Enabled);

} // namespace baobabcove::bench

#endif // BAOBABCOVE_POLICY_BENCH_WORKLOAD_H
