#include "base/Program.h"

namespace baobabcove {

namespace {

constexpr int ExitInvalidSettings = 2;

} // namespace

bool prepareProgram(const ProgramFlags &Flags,
                    Expected<void> (*Check)(const Settings &),
                    ProgramConfig &Config, int &ExitCode) {
  auto Parsed = readSettings(Flags.SettingsPath, Flags.Overrides);
  Expected<void> Status;
  if (!Parsed)
    Status = tl::unexpected<Error>(Parsed.error());
  else
    Status = Check(*Parsed);
  if (Status) {
    auto Charts = StateCharts::load(Parsed->ChartFolder);
    if (Charts)
      Config = {*Parsed, *Charts};
    else
      Status = tl::unexpected<Error>(Charts.error());
  }
  if (!Status) {
    const ResultInfo &Info = resultInfo(Status.error().Code);
    std::cerr << static_cast<std::uint32_t>(Info.Code) << ' ' << Info.Name
              << ": " << Status.error().Detail << '\n'
              << Info.NextStep << '\n';
    ExitCode = ExitInvalidSettings;
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
