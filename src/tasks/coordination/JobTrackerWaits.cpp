/// \file
/// The part of JobTracker that tells why ready tasks do not begin.

#include "base/Log.h"
#include "base/LogFields.h"
#include "tasks/coordination/JobTracker.h"

#include <algorithm>

namespace baobabcove {

namespace {

/// The longest waits are explained this often and for so many steps, which
/// bounds the log and the work.
constexpr Milliseconds ExplanationPeriod{1000};
constexpr std::size_t MaxExplainedSteps = 4;
/// A step is explained once it has waited for this long.
constexpr Milliseconds MinExplainedWait{1000};

} // namespace

void JobTracker::beginWaits(const ClockReading &Now) {
  StillWaiting.clear();
  ExplainsWaits = Now.Boot - WaitsExplainedAt >= ExplanationPeriod;
  if (!ExplainsWaits)
    return;
  WaitsExplainedAt = Now.Boot;
  Waits.clear();
  for (const auto &[Step, Since] : WaitingSteps)
    if (Now.Boot - Since >= MinExplainedWait)
      Waits.push_back({Step, WaitReason::NotReady, Now.Boot - Since});
  std::stable_sort(
      Waits.begin(), Waits.end(),
      [](const StepWait &L, const StepWait &R) { return L.Waited > R.Waited; });
  Waits.resize(std::min(Waits.size(), MaxExplainedSteps));
}

void JobTracker::noteWaitingStep(const TaskJob &Job, std::size_t First,
                                 const ClockReading &Now, std::size_t FirstUnit,
                                 PlanInput &Input) {
  const std::string Key = stepKey(Job.name(First));
  WaitingSteps.try_emplace(Key, Now.Boot);
  StillWaiting.insert(Key);
  if (ExplainsWaits && FirstUnit < Input.Units.size())
    Input.Units[FirstUnit].ExplainsWait =
        std::any_of(Waits.begin(), Waits.end(),
                    [&](const StepWait &Wait) { return Wait.Step == Key; });
}

WaitReason JobTracker::reasonOutsidePlan(const std::string &Step) {
  const auto At = findTask(Step + ".0");
  if (!At)
    return WaitReason::NotReady;
  for (std::size_t Member = At->Task;
       Member < At->Task + At->Job->step(At->Task).count(); ++Member) {
    const TaskState &Task = At->Job->task(Member);
    const bool IsWithdrawn =
        Task.Phase == wire::TASK_PLACED && !Task.Listed && Task.StopRequested;
    if (Task.Phase == wire::TASK_WAITING || IsWithdrawn)
      return WaitReason::NotReady;
  }
  return WaitReason::NotBegun;
}

void JobTracker::explainWaits(const TaskPlan &Plan) {
  // A step waits until a worker has begun one of its tasks, which may refuse
  // all of them.
  for (auto Step = WaitingSteps.begin(); Step != WaitingSteps.end();)
    Step = StillWaiting.count(Step->first) ? std::next(Step)
                                           : WaitingSteps.erase(Step);
  Waits.erase(std::remove_if(Waits.begin(), Waits.end(),
                             [&](const StepWait &Wait) {
                               return !StillWaiting.count(Wait.Step);
                             }),
              Waits.end());
  for (StepWait &Wait : Waits)
    if (reasonOutsidePlan(Wait.Step) == WaitReason::NotBegun)
      Wait.Reason = WaitReason::NotBegun;
  if (!ExplainsWaits)
    return;
  for (StepWait &Wait : Waits) {
    if (const auto Known = Plan.Waits.find(Wait.Step);
        Known != Plan.Waits.end())
      Wait.Reason = Known->second;
    LOG4CPLUS_INFO(logOf("run"),
                   LogFields("step waits")
                       .add("step", Wait.Step)
                       .add("why", nameOf(Wait.Reason))
                       .add("waited_ms", Wait.Waited.count())
                       .add("waiting_steps", WaitingSteps.size()));
  }
}

} // namespace baobabcove
