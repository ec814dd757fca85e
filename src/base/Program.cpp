#include "base/Program.h"

namespace baobabcove {

namespace {

constexpr int ExitSettings = 2;

} // namespace

bool prepareProgram(const ProgramFlags &Flags,
                    Expected<void> (*Check)(const Settings &),
                    ProgramStart &Start, int &ExitCode) {
  auto Read = readSettings(Flags.SettingsPath, Flags.Overrides);
  Expected<void> Done;
  if (!Read)
    Done = tl::unexpected<Error>(Read.error());
  else
    Done = Check(*Read);
  if (Done) {
    auto Charts = StateCharts::load(Read->ChartFolder);
    if (Charts)
      Start = {*Read, *Charts};
    else
      Done = tl::unexpected<Error>(Charts.error());
  }
  if (!Done) {
    const ResultInfo &Info = resultInfo(Done.error().Code);
    std::cerr << static_cast<std::uint32_t>(Info.Code) << ' ' << Info.Name
              << ": " << Done.error().Detail << '\n'
              << Info.NextStep << '\n';
    ExitCode = ExitSettings;
    return false;
  }
  if (Flags.CheckOnly) {
    std::cout << "The settings are valid.\n";
    ExitCode = 0;
    return false;
  }
  return true;
}

} // namespace baobabcove
