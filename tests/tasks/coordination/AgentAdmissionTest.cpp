#include "tasks/coordination/AgentAdmission.h"

#include <CppUTest/TestHarness.h>

using namespace baobabcove;

TEST_GROUP(AgentAdmission) {
  AgentAdmission Agents;

  static wire::TaskReport reportOf(std::uint64_t Agent, std::uint64_t Sequence,
                                   std::uint64_t Session) {
    wire::TaskReport Report;
    Report.set_agent_incarnation(Agent);
    Report.set_sequence(Sequence);
    Report.set_agent_session(Session);
    // The clock steps back from one agent incarnation to the next.
    Report.set_agent_life(1000 - Agent);
    return Report;
  }
};

// Pattern: the clock steps back between two restarts of an agent, and the
// coordinator ignores its reports while it grants the lease.
TEST(AgentAdmission, AcceptsARestartedAgentWhateverItsClockSays) {
  for (std::uint64_t Agent = 1; Agent <= 3; ++Agent) {
    CHECK_FALSE(Agents.isCurrent(reportOf(Agent, 1, 0), 10 + Agent));
    const std::uint64_t Session = Agents.sessionFor(reportOf(Agent, 1, 0));
    CHECK_TRUE(Agents.isCurrent(reportOf(Agent, 2, Session), 20));
    CHECK_TRUE(Agents.isNew(reportOf(Agent, 2, Session)));
    CHECK_FALSE(Agents.isNew(reportOf(Agent, 1, Session)));
    LONGS_EQUAL(Session, Agents.sessionFor(reportOf(Agent, 2, Session)));
  }
}

// Pattern: a late report of an agent that has ended replaces that of its
// successor.
TEST(AgentAdmission, AcceptsNoLateReportOfAnEarlierAgent) {
  (void)Agents.isCurrent(reportOf(1, 1, 0), 11);
  CHECK_TRUE(Agents.isCurrent(reportOf(1, 2, 11), 12));
  (void)Agents.isCurrent(reportOf(2, 1, 0), 13);
  CHECK_TRUE(Agents.isCurrent(reportOf(2, 2, 13), 14));
  CHECK_FALSE(Agents.isCurrent(reportOf(1, 3, 11), 15));
  CHECK_FALSE(Agents.isCurrent(reportOf(1, 4, 11), 16));
  CHECK_TRUE(Agents.isCurrent(reportOf(2, 3, 13), 17));
}

// Pattern: the first report that a new coordinator gets is a late one.
TEST(AgentAdmission, AcceptsNoLateReportOfAnUnknownAgent) {
  CHECK_FALSE(Agents.isCurrent(reportOf(1, 9, 5), 11));
  CHECK_FALSE(Agents.isCurrent(reportOf(1, 8, 5), 12));
}

TEST(AgentAdmission, IdentifiesAgentsOfEarlierReleasesByTheirStart) {
  wire::TaskReport Report;
  Report.set_agent_life(7);
  Report.set_sequence(1);
  CHECK_TRUE(Agents.isCurrent(Report, 11));
  Report.set_agent_life(6);
  CHECK_FALSE(Agents.isCurrent(Report, 12));
  Report.set_agent_life(8);
  CHECK_TRUE(Agents.isCurrent(Report, 13));
}
