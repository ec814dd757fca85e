/// \file
/// Signals of a daemon: stop, reload, state dump.

#ifndef BAOBABCOVE_BASE_SIGNALS_H
#define BAOBABCOVE_BASE_SIGNALS_H

#include <functional>

namespace baobabcove {

/// Blocks the daemon's signals in this thread and all started after it. Call
/// it before any thread is started.
void blockSignals();

/// Waits for SIGTERM or SIGINT, then returns. Calls \p OnDump for each
/// SIGUSR1 and \p OnReload for each SIGHUP in the meantime.
void waitForStop(
    const std::function<void()> &OnDump,
    const std::function<void()> &OnReload = [] {});

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_SIGNALS_H
