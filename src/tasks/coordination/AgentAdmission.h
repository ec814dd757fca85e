#ifndef BAOBABCOVE_TASKS_COORDINATION_AGENTADMISSION_H
#define BAOBABCOVE_TASKS_COORDINATION_AGENTADMISSION_H

#include "tasks.pb.h"

#include <cstdint>

namespace baobabcove {

/// Returns the number that identifies the agent incarnation of \p Report.
std::uint64_t agentOf(const wire::TaskReport &Report);

/// Tells the current agent incarnation of a node from earlier ones, without
/// comparing clocks: an incarnation is current once it has repeated a number
/// that was sent to it after the last change. A process that has ended cannot
/// do so, however late its reports arrive. Not thread-safe.
class AgentAdmission {
public:
  /// Returns whether \p Report is from the current agent incarnation. An
  /// unknown incarnation is sent \p NextSession, which must never repeat.
  bool isCurrent(const wire::TaskReport &Report, std::uint64_t NextSession);

  /// Returns whether \p Report, which is from the current incarnation, is newer
  /// than all before.
  bool isNew(const wire::TaskReport &Report);

  /// Returns the number to send to the incarnation of \p Report.
  std::uint64_t sessionFor(const wire::TaskReport &Report) const;

private:
  void accept(const wire::TaskReport &Report);

  std::uint64_t Current = 0;
  std::uint64_t CurrentSession = 0;
  std::uint64_t Sequence = 0;
  /// Start time of the last agent that is identified by it.
  std::uint64_t LastStart = 0;
  std::uint64_t Candidate = 0;
  std::uint64_t CandidateSession = 0;
};

} // namespace baobabcove

#endif // BAOBABCOVE_TASKS_COORDINATION_AGENTADMISSION_H
