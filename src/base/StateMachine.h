/// \file
/// A present state that moves by a chart.

#ifndef BAOBABCOVE_BASE_STATEMACHINE_H
#define BAOBABCOVE_BASE_STATEMACHINE_H

#include "baobabcove/StateChart.h"
#include "base/Metrics.h"

#include <mutex>

namespace baobabcove {

/// Counter of events that a chart did not allow.
inline constexpr const char *EventsNotAllowed = "events_not_allowed";

/// One thing's state. Thread-safe.
class StateMachine {
public:
  StateMachine(const StateChart &Chart, Metrics &Figures)
      : Chart(Chart), Figures(Figures), State(Chart.initial()) {}

  /// Moves by \p Event; returns whether the state has changed. An event that
  /// the chart does not allow is counted and changes nothing.
  bool take(const std::string &Event) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const Expected<std::string> Next = Chart.next(State, Event);
    if (!Next)
      Figures.count(EventsNotAllowed);
    if (!Next || *Next == State)
      return false;
    State = *Next;
    return true;
  }

  std::string state() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return State;
  }

  bool is(const std::string &Wanted) const { return state() == Wanted; }

private:
  const StateChart &Chart;
  Metrics &Figures;
  mutable std::mutex Mutex;
  std::string State;
};

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_STATEMACHINE_H
