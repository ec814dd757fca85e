#include "agent/AgentProcess.h"
#include "base/Log.h"
#include "base/Program.h"
#include "base/Signals.h"

#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings");
ABSL_FLAG(std::vector<std::string>, set, {},
          "settings that go before the file, as key=value,key=value");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");

namespace {

/// A planned stop waits this long for running work.
constexpr baobabcove::Milliseconds StopPatience{10 * 60 * 1000};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace baobabcove;
  absl::SetProgramUsageMessage(
      "Announces one minion or worker and guards it.\n"
      "baobabcove-agent --settings=FILE [--set=key=value,...]");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  Settings Of;
  int ExitCode = 0;
  if (!loadSettings({absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_set),
                     absl::GetFlag(FLAGS_check_settings)},
                    &checkAgentSettings, Of, ExitCode))
    return ExitCode;
  blockSignals();
  startLogging("baobabcove-agent", Of.Node,
               Of.LogFormat == "json" ? LogFormat::Json : LogFormat::Text);
  auto Charts = StateCharts::load(Of.ChartFolder);
  if (!Charts) {
    std::cerr << Charts.error().Detail << '\n';
    return 1;
  }
  AgentProcess Agent(Of, std::move(*Charts));
  if (auto Started = Agent.start(); !Started) {
    std::cerr << Started.error().Detail << '\n';
    return 1;
  }
  std::cout << "ready http=" << Agent.httpAddress()
            << " rpc=" << Agent.rpcAddress() << std::endl;
  waitForStop([&] { LOG4CPLUS_INFO(logOf("state"), Agent.dump()); });
  Agent.stop(StopPatience);
  return 0;
}
