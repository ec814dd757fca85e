#include "tasks/coordination/AgentAdmission.h"

namespace baobabcove {

std::uint64_t agentOf(const wire::TaskReport &Report) {
  return Report.agent_incarnation() ? Report.agent_incarnation()
                                    : Report.agent_life();
}

bool AgentAdmission::isCurrent(const wire::TaskReport &Report,
                               std::uint64_t NextSession) {
  const std::uint64_t Agent = agentOf(Report);
  if (Agent == Current)
    return true;
  // Agents of earlier releases are identified by their start time only.
  if (!Report.agent_incarnation()) {
    if (Report.agent_life() <= LastStart)
      return false;
    accept(Report);
    return true;
  }
  if (Agent == Candidate && Report.agent_session() == CandidateSession) {
    accept(Report);
    return true;
  }
  if (Agent != Candidate) {
    Candidate = Agent;
    CandidateSession = NextSession;
  }
  return false;
}

void AgentAdmission::accept(const wire::TaskReport &Report) {
  Current = agentOf(Report);
  CurrentSession = Report.agent_incarnation() ? CandidateSession : 0;
  Candidate = 0;
  CandidateSession = 0;
  Sequence = 0;
  LastStart = Report.agent_life();
}

bool AgentAdmission::isNew(const wire::TaskReport &Report) {
  if (Report.sequence() <= Sequence)
    return false;
  Sequence = Report.sequence();
  return true;
}

std::uint64_t AgentAdmission::sessionFor(const wire::TaskReport &Report) const {
  const std::uint64_t Agent = agentOf(Report);
  if (Agent == Current)
    return CurrentSession;
  return Agent == Candidate ? CandidateSession : 0;
}

} // namespace baobabcove
