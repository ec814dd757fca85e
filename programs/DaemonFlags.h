/// \file
/// Defines the command-line flags of both daemons; include it in exactly one
/// source file of each program.

#ifndef BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H
#define BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H

#include "base/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings");
ABSL_FLAG(std::vector<std::string>, set, {},
          "settings that override the file, as key=value,key=value");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");

namespace baobabcove {

/// Time that a graceful shutdown waits for requests and tasks in flight.
inline constexpr Milliseconds ShutdownTimeout{10 * 60 * 1000};

/// Parses the command line of the daemon \p Name and runs it until it exits;
/// returns the exit status.
template <class Process>
int daemonMain(const std::string &Name, const std::string &Summary,
               Expected<void> (*Check)(const Settings &), int ArgumentCount,
               char **Arguments) {
  absl::SetProgramUsageMessage(Summary + "\n" + Name +
                               " --settings=FILE [--set=key=value,...]");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  const ProgramFlags Flags = {absl::GetFlag(FLAGS_settings),
                              absl::GetFlag(FLAGS_set),
                              absl::GetFlag(FLAGS_check_settings)};
  return runDaemon<Process>(Name, Flags, Check, ShutdownTimeout);
}

} // namespace baobabcove

#endif // BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H
