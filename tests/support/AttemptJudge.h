#ifndef BAOBABCOVE_TESTS_SUPPORT_ATTEMPTJUDGE_H
#define BAOBABCOVE_TESTS_SUPPORT_ATTEMPTJUDGE_H

#include "RunJudge.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabcove::testing {

/// Judges from what workers and callers see alone whether a task gets more runs
/// than its queue allows to fail, and whether a job is shown as failed without
/// cause. Not thread-safe.
class AttemptJudge {
public:
  using EventNumber = RunJudge::EventNumber;

  /// Violations are reported to \p Reports.
  explicit AttemptJudge(RunJudge &Reports) : Reports(Reports) {}

  /// The queue of \p Job allows \p MaxAttempts runs of a task or gang to fail.
  void allow(const std::string &Job, std::size_t MaxAttempts);
  /// A worker has begun a run.
  void noteStart(const SeenRun &Run);
  /// A run has ended as failed. Returns the number of the event.
  EventNumber noteFailed(const SeenRun &Run);
  /// The end of a failed run was acknowledged while the lease of its worker had
  /// not lapsed since.
  void noteAcknowledged(const SeenRun &Run, EventNumber FailedAt);
  /// A worker has crashed that had a run whose end nobody can have heard.
  void noteCrash(const SeenRun &Run);

  /// Whether a task or gang of \p Job has failed in as many runs as allowed.
  bool hasCause(const std::string &Job) const;
  /// A caller sees \p Job as failed or canceled, which nobody asked for.
  void noteGivenUp(const std::string &Job, const std::string &State);
  /// Whether \p Job was shown as failed with cause.
  bool hasFailed(const std::string &Job) const {
    return FailedJobs.count(Job) > 0;
  }
  std::size_t failedJobs() const { return FailedJobs.size(); }

private:
  struct Start {
    EventNumber At = 0;
    SeenRun Run;
    bool IsReported = false;
  };
  /// What is known of a task.
  struct Attempts {
    std::vector<Start> Starts;
    /// The failed runs whose ends were taken note of, and when they failed.
    std::map<std::uint64_t, EventNumber> Noted;
  };
  /// What is known of a single task or of a gang.
  struct Unit {
    std::set<std::uint64_t> FailedRuns;
    std::set<std::string> CrashedWorkers;
  };

  /// Reports the starts of a task beyond its attempts. The rule holds as well
  /// for starts before the ends were acknowledged, and for those that a worker
  /// carried out late, since it has no time bound.
  void judge(Attempts &Task, std::size_t MaxAttempts);

  RunJudge &Reports;
  EventNumber Last = 0;
  std::map<std::string, std::size_t> MaxAttempts;
  std::map<std::string, Attempts> Tasks;
  /// The units of each job.
  std::map<std::string, std::map<std::string, Unit>> Jobs;
  std::set<std::string> FailedJobs;
  std::set<std::string> ReportedJobs;
};

} // namespace baobabcove::testing

#endif // BAOBABCOVE_TESTS_SUPPORT_ATTEMPTJUDGE_H
