#include "base/Program.h"

#include <iostream>

namespace baobabcove {

namespace {

constexpr int ExitSettings = 2;

} // namespace

bool loadSettings(const ProgramFlags &Flags,
                  Expected<void> (*Check)(const Settings &), Settings &Loaded,
                  int &ExitCode) {
  auto Read = readSettings(Flags.SettingsPath, Flags.Overrides);
  Expected<void> Done;
  if (!Read)
    Done = tl::unexpected<Error>(Read.error());
  else
    Done = Check(*Read);
  if (!Done) {
    const ResultInfo &Info = resultInfo(Done.error().Code);
    std::cerr << static_cast<std::uint32_t>(Info.Code) << ' ' << Info.Name
              << ": " << Done.error().Detail << '\n'
              << Info.NextStep << '\n';
    ExitCode = ExitSettings;
    return false;
  }
  Loaded = *Read;
  if (Flags.CheckOnly) {
    std::cout << "The settings are valid.\n";
    ExitCode = 0;
    return false;
  }
  return true;
}

} // namespace baobabcove
