#include "DaemonFlags.h"
#include "agent/AgentProcess.h"

int main(int ArgumentCount, char **Arguments) {
  using namespace baobabcove;
  return daemonMain<AgentProcess>(
      "baobabcove-agent", "Announces one minion or worker and guards it.",
      &checkAgentSettings, ArgumentCount, Arguments);
}
