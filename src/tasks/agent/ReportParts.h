/// \file
/// Bounds the lists in an agent's report, so that it always fits a message. The
/// rest of a list follows in later reports.

#ifndef BAOBABCOVE_TASKS_AGENT_REPORTPARTS_H
#define BAOBABCOVE_TASKS_AGENT_REPORTPARTS_H

#include "tasks/agent/RunOrderTracker.h"

#include <cstddef>
#include <map>
#include <vector>

namespace baobabcove {

/// Adds as many of \p Running to \p Report as fit, from number \p First on, and
/// returns the number to continue with in the next report.
std::size_t addRunsFrom(wire::TaskReport &Report,
                        const std::vector<wire::RunStatus> &Running,
                        std::size_t First);

/// Adds the oldest of \p Ends. The others follow when these are acknowledged.
void addEnds(wire::TaskReport &Report, const std::vector<wire::RunEnd> &Ends);

/// Adds the first of \p Refusals. The others follow when the runs of these are
/// no longer ordered.
void addRefusals(wire::TaskReport &Report,
                 const std::vector<wire::RunRefusal> &Refusals);

/// The runs that a lost worker incarnation had or may have begun, and whether
/// it is known to have begun them.
using LostRunMap = std::map<RunId, bool>;

/// Adds \p Lost, the runs of the worker incarnation that was lost. If they are
/// too many, that incarnation is not named at all, and its runs are unknown to
/// the coordinator.
void addLostRuns(wire::TaskReport &Report, const LostRunMap &Lost);

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_AGENT_REPORTPARTS_H
