/// \file
/// State charts that are read from files and interpreted.

#ifndef BAOBABCOVE_STATECHART_H
#define BAOBABCOVE_STATECHART_H

#include "baobabcove/ResultCode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabcove {

/// The states of one thing, the events it may meet, and where each leads.
class StateChart {
public:
  /// Reads and checks a chart. Fails with StateChartInvalid; the detail names
  /// the file and every fault: a state that cannot be reached, a state without
  /// a way out that is not final, an event that no state takes, and a
  /// transition to or by something that is not declared.
  static Expected<StateChart> load(const std::string &Path);

  /// The same from a text; \p Source names it in errors.
  static Expected<StateChart> parse(const std::string &Text,
                                    const std::string &Source);

  const std::string &initial() const { return Initial; }
  bool isFinal(const std::string &State) const {
    return Final.count(State) != 0;
  }

  /// The state that \p Event leads to. Fails with EventNotAllowed.
  Expected<std::string> next(const std::string &State,
                             const std::string &Event) const;

private:
  std::vector<std::string> faults() const;
  std::set<std::string> reachable() const;

  std::string Name;
  std::string Initial;
  std::set<std::string> Final;
  std::set<std::string> Events;
  std::map<std::string, std::map<std::string, std::string>> States;
};

/// The charts of everything that has a life of its own.
struct StateCharts {
  StateChart Job;
  StateChart Task;
  StateChart Minion;
  StateChart Worker;

  /// Reads all charts of a folder; empty takes the folder "charts" beside the
  /// program's own. Fails with StateChartInvalid.
  static Expected<StateCharts> load(const std::string &Folder);
};

} // namespace baobabcove

#endif // BAOBABCOVE_STATECHART_H
