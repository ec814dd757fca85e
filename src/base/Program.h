/// \file
/// What the daemons' main functions share: flags, settings, start and stop.

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

/// Flags that every daemon takes.
struct ProgramFlags {
  std::string SettingsPath;
  std::vector<std::string> Overrides;
  bool CheckOnly = false;
};

/// What a daemon begins with.
struct ProgramStart {
  Settings Of;
  StateCharts Charts;
};

/// Reads settings and charts. Prints what is wrong to standard error and
/// returns false; also returns false, with \p ExitCode zero, after a check
/// that was all that was asked for.
bool prepareProgram(const ProgramFlags &Flags,
                    Expected<void> (*Check)(const Settings &),
                    ProgramStart &Start, int &ExitCode);

/// Runs a daemon until it is asked to stop, then shuts it down gracefully,
/// waiting at most \p Patience for what runs. Returns the exit code.
template <class Process>
int runDaemon(const std::string &Name, const ProgramFlags &Flags,
              Expected<void> (*Check)(const Settings &),
              Milliseconds Patience) {
  ProgramStart Start;
  int ExitCode = 0;
  if (!prepareProgram(Flags, Check, Start, ExitCode))
    return ExitCode;
  blockSignals();
  startLogging(Name, Start.Of.Node,
               Start.Of.LogFormat == "json" ? LogFormat::Json
                                            : LogFormat::Text);
  Process Daemon(Start.Of, Start.Charts);
  if (auto Started = Daemon.start(); !Started) {
    std::cerr << Started.error().Detail << '\n';
    return 1;
  }
  std::cout << "ready http=" << Daemon.httpAddress()
            << " rpc=" << Daemon.rpcAddress() << std::endl;
  waitForStop([&] { LOG4CPLUS_INFO(logOf("state"), Daemon.dump()); });
  Daemon.stop(Patience);
  return 0;
}

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PROGRAM_H
