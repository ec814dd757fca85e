#include "DaemonFlags.h"
#include "agent/AgentProcess.h"

int main(int ArgumentCount, char **Arguments) {
  using namespace baobabcove;
  return daemonMain<AgentProcess>("baobabcove-agent",
                                  "Registers one minion or worker with the "
                                  "entries and controls its requests "
                                  "or tasks.",
                                  &checkAgentSettings, ArgumentCount,
                                  Arguments);
}
