#include "coordinator/JobLife.h"

#include "base/StateMachine.h"

namespace baobabcove {

namespace {

struct StateRow {
  wire::JobState State;
  const char *Name;
};

constexpr StateRow StateRows[] = {
    {wire::QUEUED, "queued"},       {wire::STARTING, "starting"},
    {wire::JOB_RUNNING, "running"}, {wire::DONE, "done"},
    {wire::JOB_FAILED, "failed"},   {wire::CANCELLED, "cancelled"}};

} // namespace

bool JobLife::move(wire::JobRecord &Record, const std::string &Event) const {
  std::string Present;
  for (const StateRow &Row : StateRows)
    if (Row.State == Record.state())
      Present = Row.Name;
  const auto Next = Chart.next(Present, Event);
  if (!Next) {
    Figures.count(EventsNotAllowed);
    return false;
  }
  for (const StateRow &Row : StateRows)
    if (*Next == Row.Name)
      Record.set_state(Row.State);
  return true;
}

} // namespace baobabcove
