#include "DaemonFlags.h"
#include "entry/EntryProcess.h"

int main(int ArgumentCount, char **Arguments) {
  using namespace baobabcove;
  return daemonMain<EntryProcess>(
      "baobabcove-entry", "Serves callers and operators and routes requests.",
      &checkEntrySettings, ArgumentCount, Arguments);
}
