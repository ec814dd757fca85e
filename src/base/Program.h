#ifndef BAOBABCOVE_BASE_PROGRAM_H
#define BAOBABCOVE_BASE_PROGRAM_H

#include "baobabcove/Clock.h"
#include "baobabcove/StateChart.h"
#include "base/Log.h"
#include "base/Signals.h"
#include "config/Settings.h"

#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace baobabcove {

/// Command-line flags that every daemon accepts.
struct ProgramFlags {
  std::string SettingsPath;
  /// Settings of the form "key=value" that take precedence over the file.
  std::vector<std::string> Overrides;
  /// Whether to exit after checking the settings and state charts.
  bool CheckOnly = false;
};

/// Validated settings and state charts of a daemon.
struct ProgramConfig {
  Settings Values;
  StateCharts Charts;
};

/// Reads and checks settings and state charts into \p Config. Returns false
/// when the process has to exit with \p ExitCode: after printing an error to
/// standard error, or after a successful check when only a check was requested.
bool prepareProgram(const ProgramFlags &Flags,
                    Expected<void> (*Check)(const Settings &),
                    ProgramConfig &Config, int &ExitCode);

/// Runs a daemon until SIGTERM or SIGINT and then shuts it down gracefully,
/// waiting at most \p StopTimeout for work in flight. Once it has started,
/// prints its addresses in a line that begins with "ready". Returns the exit
/// code: 1 when it cannot start, 2 when the settings or state charts are
/// invalid.
template <class Process>
int runDaemon(const std::string &Name, const ProgramFlags &Flags,
              Expected<void> (*Check)(const Settings &),
              Milliseconds StopTimeout) {
  ProgramConfig Config;
  int ExitCode = 0;
  if (!prepareProgram(Flags, Check, Config, ExitCode))
    return ExitCode;
  blockSignals();
  startLogging(Name, Config.Values.Node,
               Config.Values.LogFormat == "json" ? LogFormat::Json
                                                 : LogFormat::Text);
  Process Daemon(Config.Values, Config.Charts);
  if (auto Started = Daemon.start(); !Started) {
    std::cerr << Started.error().Detail << '\n';
    return 1;
  }
  std::cout << "ready http=" << Daemon.httpAddress()
            << " rpc=" << Daemon.rpcAddress() << std::endl;
  waitForStop([&] { LOG4CPLUS_INFO(logOf("state"), Daemon.dump()); });
  Daemon.stop(StopTimeout);
  return 0;
}

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PROGRAM_H
