#include "coordinator/JobStateMachine.h"

#include "base/StateMachine.h"
#include "entry/JobStore.h"

namespace baobabcove {

namespace {

struct StateNameEntry {
  wire::JobState State;
  const char *Name;
};

constexpr StateNameEntry StateNames[] = {
    {wire::QUEUED, "queued"},       {wire::STARTING, "starting"},
    {wire::JOB_RUNNING, "running"}, {wire::DONE, "done"},
    {wire::JOB_FAILED, "failed"},   {wire::CANCELLED, "cancelled"}};

} // namespace

bool JobStateMachine::applyEvent(wire::JobRecord &Record,
                                 const std::string &Event) const {
  std::string StateName;
  for (const StateNameEntry &Each : StateNames)
    if (Each.State == Record.state())
      StateName = Each.Name;
  const auto Next = Chart.next(StateName, Event);
  if (!Next) {
    Stats.count(EventsNotAllowed);
    return false;
  }
  for (const StateNameEntry &Each : StateNames)
    if (*Next == Each.Name)
      Record.set_state(Each.State);
  return true;
}

bool JobStateMachine::applyGangEnd(wire::JobRecord &Record,
                                   const GangEnd &End) const {
  const bool Done = End.Result == GangResult::Succeeded;
  // Stored in the same write: a coordinator that takes over starts every job
  // that is queued.
  const auto Failure = Record.cancel_requested()
                           ? std::nullopt
                           : notRepeatable(Record.spec().idempotent(), End);
  const char *Event = Done ? "finish" : Failure ? "fail" : "requeue";
  if (hasEnded(Record) || !applyEvent(Record, Event))
    return false;
  Record.set_progress_ms(static_cast<std::uint64_t>(End.Progress.count()));
  Record.set_may_have_run(Record.may_have_run() || End.MayHaveRun);
  if (Failure) {
    Record.set_code(static_cast<std::uint32_t>(Failure->Code));
    Record.set_detail(Failure->Detail);
  }
  if (Done || Failure)
    Record.set_ended_at_ms(wallClockMs());
  return true;
}

} // namespace baobabcove
