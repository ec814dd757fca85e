#include "coordinator/JobStateMachine.h"

#include "base/StateMachine.h"

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

} // namespace baobabcove
