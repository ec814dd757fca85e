/// \file
/// What the daemons' main functions share: flags, settings and start.

#ifndef BAOBABCOVE_BASE_PROGRAM_H
#define BAOBABCOVE_BASE_PROGRAM_H

#include "baobabcove/ResultCode.h"
#include "config/Settings.h"

#include <functional>
#include <string>
#include <vector>

namespace baobabcove {

/// Flags that every daemon takes.
struct ProgramFlags {
  std::string SettingsPath;
  std::vector<std::string> Overrides;
  bool CheckOnly = false;
};

/// Reads and checks the settings. Prints what is wrong to standard error and
/// returns false; also returns false, with \p ExitCode zero, after a check
/// that was all that was asked for.
bool loadSettings(const ProgramFlags &Flags,
                  Expected<void> (*Check)(const Settings &), Settings &Loaded,
                  int &ExitCode);

} // namespace baobabcove

#endif // BAOBABCOVE_BASE_PROGRAM_H
