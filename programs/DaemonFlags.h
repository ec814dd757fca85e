/// \file
/// The flags of both daemons. Include it in one source of each program.

#ifndef BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H
#define BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H

#include "base/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings");
ABSL_FLAG(std::vector<std::string>, set, {},
          "settings that go before the file, as key=value,key=value");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");

namespace baobabcove {

/// A planned stop waits this long for what runs.
inline constexpr Milliseconds StopPatience{10 * 60 * 1000};

/// Parses the command line of the daemon \p Name and runs it to its end.
template <class Process>
int daemonMain(const std::string &Name, const std::string &Purpose,
               Expected<void> (*Check)(const Settings &), int ArgumentCount,
               char **Arguments) {
  absl::SetProgramUsageMessage(Purpose + "\n" + Name +
                               " --settings=FILE [--set=key=value,...]");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  const ProgramFlags Flags = {absl::GetFlag(FLAGS_settings),
                              absl::GetFlag(FLAGS_set),
                              absl::GetFlag(FLAGS_check_settings)};
  return runDaemon<Process>(Name, Flags, Check, StopPatience);
}

} // namespace baobabcove

#endif // BAOBABCOVE_PROGRAMS_DAEMONFLAGS_H
