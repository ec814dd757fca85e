#ifndef BAOBABCOVE_POLICY_BENCH_CELLSIMULATOR_H
#define BAOBABCOVE_POLICY_BENCH_CELLSIMULATOR_H

#include "Measures.h"
#include "Workload.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace baobabcove::bench {

/// Discrete-event simulation of one cell in virtual time. Runs a workload on
/// simulated workers under the decisions of a Scheduler.
class CellSimulator {
public:
  CellSimulator(const Workload &Input, const SchedulerOptions &Options,
                std::uint64_t Seed);

  Measures run();

private:
  struct Event {
    Instant At;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Sequence > Other.Sequence;
    }
  };

  /// State of a job in the simulation.
  struct SimulatedJob {
    const PlannedJob *Plan = nullptr;
    /// First submission of the work, before any resubmission.
    Instant Origin;
    /// Number of earlier submissions of the same work.
    int Resubmits = 0;
    std::uint64_t Attempt = 0;
    std::vector<Placement> Members;
    bool Running = false;
    bool Stopping = false;
    Milliseconds Resume{0};
    Instant StartedAt;
    Instant FirstStart;
    Instant EndedAt;
    bool Started = false;
    bool Ended = false;
    bool Succeeded = false;
    bool Cancelled = false;
    /// Start of the current wait within the guarantee.
    Instant EligibleSince;
    bool Eligible = false;
    bool ViolationCounted = false;
  };

  void schedule(Instant When, std::function<void()> Action);
  void scheduleWorkload();
  SimulatedJob &submit(const PlannedJob &Plan, Instant Origin);
  void resubmit(const SimulatedJob &Unsuccessful);
  void decide();
  void execute(const StartGang &Start);
  void execute(const StopGang &Stop);
  void execute(const EndJob &End);
  void startGang(SimulatedJob &Job);
  void endGang(SimulatedJob &Job, const GangEnd &End);
  void loseWorker(std::size_t Index);
  Milliseconds checkpointTime();
  bool holdsFailingWorker(const SimulatedJob &Job) const;
  bool withinGuarantee(const SimulatedJob &Job) const;
  void accumulate(Instant Until);
  void checkGuarantees();
  void recordWait(SimulatedJob &Job);
  double lowerBoundMean() const;
  Measures measure() const;

  const Workload &Input;
  /// Jobs that their callers submit again after an avoidable failure.
  std::deque<PlannedJob> Resubmissions;
  Scheduler JobScheduler;
  std::mt19937_64 Random;
  std::priority_queue<Event> Events;
  std::uint64_t NextSequence = 0;
  Instant Now;
  std::map<JobId, SimulatedJob> Jobs;
  std::set<JobId> OpenJobs;
  std::set<std::string> DownWorkers;
  std::map<std::string, std::uint32_t> InUse;
  /// Accelerator seconds that were free while the largest pending gang was
  /// small enough but did not fit.
  double FragmentedFreeTime = 0;
  /// Accelerator seconds that were free.
  double FreeTime = 0;
  double BusyTime = 0;
  double QuarantineTime = 0;
  double BusyAccelerators = 0;
  /// Accelerator seconds of work that was not kept.
  double LostTime = 0;
  std::vector<double> GuaranteedWaits;
  std::vector<double> UrgentWaits;
  std::vector<double> DecisionUs;
  std::uint64_t Violations = 0;
  std::uint64_t PartialGangs = 0;
  std::map<std::string, std::uint64_t> Stops;
};

} // namespace baobabcove::bench

#endif // BAOBABCOVE_POLICY_BENCH_CELLSIMULATOR_H
