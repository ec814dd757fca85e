#ifndef BAOBABCOVE_BASE_SIGNALS_H
#define BAOBABCOVE_BASE_SIGNALS_H

#include <functional>

namespace baobabcove {

/// Blocks the signals that waitForStop handles, in this thread and all threads
/// that it starts later, and ignores SIGPIPE. Must be called before any thread
/// is started.
void blockSignals();

/// Blocks until SIGTERM or SIGINT arrives. Calls \p OnDump for each SIGUSR1 and
/// \p OnReload for each SIGHUP in the meantime.
void waitForStop(
    const std::function<void()> &OnDump,
    const std::function<void()> &OnReload = [] {});

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_SIGNALS_H
