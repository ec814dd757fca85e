#ifndef BAOBABCOVE_BASE_STATEMACHINE_H
#define BAOBABCOVE_BASE_STATEMACHINE_H

#include "baobabcove/StateChart.h"
#include "base/Metrics.h"

#include <mutex>

namespace baobabcove {

/// Name of the counter of events that a state chart did not allow.
inline constexpr const char *EventsNotAllowed = "events_not_allowed";

/// The current state of one object, which changes by the transitions of a state
/// chart. Thread-safe.
class StateMachine {
public:
  /// \p Chart and \p Stats must outlive the state machine.
  StateMachine(const StateChart &Chart, Metrics &Stats)
      : Chart(Chart), Stats(Stats), State(Chart.initial()) {}

  /// Applies \p Event and returns whether the state has changed. An event that
  /// the chart does not allow is counted and has no other effect.
  bool applyEvent(const std::string &Event) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Expected<std::string> Next = Chart.next(State, Event);
    if (!Next)
      Stats.count(EventsNotAllowed);
    if (!Next || *Next == State)
      return false;
    State = *Next;
    return true;
  }

  std::string state() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return State;
  }

  bool is(const std::string &Other) const { return state() == Other; }

private:
  const StateChart &Chart;
  Metrics &Stats;
  mutable std::mutex Mutex;
  std::string State;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_STATEMACHINE_H
