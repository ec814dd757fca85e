#include "AttemptJudge.h"

#include <algorithm>

namespace baobabcove::testing {

namespace {

/// A job is given up after crashes of this many workers under one of its units.
/// Whether that is right after crashes by chance is open; it is not judged
/// here.
constexpr std::size_t DeadlyCrashes = 3;

} // namespace

void AttemptJudge::allow(const std::string &Job, std::size_t Allowed) {
  MaxAttempts[Job] = Allowed;
  const std::string Prefix = Job + ".";
  for (auto Each = Tasks.lower_bound(Prefix);
       Each != Tasks.end() && jobOf(Each->first) == Job; ++Each)
    judge(Each->second, Allowed);
}

void AttemptJudge::noteStart(const SeenRun &Run) {
  Attempts &Task = Tasks[Run.Task];
  Task.Starts.push_back({++Last, Run});
  if (const auto Known = MaxAttempts.find(jobOf(Run.Task));
      Known != MaxAttempts.end())
    judge(Task, Known->second);
}

AttemptJudge::EventNumber AttemptJudge::noteFailed(const SeenRun &Run) {
  Jobs[jobOf(Run.Task)][unitOf(Run)].FailedRuns.insert(Run.Number);
  return ++Last;
}

void AttemptJudge::noteAcknowledged(const SeenRun &Run, EventNumber FailedAt) {
  Reports.note("failed noted " + textOf(Run));
  Attempts &Task = Tasks[Run.Task];
  if (!Task.Noted.emplace(Run.Number, FailedAt).second)
    return;
  if (const auto Known = MaxAttempts.find(jobOf(Run.Task));
      Known != MaxAttempts.end())
    judge(Task, Known->second);
}

void AttemptJudge::noteCrash(const SeenRun &Run) {
  Jobs[jobOf(Run.Task)][unitOf(Run)].CrashedWorkers.insert(Run.WorkerIp);
}

void AttemptJudge::judge(Attempts &Task, std::size_t Allowed) {
  if (Allowed == 0 || Task.Noted.size() < Allowed)
    return;
  std::vector<EventNumber> Ends;
  for (const auto &[Run, At] : Task.Noted)
    Ends.push_back(At);
  std::sort(Ends.begin(), Ends.end());
  for (Start &Each : Task.Starts)
    if (Each.At > Ends[Allowed - 1] && !Each.IsReported) {
      Each.IsReported = true;
      Reports.report("BUDGET: " + textOf(Each.Run) + " started after " +
                     std::to_string(Allowed) +
                     " runs of the task had failed, of as many allowed");
    }
}

bool AttemptJudge::hasCause(const std::string &Job) const {
  const auto Known = Jobs.find(Job);
  const auto Allowed = MaxAttempts.find(Job);
  return Known != Jobs.end() && Allowed != MaxAttempts.end() &&
         std::any_of(Known->second.begin(), Known->second.end(),
                     [&](const auto &Each) {
                       return Each.second.FailedRuns.size() >= Allowed->second;
                     });
}

void AttemptJudge::noteGivenUp(const std::string &Job,
                               const std::string &State) {
  if (State == "failed" && hasCause(Job)) {
    if (FailedJobs.insert(Job).second)
      Reports.note("job-failed with cause " + Job);
    return;
  }
  std::size_t Runs = 0;
  std::size_t Crashes = 0;
  if (const auto Known = Jobs.find(Job); Known != Jobs.end())
    for (const auto &[Name, Each] : Known->second) {
      Runs = std::max(Runs, Each.FailedRuns.size());
      Crashes = std::max(Crashes, Each.CrashedWorkers.size());
    }
  if (!ReportedJobs.insert(Job).second)
    return;
  const std::string Seen = Job + " is shown as " + State + " after at most " +
                           std::to_string(Runs) + " failed runs of " +
                           std::to_string(MaxAttempts[Job]) +
                           " of a task or gang, and crashes of " +
                           std::to_string(Crashes) + " workers under it";
  if (State == "failed" && Crashes >= DeadlyCrashes)
    Reports.note("job-given-up " + Seen);
  else
    Reports.report("LOST: job " + Seen);
}

} // namespace baobabcove::testing
