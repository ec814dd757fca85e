#include "base/Signals.h"

#include <csignal>

namespace baobabcove {

namespace {

sigset_t daemonSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGUSR1);
  sigaddset(&Set, SIGHUP);
  return Set;
}

} // namespace

void blockSignals() {
  const sigset_t Set = daemonSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStop(const std::function<void()> &OnDump,
                 const std::function<void()> &OnReload) {
  const sigset_t Set = daemonSignals();
  for (;;) {
    int Signal = 0;
    if (sigwait(&Set, &Signal) != 0)
      continue;
    if (Signal == SIGUSR1)
      OnDump();
    else if (Signal == SIGHUP)
      OnReload();
    else
      return;
  }
}

} // namespace baobabcove
