#ifndef BAOBABCOVE_STATECHART_H
#define BAOBABCOVE_STATECHART_H

#include "baobabcove/ResultCode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabcove {

/// A finite state machine that is read from a YAML file: states, events, and
/// the transitions between states.
class StateChart {
public:
  /// Reads and validates the state chart in the file \p Path. Fails with
  /// StateChartInvalid; the detail names the file and every error: an
  /// unreachable state, a state without transitions that is not final, an event
  /// without transitions, and a transition with an undeclared event or target
  /// state.
  static Expected<StateChart> load(const std::string &Path);

  /// Parses and validates the state chart in \p Text. \p Source names it in
  /// error messages.
  static Expected<StateChart> parse(const std::string &Text,
                                    const std::string &Source);

  const std::string &initial() const { return Initial; }
  bool isFinal(const std::string &State) const {
    return Final.count(State) != 0;
  }

  /// Returns the state to which \p Event leads from \p State. Fails with
  /// EventNotAllowed when there is no such transition.
  Expected<std::string> next(const std::string &State,
                             const std::string &Event) const;

private:
  std::vector<std::string> findErrors() const;
  std::set<std::string> reachable() const;

  std::string Name;
  std::string Initial;
  std::set<std::string> Final;
  std::set<std::string> Events;
  /// Target states by state and event.
  std::map<std::string, std::map<std::string, std::string>> States;
};

/// The state charts of jobs, tasks, minions and workers.
struct StateCharts {
  StateChart Job;
  StateChart Task;
  StateChart Minion;
  StateChart Worker;

  /// Reads all state charts in \p Folder. An empty \p Folder means the folder
  /// "charts" next to the folder of the program. Fails with StateChartInvalid.
  static Expected<StateCharts> load(const std::string &Folder);
};

} // namespace baobabcove

#endif // BAOBABCOVE_STATECHART_H
