/// \file
/// Plays a workload against a scheduler in virtual time, with fake workers.

#ifndef BAOBABCOVE_POLICY_BENCH_FAKECELL_H
#define BAOBABCOVE_POLICY_BENCH_FAKECELL_H

#include "Workload.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace baobabcove::bench {

/// What a run is measured by. Times are in seconds.
struct Measures {
  double MeanCompletion = 0;
  double P99Completion = 0;
  double SlowdownP50 = 0;
  double SlowdownP99 = 0;
  double Fragmentation = 0;
  double LargeGangWaitP99 = 0;
  double Utilisation = 0;
  /// Workers in quarantine, on average.
  double Quarantined = 0;
  double ReclaimP99 = 0;
  double UrgentP99 = 0;
  double LostAcceleratorHours = 0;
  double OverLowerBound = 0;
  double DecisionP50Us = 0;
  double DecisionP99Us = 0;
  std::uint64_t Reclaims = 0;
  std::uint64_t GuaranteeViolations = 0;
  std::uint64_t PartialGangs = 0;
  std::uint64_t StarvedJobs = 0;
  std::uint64_t Succeeded = 0;
  std::uint64_t Failed = 0;
  /// Mean completion and mean run time of each class, and stops by reason.
  std::map<std::string, std::pair<double, double>> Classes;
  std::map<std::string, std::uint64_t> Stops;
};

/// One run of one policy.
class FakeCell {
public:
  FakeCell(const Workload &Given, const SchedulerOptions &Options,
           std::uint64_t Seed);

  Measures run();

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Happen;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  /// A job as the fake workers and the measures see it.
  struct Track {
    const PlannedJob *Plan = nullptr;
    /// When the caller first submitted the work.
    Instant Origin;
    int Resubmitted = 0;
    std::uint64_t Attempt = 0;
    std::vector<Placement> Members;
    bool Running = false;
    bool Stopping = false;
    Milliseconds Resume{0};
    Instant Began;
    Instant FirstStart;
    Instant EndedAt;
    bool Started = false;
    bool Ended = false;
    bool Succeeded = false;
    bool Cancelled = false;
    /// Since when it has waited within its guarantee.
    Instant EligibleSince;
    bool Eligible = false;
    bool Violated = false;
  };

  void at(Instant When, std::function<void()> Happen);
  void scheduleWorkload();
  Track &submit(const PlannedJob &Plan, Instant Origin);
  void resubmit(const Track &Failed);
  void decide();
  void carryOut(const StartGang &Start);
  void carryOut(const StopGang &Stop);
  void carryOut(const EndJob &End);
  void begin(Track &Job);
  void finish(Track &Job, const GangEnd &End);
  void loseWorker(std::size_t Index);
  Milliseconds checkpointTime();
  bool holdsFailingWorker(const Track &Job) const;
  bool withinGuarantee(const Track &Job) const;
  void observe(Instant Until);
  void checkGuarantees();
  void noteWait(Track &Job);
  double lowerBoundMean() const;
  Measures measure() const;

  const Workload &Given;
  /// Work that failed although it can run, and that its caller sent again.
  std::deque<PlannedJob> Again;
  Scheduler Policy;
  std::mt19937_64 Random;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  Instant Now;
  std::map<JobId, Track> Jobs;
  std::set<JobId> Open;
  std::set<std::string> Absent;
  std::map<std::string, std::uint32_t> InUse;
  double StuckFree = 0;
  double AllFree = 0;
  double BusyTime = 0;
  double QuarantineTime = 0;
  double Busy = 0;
  double LostTime = 0;
  std::vector<double> GuaranteedWaits;
  std::vector<double> UrgentWaits;
  std::vector<double> DecisionUs;
  std::uint64_t Violations = 0;
  std::uint64_t Partial = 0;
  std::map<std::string, std::uint64_t> Stops;
};

} // namespace baobabcove::bench

#endif // BAOBABCOVE_POLICY_BENCH_FAKECELL_H
