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
  const std::size_t Tasks = Job.step(First).count();
  StillWaiting[Key] =
      Job.hasWaitingTask(First, Tasks) || Job.hasWithdrawnStart(First, Tasks)
          ? WaitReason::NotReady
          : WaitReason::NotBegun;
  if (ExplainsWaits && FirstUnit < Input.Units.size())
    Input.Units[FirstUnit].ExplainsWait =
        std::any_of(Waits.begin(), Waits.end(),
                    [&](const StepWait &Wait) { return Wait.Step == Key; });
}

void JobTracker::explainWaits(const TaskPlan &Plan) {
  // A step waits until a worker has begun one of its tasks, which may refuse
  // all of them.
  for (const PlannedStart &Start : Plan.Starts) {
    const TaskJob &Job = Jobs.at(Start.Job);
    const TaskName Name = Job.name(Start.Task);
    if (!Job.hasWaitingTask(Job.first(Name.Occurrence, Name.Step),
                            Job.step(Start.Task).count()))
      StillWaiting[stepKey(Name)] = WaitReason::NotBegun;
  }
  for (auto Step = WaitingSteps.begin(); Step != WaitingSteps.end();)
    Step = StillWaiting.count(Step->first) ? std::next(Step)
                                           : WaitingSteps.erase(Step);
  Waits.erase(std::remove_if(Waits.begin(), Waits.end(),
                             [&](const StepWait &Wait) {
                               return !StillWaiting.count(Wait.Step);
                             }),
              Waits.end());
  for (StepWait &Wait : Waits)
    if (StillWaiting.at(Wait.Step) == WaitReason::NotBegun)
      Wait.Reason = WaitReason::NotBegun;
  if (!ExplainsWaits)
    return;
  for (StepWait &Wait : Waits) {
    const auto Known = Plan.Waits.find(Wait.Step);
    Wait.Reason =
        Known == Plan.Waits.end() ? StillWaiting.at(Wait.Step) : Known->second;
    LOG4CPLUS_INFO(logOf("run"),
                   LogFields("step waits")
                       .add("step", Wait.Step)
                       .add("why", nameOf(Wait.Reason))
                       .add("waited_ms", Wait.Waited.count())
                       .add("waiting_steps", WaitingSteps.size()));
  }
}

} // namespace baobabcove
