/// \file
/// Plays a workload against a scheduler in virtual time, with fake workers.

#ifndef BAOBABCOVE_POLICY_BENCH_FAKECELL_H
#define BAOBABCOVE_POLICY_BENCH_FAKECELL_H

#include "Measures.h"
#include "Workload.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace baobabcove::bench {

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
