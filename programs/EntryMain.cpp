#include "DaemonFlags.h"
#include "entry/EntryProcess.h"

int main(int ArgumentCount, char **Arguments) {
  using namespace baobabcove;
  return daemonMain<EntryProcess>(
      "baobabcove-entry", "Serves the HTTP API and routes requests to minions.",
      &checkEntrySettings, ArgumentCount, Arguments);
}
