#include "cli/CtlCommand.h"

#include "base/Text.h"
#include "config/Configuration.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace baobabcove {

namespace {

constexpr int HttpOk = 200;

using Lines = std::vector<std::string>;

/// The files of a folder as a configuration that has no version yet.
wire::ConfigurationBundle
bundleOf(const std::vector<wire::ConfigurationFile> &Files) {
  wire::ConfigurationBundle Bundle;
  for (const auto &File : Files)
    *Bundle.add_files() = File;
  return Bundle;
}

/// The lines of one file of a configuration; none when it has no such file.
Lines linesOf(const wire::ConfigurationBundle &Bundle,
              const std::string &Name) {
  Lines Result;
  for (const auto &File : Bundle.files()) {
    if (File.name() != Name)
      continue;
    std::istringstream In(File.content());
    for (std::string Line; std::getline(In, Line);)
      Result.push_back(Line);
  }
  return Result;
}

/// Prints the lines of one text that the other one does not have.
void printMissing(std::ostream &Out, const char *Mark, const Lines &Of,
                  const Lines &In) {
  for (const std::string &Line : Of)
    if (std::find(In.begin(), In.end(), Line) == In.end())
      Out << Mark << Line << '\n';
}

} // namespace

Expected<wire::ConfigurationBundle> CtlCommand::presentBundle() {
  const auto Answer = call("GET", "/v1/configuration");
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  wire::ConfigurationBundle Bundle;
  // Before the first configuration nobody can be identified.
  if (Answer->Status != HttpOk)
    return Bundle;
  if (auto Read = fromJson(Answer->Body, Bundle); !Read)
    return tl::unexpected<Error>(Read.error());
  return Bundle;
}

CtlExit CtlCommand::sendConfiguration(const Words &Arguments, bool CheckOnly) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return report(Files.error());
  const auto Present = presentBundle();
  if (!Present)
    return report(Present.error());
  wire::ApplyRequest Change;
  Change.set_base_version(Present->version());
  Change.set_change_id(randomName());
  for (const auto &File : *Files)
    *Change.add_files() = File;
  return printObject(call("POST",
                          CheckOnly ? "/v1/configuration?check_only=true"
                                    : "/v1/configuration",
                          toJson(Change)));
}

CtlExit CtlCommand::validateConfiguration(const Words &Arguments) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return report(Files.error());
  const ConfigurationReport Report = readConfiguration(bundleOf(*Files));
  for (const ConfigurationFault &Fault : Report.Faults)
    Err << Fault.str() << '\n';
  if (!Report.Faults.empty())
    return CtlExit::Refused;
  // With an entry at hand, the guarantees are checked against its workers.
  if (!Options.Entries.empty())
    return sendConfiguration(Arguments, true);
  Out << "The folder is valid.\n";
  return CtlExit::Ok;
}

CtlExit CtlCommand::diffConfiguration(const Words &Arguments) {
  const auto Files = readConfigurationFolder(Arguments[0]);
  if (!Files)
    return report(Files.error());
  const auto Present = presentBundle();
  if (!Present)
    return report(Present.error());
  const wire::ConfigurationBundle Wanted = bundleOf(*Files);
  for (const std::string &Name : changedFiles(*Present, Wanted)) {
    const Lines Before = linesOf(*Present, Name);
    const Lines After = linesOf(Wanted, Name);
    Out << Name << '\n';
    printMissing(Out, "- ", Before, After);
    printMissing(Out, "+ ", After, Before);
  }
  return CtlExit::Ok;
}

CtlExit CtlCommand::applyConfiguration(const Words &Arguments) {
  return sendConfiguration(Arguments, false);
}

CtlExit CtlCommand::showHistory(const Words &) {
  return printRows(call("GET", "/v1/configuration"), "history",
                   {"version", "operator", "accepted_at_ms", "changed_files"});
}

} // namespace baobabcove
